package leader

import "context"

// handleQueued runs the messages that have come in by now, so that changes that come together share one scheduling cycle.
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

// post has the loop's goroutine run fn; it is dropped when the term is over.
func (l *Loop) post(fn func()) {
	select {
	case l.inbox <- fn:
	case <-l.ended.Done():
	}
}

// ask has the loop's goroutine run fn, and waits for what fn answers, at once or later. Only the first answer counts. The
// error is ctx's, or ErrLeadershipOver.
func ask[T any](ctx context.Context, l *Loop, fn func(answer func(T))) (T, error) {
	ch := make(chan T, 1)
	var zero T
	select {
	case l.inbox <- func() {
		fn(func(v T) {
			select {
			case ch <- v:
			default: // it was answered before
			}
		})
	}:
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-l.ended.Done():
		return zero, ErrLeadershipOver
	}
	select {
	case v := <-ch:
		return v, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-l.ended.Done():
		return zero, ErrLeadershipOver
	}
}

// do has the loop's goroutine run fn, and waits until it has.
func (l *Loop) do(ctx context.Context, fn func()) error {
	_, err := ask(ctx, l, func(answer func(bool)) { fn(); answer(true) })
	return err
}
