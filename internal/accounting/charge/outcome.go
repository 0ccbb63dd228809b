package charge

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Outcome is how an attempt ended, or how the part of an attempt that a charge covers ended.
// Stored charges contain the numbers; HTTP responses and metrics contain the names. New outcomes
// are therefore appended at the end.
type Outcome uint8

// The outcomes of attempts.
const (
	Continues  Outcome = iota // the attempt continues in the next part: this part ends only because its day ended
	Done                      // completed
	Failed                    // exited with an error
	Refused                   // refused by the worker; the task never ran
	Stopped                   // stopped for a reason that is no longer known
	Preempted                 // stopped to make room for other tasks
	Drained                   // stopped because its machine was interrupted or drained
	Cancelled                 // its job was cancelled
	OverBudget                // stopped because its team's budget was used up
	Lost                      // its machine was lost; the charge is an upper bound

	outcomeCount = iota
)

var outcomeNames = [outcomeCount]string{"continues", "done", "failed", "refused", "stopped", "preempted", "drained", "cancelled", "over-spent", "lost"}

// unknownOutcomePrefix is the prefix of the name of an outcome that this version does not know. The
// number of the outcome follows.
const unknownOutcomePrefix = "how-"

// String returns the outcome's name as it appears in HTTP responses, metrics and messages.
func (o Outcome) String() string {
	if o >= outcomeCount {
		return unknownOutcomePrefix + strconv.Itoa(int(o))
	}
	return outcomeNames[o]
}

// MarshalText returns the outcome's name.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText parses a name that MarshalText returned. It also accepts the names of outcomes
// that only a newer version knows.
func (o *Outcome) UnmarshalText(text []byte) error {
	name := string(text)
	if i := slices.Index(outcomeNames[:], name); i >= 0 {
		*o = Outcome(i)
		return nil
	}
	number, hasPrefix := strings.CutPrefix(name, unknownOutcomePrefix)
	n, err := strconv.ParseUint(number, 10, 8)
	if !hasPrefix || err != nil {
		return fmt.Errorf("unknown outcome %q", name)
	}
	*o = Outcome(n)
	return nil
}
