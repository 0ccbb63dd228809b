package placement

import (
	"testing"

	"poppypass/internal/platform/wire"
)

func TestLatencySensitiveWorkStartsSoonest(t *testing.T) {
	m, n := machine("m", "a", false, 16), machine("n", "a", false, 4)
	m.FetchS = func(string, float64) float64 { return 7 }
	n.FetchS = func(string, float64) float64 { return 2 }
	n.Price = 3
	sensitive, batch := pendingJob("a", wire.PriorityHigh, 0, 1, 4), pendingJob("a", wire.PriorityHigh, 0, 1, 4)
	sensitive.LatencySensitive = true
	if got := placements([]*PendingJob{sensitive}, []*Machine{m, n}, 100); got != "a:n" {
		t.Errorf("latency-sensitive work: placed %q, want the machine n that fetches faster", got)
	}
	if got := placements([]*PendingJob{batch}, []*Machine{m, n}, 100); got != "a:m" {
		t.Errorf("other work: placed %q, want the cheaper machine m", got)
	}
}

func TestSpreadCountsTasksPlacedEarlier(t *testing.T) {
	p := pendingJob("a", wire.PriorityHigh, 0, 4, 1, func(j *wire.Job) { j.Spread = true })
	p.Waiting, p.Zones = 2, map[string]int{"a": 2}
	if got := placements([]*PendingJob{p}, []*Machine{machine("m", "a", false, 16)}, 100); got != "" {
		t.Errorf("placed %q in a zone that has half of the tasks already", got)
	}
}
