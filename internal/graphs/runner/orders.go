package runner

import (
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"poppypass/internal/graphs/dag"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/scheduler/leader"
)

// PathOrders is the prefix of the URI of each command (leader.Command). A command's name follows it, and the body is
// an Order. A client that gets no answer may repeat a command: executing one twice does no harm.
const PathOrders = "/graphs/"

// The names of the commands.
const (
	DoPut      = "put"      // register a graph whose definition is stored: 201, or 200 if the graph is registered already
	DoPause    = "pause"    // pause a graph, or resume it
	DoRemove   = "remove"   // delete a graph and its runs
	DoTrigger  = "trigger"  // create a run: 201, or 409 if there is one with that ID
	DoBackfill = "backfill" // create the runs of past data intervals
	DoCancel   = "cancel"   // cancel a run
	DoClear    = "clear"    // clear steps of a run, so that they run again
	DoForget   = "forget"   // delete a finished run
	DoPush     = "push"     // set the result of a step, which steps downstream read (XCom in Airflow)
)

// Order is the body of a team's command. Fields that a command does not use are ignored.
type Order struct {
	Team  string `json:"team"`
	Graph string `json:"graph"`
	Run   string `json:"run,omitempty"`

	Def    string `json:"def,omitempty"` // hash of the definition
	Parts  int    `json:"parts,omitempty"`
	Paused *bool  `json:"paused,omitempty"`

	LogicalMS int64           `json:"logical_ms,omitempty"`
	Conf      json.RawMessage `json:"conf,omitempty"`
	Note      string          `json:"note,omitempty"`
	Described bool            `json:"described,omitempty"` // the client has uploaded the steps' descriptions

	From time.Time `json:"from,omitzero"` // start of the first data interval at the earliest
	To   time.Time `json:"to,omitzero"`   // start of the last data interval at the latest

	Steps      []string        `json:"steps,omitempty"` // empty: all
	Below      bool            `json:"below,omitempty"` // also those downstream of them
	OnlyFailed bool            `json:"only_failed,omitempty"`
	Step       string          `json:"step,omitempty"`
	Result     json.RawMessage `json:"result,omitempty"`
}

// Command executes a command. The error is leader.ErrUnknownPath.
func (g *Graphs) Command(c leader.Command, now time.Time, tell func(leader.Answer)) error {
	verb, ok := strings.CutPrefix(c.URI, PathOrders)
	if !ok {
		return leader.ErrUnknownPath
	}
	var o Order
	say := responder(tell)
	if err := json.Unmarshal(c.Body, &o); err != nil || o.Team == "" {
		say.refuse(http.StatusBadRequest, "the command is malformed")
		return nil
	}
	if !g.loaded {
		say.refuse(http.StatusServiceUnavailable, "the graphs are being read; ask again")
		return nil
	}
	g.execute(verb, &o, now, say)
	return nil
}

func (g *Graphs) execute(verb string, o *Order, now time.Time, tell responder) {
	if verb == DoPut {
		if !validHash(o.Def) {
			tell.refuse(http.StatusBadRequest, "the definition is no hash")
			return
		}
		g.fetchAndRegister(o, tell)
		return
	}
	// A graph of another team and one that does not exist get the same answer, so that a team cannot find out the
	// names of others' graphs.
	gr := g.graphs[keyGraph(o.Team, o.Graph)]
	if gr == nil || gr.deleting {
		tell.refuse(http.StatusNotFound, "no such graph")
		return
	}
	switch verb {
	case DoPause:
		g.setPaused(gr, o.Paused != nil && *o.Paused, tell)
	case DoRemove:
		g.deleteGraph(gr, tell)
	case DoTrigger:
		g.trigger(gr, o, now, tell)
	case DoBackfill:
		g.backfill(gr, o, now, tell)
	case DoCancel, DoClear, DoForget, DoPush:
		g.executeOnRun(verb, gr, o, now, tell)
	default:
		tell.refuse(http.StatusNotFound, "no such command")
	}
}

func (g *Graphs) trigger(gr *graph, o *Order, now time.Time, tell responder) {
	var conf map[string]json.RawMessage
	if len(o.Conf) > 0 && json.Unmarshal(o.Conf, &conf) != nil {
		tell.refuse(http.StatusBadRequest, "conf is no JSON object")
		return
	}
	if len(o.Note) > tuning.GraphConfMaxBytes {
		tell.refuse(http.StatusBadRequest, "the note has %d bytes; up to %d are allowed", len(o.Note), tuning.GraphConfMaxBytes)
		return
	}
	logical := now
	if o.LogicalMS != 0 {
		logical = time.UnixMilli(o.LogicalMS)
	}
	if o.Run == "" {
		o.Run = RunName(Manual, logical)
	}
	m := runMeta{Type: Manual, LogicalMS: logical.UnixMilli(), Conf: o.Conf, Note: o.Note, Described: o.Described}
	g.createRun(gr, o.Run, m, now, tell)
}

// Backfilled is the answer to a backfill.
type Backfilled struct {
	Begun int `json:"begun"` // runs that were created
	Known int `json:"known"` // intervals that had a run already, or whose run was refused
}

// backfill creates the runs of past data intervals. Intervals that have a run are skipped.
func (g *Graphs) backfill(gr *graph, o *Order, now time.Time, tell responder) {
	d := g.definitions[gr.rec.Def]
	if d == nil || d.plan == nil {
		tell.refuse(http.StatusServiceUnavailable, "the graph cannot be read now; ask again")
		return
	}
	if g.cfg.Source == nil {
		tell.refuse(http.StatusConflict, "%s", noSourceText("a backfill begins runs by itself"))
		return
	}
	if o.To.After(now) {
		o.To = now
	}
	intervals, err := d.plan.Backfill(gr.schedule, o.From, o.To)
	if err != nil {
		tell.refuse(http.StatusBadRequest, "%s", err)
		return
	}
	if need := len(intervals) * len(d.plan.Steps) * tuning.RunStepBytes; g.cfg.Bytes > 0 && g.memoryBytes+need > g.cfg.Bytes {
		tell.refuse(http.StatusServiceUnavailable, "there is no memory for %d more runs now; ask again, or for fewer", len(intervals))
		return
	}
	var out Backfilled
	open := len(intervals)
	over := func() {
		if open == 0 {
			tell(leader.Answer{Status: http.StatusOK, Body: out})
		}
	}
	for _, i := range intervals {
		m := runMeta{Type: Backfill, LogicalMS: i.Begin.UnixMilli(), FromMS: i.Begin.UnixMilli(), ToMS: i.End.UnixMilli()}
		g.createRun(gr, RunName(Backfill, i.Begin), m, now, func(a leader.Answer) {
			if a.Status == http.StatusCreated {
				out.Begun++
			} else {
				out.Known++
			}
			open--
			over()
		})
	}
	if len(intervals) == 0 {
		over()
	}
}

// executeOnRun executes a command on one run.
func (g *Graphs) executeOnRun(verb string, gr *graph, o *Order, now time.Time, tell responder) {
	var e *runEntry
	for _, x := range gr.history {
		if x.id == o.Run && !x.deleting {
			e = x
		}
	}
	if e == nil {
		tell.refuse(http.StatusNotFound, "no such run")
		return
	}
	if verb == DoClear && g.cfg.Source == nil {
		tell.refuse(http.StatusConflict, "%s", noSourceText("a clear has steps go again under new jobs"))
		return
	}
	if x := e.live; x != nil {
		switch verb {
		case DoCancel:
			g.cancelRun(x, now, tell)
		case DoClear:
			g.clearSteps(x, o, tell)
		case DoPush:
			g.setResult(x, o, tell)
		default:
			tell.refuse(http.StatusConflict, "the run is not over; cancel it first")
		}
		return
	}
	switch verb {
	case DoCancel:
		tell.succeed(http.StatusOK) // the run is finished already
	case DoPush:
		tell.refuse(http.StatusConflict, "the run is over")
	case DoForget:
		g.deleteRun(gr, e, func() { tell.succeed(http.StatusNoContent) })
	case DoClear:
		g.reopenRun(gr, e, o, tell)
	}
}

// reopenRun reads a finished run, makes it live again and clears steps of it.
func (g *Graphs) reopenRun(gr *graph, e *runEntry, o *Order, tell responder) {
	d := g.definitions[e.defHash]
	switch {
	case d == nil:
		tell.refuse(http.StatusConflict, "what the run is a run of is not stored any more")
		return
	case g.cfg.Bytes > 0 && g.memoryBytes > g.cfg.Bytes:
		tell.refuse(http.StatusServiceUnavailable, "there is no memory for more runs now; ask again")
		return
	}
	plan, parts := d.plan, d.parts
	go func() {
		var rec runRecord
		item, ok, err := g.store.Get(g.termCtx, e.key)
		if err == nil && !ok {
			err = errors.New("the record does not exist")
		}
		if err == nil {
			err = json.Unmarshal(item.Value, &rec)
		}
		if err == nil && plan == nil {
			plan, err = fetch(g.termCtx, g.store, e.defHash, parts)
		}
		_ = g.runOnLoop(func() { // fails only when the leadership has ended, and the command's caller gets no answer then
			var r *dag.Run
			if err == nil {
				r, err = decodeRun(g.codec, &rec, plan)
			}
			switch {
			case err != nil:
				g.log.Warn("reading a finished run failed; its steps are not cleared", "run", e.key, "err", err)
				tell.refuse(http.StatusServiceUnavailable, "the run cannot be read now; ask again")
			case e.deleting:
				tell.refuse(http.StatusNotFound, "no such run")
			case e.live != nil: // another clear command was faster
				g.clearSteps(e.live, o, tell)
			default:
				g.cachePlan(e.defHash, d.parts, plan)
				x := newLiveRun(gr, r, e.key, e.defHash, rec.runMeta)
				g.addLive(x)
				x.version, x.entry, x.tries = item.Version, e, readTries(g.codec, &rec)
				x.meta.StartMS, x.meta.EndMS = 0, 0
				e.live, e.failedPastDependents = x, nil
				g.clearSteps(x, o, tell)
				g.markDirty(x)
			}
		})
	}()
}
