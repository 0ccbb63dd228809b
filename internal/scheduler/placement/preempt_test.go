package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

func TestPreempt(t *testing.T) {
	other := func(j *wire.Job) { j.Team = "other" }
	victim := func(p wire.Priority, team string, cpus, cost float64, name string) Victim {
		return Victim{Job: &wire.Job{Team: team, Priority: p, CPUs: cpus}, Cost: cost, Ref: name}
	}
	for _, c := range []struct {
		name    string
		job     *PendingJob
		victims []Victim
		used    float64 // by team "other", whose guarantee is 8
		want    string
	}{
		{"the least work lost makes room for a higher priority", pendingJob("a", wire.PriorityHigh, time.Second, 1, 4),
			[]Victim{victim(wire.PriorityLow, "t", 4, 20, "x"), victim(wire.PriorityLow, "t", 4, 5, "y")}, 0, "y"},
		{"a task of the same priority is not preempted", pendingJob("a", wire.PriorityHigh, time.Second, 1, 4),
			[]Victim{victim(wire.PriorityHigh, "other", 4, 0, "x")}, 8, ""},
		{"what another team borrows is preempted", pendingJob("a", wire.PriorityLow, time.Second, 1, 4),
			[]Victim{victim(wire.PriorityHigh, "other", 4, 0, "x")}, 9, "x"},
		{"no more tasks are preempted than the guarantee needs", pendingJob("a", wire.PriorityLow, time.Second, 3, 4),
			[]Victim{victim(wire.PriorityHigh, "other", 4, 0, "x"), victim(wire.PriorityHigh, "other", 4, 1, "y")}, 12, "x"},
		{"a task beyond its team's guarantee preempts nothing", pendingJob("a", wire.PriorityHigh, time.Second, 1, 9),
			[]Victim{victim(wire.PriorityLow, "t", 9, 0, "x")}, 0, ""},
		{"nothing is preempted if that would not make enough room", pendingJob("a", wire.PriorityHigh, time.Second, 1, 8),
			[]Victim{victim(wire.PriorityLow, "t", 4, 0, "x")}, 0, ""},
		{"several tasks make room for a large one", pendingJob("a", wire.PriorityHigh, time.Second, 1, 8, other),
			[]Victim{victim(wire.PriorityLow, "t", 4, 1, "x"), victim(wire.PriorityLow, "t", 4, 2, "y")}, 0, "xy"},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := machine("m", "a", false, 0)
			m.Victims = c.victims
			teams := map[string]*Team{"t": {GuaranteedCPUs: 8, QuotaCPUs: 100}, "other": {GuaranteedCPUs: 8, QuotaCPUs: 100, UsedCPUs: c.used}}
			got := ""
			for _, v := range Preempt([]*PendingJob{c.job}, []*Machine{m}, teams) {
				got += v.Ref.(string)
			}
			if got != c.want {
				t.Errorf("preempted %q, want %q", got, c.want)
			}
		})
	}
}

// referencePreempt is Preempt without stored victim sets: it examines all machines for each task.
func referencePreempt(pending []*PendingJob, machines []*Machine, teams map[string]*Team) (out []string) {
	for _, job := range pending {
		team, request := teams[job.Job.Team], job.Request()
		for n := 0; job.Waiting > 0 && n < tuning.PreemptBatchTasks && team.withinQuota(request) && team.withinGuarantee(request); n++ {
			var best *Machine
			var chosen []int
			var cost float64
			for _, m := range machines {
				if !m.Total.Fits(request) || !job.Allows(m.Type, m.Zone, m.Spot) {
					continue
				}
				if victims, victimsCost, ok := job.victimsOn(m, request, teams); ok && (best == nil || victimsCost < cost) {
					best, chosen, cost = m, victims, victimsCost
				}
			}
			if best == nil {
				break
			}
			for _, i := range chosen {
				v := best.Victims[i]
				out = append(out, fmt.Sprint(v.Ref, " for ", job.Job.ID))
				best.Free.Add(v.request())
				teams[v.Job.Team].release(v.request())
			}
			slices.Sort(chosen)
			for _, i := range slices.Backward(chosen) {
				best.Victims = slices.Delete(best.Victims, i, i+1)
			}
			job.assign(best, request, team)
		}
	}
	return out
}

// Guards against stored victim sets that are out of date.
func TestPreemptMatchesReference(t *testing.T) {
	preempted := 0
	for seed := range uint64(1000) {
		cluster := func() (pending []*PendingJob, machines []*Machine, teams map[string]*Team) {
			r := rand.New(rand.NewPCG(seed, 3))
			names := []string{"t", "u", "v"}
			teams = map[string]*Team{}
			for _, name := range names {
				teams[name] = &Team{GuaranteedCPUs: float64(5 + r.IntN(30)), QuotaCPUs: 80, GuaranteedGPUs: 9, QuotaGPUs: 9}
			}
			for i := range 1 + r.IntN(12) {
				m := machine(fmt.Sprintf("m-%02d", i), []string{"a", "b"}[r.IntN(2)], r.IntN(2) == 0, 16)
				m.Free.CPUs = float64(r.IntN(3))
				for k := range r.IntN(6) {
					v := pendingJob(fmt.Sprint("v", i, "-", k), []wire.Priority{wire.PriorityProduction, wire.PriorityNormal, wire.PriorityLow}[r.IntN(3)], 0, 1, float64(1+r.IntN(4)),
						func(j *wire.Job) { j.Team = names[r.IntN(3)] })
					teams[v.Job.Team].UsedCPUs += v.Job.CPUs
					m.Victims = append(m.Victims, Victim{Job: v.Job, Cost: float64(r.IntN(50)), Ref: v.Job.ID})
				}
				machines = append(machines, m)
			}
			for i := range 1 + r.IntN(5) {
				pending = append(pending, pendingJob(fmt.Sprint("job-", i), []wire.Priority{wire.PriorityProduction, wire.PriorityNormal}[r.IntN(2)], 0, 1+r.IntN(10), float64(1+r.IntN(5)),
					func(j *wire.Job) { j.Team, j.Spread, j.Spot = names[r.IntN(3)], r.IntN(3) == 0, r.IntN(2) == 0 }))
			}
			return pending, machines, teams
		}
		var got []string
		for _, v := range Preempt(cluster()) {
			got = append(got, fmt.Sprint(v.Ref, " for ", v.Preemptor.ID))
		}
		if want := referencePreempt(cluster()); fmt.Sprint(got) != fmt.Sprint(want) {
			t.Fatalf("seed %d: preempted %v\nwant %v", seed, got, want)
		}
		preempted += len(got)
	}
	if preempted < 1000 {
		t.Errorf("only %d tasks were preempted over all seeds, want at least 1000 for a meaningful comparison", preempted)
	}
}

// BenchmarkPreempt makes room for 20 jobs of eight tasks each on full machines.
func BenchmarkPreempt(b *testing.B) {
	for _, n := range []int{400, 4000} {
		cluster := func() (pending []*PendingJob, machines []*Machine, teams map[string]*Team) {
			for i := range n {
				m := machine(fmt.Sprintf("m-%05d", i), "a", false, 16)
				m.Free.CPUs = 0
				for k := range 4 {
					m.Victims = append(m.Victims, Victim{Job: &wire.Job{Team: "u", Priority: wire.PriorityNormal, CPUs: 4}, Cost: float64((i*7 + k) % 50), Ref: k})
				}
				machines = append(machines, m)
			}
			for i := range 20 {
				pending = append(pending, pendingJob(fmt.Sprint("job-", i), wire.PriorityHigh, 0, 8, 4))
			}
			return pending, machines, map[string]*Team{"t": {GuaranteedCPUs: 1e6, QuotaCPUs: 1e6}, "u": {UsedCPUs: float64(16 * n), QuotaCPUs: 1e6}}
		}
		b.Run(fmt.Sprint("reference/", n), func(b *testing.B) {
			for b.Loop() {
				referencePreempt(cluster())
			}
		})
		b.Run(fmt.Sprint("preempt/", n), func(b *testing.B) {
			for b.Loop() {
				Preempt(cluster())
			}
		})
	}
}
