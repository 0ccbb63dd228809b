package leader

import (
	"encoding/json"
	"testing"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// Guards against a job that is stored, known to its user, and not in memory here: it would never run.
func TestStoredJobsMissingInMemoryAreFound(t *testing.T) {
	l, clock := newTestLoop(t)
	known := l.addPending(t, wire.Job{ID: "job-1", Team: "t", Class: "c", Kind: wire.KindArray, Tasks: 1, CPUs: 1})
	item := func(id string) wire.Item {
		value, err := json.Marshal(jobs.JobRecord{Job: wire.Job{ID: id, Team: "t", Class: "c", Kind: wire.KindArray, Tasks: 2, CPUs: 1}, AtMS: clock.Now().UnixMilli()})
		if err != nil {
			t.Fatal(err)
		}
		return wire.Item{Key: jobs.KeyJob(id), Value: value, Version: 3}
	}
	l.loading.watchedRevision = 3
	counted := &missingJobsCounter{}
	l.env.Observer = counted
	l.env.FinalStates.Add(wire.JobStatus{ID: "job-3", State: wire.StateDone}) // it ended after it was read
	l.cycle.changed = false
	l.reconcileJobs([]wire.Item{item("job-1"), item("job-2"), item("job-3"), {Key: jobs.KeyJob("job-4"), Value: []byte("{")}})
	if l.jobs.Jobs["job-2"] == nil || l.jobs.Jobs["job-3"] != nil || l.jobs.Jobs["job-1"] != known || !l.cycle.changed {
		t.Errorf("known: %v, changed %v", len(l.jobs.Jobs), l.cycle.changed)
	}
	if counted.found != 1 {
		t.Errorf("%d are counted as missing", counted.found)
	}
	// The listing overtakes the watch: the job is loaded, and was not missing.
	early := item("job-5")
	early.Version = l.loading.watchedRevision + 1
	l.reconcileJobs([]wire.Item{early})
	if l.jobs.Jobs["job-5"] == nil || counted.found != 1 {
		t.Errorf("%d are counted as missing, with one that the watch has yet to tell", counted.found)
	}
	// One that the watch should have told long ago was missing; but not where the process stood still, and has no right to act any more.
	late, still := item("job-6"), item("job-7")
	late.Version, still.Version = l.loading.watchedRevision+2, l.loading.watchedRevision+3
	clock.Advance(tuning.JobWatch + time.Second)
	l.reconcileJobs([]wire.Item{still})
	if l.jobs.Jobs["job-7"] == nil || counted.found != 1 {
		t.Errorf("%d are counted as missing, with one that came as the process stood still", counted.found)
	}
	l.env.Valid = func(term uint64) bool { return term == l.leadership.Term }
	l.reconcileJobs([]wire.Item{late})
	if l.jobs.Jobs["job-6"] == nil || counted.found != 2 {
		t.Errorf("%d are counted as missing, with one that the watch never told", counted.found)
	}
}

// missingJobsCounter counts stored jobs that were missing.
type missingJobsCounter struct {
	Observer
	found int
}

func (c *missingJobsCounter) MissingJobsFound(n int) { c.found += n }

func (c *missingJobsCounter) JobArrived(string, string, string) {}
