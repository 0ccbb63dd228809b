package runner

import (
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/graphs/dag"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/scheduler/leader"
)

// PathCommands is the prefix of the URI of each command (leader.Command). A command's name follows it, and the body
// contains the command's parameters. A client that gets no answer may repeat a command: executing one twice does no
// harm.
const PathCommands = "/graphs/"

// The names of the commands.
const (
	CommandRegister    = "put"      // register a graph whose definition is stored: 201, or 200 if the graph is registered already
	CommandPause       = "pause"    // pause a graph, or resume it
	CommandDeleteGraph = "remove"   // delete a graph and its runs
	CommandTrigger     = "trigger"  // create a run: 201, or 409 if there is one with that ID
	CommandBackfill    = "backfill" // create the runs of past data intervals
	CommandCancelRun   = "cancel"   // cancel a run
	CommandClear       = "clear"    // clear steps of a run, so that they run again
	CommandDeleteRun   = "forget"   // delete a finished run
	CommandSetResult   = "push"     // set the result of a step, which steps downstream read (XCom in Airflow)
)

// Command is the body of a team's command. Fields that a command does not use are ignored.
type Command struct {
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

	From time.Time `json:"from,omitzero"` // earliest start of a data interval
	To   time.Time `json:"to,omitzero"`   // latest start of a data interval

	Steps      []string        `json:"steps,omitempty"` // empty: all
	Downstream bool            `json:"below,omitempty"` // also all steps downstream of Steps
	OnlyFailed bool            `json:"only_failed,omitempty"`
	Step       string          `json:"step,omitempty"`
	Result     json.RawMessage `json:"result,omitempty"`
}

// Command executes a command. The error is leader.ErrUnknownPath if the path is not below PathCommands, and nil
// otherwise: replies report all other failures.
func (g *Graphs) Command(c leader.Command, now time.Time, reply func(leader.Answer)) error {
	verb, ok := strings.CutPrefix(c.URI, PathCommands)
	if !ok {
		return leader.ErrUnknownPath
	}
	var cmd Command
	respond := responder(reply)
	if err := json.Unmarshal(c.Body, &cmd); err != nil || cmd.Team == "" {
		respond.refuse(http.StatusBadRequest, "the command is malformed")
		return nil
	}
	if !g.loaded {
		respond.refuse(http.StatusServiceUnavailable, "the graphs are being read; ask again")
		return nil
	}
	g.execute(verb, &cmd, now, respond)
	return nil
}

// execute executes the command with the name verb.
func (g *Graphs) execute(verb string, cmd *Command, now time.Time, respond responder) {
	if verb == CommandRegister {
		if !validHash(cmd.Def) {
			respond.refuse(http.StatusBadRequest, "the definition is no hash")
			return
		}
		g.fetchAndRegister(cmd, respond)
		return
	}
	// A graph of another team and one that does not exist get the same answer, so that a team cannot find out the
	// names of others' graphs.
	gr := g.graphs[keyGraph(cmd.Team, cmd.Graph)]
	if gr == nil || gr.deleting {
		respond.refuse(http.StatusNotFound, "no such graph")
		return
	}
	switch verb {
	case CommandPause:
		g.setPaused(gr, cmd.Paused != nil && *cmd.Paused, respond)
	case CommandDeleteGraph:
		g.deleteGraph(gr, respond)
	case CommandTrigger:
		g.trigger(gr, cmd, now, respond)
	case CommandBackfill:
		g.backfill(gr, cmd, now, respond)
	case CommandCancelRun, CommandClear, CommandDeleteRun, CommandSetResult:
		g.executeOnRun(verb, gr, cmd, now, respond)
	default:
		respond.refuse(http.StatusNotFound, "no such command")
	}
}

// trigger creates a run outside the graph's schedule.
func (g *Graphs) trigger(gr *graph, cmd *Command, now time.Time, respond responder) {
	var conf map[string]json.RawMessage
	if len(cmd.Conf) > 0 && json.Unmarshal(cmd.Conf, &conf) != nil {
		respond.refuse(http.StatusBadRequest, "conf is no JSON object")
		return
	}
	if len(cmd.Note) > tuning.GraphConfMaxBytes {
		respond.refuse(http.StatusBadRequest, "the note has %d bytes; up to %d are allowed", len(cmd.Note), tuning.GraphConfMaxBytes)
		return
	}
	logical := now
	if cmd.LogicalMS != 0 {
		logical = time.UnixMilli(cmd.LogicalMS)
	}
	if cmd.Run == "" {
		cmd.Run = DefaultRunID(RunTypeManual, logical)
	}
	m := runMeta{Type: RunTypeManual, LogicalMS: logical.UnixMilli(), Conf: cmd.Conf, Note: cmd.Note, Described: cmd.Described}
	g.createRun(gr, cmd.Run, m, now, respond)
}

// BackfillResult is the answer to a backfill.
type BackfillResult struct {
	Created int `json:"begun"` // runs that were created
	Skipped int `json:"known"` // intervals that had a run already, or whose run was refused
}

// backfill creates the runs of past data intervals. Intervals that have a run are skipped.
func (g *Graphs) backfill(gr *graph, cmd *Command, now time.Time, respond responder) {
	def := g.definitions[gr.rec.Def]
	if def == nil || def.plan == nil {
		respond.refuse(http.StatusServiceUnavailable, "the graph cannot be read now; ask again")
		return
	}
	if g.cfg.DescriptionSource == nil {
		respond.refuse(http.StatusConflict, "%s", noSourceText("a backfill begins runs by itself"))
		return
	}
	if cmd.To.After(now) {
		cmd.To = now
	}
	intervals, err := def.plan.Backfill(gr.schedule, cmd.From, cmd.To)
	if err != nil {
		respond.refuse(http.StatusBadRequest, "%s", err)
		return
	}
	if needed := len(intervals) * len(def.plan.Steps) * tuning.RunStepBytes; g.cfg.MaxMemoryBytes > 0 && g.memoryBytes+needed > g.cfg.MaxMemoryBytes {
		respond.refuse(http.StatusServiceUnavailable, "there is no memory for %d more runs now; ask again, or for fewer", len(intervals))
		return
	}
	var out BackfillResult
	unanswered := len(intervals)
	answerIfDone := func() {
		if unanswered == 0 {
			respond(leader.Answer{Status: http.StatusOK, Body: out})
		}
	}
	for _, i := range intervals {
		m := runMeta{Type: RunTypeBackfill, LogicalMS: i.Begin.UnixMilli(), FromMS: i.Begin.UnixMilli(), ToMS: i.End.UnixMilli()}
		g.createRun(gr, DefaultRunID(RunTypeBackfill, i.Begin), m, now, func(a leader.Answer) {
			if a.Status == http.StatusCreated {
				out.Created++
			} else {
				out.Skipped++
			}
			unanswered--
			answerIfDone()
		})
	}
	if len(intervals) == 0 {
		answerIfDone()
	}
}

// executeOnRun executes a command on one run.
func (g *Graphs) executeOnRun(verb string, gr *graph, cmd *Command, now time.Time, respond responder) {
	var entry *runEntry
	for _, e := range gr.history {
		if e.id == cmd.Run && !e.deleting {
			entry = e
		}
	}
	if entry == nil {
		respond.refuse(http.StatusNotFound, "no such run")
		return
	}
	if verb == CommandClear && g.cfg.DescriptionSource == nil {
		respond.refuse(http.StatusConflict, "%s", noSourceText("a clear has steps go again under new jobs"))
		return
	}
	if live := entry.live; live != nil {
		switch verb {
		case CommandCancelRun:
			g.cancelRun(live, now, respond)
		case CommandClear:
			g.clearSteps(live, cmd, respond)
		case CommandSetResult:
			g.setResult(live, cmd, respond)
		default:
			respond.refuse(http.StatusConflict, "the run is not over; cancel it first")
		}
		return
	}
	switch verb {
	case CommandCancelRun:
		respond.succeed(http.StatusOK) // the run is finished already
	case CommandSetResult:
		respond.refuse(http.StatusConflict, "the run is over")
	case CommandDeleteRun:
		g.deleteRun(gr, entry, func() { respond.succeed(http.StatusNoContent) })
	case CommandClear:
		g.reopenRun(gr, entry, cmd, respond)
	}
}

// reopenRun reads a finished run, makes it live again and clears steps of it.
func (g *Graphs) reopenRun(gr *graph, entry *runEntry, cmd *Command, respond responder) {
	def := g.definitions[entry.defHash]
	switch {
	case def == nil:
		respond.refuse(http.StatusConflict, "what the run is a run of is not stored any more")
		return
	case g.cfg.MaxMemoryBytes > 0 && g.memoryBytes > g.cfg.MaxMemoryBytes:
		respond.refuse(http.StatusServiceUnavailable, "there is no memory for more runs now; ask again")
		return
	}
	plan, parts := def.plan, def.parts
	go func() {
		stored, err := g.readFinishedRun(entry, plan, parts)
		_ = g.runOnLoop(func() { // fails only when the leadership has ended; the client gets no answer then
			var live *liveRun
			if err == nil {
				live, err = newLiveRun(gr, stored.run, entry.key, entry.defHash, stored.record.runMeta, stored.record.Results)
			}
			switch {
			case err != nil:
				g.log.Warn("reading a finished run failed; its steps are not cleared", "run", entry.key, "err", err)
				respond.refuse(http.StatusServiceUnavailable, "the run cannot be read now; ask again")
			case entry.deleting:
				respond.refuse(http.StatusNotFound, "no such run")
			case entry.live != nil: // another clear command has made the run live in the meantime
				g.clearSteps(entry.live, cmd, respond)
			default:
				live.version, live.entry, live.tries = stored.version, entry, readTries(g.codec, &stored.record)
				g.reopenAndClear(live, def.parts, cmd, respond)
			}
		})
	}()
}

// reopenAndClear makes a finished run live again and clears steps of it. parts is the number of the parts of its
// definition. If the clear is refused, the run stays as it is.
func (g *Graphs) reopenAndClear(live *liveRun, parts int, cmd *Command, respond responder) {
	if _, status, reason := g.stepsToClear(live, cmd); status != 0 {
		respond.refuse(status, "%s", reason)
		return
	}
	g.cachePlan(live.defHash, parts, live.run.Plan)
	g.addLive(live)
	live.meta.StartMS, live.meta.EndMS = 0, 0
	live.entry.live, live.entry.failedPastDependents, live.entry.hasResultRecords = live, nil, false
	g.clearSteps(live, cmd, respond)
	g.markDirty(live)
}

// finishedRun is a finished run as it is stored, with all its results.
type finishedRun struct {
	record  runRecord
	version uint64
	run     *dag.Run
}

// readFinishedRun reads a finished run. plan is its plan if that is in memory, and parts the number of the parts of its
// definition. It is safe for concurrent use.
func (g *Graphs) readFinishedRun(entry *runEntry, plan *dag.Plan, parts int) (*finishedRun, error) {
	item, ok, err := g.store.Get(g.termCtx, entry.key)
	if err != nil {
		return nil, err
	}
	if !ok {
		return nil, errors.New("the record does not exist")
	}
	out := &finishedRun{version: item.Version}
	if err := json.Unmarshal(item.Value, &out.record); err != nil {
		return nil, err
	}
	if plan == nil {
		if plan, err = fetch(g.termCtx, g.store, entry.defHash, parts); err != nil {
			return nil, err
		}
	}
	codec, err := charge.NewCodec() // g.codec belongs to the loop's goroutine
	if err != nil {
		return nil, err
	}
	if out.run, err = decodeRun(codec, &out.record, plan); err != nil {
		return nil, err
	}
	return out, restoreResults(g.termCtx, g.store, entry.key, out.run, out.record.Results)
}
