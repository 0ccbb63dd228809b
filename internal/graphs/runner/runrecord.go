package runner

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/graphs/dag"
	"poppypass/internal/platform/tuning"
)

// runRecord is the stored form of a run.
type runRecord struct {
	Team  string `json:"team"`
	Graph string `json:"graph"`
	ID    string `json:"id"`
	Def   string `json:"def"` // hash of its definition
	State string `json:"state"`
	runMeta
	// Open is true if jobs of the run are not finished. They may still be unfinished after the run has ended.
	Open bool   `json:"open,omitempty"`
	Zstd []byte `json:"z"` // stored form of a dag.Run, compressed
	// Tries is the list of the newest tries of the run's steps, encoded and compressed.
	Tries []byte `json:"tries,omitempty"`
	// Results is the set of the steps whose results are stored in records of their own (keyResult).
	Results dag.StepSet `json:"results,omitempty"`
}

// finished reports whether the run is finished: it has ended, and so have all its jobs.
func (r *runRecord) finished() bool { return r.State != dag.RunRunning.String() && !r.Open }

// recordFinished reports whether the run's record would say that the run is finished.
func (live *liveRun) recordFinished() bool {
	return live.run.RunState() != dag.RunRunning && live.activeJobs == 0
}

// header returns the run's record without the states of its steps, its tries and its results.
func (live *liveRun) header() runRecord {
	return runRecord{
		Team: live.graph.rec.Team, Graph: live.graph.rec.ID, ID: live.run.ID, Def: live.defHash, State: live.run.RunState().String(), runMeta: live.meta,
		Open: live.activeJobs > 0,
	}
}

// recordForm is a form in which a run can be stored.
type recordForm struct {
	states    func() []byte // encodes the states of the steps
	withTries bool
}

// recordForms returns the forms in which a run can be stored, from the most complete to the shortest. An unfinished run
// with results in records of their own is always in the compact form. Earlier versions refuse to decode it, so they do
// not continue the run without these results.
func (live *liveRun) recordForms() []recordForm {
	separate := live.separate
	full := func() []byte { return live.run.EncodeWithout(separate) }
	compact := func() []byte { return live.run.EncodeCompact(dag.CompactOptions{Separate: separate}) }
	shortest := func() []byte {
		return live.run.EncodeCompact(dag.CompactOptions{Separate: separate, DropFailures: true})
	}
	forms := []recordForm{{compact, true}, {compact, false}, {shortest, false}}
	if len(live.separate) == 0 || live.recordFinished() {
		forms = append([]recordForm{{full, true}, {full, false}}, forms...)
	}
	return forms
}

// encodeRunRecord encodes a run's record, in the most complete form that stays within limit bytes. If even the
// shortest form is longer, encodeRunRecord returns it nevertheless.
func encodeRunRecord(codec *charge.Codec, live *liveRun, limit int) (value json.RawMessage, err error) {
	for _, form := range live.recordForms() {
		if form.withTries && len(live.tries) == 0 {
			continue // the next form is the same
		}
		rec := live.header()
		rec.Results = live.separate
		rec.Zstd = codec.Encode(form.states())
		if form.withTries {
			rec.Tries = codec.Encode(live.tries)
		}
		value, err = json.Marshal(rec)
		if err == nil && len(value) <= limit {
			break
		}
	}
	return value, err
}

// decodeRun decodes the states of a run's steps. Results in records of their own are not restored.
func decodeRun(codec *charge.Codec, rec *runRecord, plan *dag.Plan) (*dag.Run, error) {
	var raw []byte
	if err := codec.Decode(rec.Zstd, &raw); err != nil {
		return nil, fmt.Errorf("run %s of %s: %w", rec.ID, rec.Graph, err)
	}
	return dag.DecodeRun(plan, raw)
}

// recordSize is what the bound of a run's record is computed from. The bound holds for every state that the run can
// reach without a further command of a user: steps that begin, fail and end do not make the record too long.
type recordSize struct {
	headerBytes     int // length of the record without the states of its steps, its tries and its results
	idBytes         int // length of the run's ID, which is also among the states
	steps           int
	mappedSteps     int
	mappedInstances int // expected ones, see dag.Run.ExpectedInstanceCounts
	countBytes      int // size of their numbers by step
	generationBytes int // size of the steps' generations
	inlineBytes     int // size of the results that are stored in the record
}

// maxHeaderBytes returns the greatest length of a run's record without the states of its steps, its tries and its
// results. The error is that of encoding the run's conf.
func (live *liveRun) maxHeaderBytes() (int, error) {
	rec := live.header()
	rec.StartMS, rec.EndMS, rec.Open = math.MaxInt64, math.MaxInt64, true
	header, err := json.Marshal(rec)
	return len(header), err
}

// update measures everything but the header.
func (s *recordSize) update(live *liveRun) {
	s.idBytes = len(live.run.ID)
	s.steps = len(live.run.Plan.Steps)
	s.setInstanceCounts(live.run.ExpectedInstanceCounts())
	s.generationBytes = dag.ColumnBytes(live.run.Generations())
	s.inlineBytes = 0
	for i := range s.steps {
		if !live.separate.Has(i) {
			s.inlineBytes += inlineResultBytes(live.run.Result(i))
		}
	}
}

// instances returns how many instances the run has once all its steps are ready, as far as that is known now.
func (s *recordSize) instances() int { return s.steps - s.mappedSteps + s.mappedInstances }

// setInstanceCounts measures the expected numbers of instances of mapped steps. They change only when a result is set.
func (s *recordSize) setInstanceCounts(counts []int) {
	s.mappedSteps, s.mappedInstances, s.countBytes = len(counts), 0, dag.ColumnBytes(counts)
	for _, n := range counts {
		s.mappedInstances += n
	}
}

// inlineResultBytes returns the size of a result that is stored in its run's record, before base64.
func inlineResultBytes(result json.RawMessage) int {
	if result == nil {
		return 0
	}
	return len(result) + tuning.RunInlineResultBytes
}

// bound returns the greatest length, in bytes, of the shortest form of the record while the given numbers of instances
// are submitted and of orphans are unfinished. Results in the record are not counted, as they can be moved out of it.
func (s *recordSize) bound(submitted, orphans int) int {
	raw := tuning.RunRecordOverheadBytes + s.idBytes + (s.steps+s.mappedInstances)*tuning.RunStateBits/8 + s.countBytes + s.generationBytes +
		submitted*tuning.RunSubmittedBytes + orphans*tuning.RunOrphanBytes
	return s.headerBytes + base64.StdEncoding.EncodedLen(raw) + base64.StdEncoding.EncodedLen(s.steps/8+1)
}

// recordBound returns the bound of a run's record while the given number of its instances are submitted.
func (live *liveRun) recordBound(submitted int) int {
	return live.size.bound(submitted, len(live.run.Orphans()))
}

// submitted returns the number of the run's instances that are submitted or hold slots.
func (live *liveRun) submitted() int { return live.activeJobs - len(live.run.Orphans()) }

// hasRecordRoom reports whether one more instance of a run may be submitted: its record has room for it, or fewer are
// submitted than every accepted run has room for. An earlier version may have accepted a run without such a bound.
func (g *Graphs) hasRecordRoom(live *liveRun) bool {
	return live.submitted() < tuning.RunMinSubmitted || live.recordBound(live.submitted()+1) <= g.maxValueBytes()
}

// maxValueBytes returns the largest size of a value in the state service.
func (g *Graphs) maxValueBytes() int { return int(g.cfg.MaxValueKiB * 1024) }
