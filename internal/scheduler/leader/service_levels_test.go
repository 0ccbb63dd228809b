package leader

import (
	"fmt"
	"testing"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// Operators see who is served: the largest tenth of a class beside the others, and for how long the oldest waits to begin.
func TestServiceLevelsTellLargestJobsOfAClass(t *testing.T) {
	l, clock := newTestLoop(t)
	var last *jobs.Job
	for i := range 20 {
		last = l.addPending(t, wire.Job{ID: fmt.Sprintf("job-%d", i), Team: "t", Class: "c", Kind: wire.KindArray, Tasks: 1 + i%10, CPUs: 4})
		p := l.levels.jobArrived(last)
		if large := i >= tuning.SizesMin-1 && i%10 == 9; p.large != large {
			t.Errorf("job %d of %d tasks: large %v", i, 1+i%10, p.large)
		}
	}
	clock.Advance(time.Minute)
	if got := int(l.oldestWaits(clock.Now())["c"]); got != 60 {
		t.Errorf("the oldest waits for %v s", got)
	}
	if p := l.levels.jobBegan(last); p == nil || !p.large || l.levels.jobBegan(last) != nil {
		t.Error("it does not begin once")
	}
	if l.levels.jobFinished(last.ID); l.levels.jobBegan(last) != nil {
		t.Error("remembered though it is over")
	}
}
