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
		item    *PendingJob
		victims []Victim
		used    float64 // by team "other", whose guarantee is 8
		want    string
	}{
		{"the least work lost makes room for a higher priority", item("a", wire.PriorityHigh, time.Second, 1, 4),
			[]Victim{victim(wire.PriorityLow, "t", 4, 20, "x"), victim(wire.PriorityLow, "t", 4, 5, "y")}, 0, "y"},
		{"not for the same priority", item("a", wire.PriorityHigh, time.Second, 1, 4),
			[]Victim{victim(wire.PriorityHigh, "other", 4, 0, "x")}, 8, ""},
		{"what another team borrows is given back", item("a", wire.PriorityLow, time.Second, 1, 4),
			[]Victim{victim(wire.PriorityHigh, "other", 4, 0, "x")}, 9, "x"},
		{"no more than is needed for the guarantee", item("a", wire.PriorityLow, time.Second, 3, 4),
			[]Victim{victim(wire.PriorityHigh, "other", 4, 0, "x"), victim(wire.PriorityHigh, "other", 4, 1, "y")}, 12, "x"},
		{"not beyond the own guarantee", item("a", wire.PriorityHigh, time.Second, 1, 9),
			[]Victim{victim(wire.PriorityLow, "t", 9, 0, "x")}, 0, ""},
		{"nothing is stopped when it would not be enough", item("a", wire.PriorityHigh, time.Second, 1, 8),
			[]Victim{victim(wire.PriorityLow, "t", 4, 0, "x")}, 0, ""},
		{"several tasks make room for a large one", item("a", wire.PriorityHigh, time.Second, 1, 8, other),
			[]Victim{victim(wire.PriorityLow, "t", 4, 1, "x"), victim(wire.PriorityLow, "t", 4, 2, "y")}, 0, "xy"},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := machine("m", "a", false, 0)
			m.Victims = c.victims
			teams := map[string]*Team{"t": {GuaranteedCPUs: 8, QuotaCPUs: 100}, "other": {GuaranteedCPUs: 8, QuotaCPUs: 100, UsedCPUs: c.used}}
			got := ""
			for _, v := range Preempt([]*PendingJob{c.item}, []*Machine{m}, teams) {
				got += v.Ref.(string)
			}
			if got != c.want {
				t.Errorf("stops %q, want %q", got, c.want)
			}
		})
	}
}

// plainPreempt looks at all machines for each task.
func plainPreempt(items []*PendingJob, machines []*Machine, teams map[string]*Team) (out []string) {
	for _, it := range items {
		team, need := teams[it.Job.Team], it.Request()
		for n := 0; it.Waiting > 0 && n < tuning.PreemptBatch && team.fits(need) && team.within(need); n++ {
			var best *Machine
			var chosen []int
			var cost float64
			for _, m := range machines {
				if !m.Total.Fits(need) || !it.Allows(m.Type, m.Zone, m.Spot) {
					continue
				}
				if idx, c, ok := it.victimsOn(m, need, teams); ok && (best == nil || c < cost) {
					best, chosen, cost = m, idx, c
				}
			}
			if best == nil {
				break
			}
			for _, i := range chosen {
				v := best.Victims[i]
				out = append(out, fmt.Sprint(v.Ref, " for ", it.Job.ID))
				best.Free.Sub(Resources{v.Job.CPUs, v.Job.GPUs, v.Job.MemoryGB}, -1)
				teams[v.Job.Team].add(Resources{-v.Job.CPUs, -v.Job.GPUs, 0})
			}
			slices.Sort(chosen)
			for _, i := range slices.Backward(chosen) {
				best.Victims = slices.Delete(best.Victims, i, i+1)
			}
			it.take(best, need, team)
		}
	}
	return out
}

// Guards against offers that are remembered and do not hold any more.
func TestPreemptionDecidesLikeThePlainOne(t *testing.T) {
	stopped := 0
	for seed := range uint64(1000) {
		world := func() (items []*PendingJob, machines []*Machine, teams map[string]*Team) {
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
					v := item(fmt.Sprint("v", i, "-", k), []wire.Priority{wire.PriorityProduction, wire.PriorityNormal, wire.PriorityLow}[r.IntN(3)], 0, 1, float64(1+r.IntN(4)),
						func(j *wire.Job) { j.Team = names[r.IntN(3)] })
					teams[v.Job.Team].UsedCPUs += v.Job.CPUs
					m.Victims = append(m.Victims, Victim{Job: v.Job, Cost: float64(r.IntN(50)), Ref: v.Job.ID})
				}
				machines = append(machines, m)
			}
			for i := range 1 + r.IntN(5) {
				items = append(items, item(fmt.Sprint("job-", i), []wire.Priority{wire.PriorityProduction, wire.PriorityNormal}[r.IntN(2)], 0, 1+r.IntN(10), float64(1+r.IntN(5)),
					func(j *wire.Job) { j.Team, j.Spread, j.Spot = names[r.IntN(3)], r.IntN(3) == 0, r.IntN(2) == 0 }))
			}
			return items, machines, teams
		}
		var got []string
		for _, v := range Preempt(world()) {
			got = append(got, fmt.Sprint(v.Ref, " for ", v.Preemptor.ID))
		}
		if want := plainPreempt(world()); fmt.Sprint(got) != fmt.Sprint(want) {
			t.Fatalf("seed %d: stopped %v\nwant %v", seed, got, want)
		}
		stopped += len(got)
	}
	if stopped < 1000 {
		t.Errorf("%d were stopped in all: too few to tell", stopped)
	}
}

// BenchmarkPreempt has 20 items find room for eight tasks each on full machines.
func BenchmarkPreempt(b *testing.B) {
	for _, n := range []int{400, 4000} {
		world := func() (items []*PendingJob, machines []*Machine, teams map[string]*Team) {
			for i := range n {
				m := machine(fmt.Sprintf("m-%05d", i), "a", false, 16)
				m.Free.CPUs = 0
				for k := range 4 {
					m.Victims = append(m.Victims, Victim{Job: &wire.Job{Team: "u", Priority: wire.PriorityNormal, CPUs: 4}, Cost: float64((i*7 + k) % 50), Ref: k})
				}
				machines = append(machines, m)
			}
			for i := range 20 {
				items = append(items, item(fmt.Sprint("job-", i), wire.PriorityHigh, 0, 8, 4))
			}
			return items, machines, map[string]*Team{"t": {GuaranteedCPUs: 1e6, QuotaCPUs: 1e6}, "u": {UsedCPUs: float64(16 * n), QuotaCPUs: 1e6}}
		}
		b.Run(fmt.Sprint("plain/", n), func(b *testing.B) {
			for b.Loop() {
				plainPreempt(world())
			}
		})
		b.Run(fmt.Sprint("offers/", n), func(b *testing.B) {
			for b.Loop() {
				Preempt(world())
			}
		})
	}
}
