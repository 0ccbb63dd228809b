package userapi

import (
	"context"
	"net/http"

	"poppypass/internal/cluster/peerrpc"
	"poppypass/internal/platform/httpjson"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// ServeSubmit accepts a job. A job is accepted once it is stored. Any member may store it, so jobs are accepted while
// there is no leader, too.
func (h *Handler) ServeSubmit(w http.ResponseWriter, r *http.Request) {
	body, err := httpjson.ReadBody(r, wire.MaxBody)
	if err != nil {
		httpjson.WriteError(w, http.StatusBadRequest, httpjson.OneLine(err))
		return
	}
	if h.refuseIfIsolated(w) {
		return
	}
	startedAt := h.clock.Now()
	// One deadline bounds all attempts together, however many members there are.
	ctx, cancel := context.WithTimeout(r.Context(), tuning.SubmitTimeout)
	defer cancel()
	answer := h.submitAnywhere(ctx, body)
	h.log.Debug("submission answered", "status", answer.status, "job", answer.job.ID, "took_ms", h.clock.Since(startedAt).Milliseconds())
	if answer.status >= http.StatusBadRequest {
		httpjson.WriteError(w, answer.status, answer.errorText)
		return
	}
	httpjson.Write(w, answer.status, answer.job)
}

// submitAnswer is the answer to a submission.
type submitAnswer struct {
	status    int           // HTTP status; 200: the job was known already; 201: it is stored now; 400 and above: it is refused
	job       wire.Accepted // set if status is below 400
	errorText string        // the error text, set if status is 400 or above
}

// conclusive reports whether the answer is the same at every member. Only 503 is not conclusive: another member
// may be able to store the job.
func (s submitAnswer) conclusive() bool { return s.status != http.StatusServiceUnavailable }

func accepted(status int, id string, state wire.JobState) submitAnswer {
	return submitAnswer{status: status, job: wire.Accepted{ID: id, State: state}}
}

func refused(status int, errorText string) submitAnswer {
	return submitAnswer{status: status, errorText: errorText}
}

// submitAnywhere has this member store a submission. If that fails or takes longer than tuning.SubmitHedgeDelay, it has
// another member store it, too: the state service may refuse this member alone, or not answer it. It is safe if both
// try to store the job: the second one finds it stored. submitAnywhere returns the first conclusive answer, or this
// member's own if there is none.
func (h *Handler) submitAnywhere(ctx context.Context, body []byte) submitAnswer {
	localAnswer := h.startSubmit(ctx, body)
	if h.peers.Alone() {
		return <-localAnswer
	}
	hedgeTimer := h.clock.NewTimer(tuning.SubmitHedgeDelay)
	defer hedgeTimer.Stop()
	select {
	case local := <-localAnswer:
		if local.conclusive() {
			return local
		}
		if relayed := h.relaySubmission(ctx, body); relayed.conclusive() {
			return relayed
		}
		return local
	case <-hedgeTimer.Chan():
		return firstConclusive(localAnswer, h.startRelay(ctx, body))
	}
}

// startSubmit starts a goroutine in which this member stores a submission. The goroutine ends after
// tuning.SubmitStoreTimeout at the latest, or with ctx.
func (h *Handler) startSubmit(ctx context.Context, body []byte) <-chan submitAnswer {
	answer := make(chan submitAnswer, 1) // buffered: the caller may no longer receive
	go func() {
		ctx, cancel := context.WithTimeout(ctx, tuning.SubmitStoreTimeout)
		defer cancel()
		answer <- h.submit(ctx, body)
	}()
	return answer
}

// startRelay starts a goroutine that has another member store a submission. The goroutine ends with ctx.
func (h *Handler) startRelay(ctx context.Context, body []byte) <-chan submitAnswer {
	answer := make(chan submitAnswer, 1) // buffered: the caller may no longer receive
	go func() { answer <- h.relaySubmission(ctx, body) }()
	return answer
}

// firstConclusive returns the first conclusive one of two answers, or this member's own if neither is conclusive.
func firstConclusive(localAnswer, peerAnswer <-chan submitAnswer) submitAnswer {
	var local submitAnswer
	for localAnswer != nil || peerAnswer != nil {
		var got submitAnswer
		select {
		case got = <-localAnswer:
			local, localAnswer = got, nil
		case got = <-peerAnswer:
			peerAnswer = nil
		}
		if got.conclusive() {
			return got
		}
	}
	return local
}

// relaySubmission has another member store a submission. It asks one member after the other, the leader first, until
// one gives a conclusive answer or ctx ends.
func (h *Handler) relaySubmission(ctx context.Context, body []byte) submitAnswer {
	unavailable := refused(http.StatusServiceUnavailable, "no other controller can store the job now; submit it again")
	job, err := wire.ParseJob(body)
	if err != nil {
		return unavailable
	}
	for _, name := range h.peers.Others() {
		if ctx.Err() != nil {
			break
		}
		resp, err := h.peers.Call(ctx, name, peerrpc.Request{Verb: peerrpc.SubmitJob, Payload: body})
		if err != nil {
			continue
		}
		answer := accepted(resp.Status, job.ID, resp.Job.State)
		answer.errorText = string(resp.Payload)
		if answer.conclusive() {
			return answer
		}
	}
	return unavailable
}
