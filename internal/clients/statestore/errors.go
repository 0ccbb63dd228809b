package statestore

import (
	"errors"
	"fmt"
	"net/http"
)

var (
	// ErrNotExecuted means that a request was certainly not executed: the service refused it, or the client did not
	// send it.
	ErrNotExecuted = errors.New("state service did not execute the request")
	// ErrBusy means that the service refused a request because of its rate limits. It wraps ErrNotExecuted.
	ErrBusy = fmt.Errorf("%w: too many requests", ErrNotExecuted)
	// ErrOutcomeUnknown means that a request may have been executed or may still be.
	ErrOutcomeUnknown = errors.New("no usable answer from the state service; the request may have been executed")
	// ErrLeaseNotFound means that the lease has expired or was revoked.
	ErrLeaseNotFound = errors.New("lease has expired or was revoked")
	// ErrCompacted means that a watch cannot return all changes since its revision: the service has discarded some, or
	// they are too large for one answer.
	ErrCompacted = errors.New("changes since the watched revision are no longer available")
	// ErrMalformed means that the service rejected a request as malformed.
	ErrMalformed = errors.New("state service rejected the request as malformed")
)

// ConflictError means that a transaction was not applied because some of its conditions did not hold.
type ConflictError struct {
	Failed []string // keys of the conditions that did not hold
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("transaction not applied: conditions failed on keys %v", e.Failed)
}

// unexpectedStatus returns the error for an answer with a status that the call does not expect.
func unexpectedStatus(status int) error {
	if status == http.StatusBadRequest {
		return ErrMalformed
	}
	return fmt.Errorf("%w: status %d", ErrOutcomeUnknown, status)
}
