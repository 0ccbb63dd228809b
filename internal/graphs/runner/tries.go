package runner

import (
	"slices"
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/graphs/dag"
	"poppypass/internal/platform/tuning"
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

// tryBegan records the start of a try of an instance.
func (live *liveRun) tryBegan(ref dag.InstanceRef, now time.Time) {
	live.tries = append(live.tries, Try{
		Step: ref.Step, Index: ref.Index, Generation: live.run.Generation(ref.Step), BeginMS: now.UnixMilli() - live.meta.QueuedMS, State: dag.Running,
	})
}

// trimTries discards the oldest tries, so that the others take up to tuning.TriesRecordShare of a record.
func (live *liveRun) trimTries(maxValueBytes int) {
	if n := int(tuning.TriesRecordShare*float64(maxValueBytes)) / tuning.TryBytes; len(live.tries) > n {
		live.tries = slices.Clone(live.tries[len(live.tries)-n:])
	}
}

// tryEnded records the end of the newest try of an instance. It does nothing if the start of that try was not recorded.
func (live *liveRun) tryEnded(ref dag.InstanceRef, now time.Time, state dag.State) {
	for i := len(live.tries) - 1; i >= 0; i-- {
		if t := &live.tries[i]; t.Step == ref.Step && t.Index == ref.Index {
			if t.EndMS == 0 {
				t.EndMS, t.State = max(1, now.UnixMilli()-live.meta.QueuedMS), state
			}
			return
		}
	}
}

// readTries decodes the tries of a stored run. It returns none if they cannot be decoded, because they are only
// displayed.
func readTries(codec *charge.Codec, rec *runRecord) (tries []Try) {
	if len(rec.Tries) > 0 && codec.Decode(rec.Tries, &tries) != nil {
		return nil
	}
	return tries
}
