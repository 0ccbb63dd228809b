package runner

import (
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/graphs/dag"
)

// Try is one try of an instance of a step, from when the leader saw its job running until it saw the attempt end. There
// is no Try for an attempt that began and ended while there was no leader.
type Try struct {
	_          struct{} `cbor:",toarray"`
	Step       int
	Index      int
	Generation int
	BeginMS    int64 // in milliseconds since the run was queued
	EndMS      int64 // in milliseconds since the run was queued; 0 if it is running
	State      dag.State
}

// tryBegan records the begin of a try of an instance.
func (x *liveRun) tryBegan(at dag.InstanceRef, now time.Time) {
	x.tries = append(x.tries, Try{
		Step: at.Step, Index: at.Index, Generation: x.run.Generation(at.Step), BeginMS: now.UnixMilli() - x.meta.QueuedMS, State: dag.Running,
	})
}

// tryEnded records the end of the newest try of an instance, unless its begin was not seen.
func (x *liveRun) tryEnded(at dag.InstanceRef, now time.Time, state dag.State) {
	for i := len(x.tries) - 1; i >= 0; i-- {
		if t := &x.tries[i]; t.Step == at.Step && t.Index == at.Index {
			if t.EndMS == 0 {
				t.EndMS, t.State = max(1, now.UnixMilli()-x.meta.QueuedMS), state
			}
			return
		}
	}
}

// readTries decodes the tries of a stored run. It returns none if they cannot be decoded, because they are only
// displayed.
func readTries(c *charge.Codec, rec *runRecord) (tries []Try) {
	if len(rec.Tries) > 0 && c.Decode(rec.Tries, &tries) != nil {
		return nil
	}
	return tries
}
