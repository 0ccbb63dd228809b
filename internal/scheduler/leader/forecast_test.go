package leader

import (
	"encoding/json"
	"fmt"
	"testing"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// Guards against a forecast that treats all jobs that waited for the scheduler's very first start as usual arrivals:
// when 70 services arrived at once, a third more machines were rented for further jobs like them.
func TestInitialBacklogIsSampledAsArrivals(t *testing.T) {
	l, clock := newTestLoop(t)
	l.startedAt = clock.Now()
	loadJob := func(id string) int {
		value, err := json.Marshal(jobs.JobRecord{Job: wire.Job{ID: id, Team: "t", Kind: wire.KindArray, Tasks: 1}})
		if err != nil {
			t.Fatal(err)
		}
		l.loadJobs([]wire.Item{{Key: jobs.KeyJob(id), Value: value, Version: 1}})
		return len(l.arrivals.recent)
	}
	for i := range tuning.InitialBacklogDivisor {
		if n := loadJob(fmt.Sprintf("job-1%d", i)); n != (i+1)/tuning.InitialBacklogDivisor {
			t.Errorf("%d arrivals counted after %d jobs of the initial backlog", n, i+1)
		}
	}
	clock.Advance(tuning.InitialBacklogWindow)
	if n := loadJob("job-2"); n != 2 {
		t.Errorf("%d arrivals counted after one more job that was not in the backlog, want 2", n)
	}
	l.leadership.Term, l.startedAt = 2, clock.Now() // after a failover no job counts as initial backlog
	if n := loadJob("job-3"); n != 3 {
		t.Errorf("%d arrivals counted after one more job after a failover, want 3", n)
	}
}
