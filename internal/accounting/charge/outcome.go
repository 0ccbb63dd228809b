package charge

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Outcome is how an attempt, or the part of it that a charge is for, ended. Its numbers are
// stored and its names are part of answers and metrics: new ones go to the end.
type Outcome uint8

// The outcomes of attempts.
const (
	Continues  Outcome = iota // it runs on: only the day of this part is over
	Done                      // completed
	Failed                    // ended by itself with an error
	Refused                   // the worker refused it: it never ran
	Stopped                   // stopped for a reason that is no longer known
	Preempted                 // stopped to make room for others
	Drained                   // stopped since its machine is interrupted or drained
	Cancelled                 // its job was cancelled
	OverBudget                // stopped since its team's budget is used up
	Lost                      // its machine was lost: the charge is an upper bound

	outcomeCount = iota
)

var outcomeNames = [outcomeCount]string{"continues", "done", "failed", "refused", "stopped", "preempted", "drained", "cancelled", "over-spent", "lost"}

// unknownOutcome begins the name of an outcome that this version does not know; its number follows.
const unknownOutcome = "how-"

// String returns the outcome's name, as programs and people see it.
func (o Outcome) String() string {
	if o >= outcomeCount {
		return unknownOutcome + strconv.Itoa(int(o))
	}
	return outcomeNames[o]
}

// MarshalText returns the outcome's name.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText reads a name that MarshalText wrote, also of an outcome that only a newer version knows.
func (o *Outcome) UnmarshalText(text []byte) error {
	name := string(text)
	if i := slices.Index(outcomeNames[:], name); i >= 0 {
		*o = Outcome(i)
		return nil
	}
	number, isNumber := strings.CutPrefix(name, unknownOutcome)
	n, err := strconv.ParseUint(number, 10, 8)
	if !isNumber || err != nil {
		return fmt.Errorf("there is no outcome %q", name)
	}
	*o = Outcome(n)
	return nil
}
