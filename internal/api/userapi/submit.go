package userapi

import (
	"context"
	"net/http"

	"poppypass/internal/cluster/peerrpc"
	"poppypass/internal/platform/httpjson"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// ServeSubmit accepts a job: it is accepted once it is stored. Any member may store it, so that accepting goes on while nobody
// leads.
func (h *Handler) ServeSubmit(w http.ResponseWriter, r *http.Request) {
	body, err := httpjson.ReadBody(r, wire.MaxBody)
	if err != nil {
		httpjson.WriteError(w, http.StatusBadRequest, httpjson.OneLine(err))
		return
	}
	if h.refuseIfIsolated(w) {
		return
	}
	begun := h.clock.Now()
	// One deadline covers all that is tried, however many members there are.
	ctx, cancel := context.WithTimeout(r.Context(), tuning.SubmitTotal)
	defer cancel()
	a := h.submitAnywhere(ctx, body)
	h.log.Debug("submission answered", "status", a.status, "job", a.job.ID, "took_ms", h.clock.Since(begun).Milliseconds())
	if a.status >= http.StatusBadRequest {
		httpjson.WriteError(w, a.status, a.text)
		return
	}
	httpjson.Write(w, a.status, a.job)
}

// submission is the answer to one.
type submission struct {
	status int           // 200: the job is known; 201: it was stored; otherwise it is refused
	job    wire.Accepted // below 400
	text   string        // what is wrong, from 400 on
}

// conclusive reports whether another member could not answer otherwise.
func (s submission) conclusive() bool { return s.status != http.StatusServiceUnavailable }

func accepted(status int, id string, state wire.JobState) submission {
	return submission{status: status, job: wire.Accepted{ID: id, State: state}}
}

func refused(status int, text string) submission { return submission{status: status, text: text} }

// submitAnywhere has this member store a submission and, when that fails or takes long, another one: the state service may
// refuse this member alone or not answer it. Whoever is second finds the job stored. The first conclusive answer counts; without
// any it is this member's own.
func (h *Handler) submitAnywhere(ctx context.Context, body []byte) submission {
	ownAnswer := h.startSubmit(ctx, body)
	if h.peers.Alone() {
		return <-ownAnswer
	}
	hedge := h.clock.NewTimer(tuning.SubmitHedge)
	defer hedge.Stop()
	select {
	case own := <-ownAnswer:
		if own.conclusive() {
			return own
		}
		if relayed := h.relaySubmission(ctx, body); relayed.conclusive() {
			return relayed
		}
		return own
	case <-hedge.Chan():
		return firstConclusive(ownAnswer, h.startRelay(ctx, body))
	}
}

// startSubmit stores a submission here. Its goroutine ends within tuning.SubmitWait, or as ctx ends.
func (h *Handler) startSubmit(ctx context.Context, body []byte) <-chan submission {
	answer := make(chan submission, 1) // the one who waits may be gone
	go func() {
		ctx, cancel := context.WithTimeout(ctx, tuning.SubmitWait)
		defer cancel()
		answer <- h.submit(ctx, body)
	}()
	return answer
}

// startRelay has another member store a submission. Its goroutine ends as ctx ends.
func (h *Handler) startRelay(ctx context.Context, body []byte) <-chan submission {
	answer := make(chan submission, 1) // the one who waits may be gone
	go func() { answer <- h.relaySubmission(ctx, body) }()
	return answer
}

// firstConclusive returns the first of two answers that is conclusive, or this member's own.
func firstConclusive(ownAnswer, peerAnswer <-chan submission) submission {
	var own submission
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

// relaySubmission has another member accept a submission, the leader first.
func (h *Handler) relaySubmission(ctx context.Context, body []byte) submission {
	none := refused(http.StatusServiceUnavailable, "no other controller can store the job now; submit it again")
	job, err := wire.ParseJob(body)
	if err != nil {
		return none
	}
	for _, name := range h.peers.Others() {
		if ctx.Err() != nil {
			break
		}
		r, err := h.peers.Call(ctx, name, peerrpc.Request{Verb: peerrpc.SubmitJob, Payload: body})
		if err != nil {
			continue
		}
		a := accepted(r.Status, job.ID, r.Job.State)
		a.text = string(r.Payload)
		if a.conclusive() {
			return a
		}
	}
	return none
}
