package leader

import (
	"context"
	"errors"
	"net/http"
	"time"

	"poppypass/internal/platform/wire"
)

var (
	stillLoading = Answer{http.StatusServiceUnavailable, wire.Error{Error: ErrLoading.Error()}}
	unknownPath  = Answer{http.StatusNotFound, wire.Error{Error: ErrUnknownPath.Error()}}
)

// Query answers a question: 404 if no subsystem knows the path, 503 while the records are read. The error is ErrLeadershipOver
// or ctx's.
func (l *Loop) Query(ctx context.Context, uri string) (Answer, error) {
	return ask(ctx, l, func(answer func(Answer)) { answer(l.query(uri)) })
}

// query answers a question from memory.
func (l *Loop) query(uri string) Answer {
	now := l.env.Clock.Now()
	if !l.loading.done {
		return stillLoading
	}
	if id, ok := jobIDFromPath(uri, wire.EndExplain); ok {
		return l.queryExplanation(id, now)
	}
	for _, s := range l.subsystems.joined {
		if a, err := s.Query(uri, now); err == nil {
			return a
		}
	}
	return unknownPath
}

// queryExplanation answers what a job waits for.
func (l *Loop) queryExplanation(id string, now time.Time) Answer {
	explanation, err := l.explain(id, now)
	if errors.Is(err, ErrUnknownJob) {
		return Answer{http.StatusNotFound, wire.Error{Error: err.Error()}}
	}
	return Answer{http.StatusOK, explanation}
}

// Command has a subsystem carry out a command: 404 if none knows it, 503 while the records are read. The error is
// ErrLeadershipOver or ctx's; the command may be carried out all the same.
func (l *Loop) Command(ctx context.Context, c Command) (Answer, error) {
	return ask(ctx, l, func(answer func(Answer)) { l.command(c, answer) })
}

// command hands a command to the subsystem that knows it, which answers at once or later.
func (l *Loop) command(c Command, answer func(Answer)) {
	if !l.loading.done {
		answer(stillLoading)
		return
	}
	for _, s := range l.subsystems.joined {
		h, ok := s.(CommandHandler)
		if !ok || h.Command(c, l.env.Clock.Now(), answer) != nil {
			continue
		}
		l.cycle.wake()
		return
	}
	answer(unknownPath)
}
