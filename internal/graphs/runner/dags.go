package runner

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/clients/statestore"
	"poppypass/internal/graphs/dag"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// def is a definition: a graph as it was uploaded, under the hash of what it says.
type def struct {
	plan   *dag.Plan // nil: it is stored, and nothing needed it yet
	packed []byte    // its stored form, while a new leader reads
	parts  int       // records
	refs   int       // graphs and runs that refer to it
	idle   time.Time // since when none does; zero: it was not looked at since
}

// graph is a graph that a team registered.
type graph struct {
	rec     GraphRecord
	key     string
	version uint64
	dirty   bool
	told    []func() // once it is stored
	gone    bool     // it is being dropped

	sched   *dag.Schedule
	last    time.Time // end of the newest interval that has a run
	dueAt   time.Time // no run is due before
	past    bool      // it has steps that depend on the run before
	history []*entry  // its runs, by logical date
	line    line      // runs that wait until fewer steps are submitted
	active  int       // instances of steps that are submitted and not over
	started int       // live runs that go on
}

// entry is a run of a graph, live or over.
type entry struct {
	key     string
	id      string
	logical int64
	due     bool // it covers an interval, which has one run
	def     string
	live    *live           // nil: it is over, and stored
	failed  map[string]bool // of one that is over: steps that depend on the past and did not end well
	doomed  bool            // its records are being dropped
}

type poolKey struct{ team, name string }

// pool bounds how many steps of a team's graphs are submitted at a time.
type pool struct {
	slots, used int
	line        line
}

// answer tells whoever gave a command. A status of 400 and more comes with a reason.
type answer func(status int, body any)

func (a answer) refuse(status int, format string, args ...any) {
	a(status, wire.Error{Error: fmt.Sprintf(format, args...)})
}

// put registers a graph whose definition is stored, or another definition of it.
func (g *Graphs) put(o *Order, tell answer) {
	if d := g.defs[o.Def]; d != nil && d.plan != nil {
		g.register(o, d.plan, tell)
		return
	}
	if o.Parts < 1 || o.Parts > tuning.GraphParts {
		tell.refuse(http.StatusBadRequest, "a graph has 1 to %d parts", tuning.GraphParts)
		return
	}
	if g.fetch != "" || g.dropping(o.Def) {
		tell.refuse(http.StatusServiceUnavailable, "another graph is being read, or this one's old parts go; ask again")
		return
	}
	g.fetch = o.Def
	go func() {
		plan, err := fetch(g.ended, g.store, o.Def, o.Parts)
		if err == nil {
			err = g.examine(plan)
		}
		_ = g.ask(func() { // fails when the leadership is over, and with it whoever waits
			g.fetch = ""
			var bad *badGraph
			switch {
			case errors.As(err, &bad):
				g.spoilt(o.Def, o.Parts)
				tell.refuse(http.StatusBadRequest, "%s", bad.text)
			case errors.Is(err, errParts):
				tell.refuse(http.StatusConflict, "a part of the graph is not stored; upload it again")
			case err != nil:
				tell.refuse(http.StatusServiceUnavailable, "the graph cannot be read now; ask again")
			default:
				g.learn(o.Def, o.Parts, plan)
				g.register(o, plan, tell)
			}
		})
	}()
}

// learn keeps the plan of a definition.
func (g *Graphs) learn(hash string, parts int, p *dag.Plan) {
	if g.defs[hash] == nil {
		g.defs[hash] = &def{parts: parts}
	}
	if d := g.defs[hash]; d.plan == nil {
		d.plan = p
		g.bytes += planBytes(p)
	}
}

// dropping reports whether parts of a definition are about to go: it must not be referred to then.
func (g *Graphs) dropping(hash string) bool {
	prefix := PrefixDef + hash + "/"
	return slices.ContainsFunc(g.drops, func(d drop) bool { return strings.HasPrefix(d.key, prefix) })
}

// sweep looks for definitions that were uploaded and never registered: they go like others
// that nothing refers to.
func (g *Graphs) sweep() {
	go func() {
		defs, have := map[string]*def{}, map[string]int{}
		_, err := g.store.ListAll(g.ended, PrefixDef, func(items []wire.Item) error {
			gather(defs, have, items)
			for _, d := range defs {
				d.packed = nil // their names are enough
			}
			return nil
		})
		if err != nil {
			g.log.Debug("definitions cannot be listed", "err", err)
			return
		}
		_ = g.ask(func() { // fails when the leadership is over
			for hash, d := range defs {
				if g.defs[hash] == nil && !g.dropping(hash) {
					g.defs[hash] = &def{parts: max(d.parts, have[hash])}
				}
			}
		})
	}()
}

// spoilt drops a definition that is not what its name says, or no graph that could run:
// one that cannot be read must not block a good one.
func (g *Graphs) spoilt(hash string, parts int) {
	if d := g.defs[hash]; d != nil && (d.plan != nil || d.refs > 0) {
		return
	}
	delete(g.defs, hash)
	g.drop(nil, partKeys(hash, parts)...)
}

// badGraph is a definition that can never be registered.
type badGraph struct{ text string }

func (e *badGraph) Error() string { return e.text }

// fetch reads a definition.
func fetch(ctx context.Context, store *statestore.Client, hash string, n int) (*dag.Plan, error) {
	codec, err := charge.NewCodec()
	if err != nil {
		return nil, err
	}
	var packed []byte
	for _, key := range partKeys(hash, n) {
		item, ok, err := store.Get(ctx, key)
		if err != nil {
			return nil, err
		}
		var r partRecord
		if !ok {
			return nil, errParts
		}
		if json.Unmarshal(item.Value, &r) != nil || r.Parts != n {
			return nil, &badGraph{"the parts of the graph do not belong together"}
		}
		packed = append(packed, r.Zstd...)
	}
	plan, err := unpack(codec, hash, packed)
	if err != nil {
		return nil, &badGraph{strings.Join(strings.Fields(err.Error()), " ")}
	}
	return plan, nil
}

// examine says why a graph can never run here, in one line. It is safe for concurrent use.
func (g *Graphs) examine(p *dag.Plan) error {
	r := dag.NewRun(p, "check")
	for i := range p.Steps {
		s := &p.Steps[i]
		if _, ok := g.slots(p.Team, s.Pool); !ok {
			return &badGraph{fmt.Sprintf("step %s: the team has no pool %q", s.ID, s.Pool)}
		}
		if s.Job == nil {
			continue
		}
		j, value, err := jobOf(r, dag.Ref{Step: i}, 0)
		if err == nil {
			err = j.Check()
		}
		if err == nil && g.cfg.Impossible != nil {
			if why := g.cfg.Impossible(&j); why != "" {
				err = errors.New(why)
			}
		}
		if err == nil && len(value) > int(g.cfg.ValueKB*1024) {
			err = errors.New("its job's description is too long")
		}
		if err != nil {
			return &badGraph{fmt.Sprintf("step %s: %s", s.ID, err)}
		}
	}
	if g.cfg.Source == nil && p.Start != nil && p.Schedule != "" && p.Schedule != "None" {
		return &badGraph{noSource("it has a schedule and a start_date")}
	}
	return nil
}

// noSource says what cannot be done without a source of descriptions.
func noSource(what string) string {
	return what + ", and the service knows nowhere to have its steps described (graphs.descriptions)"
}

// slots returns how many slots a team's pool has.
func (g *Graphs) slots(team, name string) (int, bool) {
	if g.cfg.Pools != nil {
		if n, ok := g.cfg.Pools(team, name); ok {
			return n, true
		}
	}
	return tuning.GraphPool, name == "" || name == DefaultPool
}

// pool returns the pool of a step.
func (g *Graphs) pool(p *dag.Plan, step int) *pool {
	key := poolKey{p.Team, cmp.Or(p.Steps[step].Pool, DefaultPool)}
	if g.pools[key] == nil {
		n, _ := g.slots(key.team, key.name) // one that is not configured any more keeps the default
		g.pools[key] = &pool{slots: n}
	}
	return g.pools[key]
}

// register has a graph refer to a definition from now on. Runs that go on keep theirs.
func (g *Graphs) register(o *Order, p *dag.Plan, tell answer) {
	if p.Team != o.Team || p.ID != o.Graph {
		tell.refuse(http.StatusForbidden, "the graph's team and dag_id are not those that it is registered under")
		return
	}
	key := keyGraph(o.Team, o.Graph)
	gr := g.graphs[key]
	status := http.StatusOK
	switch {
	case len(key) > tuning.MaxKey:
		tell.refuse(http.StatusBadRequest, "the graph's name is too long")
		return
	case gr != nil && gr.gone:
		tell.refuse(http.StatusConflict, "the graph is being dropped; ask again")
		return
	case g.cfg.Bytes > 0 && g.bytes > g.cfg.Bytes:
		tell.refuse(http.StatusServiceUnavailable, "there is no memory for more graphs now; ask again")
		return
	case gr == nil:
		gr = &graph{key: key}
		g.graphs[key] = gr
		status = http.StatusCreated
	default:
		g.unrefer(gr.rec.Def)
	}
	paused := gr.rec.Paused
	if o.Paused != nil {
		paused = *o.Paused
	}
	gr.define(p, o.Def, paused)
	gr.touchAll(g) // its limits may be others
	g.defs[o.Def].refs++
	g.storeGraph(gr, func() { tell(status, struct{}{}) })
}

// define records what a graph says from now on.
func (gr *graph) define(p *dag.Plan, hash string, paused bool) {
	gr.rec = GraphRecord{
		Team: p.Team, ID: p.ID, Def: hash, Paused: paused, LastMS: gr.rec.LastMS, Description: p.Description, Schedule: p.Schedule, Zone: p.Zone,
		Start: p.Start, End: p.End, Catchup: p.Catchup, MaxRuns: cmp.Or(p.MaxRuns, tuning.GraphRuns), MaxTasks: cmp.Or(p.MaxTasks, tuning.GraphTasks),
		Tags: p.Tags, Steps: len(p.Steps),
	}
	gr.sched, _ = dag.ParseSchedule(p.Schedule, p.Zone) // it was checked
	gr.dueAt = time.Time{}
	gr.past = slices.ContainsFunc(p.Steps, func(s dag.Step) bool { return s.DependsOnPast })
}

func (g *Graphs) storeGraph(gr *graph, told func()) {
	gr.dirty = true
	if told != nil {
		gr.told = append(gr.told, told)
	}
}

// storeGraphs puts graphs that changed into a transaction.
func (g *Graphs) storeGraphs(b *batch) {
	for _, gr := range g.graphs {
		if !gr.dirty || gr.gone {
			continue
		}
		value, err := json.Marshal(gr.rec)
		if err != nil || len(value) > b.value {
			g.log.Error("a graph cannot be stored", "graph", gr.rec.ID, "bytes", len(value), "err", err)
			gr.dirty = false
			continue
		}
		if !b.fits(1, len(value)) {
			return
		}
		told := gr.told
		gr.dirty, gr.told = false, nil
		b.put(gr.key, gr.version, value)
		b.done = append(b.done, func(revision uint64) {
			gr.version = revision
			for _, fn := range told {
				fn()
			}
		})
		b.undo = append(b.undo, func() { gr.dirty, gr.told = true, append(told, gr.told...) })
	}
}

// pause stops a graph's steps from being submitted and its schedule, or has both go on.
func (g *Graphs) pause(gr *graph, paused bool, tell answer) {
	if gr.rec.Paused != paused {
		gr.rec.Paused = paused
		gr.touchAll(g)
	}
	g.storeGraph(gr, func() { tell(http.StatusOK, struct{}{}) })
}

// touchAll has it looked at what each of a graph's runs can submit.
func (gr *graph) touchAll(g *Graphs) {
	for _, e := range gr.history {
		if e.live != nil {
			g.touch(e.live)
		}
	}
}

// remove drops a graph and its runs, if none of them is live.
func (g *Graphs) remove(gr *graph, tell answer) {
	if slices.ContainsFunc(gr.history, func(e *entry) bool { return e.live != nil }) {
		tell.refuse(http.StatusConflict, "runs of the graph are not over; cancel them first")
		return
	}
	gr.gone = true
	for _, e := range gr.history {
		if !e.doomed {
			g.doom(gr, e, nil)
		}
	}
	// Its own record goes last: whoever leads next would not find its runs otherwise.
	g.drop(func() {
		delete(g.graphs, gr.key)
		g.unrefer(gr.rec.Def)
		tell(http.StatusNoContent, struct{}{})
	}, gr.key)
}

// doom drops a run that is over.
func (g *Graphs) doom(gr *graph, e *entry, then func()) {
	e.doomed = true
	g.drop(func() {
		gr.history = slices.DeleteFunc(gr.history, func(x *entry) bool { return x == e })
		g.unrefer(e.def)
		if then != nil {
			then()
		}
	}, e.key)
}

// keep drops the oldest of the runs that are over, beyond those that are kept.
func (g *Graphs) keep(gr *graph) {
	over := 0
	for i := len(gr.history) - 1; i >= 0; i-- {
		if e := gr.history[i]; e.live == nil && !e.doomed {
			if over++; over > tuning.GraphKeep {
				g.doom(gr, e, nil)
			}
		}
	}
}

func (g *Graphs) unrefer(hash string) {
	if d := g.defs[hash]; d != nil {
		d.refs--
	}
}

// tidy forgets plans of which only runs that are over are left, and drops definitions that
// nothing refers to for a while.
func (g *Graphs) tidy(now time.Time) {
	if g.swept.IsZero() {
		g.swept = now // a new leader has just read all of them
	} else if now.Sub(g.swept) >= tuning.GraphIdle {
		g.swept = now
		g.sweep()
	}
	used := map[string]bool{}
	for _, gr := range g.graphs {
		used[gr.rec.Def] = true
	}
	for _, x := range g.runs {
		used[x.def] = true
	}
	for hash, d := range g.defs {
		if d.plan != nil && !used[hash] {
			g.bytes -= planBytes(d.plan)
			d.plan = nil
		}
		switch {
		case d.refs > 0 || hash == g.fetch:
			d.idle = time.Time{}
		case d.idle.IsZero():
			d.idle = now
		case now.Sub(d.idle) >= tuning.GraphIdle:
			delete(g.defs, hash)
			g.drop(nil, partKeys(hash, d.parts)...)
		}
	}
}

// drop is a record that is to go; then is called once it is gone.
type drop struct {
	key  string
	then func()
}

// drop has records go, in this order.
func (g *Graphs) drop(then func(), keys ...string) {
	for i, key := range keys {
		d := drop{key: key}
		if i == len(keys)-1 {
			d.then = then
		}
		g.drops = append(g.drops, d)
	}
}

// dropRecords puts what is to go into a transaction.
func (g *Graphs) dropRecords(b *batch) {
	n := 0
	for n < len(g.drops) && b.fits(1, 0) {
		b.txn.Then = append(b.txn.Then, wire.Change{Delete: g.drops[n].key})
		b.size += 2 * len(g.drops[n].key)
		n++
	}
	if n > 0 {
		b.done = append(b.done, func(uint64) {
			gone := g.drops[:n]
			g.drops = g.drops[n:]
			for _, d := range gone {
				if d.then != nil {
					d.then()
				}
			}
		})
	}
}

// schedule begins the runs that are due.
func (g *Graphs) schedule(now time.Time) {
	for _, gr := range g.graphs {
		if gr.sched == nil || gr.rec.Paused || gr.gone || gr.version == 0 || gr.rec.Start == nil || now.Before(gr.dueAt) {
			continue
		}
		d := g.defs[gr.rec.Def]
		if d == nil || d.plan == nil {
			continue
		}
		free := gr.rec.MaxRuns - gr.liveRuns()
		if free <= 0 {
			continue
		}
		due := d.plan.Due(gr.sched, gr.last, now, free)
		for _, interval := range due {
			if !g.beginDue(gr, interval, now) {
				break
			}
		}
		if next := gr.sched.Next(now); len(due) == 0 && !next.IsZero() {
			gr.dueAt = next // no interval ends before the schedule fires
		}
	}
}

// beginDue begins the run of an interval, and reports whether its turn is over.
func (g *Graphs) beginDue(gr *graph, due dag.Interval, now time.Time) bool {
	m := meta{Type: Scheduled, LogicalMS: due.Begin.UnixMilli(), FromMS: due.Begin.UnixMilli(), ToMS: due.End.UnixMilli()}
	stored := func() {
		gr.rec.LastMS = max(gr.rec.LastMS, m.ToMS)
		g.storeGraph(gr, nil)
	}
	ok := true
	g.begin(gr, RunName(Scheduled, due.Begin), m, now, func(status int, body any) {
		switch {
		case status == http.StatusCreated || status == http.StatusConflict:
			// The mark moves once the run is stored: a leader that dies in between leaves
			// the next one to find the run there.
			stored()
		case status == http.StatusServiceUnavailable:
			ok = false // there is no memory: it is asked again
		default:
			g.log.Error("a run that is due cannot begin", "graph", gr.rec.ID, "interval", due.Begin, "reason", body)
			stored()
		}
	})
	if ok {
		gr.last = due.End
	}
	return ok
}

func (gr *graph) liveRuns() (n int) {
	for _, e := range gr.history {
		if e.live != nil {
			n++
		}
	}
	return n
}

func planBytes(p *dag.Plan) int { return len(p.Steps) * tuning.GraphStepBytes }
