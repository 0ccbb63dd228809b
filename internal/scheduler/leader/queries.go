package leader

import (
	"context"
	"errors"
	"net/http"
	"time"

	"poppypass/internal/platform/wire"
)

// queryResponse answers a query or command, with an HTTP status and a body that is JSON.
type queryResponse struct {
	status int
	body   any
}

var (
	stillLoading = queryResponse{http.StatusServiceUnavailable, wire.Error{Error: ErrLoading.Error()}}
	unknownPath  = queryResponse{http.StatusNotFound, wire.Error{Error: "nothing is known by that path here"}}
)

// Query answers a question, or 404. The answer is JSON.
func (l *Loop) Query(ctx context.Context, uri string) (status int, body any, err error) {
	r, err := ask(ctx, l, func(answer func(queryResponse)) { answer(l.query(uri)) })
	return r.status, r.body, err
}

// query answers a question from memory.
func (l *Loop) query(uri string) queryResponse {
	now := l.env.Clock.Now()
	if !l.loading.done {
		return stillLoading
	}
	if id, ok := jobIDFromPath(uri, wire.EndExplain); ok {
		return l.queryExplanation(id, now)
	}
	for _, s := range l.subsystems.joined {
		if status, body, ok := s.Query(uri, now); ok {
			return queryResponse{status, body}
		}
	}
	return unknownPath
}

// queryExplanation answers what a job waits for.
func (l *Loop) queryExplanation(id string, now time.Time) queryResponse {
	explanation, err := l.explain(id, now)
	if errors.Is(err, ErrUnknownJob) {
		return queryResponse{http.StatusNotFound, wire.Error{Error: err.Error()}}
	}
	return queryResponse{http.StatusOK, explanation}
}

// Command has a subsystem carry out a command. The answer is JSON.
func (l *Loop) Command(ctx context.Context, c Command) (status int, body any, err error) {
	r, err := ask(ctx, l, func(answer func(queryResponse)) { l.command(c, answer) })
	return r.status, r.body, err
}

// command hands a command to the subsystem that knows it, which answers at once or later.
func (l *Loop) command(c Command, answer func(queryResponse)) {
	if !l.loading.done {
		answer(stillLoading)
		return
	}
	reply := func(status int, body any) { answer(queryResponse{status, body}) }
	for _, s := range l.subsystems.joined {
		if h, ok := s.(CommandHandler); ok && h.Command(c, l.env.Clock.Now(), reply) {
			l.cycle.wake()
			return
		}
	}
	answer(unknownPath)
}
