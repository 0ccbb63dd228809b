package statestore

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// noSuchLease is how the service says why it refused a transaction that names a lease.
const noSuchLease = "no such lease"

// Commit executes a transaction, a compare-and-swap on the versions of keys, and returns its
// revision. The error is a *ConflictError, ErrLeaseNotFound, ErrMalformed, ErrNotExecuted or
// ErrOutcomeUnknown. A transaction that is refused because of the service's limits waits for
// another turn, unless the client is urgent.
func (c *Client) Commit(ctx context.Context, t wire.Txn) (uint64, error) {
	for {
		revision, err := c.commitOnce(ctx, t)
		if !errors.Is(err, ErrBusy) || c.priority == urgentPriority {
			return revision, err
		}
		if c.pauseBusy(ctx); ctx.Err() != nil {
			return 0, err
		}
	}
}

// pauseBusy is the pause of a refused transaction, which differs so that several
// do not come back together.
func pauseBusy(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(tuning.TxnRetryPause/2 + rand.N(tuning.TxnRetryPause)):
	}
}

func (c *Client) commitOnce(ctx context.Context, t wire.Txn) (uint64, error) {
	if err := c.waitTurn(ctx); err != nil {
		return 0, err
	}
	if err := c.waitWrites(ctx, len(t.Then)); err != nil {
		return 0, err
	}
	if t.If == nil {
		t.If = []wire.Condition{} // the service wants a list
	}
	var res wire.TxnResult
	var refused wire.Error
	status, err := c.call(ctx, request{
		timeout: tuning.StateTimeout, method: http.MethodPost, path: wire.PathTxn, body: t,
		decode: func(status int) any {
			switch status {
			case http.StatusOK, http.StatusConflict:
				return &res
			case http.StatusBadRequest:
				return &refused
			}
			return nil
		},
	})
	switch {
	case err != nil:
		return 0, err
	case status == http.StatusOK:
		return res.Revision, nil
	case status == http.StatusConflict:
		return 0, &ConflictError{Failed: res.Failed}
	case status == http.StatusBadRequest && refused.Error == noSuchLease:
		return 0, ErrLeaseNotFound
	}
	return 0, unexpectedStatus(status)
}

// waitWrites waits until the client's own limit on changes allows n more. Its error is an
// ErrNotExecuted.
func (c *Client) waitWrites(ctx context.Context, n int) error {
	if n == 0 || c.priority == urgentPriority {
		return nil
	}
	if err := c.writeLimit.wait(ctx, n); err != nil {
		return fmt.Errorf("%w: %w", ErrNotExecuted, err)
	}
	return nil
}
