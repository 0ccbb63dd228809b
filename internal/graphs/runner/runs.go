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

// liveRun is a run that is not over.
type liveRun struct {
	run      *dag.Run
	graph    *graph
	key      string
	def      string
	meta     meta
	version  uint64 // 0: it was not stored yet
	onStored []func()
	entry    *entry

	queued   bool // it is in the list of those to look at
	dirty    bool // it is not stored as it is
	lateAt   time.Time
	finished bool // it is over, and stored
	suspect  bool // a condition on one of its jobs did not hold: they are stored one by one
	size     int  // bytes of its newest record
	active   int  // jobs that are submitted and not over

	waitingForPool map[*pool][]dag.InstanceRef // ready, and their pool is full
	waitingForPast []dag.InstanceRef           // ready, and the run before has not done the step
	picked         []pickedStep                // described, with their slots taken
	pending        map[string]wire.JobState    // on their way to the store, with what became of them meanwhile
	tries          []Try                       // the newest, in the order in which they began
}

func newLiveRun(gr *graph, r *dag.Run, key, def string, m meta) *liveRun {
	return &liveRun{
		run: r, graph: gr, key: key, def: def, meta: m, waitingForPool: map[*pool][]dag.InstanceRef{}, pending: map[string]wire.JobState{},
	}
}

// addLive takes a run in among those that are live.
func (g *Graphs) addLive(x *liveRun) {
	g.bytes += len(x.run.Plan.Steps) * tuning.RunStepBytes
	g.runs[x.key] = x
}

// createRun begins a run of a graph. tell is told once it is stored, or why it is not.
func (g *Graphs) createRun(gr *graph, id string, m meta, now time.Time, tell responder) {
	d := g.defs[gr.rec.Def]
	key := keyRun(gr.rec.Team, gr.rec.ID, id)
	if status, why := g.refusalOf(gr, d, key, id, &m); status != 0 {
		tell.refuse(status, "%s", why)
		return
	}
	m.QueuedMS = now.UnixMilli()
	if m.LogicalMS == 0 {
		m.LogicalMS = m.QueuedMS
	}
	x := newLiveRun(gr, dag.NewRun(d.plan, id), key, gr.rec.Def, m)
	g.addLive(x)
	d.refs++
	x.entry = &entry{key: key, id: id, logical: m.LogicalMS, due: m.ToMS != 0, def: x.def, live: x}
	gr.insertRun(x.entry)
	x.onStored = append(x.onStored, func() { tell.succeed(http.StatusCreated) })
	g.markDirty(x)
}

// refusalOf returns the status and reason with which a new run is refused; 0: it is not.
func (g *Graphs) refusalOf(gr *graph, d *definition, key, id string, m *meta) (status int, why string) {
	switch {
	case gr.deleting:
		return http.StatusNotFound, "no such graph"
	case d == nil || d.plan == nil:
		return http.StatusServiceUnavailable, "the graph cannot be read now; ask again"
	case !validRun(id) || len(key) > tuning.MaxKeyBytes:
		return http.StatusBadRequest, "dag_run_id is too long, or no name of letters, digits and _-.:+"
	case slices.ContainsFunc(gr.history, func(e *entry) bool { return e.key == key }):
		return http.StatusConflict, "the run exists already"
	case m.ToMS != 0 && slices.ContainsFunc(gr.history, func(e *entry) bool { return e.due && e.logical == m.LogicalMS }):
		return http.StatusConflict, "the interval has a run already"
	case len(m.Conf) > tuning.GraphConfMaxBytes:
		return http.StatusBadRequest, fmt.Sprintf("conf has %d bytes; up to %d are allowed", len(m.Conf), tuning.GraphConfMaxBytes)
	case g.cfg.Bytes > 0 && g.bytes > g.cfg.Bytes:
		return http.StatusServiceUnavailable, "there is no memory for more runs now; ask again"
	case g.cfg.Source != nil:
		return 0, ""
	case !m.Described:
		return http.StatusConflict, noSource("the run's steps were not described by whoever triggers it")
	}
	for i := range d.plan.Steps {
		if mappedAtRunTime(d.plan, i) {
			return http.StatusConflict, noSource("step " + d.plan.Steps[i].ID + " is mapped over what another step leaves")
		}
	}
	return 0, ""
}

// insertRun takes a run into a graph's history.
func (gr *graph) insertRun(e *entry) {
	i, _ := slices.BinarySearchFunc(gr.history, e, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.logical, b.logical), cmp.Compare(a.id, b.id))
	})
	gr.history = slices.Insert(gr.history, i, e)
}

// mayProceed reports whether a run goes on: its graph is not paused, and no more of its runs go
// on than may.
func (g *Graphs) mayProceed(x *liveRun, now time.Time) bool {
	gr := x.graph
	if gr.rec.Paused {
		return false
	}
	if x.meta.StartMS == 0 {
		if gr.started >= gr.rec.MaxRuns {
			return false
		}
		gr.started++
		x.meta.StartMS = now.UnixMilli()
		x.dirty = true
	}
	return true
}

// finish takes a run out of those that are live once it is over and stored as that.
func (g *Graphs) finish(x *liveRun) {
	if x.finished || x.run.RunState() == dag.RunRunning || x.active > 0 || x.dirty || len(x.pending) > 0 {
		return
	}
	gr := x.graph
	x.finished = true
	delete(g.runs, x.key)
	delete(g.storeLater, x)
	g.bytes -= len(x.run.Plan.Steps) * tuning.RunStepBytes
	x.entry.live, x.entry.failed = nil, failedPastDependents(x.run)
	if x.meta.StartMS != 0 {
		gr.started--
	}
	for _, l := range append([]*waitLine{&gr.line}, g.lines()...) {
		l.runs = slices.DeleteFunc(l.runs, func(y *liveRun) bool { return y == x })
	}
	if i := slices.IndexFunc(gr.history, func(e *entry) bool { return e.live != nil && e.live.meta.StartMS == 0 }); i >= 0 {
		g.enqueueRun(gr.history[i].live)
	}
	g.applyRetention(gr)
}

// failedPastDependents names the steps that depend on the past and did not end well.
func failedPastDependents(r *dag.Run) map[string]bool {
	var out map[string]bool
	for i := range r.Plan.Steps {
		state, _ := r.StepState(i)
		if r.Plan.Steps[i].DependsOnPast && state != dag.Success && state != dag.Skipped {
			if out == nil {
				out = map[string]bool{}
			}
			out[r.Plan.Steps[i].ID] = true
		}
	}
	return out
}

// cancelRun ends a run: nothing more of it begins.
func (g *Graphs) cancelRun(x *liveRun, now time.Time, tell responder) {
	x.run.Cancel()
	if x.meta.StartMS == 0 { // it never went on
		x.meta.StartMS = now.UnixMilli()
		x.graph.started++
	}
	x.onStored = append(x.onStored, func() { tell.succeed(http.StatusOK) })
	g.cancelUnneeded(x)
	g.markDirty(x)
}

// clear has steps of a run go again.
func (g *Graphs) clear(x *liveRun, o *Order, tell responder) {
	steps, err := x.run.StepsToClear(o.Steps, o.Below, o.OnlyFailed)
	if err != nil {
		tell.refuse(http.StatusBadRequest, "%s", err)
		return
	}
	x.run.Clear(steps)
	x.detachOrphans(g)
	x.onStored = append(x.onStored, func() { tell.succeed(http.StatusOK) })
	g.cancelUnneeded(x)
	g.markDirty(x)
}

// detachOrphans has jobs of earlier generations no longer take slots.
func (x *liveRun) detachOrphans(g *Graphs) {
	for _, id := range x.run.Orphans() {
		if w, ok := g.byJob[id]; ok && w.at.Step >= 0 {
			x.active++ // until it is over, the run is live
			g.releaseSlots(x, w.at.Step)
			w.at = dag.InstanceRef{Step: -1}
			g.byJob[id] = w
			delete(g.notSeenRunning, id)
			delete(g.withTimeout, id)
		}
	}
}

// push records what a step leaves for those that follow.
func (g *Graphs) push(x *liveRun, o *Order, tell responder) {
	i, ok := x.run.Plan.Index[o.Step]
	if !ok {
		tell.refuse(http.StatusNotFound, "no such step")
		return
	}
	if err := x.run.SetResult(i, o.Result); err != nil {
		tell.refuse(http.StatusConflict, "%s", err)
		return
	}
	x.onStored = append(x.onStored, func() { tell.succeed(http.StatusOK) })
	g.markDirty(x)
}

// meta is what is known of a run beside the states of its steps.
type meta struct {
	Type      string          `json:"type"` // manual, scheduled or backfill
	LogicalMS int64           `json:"logical_ms"`
	FromMS    int64           `json:"from_ms,omitempty"` // the interval that it stands for
	ToMS      int64           `json:"to_ms,omitempty"`
	QueuedMS  int64           `json:"queued_ms"`
	StartMS   int64           `json:"start_ms,omitempty"` // 0: it waits for others of its graph
	EndMS     int64           `json:"end_ms,omitempty"`
	Conf      json.RawMessage `json:"conf,omitempty"`
	Note      string          `json:"note,omitempty"`
	Described bool            `json:"described,omitempty"` // whoever triggered it described its steps
}
