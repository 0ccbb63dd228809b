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
	"poppypass/internal/scheduler/leader"
)

// graph is a graph that a team registered.
type graph struct {
	rec      GraphRecord
	key      string
	version  uint64
	dirty    bool
	onStored []func() // once it is stored
	deleting bool     // it is being dropped

	sched             *dag.Schedule
	last              time.Time // end of the newest interval that has a run
	dueAt             time.Time // no run is due before
	hasPastDependents bool      // it has steps that depend on the run before
	history           []*entry  // its runs, by logical date
	line              waitLine  // runs that wait until fewer steps are submitted
	active            int       // instances of steps that are submitted and not over
	started           int       // live runs that go on
}

// entry is a run of a graph, live or over.
type entry struct {
	key      string
	id       string
	logical  int64
	due      bool // it covers an interval, which has one run
	def      string
	live     *liveRun        // nil: it is over, and stored
	failed   map[string]bool // of one that is over: steps that depend on the past and did not end well
	deleting bool            // its records are being dropped
}

// responder tells whoever gave a command. A status of 400 and more comes with a reason.
type responder func(leader.Answer)

func (a responder) refuse(status int, format string, args ...any) {
	a(leader.Answer{Status: status, Body: wire.Error{Error: fmt.Sprintf(format, args...)}})
}

// succeed answers with a status below 400, and an empty object.
func (a responder) succeed(status int) { a(leader.Answer{Status: status, Body: struct{}{}}) }

// register has a graph refer to a definition from now on. Runs that go on keep theirs.
func (g *Graphs) register(o *Order, p *dag.Plan, tell responder) {
	if p.Team != o.Team || p.ID != o.Graph {
		tell.refuse(http.StatusForbidden, "the graph's team and dag_id are not those that it is registered under")
		return
	}
	key := keyGraph(o.Team, o.Graph)
	gr := g.graphs[key]
	status := http.StatusOK
	switch {
	case len(key) > tuning.MaxKeyBytes:
		tell.refuse(http.StatusBadRequest, "the graph's name is too long")
		return
	case gr != nil && gr.deleting:
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
		g.releaseDefinition(gr.rec.Def)
	}
	paused := gr.rec.Paused
	if o.Paused != nil {
		paused = *o.Paused
	}
	gr.define(p, o.Def, paused)
	gr.touchAll(g) // its limits may be others
	g.defs[o.Def].refs++
	g.storeGraph(gr, func() { tell.succeed(status) })
}

// define records what a graph says from now on.
func (gr *graph) define(p *dag.Plan, hash string, paused bool) {
	gr.rec = GraphRecord{
		Team: p.Team, ID: p.ID, Def: hash, Paused: paused, LastMS: gr.rec.LastMS, Description: p.Description, Schedule: p.Schedule, Zone: p.Timezone,
		Start: p.Start, End: p.End, Catchup: p.Catchup, MaxRuns: cmp.Or(p.MaxRuns, tuning.GraphDefaultRuns), MaxTasks: cmp.Or(p.MaxTasks, tuning.GraphDefaultTasks),
		Tags: p.Tags, Steps: len(p.Steps),
	}
	gr.sched, _ = dag.ParseSchedule(p.Schedule, p.Timezone) // it was checked
	gr.dueAt = time.Time{}
	gr.hasPastDependents = slices.ContainsFunc(p.Steps, func(s dag.Step) bool { return s.DependsOnPast })
}

func (g *Graphs) storeGraph(gr *graph, told func()) {
	gr.dirty = true
	if told != nil {
		gr.onStored = append(gr.onStored, told)
	}
}

// storeGraphs puts graphs that changed into a transaction.
func (g *Graphs) storeGraphs(b *batch) {
	for _, gr := range g.graphs {
		if !gr.dirty || gr.deleting {
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
		told := gr.onStored
		gr.dirty, gr.onStored = false, nil
		b.put(gr.key, gr.version, value)
		b.done = append(b.done, func(revision uint64) {
			gr.version = revision
			for _, fn := range told {
				fn()
			}
		})
		b.undo = append(b.undo, func() { gr.dirty, gr.onStored = true, append(told, gr.onStored...) })
	}
}

// pause stops a graph's steps from being submitted and its schedule, or has both go on.
func (g *Graphs) pause(gr *graph, paused bool, tell responder) {
	if gr.rec.Paused != paused {
		gr.rec.Paused = paused
		gr.touchAll(g)
	}
	g.storeGraph(gr, func() { tell.succeed(http.StatusOK) })
}

// touchAll has it looked at what each of a graph's runs can submit.
func (gr *graph) touchAll(g *Graphs) {
	for _, e := range gr.history {
		if e.live != nil {
			g.enqueueRun(e.live)
		}
	}
}

// remove drops a graph and its runs, if none of them is live.
func (g *Graphs) remove(gr *graph, tell responder) {
	if slices.ContainsFunc(gr.history, func(e *entry) bool { return e.live != nil }) {
		tell.refuse(http.StatusConflict, "runs of the graph are not over; cancel them first")
		return
	}
	gr.deleting = true
	for _, e := range gr.history {
		if !e.deleting {
			g.deleteRun(gr, e, nil)
		}
	}
	// Its own record goes last: whoever leads next would not find its runs otherwise.
	g.enqueueDeletions(func() {
		delete(g.graphs, gr.key)
		g.releaseDefinition(gr.rec.Def)
		tell.succeed(http.StatusNoContent)
	}, gr.key)
}
