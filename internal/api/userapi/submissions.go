package userapi

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"poppypass/internal/clients/statestore"
	"poppypass/internal/cluster/peerrpc"
	"poppypass/internal/platform/httpjson"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/autoscale"
	"poppypass/internal/scheduler/jobs"
)

// ServeSubmit accepts a job: it is accepted once it is stored. Any member may
// store it, so that accepting goes on while nobody leads.
func (d *Handler) ServeSubmit(w http.ResponseWriter, r *http.Request) {
	body, err := httpjson.ReadBody(r, wire.MaxBody)
	if err != nil {
		httpjson.WriteError(w, http.StatusBadRequest, httpjson.OneLine(err))
		return
	}
	if d.refuseIfIsolated(w) {
		return
	}
	begun := d.clock.Now()
	// One deadline covers all that is tried, however many members there are.
	ctx, cancel := context.WithTimeout(r.Context(), tuning.SubmitTotal)
	defer cancel()
	a := d.accept(ctx, body)
	d.log.Debug("submission answered", "status", a.status, "job", a.job.ID, "took_ms", d.clock.Since(begun).Milliseconds())
	if a.status >= http.StatusBadRequest {
		httpjson.WriteError(w, a.status, a.text)
		return
	}
	httpjson.Write(w, a.status, a.job)
}

// submission is the answer to one.
type submission struct {
	status int
	job    wire.Accepted
	text   string // what is wrong, above 400
}

func (s submission) conclusive() bool { return s.status != http.StatusServiceUnavailable }

// accept has this member store a submission and, when that fails or takes
// long, another one: the state service may refuse this member alone or not
// answer it. Whoever is second finds the job stored. The first answer that
// decides counts; without any it is our own.
func (d *Handler) accept(ctx context.Context, body []byte) submission {
	ownAnswer := make(chan submission, 1)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, tuning.SubmitWait)
		defer cancel()
		ownAnswer <- d.submit(ctx, body)
	}()
	if d.peers.Alone() {
		return <-ownAnswer
	}
	hedge := d.clock.NewTimer(tuning.SubmitHedge)
	defer hedge.Stop()
	var own submission
	select {
	case own = <-ownAnswer:
		ownAnswer = nil
	case <-hedge.Chan():
	}
	if own.status != 0 && own.conclusive() {
		return own
	}
	peerAnswer := make(chan submission, 1)
	go func() { peerAnswer <- d.relaySubmission(ctx, body) }()
	for ownAnswer != nil || peerAnswer != nil {
		var got submission
		select {
		case got = <-ownAnswer:
			own, ownAnswer = got, nil
		case got = <-peerAnswer:
			peerAnswer = nil
		}
		if got.conclusive() {
			return got
		}
	}
	return own
}

func accepted(status int, id string, state wire.JobState) submission {
	return submission{status: status, job: wire.Accepted{ID: id, State: state}}
}

func refused(status int, text string) submission { return submission{status: status, text: text} }

// AnswerRelayedSubmission accepts a job that another member could not store.
func (d *Handler) AnswerRelayedSubmission(ctx context.Context, body []byte) peerrpc.Response {
	a := d.submit(ctx, body)
	return peerrpc.Response{Status: a.status, Job: wire.JobStatus{State: a.job.State}, Payload: []byte(a.text)}
}

// submit accepts a job here, or says why it is not accepted.
func (d *Handler) submit(ctx context.Context, body []byte) submission {
	job, err := wire.ParseJob(body)
	if err != nil {
		return refused(http.StatusBadRequest, httpjson.OneLine(err))
	}
	if d.accounts {
		if err := job.ReadAccount(body); err != nil {
			return refused(http.StatusBadRequest, httpjson.OneLine(err))
		}
	}
	if s, ok := d.finalStates.Get(job.ID); ok {
		return accepted(http.StatusOK, s.ID, s.State)
	}
	types := d.types()
	if types == nil {
		return refused(http.StatusServiceUnavailable, "the machine types are not known yet")
	}
	reason := d.infeasible(job, types)
	if reason == "" && (d.peers.LeaderFull() || d.memoryFull != nil && d.memoryFull()) {
		return refused(http.StatusServiceUnavailable, "there is no memory for more jobs now; submit it again")
	}
	if reason == "" {
		value, err := json.Marshal(jobs.JobRecord{Job: *job, AtMS: d.clock.Now().UnixMilli()})
		if err != nil || float64(len(value)) > d.settings.Cluster.State.ValueKB*1024 {
			return refused(http.StatusBadRequest, "the job's description is too long")
		}
		_, err = d.store.Commit(ctx, wire.Txn{
			If:   []wire.Condition{{Key: jobs.KeyJob(job.ID)}, {Key: jobs.KeyFinalState(job.ID)}},
			Then: []wire.Change{{Put: jobs.KeyJob(job.ID), Value: value}},
		})
		if err == nil {
			d.log.Debug("accepted", "job", job.ID, "class", job.Class, "team", job.Team, "tasks", job.Tasks)
			return accepted(http.StatusCreated, job.ID, wire.StateQueued)
		}
		var conflict *statestore.ConflictError
		if !errors.As(err, &conflict) {
			d.log.Debug("submission not stored", "job", job.ID, "err", err)
			return refused(http.StatusServiceUnavailable, "the job could not be stored; submit it again")
		}
	}
	// The job is known, or can never run. A job that was accepted before must
	// never be refused, whatever the machine types are by now.
	status, s := d.status(ctx, job.ID, func(ctx context.Context, id string) (int, wire.JobStatus) {
		return d.storedStatus(ctx, id, d.store)
	})
	switch {
	case status == http.StatusOK:
		return accepted(status, s.ID, s.State)
	case status == http.StatusNotFound && reason != "":
		return refused(http.StatusUnprocessableEntity, reason)
	}
	return refused(http.StatusServiceUnavailable, "the job's state cannot be read now")
}

// relaySubmission has another member accept a submission, the leader first.
func (d *Handler) relaySubmission(ctx context.Context, body []byte) submission {
	none := refused(http.StatusServiceUnavailable, "no other controller can store the job now; submit it again")
	job, err := wire.ParseJob(body)
	if err != nil {
		return none
	}
	for _, name := range d.peers.Others() {
		if ctx.Err() != nil {
			break
		}
		r, err := d.peers.Call(ctx, name, peerrpc.Request{Verb: peerrpc.SubmitJob, Payload: body})
		if err != nil {
			continue
		}
		a := accepted(r.Status, job.ID, r.Job.State)
		if a.text = string(r.Payload); a.conclusive() {
			return a
		}
	}
	return none
}

// InfeasibleReason says why a job can never run, or nothing; while the machine types are not
// known, nothing is known against it.
func (d *Handler) InfeasibleReason(j *wire.Job) string {
	if types := d.types(); types != nil {
		return d.infeasible(j, types)
	}
	return ""
}

// infeasible says why a job can never run, or nothing.
func (d *Handler) infeasible(j *wire.Job, types []wire.MachineType) string {
	team, ok := d.teams[j.Team]
	if !ok {
		return "the team is unknown"
	}
	n := 1.0
	if j.Kind == wire.KindService {
		n = float64(j.Tasks)
	}
	const slack = 1e-9
	switch {
	case n*j.CPUs > team.CPUsMax+slack || n*j.GPUs > team.GPUsMax+slack:
		return "the job needs more than its team's limit"
	case !autoscale.FitsSomeType(j, types):
		return "a task fits no allowed machine type"
	}
	return ""
}
