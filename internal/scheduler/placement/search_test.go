package placement

import (
	"fmt"
	"math"
	"testing"
	"time"

	"poppypass/internal/platform/wire"
)

// Guards against a cycle that examines all machines for every placement. It may examine each machine once per
// task shape, to rank it, and then a few per placement.
func TestPlacementExaminesFewMachines(t *testing.T) {
	for _, n := range []int{100, 1000, 10000} {
		examined := 0
		var machines []*Machine
		for i := range n {
			m := machine(fmt.Sprint("m-", i), []string{"a", "b"}[i%2], i%3 == 0, 16)
			m.FetchS = func(string, float64) float64 { examined++; return float64(i % 5) }
			machines = append(machines, m)
		}
		var pending []*PendingJob
		for i := range 50 { // of five shapes
			p := pendingJob(fmt.Sprint("job-", i), wire.PriorityNormal, time.Duration(i)*time.Second, n/10, float64(1+i%5))
			p.Avoid = func(string) bool { examined++; return false }
			pending = append(pending, p)
		}
		placed := len(Schedule(now, pending, machines, map[string]*Team{"t": {QuotaCPUs: math.Inf(1)}}))
		if perPlacement := float64(examined-5*n) / float64(placed); placed < 4*n || perPlacement > 4 {
			t.Errorf("%d machines: %d tasks placed, %.1f machines examined for each", n, placed, perPlacement)
		}
	}
}

// BenchmarkSchedule places four tasks for each machine.
func BenchmarkSchedule(b *testing.B) {
	for _, n := range []int{400, 1000, 4000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			placed := 0
			for b.Loop() {
				b.StopTimer()
				var machines []*Machine
				for i := range n {
					m := machine(fmt.Sprintf("m-%05d", i), []string{"a", "b"}[i%2], i%3 == 0, 16)
					m.FetchS = func(string, float64) float64 { return float64(i % 7) }
					machines = append(machines, m)
				}
				var pending []*PendingJob
				for i := range 40 {
					pending = append(pending, pendingJob(fmt.Sprint("job-", i), wire.PriorityNormal, time.Duration(i)*time.Second, n/10, 4))
				}
				b.StartTimer()
				placed += len(Schedule(now, pending, machines, map[string]*Team{"t": {QuotaCPUs: math.Inf(1)}}))
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(placed), "ns/placement")
		})
	}
}
