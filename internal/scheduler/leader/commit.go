package leader

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"sync/atomic"

	"poppypass/internal/clients/statestore"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// commit commits a transaction, guarded on the leader key as it was when the term began. It repeats the transaction
// unchanged until the outcome is known. The guards ensure that at most one of the tries is applied.
//
// If inDoubt is not nil, it is true while the transaction may already be applied. It is set to false when the state
// service has certainly executed none of the tries so far, as in an outage. After a success it stays true, because the
// loop has not handled the result yet.
//
// The error is errDeposed if another member leads, and errChanged if another condition does not hold. If the term
// ended, the error is that of termCtx. Any other error means that the state service rejected the transaction.
func (l *Loop) commit(t wire.Txn, inDoubt *atomic.Bool) (revision uint64, err error) {
	t.If = append([]wire.Condition{l.leadership.Guard}, t.If...)
	mayBeApplied := false // whether an earlier try, which had no answer, may have been applied
	for pause := tuning.StateRetryPause; ; pause = min(2*pause, tuning.StateRetryPauseMax) {
		if err := l.termCtx.Err(); err != nil {
			return 0, err
		}
		if inDoubt != nil {
			inDoubt.Store(true)
		}
		revision, err := l.store.Commit(l.termCtx, t)
		if err == nil {
			return revision, nil
		}
		var conflict *statestore.ConflictError
		switch {
		case errors.As(err, &conflict):
			revision, err = l.resolveConflict(t, conflict, mayBeApplied)
			if err == nil || !isRetryable(err) {
				return revision, err
			}
		case errors.Is(err, statestore.ErrOutcomeUnknown):
			mayBeApplied = true
		case errors.Is(err, statestore.ErrNotExecuted):
			if inDoubt != nil && !mayBeApplied {
				inDoubt.Store(false)
			}
		default:
			return 0, fmt.Errorf("the state service rejected the transaction: %w", err)
		}
		l.log.Debug("transaction has no definite outcome yet; retrying", "err", err)
		l.env.sleep(l.termCtx, pause)
	}
}

// isRetryable reports whether a failed request to the state service may succeed if it is repeated.
func isRetryable(err error) bool {
	return errors.Is(err, statestore.ErrOutcomeUnknown) || errors.Is(err, statestore.ErrNotExecuted)
}

// resolveConflict finds out why a condition of a transaction failed: another member leads (errDeposed), another
// writer changed a record (errChanged), or an earlier try, which had no answer, was applied. In the last case it
// returns the revision of that try.
func (l *Loop) resolveConflict(t wire.Txn, conflict *statestore.ConflictError, mayBeApplied bool) (revision uint64, err error) {
	switch {
	case slices.Contains(conflict.Failed, l.leadership.Guard.Key):
		return 0, fmt.Errorf("%w: %w", errDeposed, conflict)
	case !mayBeApplied:
		return 0, fmt.Errorf("%w: %w", errChanged, conflict)
	}
	return l.revisionOfApplied(t)
}

// revisionOfApplied returns the revision of a transaction that was applied without an answer. All changes of a
// transaction have the same revision, so one stored record is enough to find it. The error is errChanged if that
// record does not have the transaction's value.
func (l *Loop) revisionOfApplied(t wire.Txn) (uint64, error) {
	for _, change := range t.Then {
		if change.Put == "" {
			continue
		}
		item, ok, err := l.store.Get(l.termCtx, change.Put)
		switch {
		case err != nil:
			return 0, err
		case !ok || !sameJSON(item.Value, change.Value):
			return 0, fmt.Errorf("%w: record %s", errChanged, change.Put)
		}
		return item.Version, nil
	}
	return 0, nil // only deletions: their revision is not needed
}

// sameJSON reports whether two JSON values are equal, however they are formatted.
func sameJSON(a, b json.RawMessage) bool {
	var x, y any
	return json.Unmarshal(a, &x) == nil && json.Unmarshal(b, &y) == nil && reflect.DeepEqual(x, y)
}
