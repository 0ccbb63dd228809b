package statestore

import (
	"errors"
	"fmt"
	"net/http"
)

var (
	// ErrNotExecuted tells that the service refused a request without executing it.
	ErrNotExecuted = errors.New("state service refused the request")
	// ErrBusy tells that the service refused a request because of its limits. It is an
	// ErrNotExecuted.
	ErrBusy = fmt.Errorf("%w: too many requests", ErrNotExecuted)
	// ErrOutcomeUnknown tells that a request may have been executed, or may still be.
	ErrOutcomeUnknown = errors.New("state service gave no usable answer")
	// ErrLeaseNotFound tells that the lease has expired or was revoked.
	ErrLeaseNotFound = errors.New("no such lease")
	// ErrCompacted tells that a watch asked for changes that are no longer kept.
	ErrCompacted = errors.New("revision is too old to watch")
	// ErrMalformed tells that the service did not understand the request.
	ErrMalformed = errors.New("state service calls the request malformed")
)

// ConflictError tells that a transaction's conditions did not hold.
type ConflictError struct {
	Failed []string // the keys of those conditions
}

func (e *ConflictError) Error() string { return fmt.Sprintf("conditions failed: %v", e.Failed) }

// unexpectedStatus is the error of an answer whose status a call has no other meaning for.
func unexpectedStatus(status int) error {
	if status == http.StatusBadRequest {
		return ErrMalformed
	}
	return fmt.Errorf("%w: status %d", ErrOutcomeUnknown, status)
}
