package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"poppypass/internal/platform/wire"
)

// A dry run, which reuses its rankings, gives the same answers as a fresh cycle for each question, whatever
// was placed before.
func TestDryRunMatchesFreshCycles(t *testing.T) {
	for seed := range uint64(500) {
		simulate := func(tryPlace func(r *rand.Rand, machines []*Machine, pending []*PendingJob, excluded *Machine) bool) (out string) {
			r := rand.New(rand.NewPCG(seed, 2))
			var machines []*Machine
			for i := range 2 + r.IntN(20) {
				m := machine(fmt.Sprintf("m-%02d", i), []string{"a", "b"}[r.IntN(2)], r.IntN(2) == 0, float64(r.IntN(17)))
				m.Price = float64(r.IntN(3))
				machines = append(machines, m)
			}
			for round := range 20 {
				var pending []*PendingJob
				for i := range 1 + r.IntN(3) {
					pending = append(pending, pendingJob(fmt.Sprint("job-", round, "-", i), wire.PriorityNormal, time.Duration(i)*time.Second, 1+r.IntN(4), float64(1+r.IntN(4)),
						func(j *wire.Job) { j.Spread, j.Spot = r.IntN(3) == 0, r.IntN(2) == 0 }))
				}
				var excluded *Machine
				if i := r.IntN(len(machines)); r.IntN(2) == 0 && len(machines) > 1 {
					excluded = machines[i]
				}
				fits := tryPlace(r, machines, pending, excluded)
				if fits && excluded != nil {
					machines = slices.DeleteFunc(slices.Clone(machines), func(m *Machine) bool { return m == excluded })
				}
				out += fmt.Sprint(fits, " ")
			}
			for _, m := range machines {
				out += fmt.Sprint(m.Name, m.Free.CPUs, " ")
			}
			return out
		}
		var dryRun *DryRun
		got := simulate(func(_ *rand.Rand, machines []*Machine, pending []*PendingJob, excluded *Machine) bool {
			if dryRun == nil {
				dryRun = NewDryRun(machines)
			}
			return dryRun.TryPlace(now, pending, excluded)
		})
		want := simulate(func(_ *rand.Rand, machines []*Machine, pending []*PendingJob, excluded *Machine) bool {
			waiting, teams := 0, map[string]*Team{"t": {QuotaCPUs: math.Inf(1), QuotaGPUs: math.Inf(1)}}
			for _, p := range pending {
				waiting += p.Waiting
			}
			placed := Schedule(now, pending, slices.DeleteFunc(slices.Clone(machines), func(m *Machine) bool { return m == excluded }), teams)
			if len(placed) == waiting {
				return true
			}
			for _, p := range placed {
				p.Machine.Free.Add(p.Pending.Request())
			}
			return false
		})
		if got != want {
			t.Fatalf("seed %d: answers and free CPUs %s\nwant %s", seed, got, want)
		}
	}
}

// BenchmarkDryRun tests a sixteenth of the machines for whether their tasks fit on the others: once with a
// cycle per machine, and once with a single dry run.
func BenchmarkDryRun(b *testing.B) {
	for _, n := range []int{400, 1000, 4000} {
		cluster := func() (machines []*Machine, jobsOn func(i int) []*PendingJob) {
			for i := range n {
				m := machine(fmt.Sprintf("m-%05d", i), []string{"a", "b"}[i%2], i%3 == 0, float64(i%5))
				m.FetchS = func(string, float64) float64 { return float64(i % 7) }
				machines = append(machines, m)
			}
			return machines, func(i int) []*PendingJob {
				return []*PendingJob{pendingJob(fmt.Sprint("job-", i), wire.PriorityNormal, 0, 4, 1+float64(i%4))}
			}
		}
		b.Run(fmt.Sprint("cycles/", n), func(b *testing.B) {
			for b.Loop() {
				machines, jobsOn := cluster()
				for i := range n / 16 {
					others := slices.DeleteFunc(slices.Clone(machines), func(m *Machine) bool { return m == machines[i] })
					Schedule(now, jobsOn(i), others, map[string]*Team{"t": {QuotaCPUs: math.Inf(1)}})
				}
			}
		})
		b.Run(fmt.Sprint("dryrun/", n), func(b *testing.B) {
			for b.Loop() {
				machines, jobsOn := cluster()
				dryRun := NewDryRun(machines)
				for i := range n / 16 {
					dryRun.TryPlace(now, jobsOn(i), machines[i])
				}
			}
		})
	}
}
