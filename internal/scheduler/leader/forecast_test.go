package leader

import (
	"encoding/json"
	"fmt"
	"testing"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// Guards against room kept for jobs like those that waited for the service's
// very first begin: 70 services at once had a third more machines rented.
func TestInitialBacklogIsSampledAsArrivals(t *testing.T) {
	l, clock := newTestLoop(t)
	l.startedAt = clock.Now()
	take := func(id string) int {
		value, err := json.Marshal(jobs.JobRecord{Job: wire.Job{ID: id, Team: "t", Kind: wire.KindArray, Tasks: 1}})
		if err != nil {
			t.Fatal(err)
		}
		l.loadJobs([]wire.Item{{Key: jobs.KeyJob(id), Value: value, Version: 1}})
		return len(l.arrivals.recent)
	}
	for i := range tuning.FirstStartRushShare {
		if n := take(fmt.Sprintf("job-1%d", i)); n != (i+1)/tuning.FirstStartRushShare {
			t.Errorf("%d arrivals after %d of the initial backlog", n, i+1)
		}
	}
	clock.Advance(tuning.FirstStartRush)
	if n := take("job-2"); n != 2 {
		t.Errorf("%d arrivals after it", n)
	}
	l.leadership.Term, l.startedAt = 2, clock.Now() // a failover has no backlog
	if n := take("job-3"); n != 3 {
		t.Errorf("%d arrivals after a failover", n)
	}
}
