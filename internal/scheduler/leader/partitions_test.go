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

// partitionCluster simulates a leader and two zones. Each zone has one member, which holds the zone's lease, and one
// worker, which runs a task. Each second the workers send heartbeats to the controller that they reach, and the leader
// ends the incarnations whose leases it can prove to have expired.
type partitionCluster struct {
	t     *testing.T
	clock *clockwork.FakeClock
	state *fakes.Store
	loop  *Loop

	partitioned map[string]bool // zones that are partitioned from everything outside
	down        map[string]bool // zones whose member does not run
	memberOnly  map[string]bool // zones whose workers reach only their own member
	leaderZone  string          // the leader's zone; the leader is not the member that holds the zone's lease
	members     map[string]*workerlease.ZoneLease
	workers     map[string]*partitionWorker
}

type partitionWorker struct {
	heartbeat      wire.Heartbeat
	lastAnsweredAt time.Time // when its last answered heartbeat was sent
	hangs          bool
	diedAt         time.Time // when its lease expired; zero: it is alive
	detectedAt     time.Time // when the leader concluded that its task ended; zero: not yet
}

const partitionLease = 10 * time.Second

func newPartitionCluster(t *testing.T) *partitionCluster {
	cluster := &partitionCluster{
		t: t, partitioned: map[string]bool{}, memberOnly: map[string]bool{}, down: map[string]bool{}, leaderZone: "a",
		members: map[string]*workerlease.ZoneLease{}, workers: map[string]*partitionWorker{},
	}
	cluster.loop, cluster.clock = newTestLoop(t)
	clear(cluster.loop.machines.Machines)
	cluster.state = fakes.NewStore(cluster.clock)
	t.Cleanup(cluster.state.Close)
	for _, zone := range []string{"a", "b"} {
		cluster.startMember(zone)
		cluster.workers[zone] = &partitionWorker{lastAnsweredAt: cluster.clock.Now(), heartbeat: wire.Heartbeat{
			Machine: "n-" + zone, Address: "127.0.0.1:1", Type: "small", Zone: zone, Incarnation: 1, Seq: 1, FencingToken: 1,
			Tasks: []wire.TaskStatus{{Task: "job-1/" + map[string]string{"a": "0", "b": "1"}[zone], Attempt: 1, State: wire.TaskRunning}},
		}}
	}
	j := cluster.loop.addPending(t, wire.Job{ID: "job-1", Team: "t", Kind: wire.KindService, Priority: wire.PriorityProduction, Tasks: 2, CPUs: 1, MemoryGB: 1})
	for i, zone := range []string{"a", "b"} {
		a := cluster.loop.jobs.Allocate(j, i, "n-"+zone, zone, 1, cluster.clock.Now())
		a.Committed = true
		cluster.loop.machines.AddAllocation(a, cluster.clock.Now())
	}
	cluster.connectLeader()
	return cluster
}

// startMember starts a zone's member. The member renews its zone lease in the key-value store, which is out of its reach
// during a partition or an outage.
func (c *partitionCluster) startMember(zone string) {
	c.members[zone] = workerlease.NewZoneLease(&config.Settings{
		Member: "m" + zone, Zone: zone, Cluster: config.Cluster{Workers: config.Workers{LeaseS: partitionLease.Seconds()}},
	}, statestore.New(c.state.Addr(), 1e6, 1e6), c.clock, slog.New(slog.DiscardHandler))
	c.down[zone] = false
}

// connectLeader connects the loop to the key-value store and to the members that the leader reaches.
func (c *partitionCluster) connectLeader() {
	c.loop.store = statestore.New(c.state.Addr(), 1e6, 1e6)
	c.loop.env.MayHaveRenewed = func(_ context.Context, member string, names []string) ([]string, error) {
		zone := member[1:]
		if c.down[zone] || !c.leaderReaches(zone) {
			return nil, errors.New("the member cannot be reached")
		}
		return c.members[zone].MayHaveRenewed(names)
	}
}

// leaderReaches reports whether the leader reaches a zone.
func (c *partitionCluster) leaderReaches(zone string) bool {
	return c.leaderZone == zone || !c.partitioned[zone] && !c.partitioned[c.leaderZone]
}

// newLeader begins a new term with a leader in a zone, which restores the recorded allocations.
func (c *partitionCluster) newLeader(zone string) {
	c.leaderZone = zone
	old := c.loop
	c.loop, _ = newTestLoop(c.t)
	clear(c.loop.machines.Machines)
	c.loop.env.Clock, c.loop.leadership.Term = c.clock, old.leadership.Term+1
	c.loop.startedAt = c.clock.Now()
	c.connectLeader()
	c.loop.jobs = old.jobs
	for _, j := range old.jobs.Jobs {
		for i := range j.Tasks {
			if a := j.Tasks[i].Allocation; a != nil {
				c.loop.machines.RestoreAllocation(a, c.loop.startedAt)
			}
		}
	}
}

// advanceSecond advances the simulation by one second. hasLeader is true if there is a leader that may act.
func (c *partitionCluster) advanceSecond(hasLeader bool) {
	now := c.clock.Now()
	for zone, worker := range c.workers {
		if !worker.hangs && worker.diedAt.IsZero() && now.Sub(worker.lastAnsweredAt) > partitionLease {
			worker.diedAt = now
		}
		if worker.hangs || !worker.diedAt.IsZero() {
			if worker.diedAt.IsZero() && now.Sub(worker.lastAnsweredAt) > partitionLease {
				// The lease expires now, although the hanging worker can notice this only once it runs again.
				worker.diedAt = now
			}
			continue
		}
		worker.heartbeat.Seq++
		answered := false
		if hasLeader && c.leaderReaches(zone) && !c.memberOnly[zone] {
			_, err := c.loop.handleHeartbeat(&worker.heartbeat)
			answered = err == nil
		} else if !c.down[zone] {
			answered = c.members[zone].TryRenew(worker.heartbeat.Machine, zone)
		}
		if answered {
			worker.lastAnsweredAt = now
		}
	}
	if hasLeader && !c.partitioned[c.leaderZone] {
		c.loop.expireLeasesNow()
	}
	for zone, worker := range c.workers {
		j := c.loop.jobs.Jobs["job-1"]
		if j.Tasks[int(zone[0]-'a')].Allocation == nil && worker.detectedAt.IsZero() {
			worker.detectedAt = now
			if worker.diedAt.IsZero() {
				c.t.Fatalf("zone %s: the task counts as ended %v after the worker's last answered heartbeat, though it may still run", zone, now.Sub(worker.lastAnsweredAt))
			}
		}
	}
	for zone, m := range c.members {
		if !c.down[zone] && !c.partitioned[zone] {
			m.Renew(c.t.Context())
		}
	}
	c.clock.Advance(time.Second)
	c.state.Expire()
}

// Partitions zones at each phase of a leader's term. Tasks survive partitions that are shorter than the zone lease,
// unless the zone's member restarts meanwhile. Lost tasks are detected in time, and never while they may still run.
func TestTasksSurviveZonePartitions(t *testing.T) {
	const short, long = 60, 380 // seconds; the zone lease is 300
	type events map[int]func(w *partitionCluster)
	partition := func(zone string, on bool) func(w *partitionCluster) {
		return func(w *partitionCluster) { w.partitioned[zone] = on }
	}
	for _, c := range []struct {
		name          string
		events        events
		leaderless    [2]int // first second without a leader, and first second with a leader again
		survivors     string // the zones whose tasks survive
		detectWithinS int    // seconds after the end of a task within which the leader must detect it
		detectByS     int    // seconds after the start by which the leader must detect it; 0: no limit
	}{
		{"the zone without the leader, for less than the zone lease", events{10: partition("b", true), 10 + short: partition("b", false)}, [2]int{}, "ab", 0, 0},
		{"the zone without the leader, for longer than the zone lease", events{10: partition("b", true), 10 + long: partition("b", false)}, [2]int{}, "a", 15, 340},
		{"the leader's zone; a new leader begins in the other zone", events{10: partition("a", true), 14: func(w *partitionCluster) { w.newLeader("b") }, 10 + short: partition("a", false)}, [2]int{10, 14}, "ab", 0, 0},
		{"a new leader during the partition", events{10: partition("b", true), 20: func(w *partitionCluster) { w.newLeader("a") }, 10 + short: partition("b", false)}, [2]int{16, 20}, "ab", 0, 0},
		{"a new leader just before the partition", events{8: func(w *partitionCluster) { w.newLeader("a") }, 9: partition("b", true), 9 + short: partition("b", false)}, [2]int{4, 8}, "ab", 0, 0},
		{"a new leader just after the partition", events{10: partition("b", true), 10 + short: partition("b", false), 14 + short: func(w *partitionCluster) { w.newLeader("a") }}, [2]int{10 + short, 14 + short}, "ab", 0, 0},
		{"both zones, with an overlap", events{10: partition("b", true), 20: partition("a", true), 10 + short: partition("b", false), 20 + short: partition("a", false), 21 + short: func(w *partitionCluster) { w.newLeader("b") }}, [2]int{20, 21 + short}, "ab", 0, 0},
		{"an outage of the key-value store during the partition", events{10: partition("b", true), 20: func(w *partitionCluster) { w.state.Refuse(true) }, 50: func(w *partitionCluster) { w.state.Refuse(false) }, 10 + short: partition("b", false)}, [2]int{}, "ab", 0, 0},
		{"no leader during an outage of the key-value store", events{10: func(w *partitionCluster) { w.state.Refuse(true) }, 60: func(w *partitionCluster) { w.state.Refuse(false) }, 65: func(w *partitionCluster) { w.newLeader("b") }}, [2]int{12, 65}, "ab", 0, 0},
		{"the zone's member restarts during the partition and does not know its zone lease", events{10: partition("b", true), 20: func(w *partitionCluster) { w.down["b"] = true }, 28: func(w *partitionCluster) { w.startMember("b") }, 10 + short: partition("b", false)}, [2]int{}, "a", 45, 0},
		{"workers reach only their zone's member", events{10: func(w *partitionCluster) { w.memberOnly["b"] = true }, 70: func(w *partitionCluster) { w.memberOnly["b"] = false }}, [2]int{}, "ab", 0, 0},
		{"workers reach only their zone's member, which restarts", events{10: func(w *partitionCluster) { w.memberOnly["b"] = true }, 40: func(w *partitionCluster) { w.down["b"] = true }, 42: func(w *partitionCluster) { w.startMember("b") }, 70: func(w *partitionCluster) { w.memberOnly["b"] = false }}, [2]int{}, "ab", 0, 0},
		{"a machine dies; its zone's member denies a renewal", events{10: func(w *partitionCluster) { w.workers["b"].hangs = true }}, [2]int{}, "a", 2, 23},
		{"a machine dies while its zone's member restarts", events{10: func(w *partitionCluster) { w.workers["b"].hangs, w.down["b"] = true, true }, 18: func(w *partitionCluster) { w.startMember("b") }}, [2]int{}, "a", 15, 32},
		{"a machine hangs beyond its lease during a partition", events{10: partition("b", true), 15: func(w *partitionCluster) { w.workers["b"].hangs = true }, 10 + short: partition("b", false)}, [2]int{}, "a", 60, 10 + short + 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			cluster := newPartitionCluster(t)
			for _, m := range cluster.members {
				m.Renew(t.Context())
			}
			started := cluster.clock.Now()
			for s := range long + 60 {
				if event := c.events[s]; event != nil {
					event(cluster)
				}
				cluster.advanceSecond(s < c.leaderless[0] || s >= c.leaderless[1])
			}
			survivors := ""
			for _, zone := range []string{"a", "b"} {
				worker := cluster.workers[zone]
				if worker.diedAt.IsZero() {
					survivors += zone
					continue
				}
				delay := worker.detectedAt.Sub(worker.diedAt)
				if worker.detectedAt.IsZero() || delay > time.Duration(c.detectWithinS)*time.Second {
					t.Errorf("zone %s: the end of the task is detected too late, after %v, or not at all", zone, delay)
				}
				if detectedAfter := worker.detectedAt.Sub(started); c.detectByS > 0 && detectedAfter > time.Duration(c.detectByS)*time.Second {
					t.Errorf("zone %s: the end of the task is detected too late, %v after the start", zone, detectedAfter)
				}
			}
			if survivors != c.survivors {
				t.Errorf("tasks survive in zones %q, want %q", survivors, c.survivors)
			}
		})
	}
}

// A zone counts as partitioned if all of its machines are unreachable. No machines are rented there, and its machines
// are returned only after a longer time.
func TestZoneOfUnreachableMachinesIsPartitioned(t *testing.T) {
	l, advance := newTwoZoneLoop(t, 6)
	l.env.MayAct = func(uint64) bool { return true }
	seq := uint64(1)
	sendHeartbeats := func() {
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
		sendHeartbeats()
		l.probeAll()
	}
	sendHeartbeats()
	now := l.env.Clock.Now()
	if partitioned := l.partitionedZones(now); !partitioned["b"] || partitioned["a"] {
		t.Errorf("partitioned zones are %v, want zone b alone", partitioned)
	}
	if got := l.silenceUntilReturn(); got != tuning.SilentReturnAfterPartition {
		t.Errorf("silent machines are returned after %v, want SilentReturnAfterPartition", got)
	}
}
