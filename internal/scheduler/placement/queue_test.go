package placement

import (
	"math"
	"testing"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// Guards against a large array that fills every free slot of its team's quota as its own tasks end, while the
// team's small jobs wait behind it.
func TestArrayWithQuotaYieldsAfterFairShare(t *testing.T) {
	large, small := pendingJob("a", wire.PriorityHigh, 9*time.Second, 20, 4), pendingJob("b", wire.PriorityHigh, 0, 1, 4)
	large.Started = 2
	if got := placements([]*PendingJob{large, small}, []*Machine{machine("m", "a", false, 8)}, 8); got != "b:m a:m" {
		t.Errorf("placed %q, want the small job b first", got)
	}
	for started, want := range []string{"a:m", "a:m", "b:m"} { // up to a quarter of the quota, the time waited decides
		large, small := pendingJob("a", wire.PriorityHigh, 9*time.Second, 20, 4), pendingJob("b", wire.PriorityHigh, 0, 1, 4)
		large.Started = started
		if got := placements([]*PendingJob{large, small}, []*Machine{machine("m", "a", false, 4)}, 32); got != want {
			t.Errorf("with %d tasks started: placed %q", started, got)
		}
	}
}

// Guards against a backlog that makes every job late. Of arrays that have waited equally long, the one with
// the least work goes first, until the others have waited long relative to their work.
func TestHighestResponseRatioGoesFirst(t *testing.T) {
	array := func(runS float64) func(*wire.Job) {
		return func(j *wire.Job) { j.Kind, j.EstimateS = wire.KindArray, runS }
	}
	for _, c := range []struct {
		name    string
		pending []*PendingJob
		want    string
	}{
		{"the least work goes first after similar waits", []*PendingJob{pendingJob("a", wire.PriorityNormal, 9*time.Second, 3, 4, array(40)), pendingJob("b", wire.PriorityNormal, 8*time.Second, 1, 4, array(40))}, "b:m a:m"},
		{"a wait that is long relative to the work goes first", []*PendingJob{pendingJob("a", wire.PriorityNormal, 30*time.Second, 3, 4, array(40)), pendingJob("b", wire.PriorityNormal, 8*time.Second, 1, 4, array(40))}, "a:m a:m"},
		{"a shorter run time is less work", []*PendingJob{pendingJob("a", wire.PriorityNormal, 9*time.Second, 2, 4, array(80)), pendingJob("b", wire.PriorityNormal, 8*time.Second, 2, 4, array(40))}, "b:m b:m"},
		{"any other kind goes before arrays", []*PendingJob{pendingJob("a", wire.PriorityNormal, 9*time.Second, 2, 4, array(40)), pendingJob("b", wire.PriorityNormal, 0, 1, 4)}, "b:m a:m"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := placements(c.pending, []*Machine{machine("m", "a", false, 8)}, 100); got != c.want {
				t.Errorf("placed %q, want %q", got, c.want)
			}
		})
	}
}

// Guards against hundreds of tiny jobs that wait for minutes behind a huge array of the same team. The team has
// no quota, so the array never had its fair share, and it rose above the tiny jobs by aging.
func TestArrayWithoutQuotaYieldsAfterFairShare(t *testing.T) {
	for _, c := range []struct {
		name    string
		started int
		want    string
	}{{"within its fair share", 1, "a:m"}, {"beyond its fair share", 2, "b:m"}} {
		t.Run(c.name, func(t *testing.T) {
			huge, tiny := pendingJob("a", wire.PriorityLow, tuning.PriorityAgingAfter, 25000, 4), pendingJob("b", wire.PriorityLow, 0, 1, 4)
			huge.Started = c.started
			placed := Schedule(now, []*PendingJob{huge, tiny}, []*Machine{machine("m", "a", false, 4)}, map[string]*Team{"t": {QuotaCPUs: math.Inf(1), FairShareCPUs: 8}})
			if got := placed[0].Pending.Job.ID + ":" + placed[0].Machine.Name; len(placed) != 1 || got != c.want {
				t.Errorf("with %d tasks started: placed %s", c.started, got)
			}
		})
	}
}

// Guards against a lost task that goes to the end of the queue, although its job was submitted long ago and is
// nearly done.
func TestRequeuedTaskWaitsSinceJobSubmission(t *testing.T) {
	lost, fresh := pendingJob("b", wire.PriorityNormal, time.Second, 1, 4), pendingJob("a", wire.PriorityNormal, 100*time.Second, 40, 4)
	lost.Job.EstimateS, fresh.Job.EstimateS = 60, 60
	lost.EnqueuedAt = now.Add(-tuning.PriorityAgingAfter)
	pending := []*PendingJob{fresh, lost}
	if Sort(pending, map[string]*Team{}, now); pending[0] != lost {
		t.Error("a task lost a second ago is sorted behind an array that has not started")
	}
	if EffectivePriority(lost, map[string]*Team{}, now) != wire.PriorityNormal.Level()+1 {
		t.Error("the wait of the lost task's job does not count from its submission: its priority has not risen")
	}
}
