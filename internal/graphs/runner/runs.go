package runner

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"poppypass/internal/graphs/dag"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// live is a run that is not over.
type live struct {
	run     *dag.Run
	graph   *graph
	key     string
	def     string
	meta    meta
	version uint64 // 0: it was not stored yet
	told    []func()
	entry   *entry

	queued  bool // it is in the list of those to look at
	dirty   bool // it is not stored as it is
	lateAt  time.Time
	gone    bool // it is over, and stored
	suspect bool // a condition on one of its jobs did not hold: they are stored one by one
	size    int  // bytes of its newest record
	active  int  // jobs that are submitted and not over

	held    map[*pool][]dag.Ref      // ready, and their pool is full
	waits   []dag.Ref                // ready, and the run before has not done the step
	picked  []pick                   // described, with their slots taken
	pending map[string]wire.JobState // on their way to the store, with what became of them meanwhile
	tries   []Try                    // the newest, in the order in which they began
}

// pick is an instance that is to be submitted.
type pick struct {
	run *live
	at  dag.Ref
	id  string // its job's
}

func newLive(gr *graph, r *dag.Run, key, def string, m meta) *live {
	return &live{
		run: r, graph: gr, key: key, def: def, meta: m, held: map[*pool][]dag.Ref{}, pending: map[string]wire.JobState{},
	}
}

// join takes a run in among those that are live.
func (g *Graphs) join(x *live) {
	g.bytes += len(x.run.Plan.Steps) * tuning.RunStepBytes
	g.runs[x.key] = x
}

// begin begins a run of a graph. tell is told once it is stored, or why it is not.
func (g *Graphs) begin(gr *graph, id string, m meta, now time.Time, tell answer) {
	d := g.defs[gr.rec.Def]
	key := keyRun(gr.rec.Team, gr.rec.ID, id)
	switch {
	case gr.gone:
		tell.refuse(http.StatusNotFound, "no such graph")
		return
	case d == nil || d.plan == nil:
		tell.refuse(http.StatusServiceUnavailable, "the graph cannot be read now; ask again")
		return
	case !validRun(id) || len(key) > tuning.MaxKey:
		tell.refuse(http.StatusBadRequest, "dag_run_id is too long, or no name of letters, digits and _-.:+")
		return
	case slices.ContainsFunc(gr.history, func(e *entry) bool { return e.key == key }):
		tell.refuse(http.StatusConflict, "the run exists already")
		return
	case m.ToMS != 0 && slices.ContainsFunc(gr.history, func(e *entry) bool { return e.due && e.logical == m.LogicalMS }):
		tell.refuse(http.StatusConflict, "the interval has a run already")
		return
	case len(m.Conf) > tuning.GraphConf:
		tell.refuse(http.StatusBadRequest, "conf has %d bytes; up to %d are allowed", len(m.Conf), tuning.GraphConf)
		return
	case g.cfg.Bytes > 0 && g.bytes > g.cfg.Bytes:
		tell.refuse(http.StatusServiceUnavailable, "there is no memory for more runs now; ask again")
		return
	}
	if g.cfg.Source == nil {
		if !m.Described {
			tell.refuse(http.StatusConflict, "%s", noSource("the run's steps were not described by whoever triggers it"))
			return
		}
		for i := range d.plan.Steps {
			if unforeseen(d.plan, i) {
				tell.refuse(http.StatusConflict, "%s", noSource("step "+d.plan.Steps[i].ID+" is mapped over what another step leaves"))
				return
			}
		}
	}
	m.QueuedMS = now.UnixMilli()
	if m.LogicalMS == 0 {
		m.LogicalMS = m.QueuedMS
	}
	x := newLive(gr, dag.NewRun(d.plan, id), key, gr.rec.Def, m)
	g.join(x)
	d.refs++
	x.entry = &entry{key: key, id: id, logical: m.LogicalMS, due: m.ToMS != 0, def: x.def, live: x}
	gr.record(x.entry)
	x.told = append(x.told, func() { tell(http.StatusCreated, struct{}{}) })
	g.dirty(x)
}

// record takes a run into a graph's history.
func (gr *graph) record(e *entry) {
	i, _ := slices.BinarySearchFunc(gr.history, e, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.logical, b.logical), cmp.Compare(a.id, b.id))
	})
	gr.history = slices.Insert(gr.history, i, e)
}

// may reports whether a run goes on: its graph is not paused, and no more of its runs go
// on than may.
func (g *Graphs) may(x *live, now time.Time) bool {
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

// pick takes slots for what is ready of a run, and has it described. What finds no room
// waits in line.
func (g *Graphs) pick(x *live, now time.Time) {
	if !g.may(x, now) {
		return
	}
	took := false
	take := func(at dag.Ref) {
		took = true
		g.take(x, at.Step)
		p := pick{run: x, at: at, id: x.run.JobID(at)}
		if g.cfg.Source == nil || x.meta.Described && x.run.Generation(at.Step) == 0 && !unforeseen(x.run.Plan, at.Step) {
			x.picked = append(x.picked, p)
		} else {
			g.source.queue = append(g.source.queue, p)
		}
	}
	gr := x.graph
	free := func() bool { return gr.active < gr.rec.MaxTasks }
	waits := x.waits
	x.waits = nil
	for _, at := range waits {
		switch {
		case !x.run.Waits(at):
		case !g.pastDone(x, at.Step):
			x.waits = append(x.waits, at)
		default:
			g.hold(x, at)
		}
	}
	for p, refs := range x.held {
		for len(refs) > 0 && free() && (!x.run.Waits(refs[0]) || p.fits(x, refs[0].Step)) {
			if x.run.Waits(refs[0]) {
				take(refs[0])
			}
			refs = refs[1:]
		}
		if x.held[p] = refs; len(refs) == 0 {
			delete(x.held, p)
		}
	}
	for free() {
		refs := x.run.Next(1)
		if len(refs) == 0 {
			break
		}
		at := refs[0]
		switch p := g.pool(x.run.Plan, at.Step); {
		case x.run.Plan.Steps[at.Step].DependsOnPast && !g.pastDone(x, at.Step):
			x.waits = append(x.waits, at)
		case len(x.held[p]) > 0 || !p.fits(x, at.Step):
			g.hold(x, at) // behind those that wait for the pool already
		default:
			take(at)
		}
	}
	for _, p := range g.pools {
		p.line.stands(g, x, len(x.held[p]) > 0, took, p.used < p.slots)
	}
	gr.line.stands(g, x, !free() && (x.run.Ready() > 0 || len(x.held) > 0), took, free())
}

// unforeseen reports whether nobody can name a step's jobs before those that it follows are done.
func unforeseen(p *dag.Plan, step int) bool {
	m := p.Steps[step].Map
	return m != nil && m.Over != ""
}

func (g *Graphs) hold(x *live, at dag.Ref) {
	p := g.pool(x.run.Plan, at.Step)
	x.held[p] = append(x.held[p], at)
}

// line is where runs wait for room, in the order in which they came.
type line struct{ runs []*live }

// stands says whether a run waits. One that took something goes behind the others; one
// that waits for nothing any more leaves, and if there is room the next is looked at.
func (l *line) stands(g *Graphs, x *live, waits, took, room bool) {
	i := slices.Index(l.runs, x)
	if i >= 0 && (took || !waits) {
		l.runs = slices.Delete(l.runs, i, i+1)
	}
	if waits && (i < 0 || took) {
		l.runs = append(l.runs, x)
	}
	if !waits && room {
		l.next(g)
	}
}

// next has the first in line looked at.
func (l *line) next(g *Graphs) {
	if len(l.runs) > 0 {
		g.touch(l.runs[0])
	}
}

func slotsOf(p *dag.Plan, step int) int { return max(1, p.Steps[step].PoolSlots) }

// fits reports whether a step's slots are free. A step that wants more than there are is alone.
func (p *pool) fits(x *live, step int) bool {
	return p.used == 0 || p.used+slotsOf(x.run.Plan, step) <= p.slots
}

// take takes a step's slots.
func (g *Graphs) take(x *live, step int) {
	x.active++
	x.graph.active++
	g.pool(x.run.Plan, step).used += slotsOf(x.run.Plan, step)
}

// release frees a step's slots, and has whoever waits for them looked at.
func (g *Graphs) release(x *live, step int) {
	p := g.pool(x.run.Plan, step)
	x.active--
	x.graph.active--
	p.used -= slotsOf(x.run.Plan, step)
	p.line.next(g)
	x.graph.line.next(g)
	g.touch(x)
}

// pastDone reports whether the run before, by logical date, has done a step, if it had it.
func (g *Graphs) pastDone(x *live, step int) bool {
	i := slices.Index(x.graph.history, x.entry)
	if i <= 0 {
		return true
	}
	before, name := x.graph.history[i-1], x.run.Plan.Steps[step].ID
	if before.live == nil {
		return !before.failed[name]
	}
	j, ok := before.live.run.Plan.Index[name]
	if !ok {
		return true
	}
	state, _ := before.live.run.State(j)
	return state == dag.Success || state == dag.Skipped
}

// storeRuns puts runs into a transaction, each with the jobs of its steps that are ready.
func (g *Graphs) storeRuns(b *batch, now time.Time) {
	for n := len(g.todo); n > 0 && b.fits(2, tuning.RecordBytes); n-- {
		x := g.todo[0]
		g.todo = g.todo[1:]
		x.queued = false
		g.pick(x, now)
		if !g.storeRun(x, b, now) {
			// The next look begins with it; the others' turn comes behind it.
			x.queued = true
			g.todo = append([]*live{x}, g.todo...)
			return
		}
		if len(x.picked) > 0 {
			g.touch(x) // a run of 10,000 ready steps must not hold up the others
		}
	}
}

// storeRun puts a run into a transaction, and reports whether it fitted.
func (g *Graphs) storeRun(x *live, b *batch, now time.Time) bool {
	if !x.dirty && len(x.picked) == 0 {
		return true
	}
	if !b.fits(2, x.size+tuning.RecordBytes) || x.suspect && len(b.txn.Then) > 0 {
		return false
	}
	var taken []pick
	for len(x.picked) > 0 && b.fits(2, x.size+2*tuning.RecordBytes) && (!x.suspect || len(taken) == 0) {
		p := x.picked[0]
		x.picked = x.picked[1:]
		if !x.run.Holds(p.at, p.id) {
			g.release(x, p.at.Step) // cleared or cancelled meanwhile
			continue
		}
		_, value, err := jobOf(x.run, p.at, now.UnixMilli())
		if err != nil || len(value) > b.value {
			g.log.Error("a step cannot be submitted", "graph", x.graph.rec.ID, "run", x.run.ID, "job", p.id, "err", err)
			g.release(x, p.at.Step)
			x.run.Gone(p.at)
			continue
		}
		x.run.Submitted(p.at)
		b.txn.If = append(b.txn.If, wire.Condition{Key: jobs.KeyFinalState(p.id)})
		b.put(jobs.KeyJob(p.id), 0, value)
		// What hears of the job first, its end or this transaction's, must find it.
		g.byJob[p.id] = where{x, p.at, x.run.Generation(p.at.Step)}
		g.young[p.id] = g.byJob[p.id]
		x.pending[p.id] = ""
		taken = append(taken, p)
	}
	g.cancel(x)
	if x.suspect && len(x.picked) == 0 && len(taken) == 0 {
		x.suspect = false
	}
	if x.run.RunState() != dag.RunRunning && x.meta.EndMS == 0 {
		x.meta.EndMS = now.UnixMilli()
	} else if x.run.RunState() == dag.RunRunning {
		x.meta.EndMS = 0
	}
	value, err := runValue(g.codec, x, b.value)
	if err != nil || len(value) > b.value {
		g.log.Error("a run has become too large and is cancelled", "run", x.key, "bytes", len(value), "err", err)
		x.run.Cancel()
		g.cancel(x)
		value, err = runValue(g.codec, x, b.value)
		if err != nil || len(value) > b.value {
			return true // it rests until a leader reads what was stored
		}
	}
	x.size = len(value)
	told, late := x.told, x.lateAt
	x.dirty, x.told = false, nil
	delete(g.late, x)
	b.put(x.key, x.version, value)
	b.done = append(b.done, func(revision uint64) {
		x.version = revision
		for _, fn := range told {
			fn()
		}
		for _, p := range taken {
			state := x.pending[p.id]
			delete(x.pending, p.id)
			if state != "" {
				g.over(p.id, state, g.cfg.Clock.Now())
			}
		}
		g.finish(x)
	})
	b.undo = append(b.undo, func() {
		x.lateAt, x.told = late, append(told, x.told...)
		alone := x.suspect
		for _, p := range taken {
			g.withdraw(p, alone)
		}
		g.dirty(x)
	})
	return true
}

// withdraw takes back a submission that was not stored, since a job of that id is there
// that is none of ours: an id is a hash that others can work out. Alone in its
// transaction, the step has failed; otherwise it is tried alone.
func (g *Graphs) withdraw(p pick, alone bool) {
	x := p.run
	orphan := g.byJob[p.id].at.Step < 0
	delete(x.pending, p.id)
	delete(g.byJob, p.id)
	delete(g.young, p.id)
	if orphan { // it was cleared meanwhile
		x.active--
		x.run.Parted(p.id)
		return
	}
	g.release(x, p.at.Step)
	if alone {
		g.log.Error("a step's job cannot be stored: there is one of its id", "graph", x.graph.rec.ID, "run", x.run.ID, "job", p.id)
		x.run.Gone(p.at)
		return
	}
	x.suspect = true
	x.run.Withdrawn(p.at)
}

// finish takes a run out of those that are live once it is over and stored as that.
func (g *Graphs) finish(x *live) {
	if x.gone || x.run.RunState() == dag.RunRunning || x.active > 0 || x.dirty || len(x.pending) > 0 {
		return
	}
	gr := x.graph
	x.gone = true
	delete(g.runs, x.key)
	delete(g.late, x)
	g.bytes -= len(x.run.Plan.Steps) * tuning.RunStepBytes
	x.entry.live, x.entry.failed = nil, unhappy(x.run)
	if x.meta.StartMS != 0 {
		gr.started--
	}
	for _, l := range append([]*line{&gr.line}, g.lines()...) {
		l.runs = slices.DeleteFunc(l.runs, func(y *live) bool { return y == x })
	}
	if i := slices.IndexFunc(gr.history, func(e *entry) bool { return e.live != nil && e.live.meta.StartMS == 0 }); i >= 0 {
		g.touch(gr.history[i].live)
	}
	g.keep(gr)
}

func (g *Graphs) lines() (out []*line) {
	for _, p := range g.pools {
		out = append(out, &p.line)
	}
	return out
}

// unhappy names the steps that depend on the past and did not end well.
func unhappy(r *dag.Run) map[string]bool {
	var out map[string]bool
	for i := range r.Plan.Steps {
		state, _ := r.State(i)
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
func (g *Graphs) cancelRun(x *live, now time.Time, tell answer) {
	x.run.Cancel()
	if x.meta.StartMS == 0 { // it never went on
		x.meta.StartMS = now.UnixMilli()
		x.graph.started++
	}
	x.told = append(x.told, func() { tell(http.StatusOK, struct{}{}) })
	g.cancel(x)
	g.dirty(x)
}

// clear has steps of a run go again.
func (g *Graphs) clear(x *live, o *Order, tell answer) {
	steps, err := x.run.Chosen(o.Steps, o.Below, o.OnlyFailed)
	if err != nil {
		tell.refuse(http.StatusBadRequest, "%s", err)
		return
	}
	x.run.Clear(steps)
	x.orphan(g)
	x.told = append(x.told, func() { tell(http.StatusOK, struct{}{}) })
	g.cancel(x)
	g.dirty(x)
}

// orphan has jobs of earlier generations no longer take slots.
func (x *live) orphan(g *Graphs) {
	for _, id := range x.run.Orphans() {
		if w, ok := g.byJob[id]; ok && w.at.Step >= 0 {
			x.active++ // until it is over, the run is live
			g.release(x, w.at.Step)
			w.at = dag.Ref{Step: -1}
			g.byJob[id] = w
			delete(g.young, id)
			delete(g.timed, id)
		}
	}
}

// push records what a step leaves for those that follow.
func (g *Graphs) push(x *live, o *Order, tell answer) {
	i, ok := x.run.Plan.Index[o.Step]
	if !ok {
		tell.refuse(http.StatusNotFound, "no such step")
		return
	}
	if err := x.run.Push(i, o.Result); err != nil {
		tell.refuse(http.StatusConflict, "%s", err)
		return
	}
	x.told = append(x.told, func() { tell(http.StatusOK, struct{}{}) })
	g.dirty(x)
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
