package leader

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/placement"
)

// jobIDFromPath reads the job's id from a path of the form /v2/runs/ID/end.
func jobIDFromPath(uri, end string) (id string, ok bool) {
	u, err := url.Parse(uri)
	if err != nil {
		return "", false
	}
	rest, ok := strings.CutPrefix(u.Path, wire.PathJobs+"/")
	if !ok {
		return "", false
	}
	id, ok = strings.CutSuffix(rest, "/"+end)
	return id, ok && wire.ValidJobID(id)
}

// explain says what the waiting tasks of a job wait for.
func (l *Loop) explain(id string, now time.Time) (status int, body any) {
	if s, over := l.env.FinalStates.Get(id); over {
		return http.StatusOK, wire.Explanation{JobStatus: s}
	}
	j := l.jobs.Jobs[id]
	if j == nil {
		return http.StatusNotFound, wire.Error{Error: "no such live job"}
	}
	r := wire.Explanation{JobStatus: j.Status(), Waiting: j.Waiting(), Reasons: []string{}}
	add := func(format string, args ...any) { r.Reasons = append(r.Reasons, fmt.Sprintf(format, args...)) }
	if !j.CanStart() || r.Waiting == 0 {
		return http.StatusOK, r
	}
	n, held := l.admissible(j, now)
	if n < r.Waiting {
		r.Held = r.Waiting - n
		add("%s", held)
	}
	if n == 0 {
		return http.StatusOK, r
	}
	if l.onTrial(j, now) {
		add("every task of the job failed so far: one is tried at a time, after pauses")
	}
	if now.Before(j.BackoffUntil) {
		add("after failures, no task starts for %d s", 1+int(j.BackoffUntil.Sub(now).Seconds()))
	}
	it := &placement.PendingJob{Job: &j.Job, WaitingSince: j.WaitingSince, Waiting: n, Started: j.Allocated + j.Done, EnqueuedAt: j.EnqueuedAt, OnProbation: l.onTrial(j, now)}
	if it.Starving(now) {
		add("it has waited %d s to begin: one task of it goes before all else of its priority, and a machine is held for it", int(now.Sub(j.EnqueuedAt).Seconds()))
	}
	switch placed := j.Allocated > 0; {
	case placement.TasksWithinQuota(it, l.teams()) == 0:
		add("the team's tasks use as much as the team's limit allows")
	case it.Starving(now):
	case len(r.Reasons) == 0 && placed:
		add("no machine has room for more of its tasks; work of higher priority, or that waited longer, goes first")
	case len(r.Reasons) == 0:
		add("no machine has room for it yet; work of higher priority, or that waited longer, goes first")
	}
	return http.StatusOK, r
}
