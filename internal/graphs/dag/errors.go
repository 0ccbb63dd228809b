package dag

import (
	"errors"
	"fmt"
)

// Error says what is invalid about a graph. Step is the ID of the step at fault; it is empty if the error
// concerns the graph as a whole.
type Error struct {
	Graph, Step, Text string
}

// Error implements error.
func (e *Error) Error() string {
	if e.Step == "" {
		return fmt.Sprintf("graph %s: %s", e.Graph, e.Text)
	}
	return fmt.Sprintf("graph %s, step %s: %s", e.Graph, e.Step, e.Text)
}

// ResultError says why a step's result is refused, or does not meet the requirements of the step's kind. Text
// contains the step's ID.
type ResultError struct {
	Step, Text string
}

// Error implements error.
func (e *ResultError) Error() string { return e.Text }

// resultError returns a *ResultError with a formatted text.
func resultError(step, format string, args ...any) error {
	return &ResultError{Step: step, Text: fmt.Sprintf(format, args...)}
}

// UnknownStepError says that a graph has no step with the ID Step.
type UnknownStepError struct {
	Step string
}

// Error implements error.
func (e *UnknownStepError) Error() string { return fmt.Sprintf("there is no step %q", e.Step) }

// Errors of Plan.Backfill.
var (
	ErrTooManyRuns = fmt.Errorf("more than %d runs", MaxBackfillRuns)
	ErrNoSchedule  = errors.New("the graph has no schedule")
)

// ErrStoredRun is wrapped by each error of DecodeRun: the stored form is malformed, or does not belong to a
// run of the given plan.
var ErrStoredRun = errors.New("stored run")
