package runner

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"poppypass/internal/graphs/dag"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// liveRun is a run in the leader's memory: one that is not finished, or whose end is not stored yet.
type liveRun struct {
	run      *dag.Run
	graph    *graph
	key      string
	defHash  string // hash of its definition
	meta     runMeta
	version  uint64    // of the stored record; 0 if it is not stored yet
	onStored []func()  // called when it is stored
	entry    *runEntry // in the graph's history

	inQueue         bool      // it is in Graphs.runQueue
	dirty           bool      // it has changes that are not stored
	storeLaterSince time.Time // when it was added to Graphs.storeLater
	finished        bool      // it and its jobs have ended, and its record says so
	submitOneByOne  bool      // a transaction with some of its jobs failed a condition, so its jobs are submitted one by one
	heldBack        bool      // its newest state could not be stored, because its record would be too long
	activeJobs      int       // submitted, unfinished jobs

	waitingForPool map[*pool][]dag.InstanceRef // ready instances that wait for slots of a pool
	waitingForPast []dag.InstanceRef           // ready instances that wait for the same step of the previous run
	picked         []pickedStep                // described instances that hold slots and are to be submitted
	unansweredJobs map[string]wire.JobState    // jobs in an unanswered transaction, by ID, with their final states if known
	tries          []Try                       // the newest ones, in the order in which they began

	size            recordSize
	separate        dag.StepSet // steps whose results are stored in records of their own
	unstoredResults []int       // steps whose results are still to be written to records of their own
	resultBytes     int         // size of all its results
}

// newLiveRun creates a live run, which is not yet added to its graph's history or to Graphs.runs. separate contains the
// steps whose results are stored in records of their own.
func newLiveRun(gr *graph, r *dag.Run, key, def string, m runMeta, separate dag.StepSet) (*liveRun, error) {
	live := &liveRun{
		run: r, graph: gr, key: key, defHash: def, meta: m, waitingForPool: map[*pool][]dag.InstanceRef{}, unansweredJobs: map[string]wire.JobState{},
		separate: separate,
	}
	headerBytes, err := live.maxHeaderBytes()
	if err != nil {
		return nil, err
	}
	live.size.headerBytes = headerBytes
	live.size.update(live)
	return live, nil
}

// addLive adds a run to the live runs.
func (g *Graphs) addLive(live *liveRun) {
	g.memoryBytes += len(live.run.Plan.Steps) * tuning.RunStepBytes
	g.addResultBytes(live, totalResultBytes(live.run))
	g.runs[live.key] = live
}

// createRun creates a run of a graph. It answers with 201 when the run is stored, or at once if it refuses the run.
func (g *Graphs) createRun(gr *graph, id string, meta runMeta, now time.Time, respond responder) {
	def := g.definitions[gr.rec.Def]
	key := keyRun(gr.rec.Team, gr.rec.ID, id)
	if status, reason := g.refusal(gr, def, key, id, &meta); status != 0 {
		respond.refuse(status, "%s", reason)
		return
	}
	meta.QueuedMS = now.UnixMilli()
	if meta.LogicalMS == 0 {
		meta.LogicalMS = meta.QueuedMS
	}
	live, err := newLiveRun(gr, dag.NewRun(def.plan, id), key, gr.rec.Def, meta, nil)
	if err != nil {
		respond.refuse(http.StatusBadRequest, "the run cannot be stored: %s", err)
		return
	}
	if needed := live.recordBound(tuning.RunMinSubmitted); needed > g.maxValueBytes() {
		respond.refuse(http.StatusBadRequest, "the run's record would have up to %d bytes with its conf, its note and %d instances of steps; %d are allowed", needed, live.size.instances(), g.maxValueBytes())
		return
	}
	g.addLive(live)
	def.refs++
	live.entry = &runEntry{key: key, id: id, logicalMS: meta.LogicalMS, hasInterval: meta.ToMS != 0, defHash: live.defHash, live: live}
	gr.insertRun(live.entry)
	live.onStored = append(live.onStored, func() { respond.succeed(http.StatusCreated) })
	g.markDirty(live)
}

// refusal returns the status and reason with which a new run is refused; status 0 if it is not refused.
func (g *Graphs) refusal(gr *graph, def *definition, key, id string, meta *runMeta) (status int, reason string) {
	switch {
	case gr.deleting:
		return http.StatusNotFound, "no such graph"
	case def == nil || def.plan == nil:
		return http.StatusServiceUnavailable, "the graph cannot be read now; ask again"
	case !validRunID(id) || len(key) > tuning.MaxKeyBytes:
		return http.StatusBadRequest, "dag_run_id is too long, or no name of letters, digits and _-.:+"
	case slices.ContainsFunc(gr.history, func(e *runEntry) bool { return e.key == key }):
		return http.StatusConflict, "the run exists already"
	case meta.ToMS != 0 && slices.ContainsFunc(gr.history, func(e *runEntry) bool { return e.hasInterval && e.logicalMS == meta.LogicalMS }):
		return http.StatusConflict, "the interval has a run already"
	case len(meta.Conf) > tuning.GraphConfMaxBytes:
		return http.StatusBadRequest, fmt.Sprintf("conf has %d bytes; up to %d are allowed", len(meta.Conf), tuning.GraphConfMaxBytes)
	case g.cfg.MaxMemoryBytes > 0 && g.memoryBytes > g.cfg.MaxMemoryBytes:
		return http.StatusServiceUnavailable, "there is no memory for more runs now; ask again"
	case g.cfg.DescriptionSource != nil:
		return 0, ""
	case !meta.Described:
		return http.StatusConflict, noSourceText("the run's steps were not described by whoever triggers it")
	}
	for i := range def.plan.Steps {
		if mappedAtRunTime(def.plan, i) {
			return http.StatusConflict, noSourceText("step " + def.plan.Steps[i].ID + " is mapped over what another step leaves")
		}
	}
	return 0, ""
}

// insertRun adds a run to a graph's history.
func (gr *graph) insertRun(e *runEntry) {
	i, _ := slices.BinarySearchFunc(gr.history, e, func(a, b *runEntry) int {
		return cmp.Or(cmp.Compare(a.logicalMS, b.logicalMS), cmp.Compare(a.id, b.id))
	})
	gr.history = slices.Insert(gr.history, i, e)
}

// startIfAllowed reports whether steps of a run may be submitted: the graph is not paused, and the run has started. It
// starts the run if fewer runs than the graph's limit have started.
func (g *Graphs) startIfAllowed(live *liveRun, now time.Time) bool {
	gr := live.graph
	if gr.rec.Paused {
		return false
	}
	if live.meta.StartMS == 0 {
		if gr.startedRuns >= gr.rec.MaxRuns {
			return false
		}
		gr.startedRuns++
		live.meta.StartMS = now.UnixMilli()
		live.dirty = true
	}
	return true
}

// finish removes a run from the live runs if it has ended, its jobs have finished and its record is stored. It
// enqueues the graph's next run that has not started.
func (g *Graphs) finish(live *liveRun) {
	if live.finished || live.run.RunState() == dag.RunRunning || live.activeJobs > 0 || live.dirty || len(live.unansweredJobs) > 0 {
		return
	}
	gr := live.graph
	live.finished = true
	delete(g.runs, live.key)
	delete(g.storeLater, live)
	g.memoryBytes -= len(live.run.Plan.Steps)*tuning.RunStepBytes + live.resultBytes
	live.entry.hasResultRecords = len(live.separate) > 0
	live.entry.live, live.entry.failedPastDependents = nil, failedPastDependents(live.run)
	if live.meta.StartMS != 0 {
		gr.startedRuns--
	}
	for _, q := range append([]*waitQueue{&gr.waitQueue}, g.poolQueues()...) {
		q.runs = slices.DeleteFunc(q.runs, func(other *liveRun) bool { return other == live })
	}
	if i := slices.IndexFunc(gr.history, func(e *runEntry) bool { return e.live != nil && e.live.meta.StartMS == 0 }); i >= 0 {
		g.enqueueRun(gr.history[i].live)
	}
	g.applyRetention(gr)
}

// failedPastDependents returns the IDs of a run's steps that depend on the past and neither succeeded nor were
// skipped. They block the same steps of the next run.
func failedPastDependents(run *dag.Run) map[string]bool {
	var out map[string]bool
	for i := range run.Plan.Steps {
		state, _ := run.StepState(i)
		if run.Plan.Steps[i].DependsOnPast && state != dag.Success && state != dag.Skipped {
			if out == nil {
				out = map[string]bool{}
			}
			out[run.Plan.Steps[i].ID] = true
		}
	}
	return out
}

// cancelRun cancels a run and its jobs. No more of its steps are submitted.
func (g *Graphs) cancelRun(live *liveRun, now time.Time, respond responder) {
	live.run.Cancel()
	if live.meta.StartMS == 0 { // it was waiting to start
		live.meta.StartMS = now.UnixMilli()
		live.graph.startedRuns++
	}
	live.onStored = append(live.onStored, func() { respond.succeed(http.StatusOK) })
	g.cancelUnneeded(live)
	g.markDirty(live)
}

// clearSteps resets steps of a live run, so that they run again as new jobs.
func (g *Graphs) clearSteps(live *liveRun, cmd *Command, respond responder) {
	steps, status, reason := g.stepsToClear(live, cmd)
	if status != 0 {
		respond.refuse(status, "%s", reason)
		return
	}
	live.run.Clear(steps)
	live.detachOrphans(g)
	g.resultsCleared(live, steps)
	live.size.update(live)
	live.onStored = append(live.onStored, func() { respond.succeed(http.StatusOK) })
	g.cancelUnneeded(live)
	g.markDirty(live)
}

// detachOrphans releases the slots of unfinished jobs of earlier generations.
func (live *liveRun) detachOrphans(g *Graphs) {
	for _, id := range live.run.Orphans() {
		if job, ok := g.byJob[id]; ok && job.ref.Step >= 0 {
			live.activeJobs++ // releaseSlots decrements it, but the run stays live until the job has finished
			g.releaseSlots(live, job.ref.Step)
			job.ref = dag.InstanceRef{Step: -1}
			g.byJob[id] = job
			delete(g.notSeenRunning, id)
			delete(g.withTimeout, id)
		}
	}
}

// stepsToClear returns the steps that a command clears, or the status and reason with which it is refused; status 0 if it is
// not refused.
func (g *Graphs) stepsToClear(live *liveRun, cmd *Command) (steps []int, status int, reason string) {
	steps, err := live.run.StepsToClear(cmd.Steps, cmd.Downstream, cmd.OnlyFailed)
	if err != nil {
		return nil, http.StatusBadRequest, err.Error()
	}
	size := live.size
	size.generationBytes = dag.ColumnBytes(live.run.GenerationsAfterClear(steps))
	orphaned := live.submittedOf(steps)
	status, reason = g.refusalOfSize(live, size, live.submitted()-orphaned, len(live.run.Orphans())+orphaned)
	return steps, status, reason
}

// submittedOf returns how many jobs of the given steps are submitted and not over.
func (live *liveRun) submittedOf(steps []int) (count int) {
	for _, i := range steps {
		_, instances := live.run.StepState(i)
		for k := range instances {
			if s := instances[k].State; s != dag.Scheduled && !s.Final() {
				count++
			}
		}
	}
	return count
}

// runMeta is the part of a run's record that does not concern single steps.
type runMeta struct {
	Type      string          `json:"type"` // manual, scheduled or backfill
	LogicalMS int64           `json:"logical_ms"`
	FromMS    int64           `json:"from_ms,omitempty"` // start of the data interval; 0 if there is none
	ToMS      int64           `json:"to_ms,omitempty"`   // end of the data interval; 0 if there is none
	QueuedMS  int64           `json:"queued_ms"`
	StartMS   int64           `json:"start_ms,omitempty"` // 0 if it waits to start (startIfAllowed)
	EndMS     int64           `json:"end_ms,omitempty"`   // 0 if it has not ended
	Conf      json.RawMessage `json:"conf,omitempty"`
	Note      string          `json:"note,omitempty"`
	Described bool            `json:"described,omitempty"` // the client that triggered it has described its steps
}
