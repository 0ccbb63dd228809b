package leader

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/clients/statestore"
	"poppypass/internal/cluster/workerlease"
	"poppypass/internal/platform/config"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/sim/fakes"
)

// partitionCluster simulates a leader, two zones with one member each that holds its zone's lease, and one worker per zone that
// runs a task. Each second the workers send heartbeats to the controller that they reach, and the leader ends the leases that it
// can prove to be over.
type partitionCluster struct {
	t     *testing.T
	clock *clockwork.FakeClock
	state *fakes.Store
	l     *Loop

	cut     map[string]bool // zones that are partitioned from everything outside
	down    map[string]bool // zones whose member does not run
	lost    map[string]bool // zones whose workers reach only their own member
	inside  string          // the leader's zone; the leader is not the member that holds the zone's lease
	members map[string]*workerlease.ZoneLease
	workers map[string]*partitionWorker
}

type partitionWorker struct {
	hb    wire.Heartbeat
	seen  time.Time // when its last answered heartbeat was sent
	hangs bool
	died  time.Time // when its lease expired; zero: it is alive
	found time.Time // when the leader concluded that its task ended; zero: not yet
}

const partitionLease = 10 * time.Second

func newPartitionCluster(t *testing.T) *partitionCluster {
	w := &partitionCluster{
		t: t, cut: map[string]bool{}, lost: map[string]bool{}, down: map[string]bool{}, inside: "a",
		members: map[string]*workerlease.ZoneLease{}, workers: map[string]*partitionWorker{},
	}
	w.l, w.clock = newTestLoop(t)
	clear(w.l.machines.Machines)
	w.state = fakes.NewStore(w.clock)
	t.Cleanup(w.state.Close)
	for _, zone := range []string{"a", "b"} {
		w.boot(zone)
		w.workers[zone] = &partitionWorker{seen: w.clock.Now(), hb: wire.Heartbeat{
			Machine: "n-" + zone, Address: "127.0.0.1:1", Type: "small", Zone: zone, Incarnation: 1, Seq: 1, FencingToken: 1,
			Tasks: []wire.TaskStatus{{Task: "job-1/" + map[string]string{"a": "0", "b": "1"}[zone], Attempt: 1, State: wire.TaskRunning}},
		}}
	}
	j := w.l.addPending(t, wire.Job{ID: "job-1", Team: "t", Kind: wire.KindService, Priority: wire.PriorityProduction, Tasks: 2, CPUs: 1, MemoryGB: 1})
	for i, zone := range []string{"a", "b"} {
		a := w.l.jobs.Allocate(j, i, "n-"+zone, zone, 1, w.clock.Now())
		a.Committed = true
		w.l.machines.AddAllocation(a, w.clock.Now())
	}
	w.lead()
	return w
}

// boot starts a zone's member. The member renews its zone lease in the key-value store, which it does not reach during a partition
// or an outage.
func (w *partitionCluster) boot(zone string) {
	w.members[zone] = workerlease.NewZoneLease(&config.Settings{
		Member: "m" + zone, Zone: zone, Cluster: config.Cluster{Workers: config.Workers{LeaseS: partitionLease.Seconds()}},
	}, statestore.New(w.state.Addr(), 1e6, 1e6), w.clock, slog.New(slog.DiscardHandler))
	w.down[zone] = false
}

// lead connects the loop to the key-value store and to the members that the leader reaches.
func (w *partitionCluster) lead() {
	w.l.store = statestore.New(w.state.Addr(), 1e6, 1e6)
	w.l.env.MayHaveRenewed = func(_ context.Context, member string, names []string) ([]string, error) {
		zone := member[1:]
		if w.down[zone] || !w.reaches(zone) {
			return nil, errors.New("the member cannot be reached")
		}
		return w.members[zone].MayHaveRenewed(names)
	}
}

// reaches reports whether the leader reaches a zone.
func (w *partitionCluster) reaches(zone string) bool {
	return w.inside == zone || !w.cut[zone] && !w.cut[w.inside]
}

// newLeader begins a new term with a leader in a zone, which restores the recorded allocations.
func (w *partitionCluster) newLeader(zone string) {
	w.inside = zone
	old := w.l
	w.l, _ = newTestLoop(w.t)
	clear(w.l.machines.Machines)
	w.l.env.Clock, w.l.leadership.Term = w.clock, old.leadership.Term+1
	w.l.startedAt = w.clock.Now()
	w.lead()
	w.l.jobs = old.jobs
	for _, j := range old.jobs.Jobs {
		for i := range j.Tasks {
			if a := j.Tasks[i].Allocation; a != nil {
				w.l.machines.RestoreAllocation(a, w.l.startedAt)
			}
		}
	}
}

// second advances the simulation by one second. lead is true if there is a leader that may act.
func (w *partitionCluster) second(lead bool) {
	now := w.clock.Now()
	for zone, k := range w.workers {
		if !k.hangs && k.died.IsZero() && now.Sub(k.seen) > partitionLease {
			k.died = now
		}
		if k.hangs || !k.died.IsZero() {
			if k.died.IsZero() && now.Sub(k.seen) > partitionLease {
				k.died = now // once it runs again it notices that its lease expired
			}
			continue
		}
		k.hb.Seq++
		answered := false
		if lead && w.reaches(zone) && !w.lost[zone] {
			_, err := w.l.handleHeartbeat(&k.hb)
			answered = err == nil
		} else if !w.down[zone] {
			answered = w.members[zone].MayRenew(k.hb.Machine, zone)
		}
		if answered {
			k.seen = now
		}
	}
	if lead && !w.cut[w.inside] {
		w.l.concludeExpired()
	}
	for zone, k := range w.workers {
		j := w.l.jobs.Jobs["job-1"]
		if j.Tasks[int(zone[0]-'a')].Allocation == nil && k.found.IsZero() {
			k.found = now
			if k.died.IsZero() {
				w.t.Fatalf("zone %s: the task counts as ended %v after the worker's last answered heartbeat, though it may still run", zone, now.Sub(k.seen))
			}
		}
	}
	for zone, m := range w.members {
		if !w.down[zone] && !w.cut[zone] {
			m.Renew(w.t.Context())
		}
	}
	w.clock.Advance(time.Second)
	w.state.Expire()
}

// Partitions zones at each phase of a leader's term. Tasks survive every partition that is shorter than the zone lease. Lost tasks
// are detected in time, and never while they may still run.
func TestTasksSurviveZonePartitions(t *testing.T) {
	const short, long = 60, 380 // seconds; the zone lease is 300
	type events map[int]func(w *partitionCluster)
	cut := func(zone string, on bool) func(w *partitionCluster) {
		return func(w *partitionCluster) { w.cut[zone] = on }
	}
	for _, c := range []struct {
		name    string
		events  events
		noLead  [2]int // first second without a leader, and first second with a leader again
		lives   string // the zones whose tasks survive
		latest  int    // within how many seconds after its end the leader must detect that a task ended
		foundBy int    // the second by which the leader must detect it; 0: no limit
	}{
		{"the zone without the leader, for less than the zone lease", events{10: cut("b", true), 10 + short: cut("b", false)}, [2]int{}, "ab", 0, 0},
		{"the zone without the leader, for longer than the zone lease", events{10: cut("b", true), 10 + long: cut("b", false)}, [2]int{}, "a", 15, 340},
		{"the leader's zone; a new leader begins in the other zone", events{10: cut("a", true), 14: func(w *partitionCluster) { w.newLeader("b") }, 10 + short: cut("a", false)}, [2]int{10, 14}, "ab", 0, 0},
		{"a new leader during the partition", events{10: cut("b", true), 20: func(w *partitionCluster) { w.newLeader("a") }, 10 + short: cut("b", false)}, [2]int{16, 20}, "ab", 0, 0},
		{"a new leader just before the partition", events{8: func(w *partitionCluster) { w.newLeader("a") }, 9: cut("b", true), 9 + short: cut("b", false)}, [2]int{4, 8}, "ab", 0, 0},
		{"a new leader just after the partition", events{10: cut("b", true), 10 + short: cut("b", false), 14 + short: func(w *partitionCluster) { w.newLeader("a") }}, [2]int{10 + short, 14 + short}, "ab", 0, 0},
		{"both zones, with an overlap", events{10: cut("b", true), 20: cut("a", true), 10 + short: cut("b", false), 20 + short: cut("a", false), 21 + short: func(w *partitionCluster) { w.newLeader("b") }}, [2]int{20, 21 + short}, "ab", 0, 0},
		{"an outage of the key-value store during the partition", events{10: cut("b", true), 20: func(w *partitionCluster) { w.state.Refuse(true) }, 50: func(w *partitionCluster) { w.state.Refuse(false) }, 10 + short: cut("b", false)}, [2]int{}, "ab", 0, 0},
		{"no leader during an outage of the key-value store", events{10: func(w *partitionCluster) { w.state.Refuse(true) }, 60: func(w *partitionCluster) { w.state.Refuse(false) }, 65: func(w *partitionCluster) { w.newLeader("b") }}, [2]int{12, 65}, "ab", 0, 0},
		{"the zone's member restarts during the partition and does not know its zone lease", events{10: cut("b", true), 20: func(w *partitionCluster) { w.down["b"] = true }, 28: func(w *partitionCluster) { w.boot("b") }, 10 + short: cut("b", false)}, [2]int{}, "a", 45, 0},
		{"workers reach only their zone's member", events{10: func(w *partitionCluster) { w.lost["b"] = true }, 70: func(w *partitionCluster) { w.lost["b"] = false }}, [2]int{}, "ab", 0, 0},
		{"workers reach only their zone's member, which restarts", events{10: func(w *partitionCluster) { w.lost["b"] = true }, 40: func(w *partitionCluster) { w.down["b"] = true }, 42: func(w *partitionCluster) { w.boot("b") }, 70: func(w *partitionCluster) { w.lost["b"] = false }}, [2]int{}, "ab", 0, 0},
		{"a machine dies; its zone's member denies a renewal", events{10: func(w *partitionCluster) { w.workers["b"].hangs = true }}, [2]int{}, "a", 2, 23},
		{"a machine dies while its zone's member restarts", events{10: func(w *partitionCluster) { w.workers["b"].hangs, w.down["b"] = true, true }, 18: func(w *partitionCluster) { w.boot("b") }}, [2]int{}, "a", 15, 32},
		{"a machine hangs beyond its lease during a partition", events{10: cut("b", true), 15: func(w *partitionCluster) { w.workers["b"].hangs = true }, 10 + short: cut("b", false)}, [2]int{}, "a", 60, 10 + short + 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newPartitionCluster(t)
			for _, m := range w.members {
				m.Renew(t.Context())
			}
			begun := w.clock.Now()
			for s := range long + 60 {
				if fn := c.events[s]; fn != nil {
					fn(w)
				}
				w.second(s < c.noLead[0] || s >= c.noLead[1])
			}
			lives := ""
			for _, zone := range []string{"a", "b"} {
				k := w.workers[zone]
				if k.died.IsZero() {
					lives += zone
					continue
				}
				late := k.found.Sub(k.died)
				if k.found.IsZero() || late > time.Duration(c.latest)*time.Second {
					t.Errorf("zone %s: the end of the task is detected %v after it, or not at all", zone, late)
				}
				if by := k.found.Sub(begun); c.foundBy > 0 && by > time.Duration(c.foundBy)*time.Second {
					t.Errorf("zone %s: the end of the task is detected at %v", zone, by)
				}
			}
			if lives != c.lives {
				t.Errorf("tasks survive in zones %q, want %q", lives, c.lives)
			}
		})
	}
}

// A zone all of whose machines are unreachable counts as partitioned: no machines are rented there, and its machines are returned
// only after a longer time.
func TestZoneOfUnreachableMachinesIsPartitioned(t *testing.T) {
	l, advance := twoZones(t, 6)
	l.env.Valid = func(uint64) bool { return true }
	seq := uint64(1)
	report := func() {
		advance(time.Second)
		seq++
		for i := range 12 {
			hb := &wire.Heartbeat{Machine: fmt.Sprintf("n-%d", i), Address: "127.0.0.1:1", Type: "small", Zone: []string{"a", "b"}[i/6], Incarnation: 1, Seq: seq, FencingToken: 1}
			if i < 6 { // the heartbeats of zone a show the effect of the commands
				hb.Tasks = []wire.TaskStatus{{Task: fmt.Sprintf("job-1/%d", i), Attempt: 1, State: wire.TaskRunning}}
			}
			l.mustHandle(t, hb)
		}
	}
	for range 8 {
		report()
		l.probeAll()
	}
	report()
	now := l.env.Clock.Now()
	if cut := l.partitionedZones(now); !cut["b"] || cut["a"] {
		t.Errorf("partitioned zones are %v, want zone b alone", cut)
	}
	if got := l.silenceUntilReturn(); got != tuning.SilentReturnAfterCut {
		t.Errorf("silent machines are returned after %v, want SilentReturnAfterCut", got)
	}
}
