package runner

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"poppypass/internal/clients/statestore"
	"poppypass/internal/graphs/dag"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// Results of steps are stored in the record of their run while it has room for them, as earlier versions store all of
// them. Any other result is in a record of its own, and the run's record names its step (runRecord.Results). A result's
// record is written before the record of its run names it or in the same transaction. It is deleted with its run.

// resultRecord is the stored form of a result that is not stored in its run's record.
type resultRecord struct {
	Generation int    `json:"generation"` // of the step; a result of another generation is void
	Result     []byte `json:"result"`     // JSON
}

// resultPrefix returns the prefix of the keys of a run's results. It is a hash, as the key of a run may have any length
// that a key may have.
func resultPrefix(runKey string) string {
	sum := sha256.Sum256([]byte(runKey))
	return PrefixResult + hex.EncodeToString(sum[:16]) + "/"
}

// keyResult returns the key of the result of a run's step.
func keyResult(runKey string, step int) string {
	return fmt.Sprintf("%s%05d", resultPrefix(runKey), step)
}

// setResult sets the result of a step, which steps downstream read.
func (g *Graphs) setResult(live *liveRun, cmd *Command, respond responder) {
	i, ok := live.run.Plan.Index[cmd.Step]
	if !ok {
		respond.refuse(http.StatusNotFound, "no such step")
		return
	}
	old := live.run.Result(i)
	if err := live.run.SetResult(i, cmd.Result); err != nil {
		respond.refuse(http.StatusConflict, "%s", err)
		return
	}
	if status, reason := g.refusalOfResult(live, i, len(cmd.Result)-len(old)); status != 0 {
		live.run.RestoreResult(i, old)
		respond.refuse(status, "%s", reason)
		return
	}
	g.addResultBytes(live, len(cmd.Result)-len(old))
	if live.run.Plan.MapsOver(i) {
		live.size.setInstanceCounts(live.run.ExpectedInstanceCounts())
	}
	g.placeResult(live, i, old)
	live.onStored = append(live.onStored, func() { respond.succeed(http.StatusOK) })
	g.markDirty(live)
}

// refusalOfResult returns the status and reason with which a result is refused that the run already has in memory;
// status 0 if it is not refused. addedBytes is by how much it is longer than the result that it replaces.
func (g *Graphs) refusalOfResult(live *liveRun, step, addedBytes int) (status int, reason string) {
	if g.cfg.MaxMemoryBytes > 0 && addedBytes > 0 && g.memoryBytes+addedBytes > g.cfg.MaxMemoryBytes {
		return http.StatusServiceUnavailable, "there is no memory for more results now; ask again"
	}
	if !live.run.Plan.MapsOver(step) {
		return 0, ""
	}
	size := live.size
	size.setInstanceCounts(live.run.ExpectedInstanceCounts())
	return g.refusalOfSize(live, size, live.submitted(), len(live.run.Orphans()))
}

// refusalOfSize returns the status and reason with which a command is refused that would give a run's record the given
// size while the given numbers of instances are submitted and of orphans are unfinished; status 0 if it is not refused.
func (g *Graphs) refusalOfSize(live *liveRun, size recordSize, submitted, orphans int) (status int, reason string) {
	limit := g.maxValueBytes()
	if needed := size.bound(tuning.RunMinSubmitted, 0); needed > limit {
		return http.StatusConflict, fmt.Sprintf("the run's record would have up to %d bytes with %d instances of its steps; %d are allowed", needed, size.instances(), limit)
	}
	if needed := size.bound(submitted, orphans); needed > limit && needed > live.recordBound(live.submitted()) {
		return http.StatusServiceUnavailable, fmt.Sprintf("the run's record would have up to %d bytes while its %d jobs are not over; %d are allowed: ask again when fewer are", needed, live.activeJobs, limit)
	}
	return 0, ""
}

// placeResult decides where the new result of a step is stored. old is the result that it replaces; nil if none.
func (g *Graphs) placeResult(live *liveRun, step int, old json.RawMessage) {
	if live.separate.Has(step) {
		live.unstoredResults = append(live.unstoredResults, step)
		return
	}
	live.size.inlineBytes += inlineResultBytes(live.run.Result(step)) - inlineResultBytes(old)
	if !g.fitsInline(live) {
		live.separateResult(step)
	}
}

// fitsInline reports whether the run's record has room for the results in it, beside as many submitted instances as the
// run may have at a time.
func (g *Graphs) fitsInline(live *liveRun) bool {
	submitted := max(live.submitted(), min(live.size.instances(), live.graph.rec.MaxTasks))
	return live.recordBound(submitted)+base64.StdEncoding.EncodedLen(live.size.inlineBytes) <= g.maxValueBytes()
}

// separateResult has the result of a step stored in a record of its own instead of the run's record.
func (live *liveRun) separateResult(step int) {
	live.size.inlineBytes -= inlineResultBytes(live.run.Result(step))
	live.separate.Add(step)
	live.unstoredResults = append(live.unstoredResults, step)
}

// separateAllResults has all results of a run stored in records of their own, if the run's record may have no room for
// them. An earlier version may have stored more in it than this one does, and a later result may need the room.
func (g *Graphs) separateAllResults(live *liveRun) {
	if live.size.inlineBytes == 0 || live.recordBound(live.submitted())+base64.StdEncoding.EncodedLen(live.size.inlineBytes) <= g.maxValueBytes() {
		return
	}
	for i := range live.run.Plan.Steps {
		if live.run.Result(i) != nil && !live.separate.Has(i) {
			live.separateResult(i)
		}
	}
}

// putResults adds the results that are not stored yet to a transaction, and reports whether there was room for all. A
// result needs no condition: only the leader writes it, and the transactions of subsystems form a chain.
func (g *Graphs) putResults(live *liveRun, b *batch) (all bool) {
	for len(live.unstoredResults) > 0 {
		step := live.unstoredResults[0]
		value := wire.EncodeRecord(resultRecord{live.run.Generation(step), live.run.Result(step)})
		if !b.fits(1, len(value)) {
			return false
		}
		live.unstoredResults = live.unstoredResults[1:]
		if !live.separate.Has(step) {
			continue // the step was cleared in the meantime
		}
		key := keyResult(live.key, step)
		b.txn.Then = append(b.txn.Then, wire.Change{Put: key, Value: value})
		b.bytes += len(value) + len(key) + tuning.TxnChangeOverheadBytes
		b.onConflict = append(b.onConflict, func() { live.unstoredResults = append(live.unstoredResults, step) })
	}
	return true
}

// addResultBytes counts the memory of a live run's results.
func (g *Graphs) addResultBytes(live *liveRun, n int) {
	live.resultBytes += n
	g.memoryBytes += n
}

// resultsCleared updates what follows from a run's results after steps were cleared.
func (g *Graphs) resultsCleared(live *liveRun, steps []int) {
	for _, step := range steps {
		live.separate.Remove(step)
	}
	g.addResultBytes(live, totalResultBytes(live.run)-live.resultBytes)
}

// totalResultBytes returns the size of all results of a run.
func totalResultBytes(run *dag.Run) (n int) {
	for i := range run.Plan.Steps {
		n += len(run.Result(i))
	}
	return n
}

// errMissingResult means that a result which a run's record names is not stored.
var errMissingResult = errors.New("a result of the run is missing")

// restoreResults reads the results of a run that are stored in records of their own, and restores them. The error is
// errMissingResult if one is not stored or cannot be decoded.
func restoreResults(ctx context.Context, store *statestore.Client, runKey string, run *dag.Run, separate dag.StepSet) error {
	if len(separate) == 0 {
		return nil
	}
	prefix := resultPrefix(runKey)
	if _, err := store.ListAll(ctx, prefix, func(items []wire.Item) error {
		for _, item := range items {
			step, err := strconv.Atoi(strings.TrimPrefix(item.Key, prefix))
			if err != nil || step >= len(run.Plan.Steps) || !separate.Has(step) {
				continue // left by an earlier run of that name or an earlier generation of the step
			}
			var rec resultRecord
			if json.Unmarshal(item.Value, &rec) == nil && rec.Generation == run.Generation(step) {
				run.RestoreResult(step, rec.Result)
			}
		}
		return nil
	}); err != nil {
		return err
	}
	for i := range run.Plan.Steps {
		if separate.Has(i) && run.Result(i) == nil {
			return errMissingResult
		}
	}
	return nil
}

// Result returns the result of a step of a run; nil if there is none.
func (r *Reader) Result(ctx context.Context, view *RunView, step int) (json.RawMessage, error) {
	if !view.separate.Has(step) {
		return view.Run.Result(step), nil
	}
	var rec resultRecord
	switch err := r.get(ctx, keyResult(view.key, step), &rec); {
	case errors.Is(err, ErrNotFound) || err == nil && rec.Generation != view.Run.Generation(step):
		return nil, nil // the step was cleared since the run was read
	case err != nil:
		return nil, err
	}
	return rec.Result, nil
}
