package runner

import (
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/graphs/dag"
)

// Try is one try of an instance of a step: from when its job was seen to run until it was
// seen to end. What nobody saw, since no one led, has no try.
type Try struct {
	_          struct{} `cbor:",toarray"`
	Step       int
	Index      int
	Generation int
	BeginMS    int64 // from the time when the run was queued
	EndMS      int64 // the same; 0: it runs
	State      dag.State
}

// begun records that an instance runs.
func (x *liveRun) begun(at dag.InstanceRef, now time.Time) {
	x.tries = append(x.tries, Try{
		Step: at.Step, Index: at.Index, Generation: x.run.Generation(at.Step), BeginMS: now.UnixMilli() - x.meta.QueuedMS, State: dag.Running,
	})
}

// ended records how the newest try of an instance ended, if it was seen to begin.
func (x *liveRun) ended(at dag.InstanceRef, now time.Time, state dag.State) {
	for i := len(x.tries) - 1; i >= 0; i-- {
		if t := &x.tries[i]; t.Step == at.Step && t.Index == at.Index {
			if t.EndMS == 0 {
				t.EndMS, t.State = max(1, now.UnixMilli()-x.meta.QueuedMS), state
			}
			return
		}
	}
}

// readTries returns a stored run's tries; none, if they cannot be read: nothing hangs on them.
func readTries(c *charge.Codec, rec *runRecord) (tries []Try) {
	if len(rec.Tries) > 0 && c.Decode(rec.Tries, &tries) != nil {
		return nil
	}
	return tries
}
