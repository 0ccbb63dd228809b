package leader

import (
	"fmt"
	"testing"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// Metrics distinguish the largest tenth of a class's jobs from the others, and report how long the oldest job has waited
// to begin.
func TestServiceLevelsDistinguishLargestJobsOfAClass(t *testing.T) {
	l, clock := newTestLoop(t)
	var last *jobs.Job
	for i := range 20 {
		last = l.addPending(t, wire.Job{ID: fmt.Sprintf("job-%d", i), Team: "t", Class: "c", Kind: wire.KindArray, Tasks: 1 + i%10, CPUs: 4})
		live := l.levels.jobArrived(last)
		if large := i >= tuning.JobSizesMin-1 && i%10 == 9; live.large != large {
			t.Errorf("job %d of %d tasks: large is %v", i, 1+i%10, live.large)
		}
	}
	clock.Advance(time.Minute)
	if got := int(l.oldestWaits(clock.Now())["c"]); got != 60 {
		t.Errorf("the oldest job has waited for %v s, want 60", got)
	}
	if live := l.levels.jobBegan(last); live == nil || !live.large || l.levels.jobBegan(last) != nil {
		t.Error("the large job is not reported as begun exactly once")
	}
	if l.levels.jobFinished(last.ID); l.levels.jobBegan(last) != nil {
		t.Error("a finished job is reported as begun")
	}
}
