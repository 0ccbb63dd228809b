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

// noSuchLease is the error text with which the service refuses a transaction whose lease has ended.
const noSuchLease = "no such lease"

// Commit executes a transaction, a compare-and-swap on the versions of keys, and returns its revision. The error is a
// *ConflictError, ErrLeaseNotFound, ErrMalformed, ErrNotExecuted or ErrOutcomeUnknown. A transaction that the service
// refuses because of its rate limits is retried after a pause until ctx ends, unless the client is urgent.
func (c *Client) Commit(ctx context.Context, txn wire.Txn) (uint64, error) {
	for {
		revision, err := c.commitOnce(ctx, txn)
		if !errors.Is(err, ErrBusy) || c.priority == urgentPriority {
			return revision, err
		}
		if c.pauseBusy(ctx); ctx.Err() != nil {
			return 0, err
		}
	}
}

// pauseBusy pauses before a refused transaction is retried. The pause is random so that several refused transactions are
// not retried together.
func pauseBusy(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(tuning.TxnRetryPause/2 + rand.N(tuning.TxnRetryPause)):
	}
}

// commitOnce executes a transaction without a retry.
func (c *Client) commitOnce(ctx context.Context, txn wire.Txn) (uint64, error) {
	if err := c.waitCall(ctx); err != nil {
		return 0, err
	}
	if err := c.waitWrites(ctx, len(txn.Then)); err != nil {
		return 0, err
	}
	if txn.If == nil {
		txn.If = []wire.Condition{} // the service requires a list, not null
	}
	var result wire.TxnResult
	var refusal wire.Error
	status, err := c.call(ctx, request{
		timeout: tuning.StateTimeout, method: http.MethodPost, path: wire.PathTxn, body: txn,
		decode: func(status int) any {
			switch status {
			case http.StatusOK, http.StatusConflict:
				return &result
			case http.StatusBadRequest:
				return &refusal
			}
			return nil
		},
	})
	switch {
	case err != nil:
		return 0, err
	case status == http.StatusOK:
		return result.Revision, nil
	case status == http.StatusConflict:
		return 0, &ConflictError{Failed: result.Failed}
	case status == http.StatusBadRequest && refusal.Error == noSuchLease:
		return 0, ErrLeaseNotFound
	}
	return 0, unexpectedStatus(status)
}

// waitWrites waits until the client's own rate limit allows n more changes. The error wraps ErrNotExecuted.
func (c *Client) waitWrites(ctx context.Context, n int) error {
	if n == 0 || c.priority == urgentPriority {
		return nil
	}
	if err := c.writeLimit.wait(ctx, n); err != nil {
		return fmt.Errorf("%w: %w", ErrNotExecuted, err)
	}
	return nil
}
