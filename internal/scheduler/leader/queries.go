package leader

import (
	"context"
	"errors"
	"net/http"
	"time"

	"poppypass/internal/platform/wire"
)

var (
	loadingAnswer     = Answer{http.StatusServiceUnavailable, wire.Error{Error: ErrLoading.Error()}}
	unknownPathAnswer = Answer{http.StatusNotFound, wire.Error{Error: ErrUnknownPath.Error()}}
)

// Query answers a query from memory. The status is 404 if no subsystem serves the path, 503 while the records are
// being loaded. The error is ErrLeadershipOver or that of ctx.
func (l *Loop) Query(ctx context.Context, uri string) (Answer, error) {
	return ask(ctx, l, func(answer func(Answer)) { answer(l.query(uri)) })
}

// query answers a query from memory.
func (l *Loop) query(uri string) Answer {
	now := l.env.Clock.Now()
	if !l.loading.done {
		return loadingAnswer
	}
	if id, ok := jobIDFromPath(uri, wire.PathEndExplain); ok {
		return l.queryExplanation(id, now)
	}
	for _, s := range l.subsystems.active {
		if a, err := s.Query(uri, now); err == nil {
			return a
		}
	}
	return unknownPathAnswer
}

// queryExplanation answers why tasks of a job are waiting.
func (l *Loop) queryExplanation(id string, now time.Time) Answer {
	explanation, err := l.explain(id, now)
	if errors.Is(err, ErrUnknownJob) {
		return Answer{http.StatusNotFound, wire.Error{Error: err.Error()}}
	}
	return Answer{http.StatusOK, explanation}
}

// Command has a subsystem execute a command. The status is 404 if none serves its path, 503 while the records are
// being loaded. The error is ErrLeadershipOver or that of ctx; the command may be executed nevertheless.
func (l *Loop) Command(ctx context.Context, c Command) (Answer, error) {
	return ask(ctx, l, func(answer func(Answer)) { l.command(c, answer) })
}

// command passes a command to the subsystem that serves its path, which answers at once or later.
func (l *Loop) command(c Command, answer func(Answer)) {
	if !l.loading.done {
		answer(loadingAnswer)
		return
	}
	for _, s := range l.subsystems.active {
		h, ok := s.(CommandHandler)
		if !ok || h.Command(c, l.env.Clock.Now(), answer) != nil {
			continue
		}
		l.cycle.wake()
		return
	}
	answer(unknownPathAnswer)
}
