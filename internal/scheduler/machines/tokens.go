package machines

import (
	"time"

	"poppypass/internal/platform/fencingtoken"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// commandTokens is the state of the fencing tokens under which commands are sent to a machine.
//
// The network may deliver a copy of a direct request at any later time, also of one that was executed and answered. A
// worker that has forgotten the attempt of a start in it would run the attempt again. So every conclusion that no start
// of an attempt can arrive any more needs a token above those of the attempt's direct starts: the worker refuses these
// starts once it has seen the token.
type commandTokens struct {
	current     uint64               // the token of the next message to the machine
	last        uint64               // the last token of the term
	newestStart uint64               // the token of the newest direct start; 0: none was sent
	starts      map[AttemptID]uint64 // the token of the newest direct start of each attempt, while the worker may obey it
	seen        uint64               // the highest token that the worker reported
	inFlight    int                  // direct requests that may still be answered
	raisedAt    time.Time            // when the token was last raised to forget attempts
}

func newCommandTokens(term uint64) commandTokens {
	return commandTokens{current: term, last: fencingtoken.Last(term), starts: map[AttemptID]uint64{}}
}

// noteStart records that a direct start of an attempt is sent under the current token.
func (t *commandTokens) noteStart(id AttemptID) {
	t.starts[id], t.newestStart = t.current, t.current
}

// startMayBeObeyed reports whether the worker may obey a direct start of an attempt, or a copy of one.
func (t *commandTokens) startMayBeObeyed(id AttemptID) bool { return t.starts[id] != 0 }

// startMayBeObeyedAfterReply reports whether the worker may obey a direct start of an attempt, or a copy of one, once it
// has seen the current token.
func (t *commandTokens) startMayBeObeyedAfterReply(id AttemptID) bool {
	return t.starts[id] >= t.current
}

// noteSeen records the highest token that the worker has seen. It refuses the direct starts under lower ones.
func (t *commandTokens) noteSeen(token uint64) {
	if token <= t.seen {
		return
	}
	t.seen = token
	for id, startToken := range t.starts {
		if startToken < token {
			delete(t.starts, id)
		}
	}
}

// raiseToken makes the next message to a machine carry a token above those of all direct starts that were sent to the
// machine, unless the term has no higher token.
func (r *Registry) raiseToken(m *Machine) {
	if t := &m.tokens; t.newestStart >= t.current && t.current < t.last {
		t.current++
		r.tokenRaises++
	}
}

// raiseDue reports whether the token is to be raised so that exited attempts can be forgotten, whose entries in the
// machine's heartbeats have a size in bytes. A higher token costs one more heartbeat, and makes the worker refuse the
// requests in flight. Therefore it waits for these and for the interval between raises, unless the entries are too long.
func (t *commandTokens) raiseDue(retainedBytes int, interval time.Duration, now time.Time) bool {
	return retainedBytes > tuning.RetainedExitBytesMax || t.inFlight == 0 && now.Sub(t.raisedAt) >= interval
}

// taskStatusOverhead is the number of bytes of a task's entry in a heartbeat, without its name, its state and the reason
// of its exit, at the most: names of fields, punctuation, and an attempt of 20 digits.
const taskStatusOverhead = 80

// encodedBytesMax returns the largest number of bytes that a task's entry takes in a heartbeat.
func encodedBytesMax(status *wire.TaskStatus) int {
	return taskStatusOverhead + len(status.Task) + len(status.State) + len(status.Reason)
}

// TokenUse is how a leader uses its fencing tokens, over all machines.
type TokenUse struct {
	Raises               uint64 // how often a machine's token was raised in this term
	RetainedBytes        int    // bytes in heartbeats of exited attempts that wait for a higher token
	LargestRetainedBytes int    // those of the machine that has most of them
}

// TokenUse returns how the leader uses its tokens now.
func (r *Registry) TokenUse() TokenUse {
	use := TokenUse{Raises: r.tokenRaises}
	for _, m := range r.Machines {
		use.RetainedBytes += m.retainedBytes
		use.LargestRetainedBytes = max(use.LargestRetainedBytes, m.retainedBytes)
	}
	return use
}
