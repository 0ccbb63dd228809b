package leader

import "context"

// handleQueued runs the messages that are in the inbox now, so that changes that arrive together share one
// scheduling cycle.
func (l *Loop) handleQueued() {
	for range len(l.inbox) {
		select {
		case fn := <-l.inbox:
			fn()
		default:
			return
		}
	}
}

// post has the loop's goroutine run fn. If the term ends first, fn is dropped.
func (l *Loop) post(fn func()) {
	select {
	case l.inbox <- fn:
	case <-l.termCtx.Done():
	}
}

// ask has the loop's goroutine run fn, and returns what fn passes to answer, at once or later. Only the first
// answer counts. The error is that of ctx, or ErrLeadershipOver.
func ask[T any](ctx context.Context, l *Loop, fn func(answer func(T))) (T, error) {
	ch := make(chan T, 1)
	var zero T
	select {
	case l.inbox <- func() {
		fn(func(v T) {
			select {
			case ch <- v:
			default: // it has been answered already
			}
		})
	}:
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-l.termCtx.Done():
		return zero, ErrLeadershipOver
	}
	select {
	case v := <-ch:
		return v, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-l.termCtx.Done():
		return zero, ErrLeadershipOver
	}
}

// do has the loop's goroutine run fn, and waits until fn has returned. The error is that of ctx, or
// ErrLeadershipOver.
func (l *Loop) do(ctx context.Context, fn func()) error {
	_, err := ask(ctx, l, func(answer func(bool)) { fn(); answer(true) })
	return err
}
