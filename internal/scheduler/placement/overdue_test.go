package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// queue is a small cluster in time: jobs come, passes place their tasks, tasks end.
type queue struct {
	now      time.Time
	machines []*Machine
	limits   map[string]*Team
	items    []*PendingJob
	running  []ending
	began    map[string]time.Duration // after its coming
	done     float64                  // CPU seconds of tasks that ended
	holds    BackfillReservations
	ghosts   func() []*PendingJob      // work that is expected; nil: none
	beside   map[*PendingJob]time.Time // since when an item waits though a machine that fits has room and its team is under its limit
	longest  time.Duration             // for how long any did
}

type ending struct {
	at   time.Time
	m    *Machine
	need Resources
	team string
	it   *PendingJob
}

func (q *queue) come(id, team string, tasks int, cpus, runS float64, prio wire.Priority) *PendingJob {
	it := &PendingJob{Job: &wire.Job{ID: id, Team: team, Kind: wire.KindArray, Priority: prio, Tasks: tasks, CPUs: cpus, EstimateS: runS}, WaitingSince: q.now, EnqueuedAt: q.now, Waiting: tasks}
	q.items = append(q.items, it)
	return it
}

// second has tasks end and a pass place others.
func (q *queue) second() {
	q.now = q.now.Add(time.Second)
	rest := q.running[:0]
	for _, e := range q.running {
		if e.at.After(q.now) {
			rest = append(rest, e)
			continue
		}
		e.m.Free.Sub(e.need, -1)
		q.limits[e.team].UsedCPUs -= e.need.CPUs
		q.done += e.need.CPUs * e.it.Job.EstimateS
	}
	q.running = rest
	var waiting []*PendingJob
	for _, it := range q.items {
		if it.Waiting > 0 {
			waiting = append(waiting, it)
		}
	}
	q.items = waiting
	for _, m := range q.machines {
		m.reservedFor = ""
		m.FreeInS = func(lacks Resources) float64 {
			lacks.Sub(m.Free, -1)
			return q.freeS(m, lacks)
		}
	}
	for _, t := range q.limits {
		t.reservedFor = ""
	}
	wanted := append([]*PendingJob{}, waiting...)
	free := make([]Resources, len(q.machines)) // what ghosts take is theirs for one pass
	if q.ghosts != nil {
		wanted = append(wanted, q.ghosts()...)
	}
	for i, m := range q.machines {
		free[i] = m.Free
	}
	placed := q.holds.Schedule(q.now, wanted, q.machines, q.limits)
	for i, m := range q.machines {
		m.Free = free[i]
	}
	for _, p := range placed {
		p.Machine.Free.Sub(p.Pending.Request(), 1)

		if p.Pending.Started++; p.Pending.Started == 1 {
			q.began[p.Pending.Job.ID] = q.now.Sub(p.Pending.EnqueuedAt)
		}
		run := time.Duration(p.Pending.Job.EstimateS * float64(time.Second))
		q.running = append(q.running, ending{q.now.Add(run), p.Machine, p.Pending.Request(), p.Pending.Job.Team, p.Pending})
	}
	q.watch(waiting)
}

// freeS is when a machine has room, by the tasks that run there; replicas stay.
func (q *queue) freeS(m *Machine, need Resources) float64 {
	free := m.Free
	var there []ending
	for _, e := range q.running {
		if e.m == m {
			there = append(there, e)
		}
	}
	slices.SortFunc(there, func(a, b ending) int { return a.at.Compare(b.at) })
	for _, e := range there {
		if free.Fits(need) {
			break
		}
		if free.Sub(e.need, -1); free.Fits(need) {
			return e.at.Sub(q.now).Seconds()
		}
	}
	if free.Fits(need) {
		return 0
	}
	return math.Inf(1)
}

// watch looks for items that wait beside room.
func (q *queue) watch(waiting []*PendingJob) {
	for _, it := range waiting {
		team, need := q.limits[it.Job.Team], it.Request()
		room := it.Waiting > 0 && team.fits(need) && slices.ContainsFunc(q.machines, func(m *Machine) bool {
			return m.Free.Fits(need) && it.Allows(m.Type, m.Zone, m.Spot)
		})
		if since, known := q.beside[it]; !room {
			delete(q.beside, it)
		} else if !known {
			q.beside[it] = q.now
		} else {
			q.longest = max(q.longest, q.now.Sub(since))
		}
	}
}

// Guards against jobs that wait for ever beside room that is held for one that cannot use it: a task needs a whole machine, or most
// of its team's limit, where replicas stay; and against any hold that lasts.
func TestNoJobWaitsBesideRoom(t *testing.T) {
	for seed := range uint64(12) {
		r := rand.New(rand.NewPCG(seed, 3))
		q := &queue{now: now, began: map[string]time.Duration{}, beside: map[*PendingJob]time.Time{}, limits: map[string]*Team{"hot": {QuotaCPUs: 64}, "t": {QuotaCPUs: 1000}}}
		for i := range 2 + r.IntN(6) {
			m := machine(fmt.Sprintf("m-%d", i), string(rune('a'+i%2)), false, 16)
			if r.IntN(3) > 0 { // a replica stays
				m.Free.CPUs -= 1
				q.limits["hot"].UsedCPUs++
				q.limits["hot"].PermanentUse.CPUs++
			}
			q.machines = append(q.machines, m)
		}
		q.limits["hot"].QuotaCPUs = q.limits["hot"].UsedCPUs + 8
		if seed%2 == 1 { // room is kept for work of higher priority
			q.ghosts = func() []*PendingJob {
				return []*PendingJob{{Job: &wire.Job{ID: "ghost", Team: "t", Kind: wire.KindArray, Priority: wire.PriorityHigh, Tasks: 3, CPUs: 4, EstimateS: 20}, WaitingSince: q.now, Waiting: 3, Placeholder: true}}
			}
		}
		for s := range 900 {
			if r.IntN(4) == 0 && s < 600 {
				q.come(fmt.Sprintf("small-%d", s), []string{"hot", "t"}[r.IntN(2)], 1+r.IntN(3), float64(1+r.IntN(4)), float64(20+r.IntN(200)), wire.PriorityNormal)
			}
			if s%150 == 20 {
				q.come(fmt.Sprintf("whole-%d", s), "t", 2, 16, 60, []wire.Priority{wire.PriorityNormal, wire.PriorityHigh}[r.IntN(2)])
				q.come(fmt.Sprintf("limit-%d", s), "hot", 1, 12, 60, wire.PriorityNormal)
				zone := q.come(fmt.Sprintf("zone-%d", s), "t", 3, 9, 100, wire.PriorityNormal)
				zone.Job.Zone = "a"
			}
			q.second()
		}
		if q.longest >= 90*time.Second {
			t.Errorf("seed %d: a job waited for %v beside room", seed, q.longest)
		}
	}
}

// Guards against the largest of a class that never begin while small work goes on: tasks for which each machine that gets
// free is too small, jobs as large as their team's limit, arrays behind a stream of little work.
func TestTheLargestBeginInTime(t *testing.T) {
	const bound = 240 * time.Second
	for seed := range uint64(6) {
		r := rand.New(rand.NewPCG(seed, 2))
		q := &queue{now: now, began: map[string]time.Duration{}, beside: map[*PendingJob]time.Time{}, limits: map[string]*Team{
			"hot": {QuotaCPUs: 64, GuaranteedCPUs: 16}, "guest": {QuotaCPUs: 1e9, FairShareCPUs: 40}, "t": {QuotaCPUs: 80, GuaranteedCPUs: 40},
		}}
		for i := range 10 {
			q.machines = append(q.machines, machine(fmt.Sprintf("m-%d", i), "a", false, 16))
		}
		large := map[string]*PendingJob{}
		n := 0
		for s := range 600 {
			// Small work for more than there is, of all teams.
			for work := 0.0; work < 160*1.3; {
				cpus, run := float64(1+r.IntN(3)), float64(15+r.IntN(30))
				tasks := 1 + r.IntN(4)
				n++
				q.come(fmt.Sprintf("small-%d", n), []string{"hot", "guest", "t"}[r.IntN(3)], tasks, cpus, run, wire.PriorityNormal)
				work += cpus * run * float64(tasks)
			}
			if s%100 == 50 && s < 350 {
				for id, it := range map[string]*PendingJob{
					fmt.Sprintf("whole-machine-%d", s): q.come(fmt.Sprintf("whole-machine-%d", s), "t", 4, 16, 60, wire.PriorityNormal),
					fmt.Sprintf("whole-limit-%d", s):   q.come(fmt.Sprintf("whole-limit-%d", s), "hot", 200, 16, 60, wire.PriorityNormal),
					fmt.Sprintf("huge-%d", s):          q.come(fmt.Sprintf("huge-%d", s), "guest", 25000, 4, 60, wire.PriorityNormal),
				} {
					large[id] = it
				}
			}
			q.second()
			for name, team := range q.limits {
				if team.UsedCPUs > team.QuotaCPUs+slack {
					t.Fatalf("seed %d: %s uses %v", seed, name, team.UsedCPUs)
				}
			}
		}
		for id := range large {
			if took, ok := q.began[id]; !ok || took > bound {
				t.Fatalf("seed %d: %s began after %v (ever: %v)", seed, id, took, ok)
			}
		}
		if q.longest >= 90*time.Second {
			t.Errorf("seed %d: a job waited for %v beside room", seed, q.longest)
		}
		// What is kept for them costs little of what the machines can do.
		if used := q.done / (600 * 160); used < 0.85 {
			t.Errorf("seed %d: %.2f of the machines' time was of use", seed, used)
		}
	}
}

// Guards against a bound that lets a large job take everything: it is one task that goes before the others.
func TestAnOverdueJobGetsOneTask(t *testing.T) {
	late := item("late", wire.PriorityNormal, tuning.StarvationBound, 8, 4)
	late.Started = 0
	begun := item("begun", wire.PriorityNormal, tuning.StarvationBound/2, 8, 1)
	begun.Started, begun.Job.EstimateS, late.Job.EstimateS = 1, 1, 1000
	late.Job.Kind, begun.Job.Kind = wire.KindArray, wire.KindArray
	got := map[string]int{}
	for _, p := range Schedule(now, []*PendingJob{begun, late}, []*Machine{machine("m", "a", false, 8)}, map[string]*Team{"t": {QuotaCPUs: 100}}) {
		got[p.Pending.Job.ID]++
	}
	if got["late"] != 1 || got["begun"] != 4 {
		t.Errorf("placed %v", got)
	}
}

// Guards against a limit that is kept for the begin of a job for ever, and against one that is kept from other teams.
func TestWhatIsKeptOfALimit(t *testing.T) {
	late := item("late", wire.PriorityNormal, tuning.StarvationBound, 1, 8)
	small := item("small", wire.PriorityNormal, 0, 4, 1)
	other := item("other", wire.PriorityNormal, 0, 4, 1)
	other.Job.Team = "u"
	teams := map[string]*Team{"t": {UsedCPUs: 4, QuotaCPUs: 10}, "u": {QuotaCPUs: 10}}
	got := map[string]int{}
	for _, p := range Schedule(now, []*PendingJob{late, small, other}, []*Machine{machine("m", "a", false, 16), machine("n", "a", false, 12)}, teams) {
		got[p.Pending.Job.ID]++
	}
	if got["late"] != 0 || got["small"] != 0 || got["other"] != 4 {
		t.Errorf("placed %v while the limit is kept", got)
	}
	teams["t"] = &Team{UsedCPUs: 2, QuotaCPUs: 10}
	clear(got)
	small.Waiting, late.Waiting = 4, 1
	for _, p := range Schedule(now, []*PendingJob{late, small}, []*Machine{machine("m", "a", false, 16)}, teams) {
		got[p.Pending.Job.ID]++
	}
	if got["late"] != 1 {
		t.Errorf("placed %v once it fits", got)
	}
}
