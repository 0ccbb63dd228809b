package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// Guards against jobs that wait for ever although a machine has room, because that room is reserved for a job
// that can never use it. Such a job's task requests a whole machine, or most of its team's quota, and service
// replicas occupy a part of either. Also guards against any other reservation without an end.
func TestNoJobWaitsLongDespiteFreeRoom(t *testing.T) {
	for seed := range uint64(12) {
		r := rand.New(rand.NewPCG(seed, 3))
		sim := newSimulation(map[string]*Team{"hot": {QuotaCPUs: 64}, "t": {QuotaCPUs: 1000}})
		for i := range 2 + r.IntN(6) {
			m := machine(fmt.Sprintf("m-%d", i), string(rune('a'+i%2)), false, 16)
			if r.IntN(3) > 0 { // a service replica occupies one CPU for good
				m.Free.CPUs -= 1
				sim.teams["hot"].UsedCPUs++
				sim.teams["hot"].PermanentUse.CPUs++
			}
			sim.machines = append(sim.machines, m)
		}
		sim.teams["hot"].QuotaCPUs = sim.teams["hot"].UsedCPUs + 8
		if seed%2 == 1 { // room is reserved for work of higher priority
			sim.placeholders = func() []*PendingJob {
				return []*PendingJob{{Job: &wire.Job{ID: "placeholder", Team: "t", Kind: wire.KindArray, Priority: wire.PriorityHigh, Tasks: 3, CPUs: 4, EstimateS: 20}, WaitingSince: sim.now, Waiting: 3, Placeholder: true}}
			}
		}
		for s := range 900 {
			if r.IntN(4) == 0 && s < 600 {
				sim.submit(fmt.Sprintf("small-%d", s), []string{"hot", "t"}[r.IntN(2)], 1+r.IntN(3), float64(1+r.IntN(4)), float64(20+r.IntN(200)), wire.PriorityNormal)
			}
			if s%150 == 20 {
				sim.submit(fmt.Sprintf("whole-%d", s), "t", 2, 16, 60, []wire.Priority{wire.PriorityNormal, wire.PriorityHigh}[r.IntN(2)])
				sim.submit(fmt.Sprintf("limit-%d", s), "hot", 1, 12, 60, wire.PriorityNormal)
				zone := sim.submit(fmt.Sprintf("zone-%d", s), "t", 3, 9, 100, wire.PriorityNormal)
				zone.Job.Zone = "a"
			}
			sim.step()
		}
		if sim.longestAvoidableWait >= 90*time.Second {
			t.Errorf("seed %d: a job waited for %v although a machine had room and its team's quota admitted it", seed, sim.longestAvoidableWait)
		}
	}
}

// Guards against large jobs that never start while small jobs are submitted: tasks for which each machine that
// becomes free is too small, jobs as large as their team's quota, and arrays behind a stream of small jobs.
func TestLargeJobsStartWithinBound(t *testing.T) {
	const bound = 240 * time.Second
	for seed := range uint64(6) {
		r := rand.New(rand.NewPCG(seed, 2))
		sim := newSimulation(map[string]*Team{
			"hot": {QuotaCPUs: 64, GuaranteedCPUs: 16}, "guest": {QuotaCPUs: 1e9, FairShareCPUs: 40}, "t": {QuotaCPUs: 80, GuaranteedCPUs: 40},
		})
		for i := range 10 {
			sim.machines = append(sim.machines, machine(fmt.Sprintf("m-%d", i), "a", false, 16))
		}
		large := map[string]*PendingJob{}
		n := 0
		for s := range 600 {
			// Small jobs of all teams for 1.3 times the cluster's 160 CPUs.
			for work := 0.0; work < 160*1.3; {
				cpus, runS := float64(1+r.IntN(3)), float64(15+r.IntN(30))
				tasks := 1 + r.IntN(4)
				n++
				sim.submit(fmt.Sprintf("small-%d", n), []string{"hot", "guest", "t"}[r.IntN(3)], tasks, cpus, runS, wire.PriorityNormal)
				work += cpus * runS * float64(tasks)
			}
			if s%100 == 50 && s < 350 {
				for id, p := range map[string]*PendingJob{
					fmt.Sprintf("whole-machine-%d", s): sim.submit(fmt.Sprintf("whole-machine-%d", s), "t", 4, 16, 60, wire.PriorityNormal),
					fmt.Sprintf("whole-limit-%d", s):   sim.submit(fmt.Sprintf("whole-limit-%d", s), "hot", 200, 16, 60, wire.PriorityNormal),
					fmt.Sprintf("huge-%d", s):          sim.submit(fmt.Sprintf("huge-%d", s), "guest", 25000, 4, 60, wire.PriorityNormal),
				} {
					large[id] = p
				}
			}
			sim.step()
			for name, team := range sim.teams {
				if team.UsedCPUs > team.QuotaCPUs+roundingTolerance {
					t.Fatalf("seed %d: team %s uses %v CPUs, more than its quota", seed, name, team.UsedCPUs)
				}
			}
		}
		for id := range large {
			if delay, started := sim.startDelays[id]; !started || delay > bound {
				t.Fatalf("seed %d: %s started after %v (started at all: %v)", seed, id, delay, started)
			}
		}
		if sim.longestAvoidableWait >= 90*time.Second {
			t.Errorf("seed %d: a job waited for %v although a machine had room and its team's quota admitted it", seed, sim.longestAvoidableWait)
		}
		// The reservations for large jobs leave little of the machines' time unused.
		if utilisation := sim.completedCPUSeconds / (600 * 160); utilisation < 0.85 {
			t.Errorf("seed %d: completed work used only %.2f of the machines' time", seed, utilisation)
		}
	}
}

// Guards against a starving job that gets all free machines: only one of its tasks goes before other jobs.
func TestStarvingJobGetsOneTask(t *testing.T) {
	starving := pendingJob("starving", wire.PriorityNormal, tuning.StarvingAfter, 8, 4)
	starving.Started = 0
	started := pendingJob("started", wire.PriorityNormal, tuning.StarvingAfter/2, 8, 1)
	started.Started, started.Job.EstimateS, starving.Job.EstimateS = 1, 1, 1000
	starving.Job.Kind, started.Job.Kind = wire.KindArray, wire.KindArray
	got := map[string]int{}
	for _, p := range Schedule(now, []*PendingJob{started, starving}, []*Machine{machine("m", "a", false, 8)}, map[string]*Team{"t": {QuotaCPUs: 100}}) {
		got[p.Pending.Job.ID]++
	}
	if got["starving"] != 1 || got["started"] != 4 {
		t.Errorf("placed %v, want one task of starving and four of started", got)
	}
}

// Guards against two errors. Quota remains reserved for a starving job although the job's first task fits now,
// or the reservation also keeps tasks of other teams from starting.
func TestQuotaReservationForStarvingJob(t *testing.T) {
	starving := pendingJob("starving", wire.PriorityNormal, tuning.StarvingAfter, 1, 8)
	small := pendingJob("small", wire.PriorityNormal, 0, 4, 1)
	other := pendingJob("other", wire.PriorityNormal, 0, 4, 1)
	other.Job.Team = "u"
	teams := map[string]*Team{"t": {UsedCPUs: 4, QuotaCPUs: 10}, "u": {QuotaCPUs: 10}}
	got := map[string]int{}
	for _, p := range Schedule(now, []*PendingJob{starving, small, other}, []*Machine{machine("m", "a", false, 16), machine("n", "a", false, 12)}, teams) {
		got[p.Pending.Job.ID]++
	}
	if got["starving"] != 0 || got["small"] != 0 || got["other"] != 4 {
		t.Errorf("placed %v while quota is reserved for the starving job, want only tasks of other", got)
	}
	teams["t"] = &Team{UsedCPUs: 2, QuotaCPUs: 10}
	clear(got)
	small.Waiting, starving.Waiting = 4, 1
	for _, p := range Schedule(now, []*PendingJob{starving, small}, []*Machine{machine("m", "a", false, 16)}, teams) {
		got[p.Pending.Job.ID]++
	}
	if got["starving"] != 1 {
		t.Errorf("placed %v although the starving job fits", got)
	}
}
