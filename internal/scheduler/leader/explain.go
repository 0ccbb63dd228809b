package leader

import (
	"fmt"
	"net/url"
	"strings"
	"time"

	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/placement"
)

// jobIDFromPath returns the job's ID in a URI whose path has the form /v2/runs/ID/suffix. ok is false for other paths
// and invalid IDs.
func jobIDFromPath(uri, suffix string) (id string, ok bool) {
	u, err := url.Parse(uri)
	if err != nil {
		return "", false
	}
	rest, ok := strings.CutPrefix(u.Path, wire.PathJobs+"/")
	if !ok {
		return "", false
	}
	id, ok = strings.CutSuffix(rest, "/"+suffix)
	return id, ok && wire.ValidJobID(id)
}

// explain returns why the waiting tasks of a job do not start. The error is ErrUnknownJob if the job is neither live nor
// known to be finished.
func (l *Loop) explain(id string, now time.Time) (wire.Explanation, error) {
	if status, finished := l.env.FinalStates.Get(id); finished {
		return wire.Explanation{JobStatus: status}, nil
	}
	j := l.jobs.Jobs[id]
	if j == nil {
		return wire.Explanation{}, ErrUnknownJob
	}
	e := wire.Explanation{JobStatus: j.Status(), Waiting: j.Waiting(), Reasons: []string{}}
	if j.CanStart() && e.Waiting > 0 {
		l.addReasons(&e, j, now)
	}
	return e, nil
}

// addReasons adds the reasons why the waiting tasks of a job do not start.
func (l *Loop) addReasons(e *wire.Explanation, j *jobs.Job, now time.Time) {
	add := func(format string, args ...any) { e.Reasons = append(e.Reasons, fmt.Sprintf(format, args...)) }
	admitted, reason := l.subsystems.admit(j, now)
	if admitted < e.Waiting {
		e.NotAdmitted = e.Waiting - admitted
		add("%s", reason)
	}
	if admitted == 0 {
		return
	}
	if l.onProbation(j, now) {
		add("every task of the job failed so far: one is tried at a time, after pauses")
	}
	if now.Before(j.BackoffUntil) {
		add("after failures, no task starts for %d s", 1+int(j.BackoffUntil.Sub(now).Seconds()))
	}
	pending := &placement.PendingJob{
		Job: &j.Job, WaitingSince: j.WaitingSince, Waiting: admitted, Started: j.Allocated + j.Done, EnqueuedAt: j.EnqueuedAt,
		OnProbation: l.onProbation(j, now),
	}
	if pending.Starving(now) {
		add("it has waited %d s to begin: one task of it goes before all else of its priority, and a machine is held for it", int(now.Sub(j.EnqueuedAt).Seconds()))
	}
	switch {
	case placement.TasksWithinQuota(pending, l.teams()) == 0:
		add("the team's tasks use as much as the team's limit allows")
	case pending.Starving(now) || len(e.Reasons) > 0:
	case j.Allocated > 0:
		add("no machine has room for more of its tasks; work of higher priority, or that waited longer, goes first")
	default:
		add("no machine has room for it yet; work of higher priority, or that waited longer, goes first")
	}
}
