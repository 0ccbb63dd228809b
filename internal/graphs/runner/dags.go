package runner

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strings"
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
	version  uint64   // of the stored record; 0 if it is not stored yet
	dirty    bool     // it has changes that are not stored
	onStored []func() // called when it is stored
	deleting bool     // it is being deleted

	onRunsDeleted func() // called when its last run is deleted; nil unless deleting is set

	schedule          *dag.Schedule
	lastIntervalEnd   time.Time   // end of the newest data interval that has a run
	notDueBefore      time.Time   // no run is due before this time
	hasPastDependents bool        // it has steps that depend on the previous run
	history           []*runEntry // its live and finished runs, sorted by logical date
	waitQueue         waitQueue   // runs that wait until fewer than MaxTasks steps are submitted
	activeInstances   int         // submitted, unfinished instances of steps
	startedRuns       int         // live runs that have started; at most MaxRuns
}

// runEntry is a run of a graph, live or finished.
type runEntry struct {
	key                  string
	id                   string
	logicalMS            int64           // logical date, as a Unix time in milliseconds
	hasInterval          bool            // it covers a data interval; each interval has at most one run
	defHash              string          // hash of its definition
	live                 *liveRun        // nil if the run is finished and stored as finished
	failedPastDependents map[string]bool // the result of failedPastDependents; nil while the run is live
	hasResultRecords     bool            // results of it may be stored in records of their own; false while the run is live
	deleting             bool            // its record is being deleted
}

// responder sends the answer to a command. An answer with status 400 or higher contains the reason.
type responder func(leader.Answer)

// refuse answers with an error status and a reason.
func (a responder) refuse(status int, format string, args ...any) {
	a(leader.Answer{Status: status, Body: wire.Error{Error: fmt.Sprintf(format, args...)}})
}

// succeed answers with a status below 400 and an empty object.
func (a responder) succeed(status int) { a(leader.Answer{Status: status, Body: struct{}{}}) }

// register sets the definition of a graph, and creates the graph if it is new. Existing runs continue with the
// definitions with which they were created.
func (g *Graphs) register(cmd *Command, plan *dag.Plan, respond responder) {
	if plan.Team != cmd.Team || plan.ID != cmd.Graph {
		respond.refuse(http.StatusForbidden, "the graph's team and dag_id are not those that it is registered under")
		return
	}
	key := keyGraph(cmd.Team, cmd.Graph)
	gr := g.graphs[key]
	status := http.StatusOK
	paused := gr != nil && gr.rec.Paused
	if cmd.Paused != nil {
		paused = *cmd.Paused
	}
	needed := maxGraphRecordBytes(newGraphRecord(plan, cmd.Def, paused, 0))
	switch {
	case needed > g.maxValueBytes():
		respond.refuse(http.StatusBadRequest, "the graph's record would have up to %d bytes with its tags; %d are allowed", needed, g.maxValueBytes())
		return
	case len(key) > tuning.MaxKeyBytes:
		respond.refuse(http.StatusBadRequest, "the graph's name is too long")
		return
	case gr != nil && gr.deleting:
		respond.refuse(http.StatusConflict, "the graph is being dropped; ask again")
		return
	case g.cfg.MaxMemoryBytes > 0 && g.memoryBytes > g.cfg.MaxMemoryBytes:
		respond.refuse(http.StatusServiceUnavailable, "there is no memory for more graphs now; ask again")
		return
	case gr == nil:
		gr = &graph{key: key}
		g.graphs[key] = gr
		status = http.StatusCreated
	default:
		g.releaseDefinition(gr.rec.Def)
	}
	gr.setDefinition(plan, cmd.Def, paused)
	gr.enqueueRuns(g) // its limits may have changed
	g.definitions[cmd.Def].refs++
	g.storeGraph(gr, func() { respond.succeed(status) })
}

// setDefinition updates a graph's record and schedule from a definition.
func (gr *graph) setDefinition(plan *dag.Plan, hash string, paused bool) {
	gr.rec = newGraphRecord(plan, hash, paused, gr.rec.LastMS)
	gr.schedule, _ = dag.ParseSchedule(plan.Schedule, plan.Timezone) // NewPlan has validated it
	gr.notDueBefore = time.Time{}
	gr.hasPastDependents = slices.ContainsFunc(plan.Steps, func(s dag.Step) bool { return s.DependsOnPast })
}

// newGraphRecord returns the record of a graph with the given definition. Its copy of the description, which lists of
// graphs show, is shortened if it would make the record longer than every state service allows.
func newGraphRecord(plan *dag.Plan, hash string, paused bool, lastMS int64) GraphRecord {
	rec := GraphRecord{
		Team: plan.Team, ID: plan.ID, Def: hash, Paused: paused, LastMS: lastMS, Description: plan.Description, Schedule: plan.Schedule, Zone: plan.Timezone,
		Start: plan.Start, End: plan.End, Catchup: plan.Catchup, MaxRuns: cmp.Or(plan.MaxRuns, tuning.GraphDefaultMaxActiveRuns), MaxTasks: cmp.Or(plan.MaxTasks, tuning.GraphDefaultMaxActiveTasks),
		Tags: plan.Tags, Steps: len(plan.Steps),
	}
	if excess := maxGraphRecordBytes(rec) - tuning.GraphMinValueKiB<<10; excess > 0 {
		rec.Description = shortened(rec.Description, excess)
	}
	return rec
}

// ellipsis is the end of a shortened description.
const ellipsis = "…"

// shortened returns a text that is shorter by at least the given number of bytes and ends with an ellipsis. It is empty if
// the text is not long enough.
func shortened(text string, bytes int) string {
	n := len(text) - bytes - len(ellipsis)
	if n <= 0 {
		return ""
	}
	return strings.ToValidUTF8(text[:n], "") + ellipsis
}

// maxGraphRecordBytes returns the greatest length that a graph's record has with any of the changes that follow its
// registration.
func maxGraphRecordBytes(rec GraphRecord) int {
	rec.Paused, rec.LastMS = true, math.MaxInt64
	return len(wire.EncodeRecord(rec))
}

// storeGraph marks a graph as changed. onStored, if not nil, is called when the graph is stored.
func (g *Graphs) storeGraph(gr *graph, onStored func()) {
	gr.dirty = true
	if onStored != nil {
		gr.onStored = append(gr.onStored, onStored)
	}
}

// storeGraphs adds changed graphs to a transaction.
func (g *Graphs) storeGraphs(b *batch) {
	for _, gr := range g.graphs {
		if !gr.dirty || gr.deleting {
			continue
		}
		value, err := json.Marshal(gr.rec)
		if err != nil || len(value) > b.maxValueBytes {
			g.log.Error("record of a graph is too long or cannot be encoded; its change is not stored", "graph", gr.rec.ID, "bytes", len(value), "err", err)
			gr.dirty = false
			continue
		}
		if !b.fits(1, len(value)) {
			return
		}
		onStored := gr.onStored
		gr.dirty, gr.onStored = false, nil
		b.put(gr.key, gr.version, value)
		b.onCommitted = append(b.onCommitted, func(revision uint64) {
			gr.version = revision
			for _, fn := range onStored {
				fn()
			}
		})
		b.onConflict = append(b.onConflict, func() { gr.dirty, gr.onStored = true, append(onStored, gr.onStored...) })
	}
}

// setPaused pauses a graph, or resumes it. While it is paused, no scheduled runs are created and no steps submitted.
func (g *Graphs) setPaused(gr *graph, paused bool, respond responder) {
	changed := gr.rec
	changed.Paused = paused
	if needed := len(wire.EncodeRecord(changed)); needed > g.maxValueBytes() { // an earlier version accepted the graph
		respond.refuse(http.StatusConflict, "the graph's record would have %d bytes; %d are allowed: register it with a shorter description", needed, g.maxValueBytes())
		return
	}
	if gr.rec.Paused != paused {
		gr.rec = changed
		gr.enqueueRuns(g)
	}
	g.storeGraph(gr, func() { respond.succeed(http.StatusOK) })
}

// enqueueRuns enqueues all live runs of a graph.
func (gr *graph) enqueueRuns(g *Graphs) {
	for _, e := range gr.history {
		if e.live != nil {
			g.enqueueRun(e.live)
		}
	}
}

// deleteGraph deletes a graph and its runs. It is refused while a run is live.
func (g *Graphs) deleteGraph(gr *graph, respond responder) {
	if slices.ContainsFunc(gr.history, func(e *runEntry) bool { return e.live != nil }) {
		respond.refuse(http.StatusConflict, "runs of the graph are not over; cancel them first")
		return
	}
	gr.deleting = true
	// The graph's own record is deleted last, because a new leader ignores runs whose graph is not stored.
	gr.onRunsDeleted = func() {
		g.enqueueDeletions(func() {
			delete(g.graphs, gr.key)
			g.releaseDefinition(gr.rec.Def)
			respond.succeed(http.StatusNoContent)
		}, gr.key)
	}
	if len(gr.history) == 0 {
		gr.onRunsDeleted()
	}
	for _, e := range gr.history {
		if !e.deleting {
			g.deleteRun(gr, e, nil)
		}
	}
}
