package dag

import (
	"errors"
	"fmt"
)

// Error says what is wrong with a graph. Step is empty when it is not the fault of one
// step.
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

// ResultError says why a result of a step is refused, or is not what the step's kind asks
// for. Text names the step.
type ResultError struct {
	Step, Text string
}

// Error implements error.
func (e *ResultError) Error() string { return e.Text }

// resultError returns a *ResultError.
func resultError(step, format string, args ...any) error {
	return &ResultError{Step: step, Text: fmt.Sprintf(format, args...)}
}

// UnknownStepError says that a graph has no step of a name.
type UnknownStepError struct {
	Step string
}

// Error implements error.
func (e *UnknownStepError) Error() string { return fmt.Sprintf("there is no step %q", e.Step) }

// Errors of Backfill.
var (
	ErrTooManyRuns = fmt.Errorf("more than %d runs", MaxBackfill)
	ErrNoSchedule  = errors.New("the graph has no schedule")
)

// ErrStoredRun is wrapped by each error of DecodeRun: the stored form is malformed, or is
// not that of a run of the given plan.
var ErrStoredRun = errors.New("stored run")
