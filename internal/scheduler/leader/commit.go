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

// commit brings a transaction to a definite outcome, guarded on the leader key as it was when the term began. It is repeated unchanged
// until it has one; its guards make sure that only one of the tries is applied. inDoubt, if it is not nil, tells meanwhile whether
// it may be carried out already; not while all tries were refused, as in an outage. It stays set after a success: the loop has yet to
// learn of that.
//
// The error is errDeposed when another leads, errChanged when another condition does not hold, or that of the ended term.
func (l *Loop) commit(t wire.Txn, inDoubt *atomic.Bool) (revision uint64, err error) {
	t.If = append([]wire.Condition{l.leadership.Guard}, t.If...)
	mayBeApplied := false // by an earlier try that had no answer
	for pause := tuning.StateRetry; ; pause = min(2*pause, tuning.StateRetryMax) {
		if err := l.ended.Err(); err != nil {
			return 0, err
		}
		if inDoubt != nil {
			inDoubt.Store(true)
		}
		revision, err := l.store.Commit(l.ended, t)
		if err == nil {
			return revision, nil
		}
		var conflict *statestore.ConflictError
		switch {
		case errors.As(err, &conflict):
			revision, err = l.resolveConflict(t, conflict, mayBeApplied)
			if err == nil || !outcomeMissing(err) {
				return revision, err
			}
		case errors.Is(err, statestore.ErrOutcomeUnknown):
			mayBeApplied = true
		case errors.Is(err, statestore.ErrNotExecuted):
			if inDoubt != nil && !mayBeApplied {
				inDoubt.Store(false)
			}
		default:
			return 0, fmt.Errorf("records cannot be stored: %w", err)
		}
		l.log.Debug("commit repeated", "err", err)
		l.env.sleep(l.ended, pause)
	}
}

// outcomeMissing reports whether a request to the state service may succeed when it is repeated.
func outcomeMissing(err error) bool {
	return errors.Is(err, statestore.ErrOutcomeUnknown) || errors.Is(err, statestore.ErrNotExecuted)
}

// resolveConflict finds out what a refused condition means: another leads, an earlier try without an answer was applied, or
// a record was changed by another.
func (l *Loop) resolveConflict(t wire.Txn, conflict *statestore.ConflictError, mayBeApplied bool) (revision uint64, err error) {
	switch {
	case slices.Contains(conflict.Failed, l.leadership.Guard.Key):
		return 0, fmt.Errorf("%w: %w", errDeposed, conflict)
	case !mayBeApplied:
		return 0, fmt.Errorf("%w: %w", errChanged, conflict)
	}
	return l.revisionOfApplied(t)
}

// revisionOfApplied finds the revision of a transaction that was applied without an answer. All its changes
// have the same revision, so one of them tells.
func (l *Loop) revisionOfApplied(t wire.Txn) (uint64, error) {
	for _, change := range t.Then {
		if change.Put == "" {
			continue
		}
		item, ok, err := l.store.Get(l.ended, change.Put)
		switch {
		case err != nil:
			return 0, err
		case !ok || !sameJSON(item.Value, change.Value):
			return 0, fmt.Errorf("%w: record %s", errChanged, change.Put)
		}
		return item.Version, nil
	}
	return 0, nil // only deletions: nobody needs their revision
}

// sameJSON reports whether two values are the same, however they are written.
func sameJSON(a, b json.RawMessage) bool {
	var x, y any
	return json.Unmarshal(a, &x) == nil && json.Unmarshal(b, &y) == nil && reflect.DeepEqual(x, y)
}
