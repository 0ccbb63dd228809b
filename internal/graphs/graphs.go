// Package graphs runs graphs of steps on the same core as every other job: when a step is
// ready, it is submitted as a job of its graph's team, and what becomes of that job is the
// step's state. It joins the leader's loop as a slice; package dag decides.
//
// Exactly once: the write that records a step as submitted is the transaction that
// stores its job, guarded on both. So a step is submitted or it is ready, whoever leads
// next, and its job's id is the same for all. What became of the job is in its own
// records, which a new leader compares with the runs before it goes on.
package graphs

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/charge"
	"poppypass/internal/dag"
	"poppypass/internal/jobs"
	"poppypass/internal/leader"
	"poppypass/internal/roster"
	"poppypass/internal/statestore"
	"poppypass/internal/tuning"
	"poppypass/internal/wire"
)

// Config is what the graphs find in their process.
type Config struct {
	Clock   clockwork.Clock
	TxnOps  int     // changes in one transaction
	ValueKB float64 // the longest value of the state service, in KiB
	// Impossible says why a job can never run, or nothing.
	Impossible func(*wire.Job) string
	// Jitter gives a share from 0 to 1, by which rests before retries differ.
	Jitter func() float64
}

// Graphs are the live runs of one tenure. It implements leader.Slice.
type Graphs struct {
	cfg   Config
	log   *slog.Logger
	codec *charge.Codec
	book  *jobs.Book

	read   bool
	plans  map[string]*dag.Plan // by hash; those that are stored whole
	runs   map[string]*live     // by key
	order  []*live              // in the order in which they began here
	byJob  map[string]where     // steps whose jobs are not over
	births []*birth
}

// live is a run that is not over.
type live struct {
	run     *dag.Run
	key     string
	def     string
	version uint64
	dirty   bool // it is not stored as it is
	active  int  // instances that are submitted and not over
}

type where struct {
	run *live
	at  dag.Ref
}

// birth is a run that is to be stored: first its graph's parts, then itself.
type birth struct {
	plan  *dag.Plan
	hash  string
	parts []json.RawMessage
	next  int
	run   *dag.Run
	key   string
	tell  func(error)
}

var (
	// ErrExists tells that a run of that name is known.
	ErrExists = errors.New("the run exists already")
	// ErrNotReady tells that the runs are still being read.
	ErrNotReady = errors.New("the runs are being read; come back in a second")
)

// New makes the graphs of a tenure.
func New(cfg Config, log *slog.Logger) (*Graphs, error) {
	codec, err := charge.NewCodec()
	if err != nil {
		return nil, err
	}
	return &Graphs{
		cfg: cfg, log: log, codec: codec, plans: map[string]*dag.Plan{}, runs: map[string]*live{}, byJob: map[string]where{},
	}, nil
}

// Begin stores a run of a graph, and has it go. tell is told once it is stored, or why
// it is not.
func (g *Graphs) Begin(p *dag.Plan, id string, now time.Time, tell func(error)) {
	if !g.read {
		tell(ErrNotReady)
		return
	}
	key := keyRun(p.Team, p.ID, id)
	if len(key) > tuning.MaxKey {
		tell(errors.New("the names of graph and run are too long together"))
		return
	}
	r := dag.NewRun(p, id)
	for i := range p.Steps {
		if p.Steps[i].Job == nil {
			continue
		}
		j, _, err := jobOf(r, dag.Ref{Step: i}, now.UnixMilli())
		if err == nil && g.cfg.Impossible != nil {
			if why := g.cfg.Impossible(&j); why != "" {
				err = errors.New(why)
			}
		}
		if err != nil {
			tell(fmt.Errorf("step %s: %w", p.Steps[i].ID, err))
			return
		}
	}
	hash, values, err := parts(g.codec, &p.Graph)
	if err != nil {
		tell(err)
		return
	}
	if g.plans[hash] != nil {
		values = nil // it is stored already
	}
	g.births = append(g.births, &birth{plan: p, hash: hash, parts: values, run: r, key: key, tell: tell})
}

// Read reads the runs that are not over, and what became of their jobs meanwhile.
func (g *Graphs) Read(ctx context.Context, store *statestore.Client, ask func(func()) error) (func(), error) {
	list := func(prefix string) (out []wire.Item, err error) {
		_, err = store.ListAll(ctx, prefix, func(items []wire.Item) error {
			out = append(out, items...)
			return nil
		})
		return out, err
	}
	defs, err := list(PrefixDef)
	if err != nil {
		return nil, err
	}
	stored, err := list(PrefixRun)
	if err != nil {
		return nil, err
	}
	plans, err := assemble(g.codec, defs)
	if err != nil {
		return nil, err
	}
	runs := map[string]*live{}
	var order []*live
	var open []where
	for _, item := range stored {
		var rec runRecord
		if json.Unmarshal(item.Value, &rec) == nil && rec.Over {
			continue
		}
		r, def, err := decodeRun(g.codec, item, plans)
		if err != nil {
			// One run that cannot be read must not hold up all others.
			g.log.Error("a run is unreadable and rests", "err", err)
			continue
		}
		x := &live{run: r, key: item.Key, def: def, version: item.Version}
		runs[x.key] = x
		order = append(order, x)
		for i := range r.Plan.Steps {
			_, instances := r.State(i)
			for k := range instances {
				if s := instances[k].State; s == dag.Queued || s == dag.Running || s == dag.UpForRetry {
					open = append(open, where{x, dag.Ref{Step: i, Index: k}})
				}
			}
		}
	}
	ids := make([]string, len(open))
	for i, w := range open {
		ids[i] = w.run.run.JobID(w.at)
	}
	// From here on the loop hears what becomes of these jobs. One that is not live any more
	// has ended: its end is stored for ever.
	var ended []string
	if err := ask(func() {
		g.plans, g.runs, g.order, g.byJob = plans, runs, order, map[string]where{}
		for i, w := range open {
			g.byJob[ids[i]] = w
			w.run.active++
			if j := g.book.Jobs[ids[i]]; j == nil || j.Cancelled() {
				ended = append(ended, ids[i])
			}
		}
	}); err != nil {
		return nil, err
	}
	states := map[string]wire.JobState{}
	for _, id := range ended {
		item, ok, err := store.Get(ctx, jobs.KeyEnd(id))
		if err != nil {
			return nil, err
		}
		var e jobs.End
		if ok {
			if err := json.Unmarshal(item.Value, &e); err != nil {
				return nil, fmt.Errorf("record %s: %w", item.Key, err)
			}
			states[id] = e.State
		}
	}
	return func() {
		for id, state := range states {
			g.over(id, state)
		}
		for _, x := range order {
			// What a former leader was about to cancel.
			for _, id := range x.run.Ending() {
				if j := g.book.Jobs[id]; j != nil {
					g.book.Cancel(j, func(wire.JobState) {})
				}
			}
		}
		g.read = true
		g.log.Info("graphs loaded", "runs", len(runs), "steps", len(open))
	}, nil
}

// Loaded takes in the book.
func (g *Graphs) Loaded(book *jobs.Book, _ time.Time) { g.book = book }

// Admit has a step's job rest before its next try.
func (g *Graphs) Admit(j *jobs.Job, now time.Time) (int, string) {
	w, ok := g.byJob[j.ID]
	if !ok {
		return j.Waiting(), ""
	}
	_, instances := w.run.run.State(w.at.Step)
	if instances[w.at.Index].Ending {
		return 0, "the step's tries are used up, or its time is over"
	}
	if hold := instances[w.at.Index].Hold; now.Before(hold) {
		return 0, "the step rests before its next try, until " + hold.UTC().Format(time.RFC3339)
	}
	return j.Waiting(), ""
}

// Look lowers the counts of jobs that rest.
func (g *Graphs) Look(waiting []*jobs.Job, counts []int, now time.Time) {
	if len(g.byJob) == 0 {
		return
	}
	for i, j := range waiting {
		if n, _ := g.Admit(j, now); n < counts[i] {
			counts[i] = n
		}
	}
}

// Placed is nothing to graphs.
func (g *Graphs) Placed(*jobs.Place, bool, *wire.MachineType, time.Time) {}

// Ended counts a step's failed attempts.
func (g *Graphs) Ended(o roster.Outcome, now time.Time) {
	w, ok := g.byJob[o.Place.Job.ID]
	if !ok || o.Why != wire.WhyError || o.Place.Job.Cancelled() {
		return
	}
	w.run.run.Failure(w.at, now, g.cfg.Jitter())
	w.run.dirty = true
	g.cancel(w.run)
}

// Over takes in what became of a step's job.
func (g *Graphs) Over(o jobs.Over, _ time.Time) { g.over(o.Job.ID, o.State) }

func (g *Graphs) over(id string, state wire.JobState) {
	w, ok := g.byJob[id]
	if !ok {
		return
	}
	delete(g.byJob, id)
	w.run.active--
	w.run.dirty = true
	if state != wire.StateDone {
		w.run.run.Gone(w.at)
	} else if err := w.run.run.Done(w.at, nil); err != nil {
		g.log.Info("a step has failed", "graph", w.run.run.Plan.ID, "run", w.run.run.ID, "err", err)
	}
	g.cancel(w.run)
}

// cancel cancels the jobs that a run has no use for any more, and tells whether there
// were any.
func (g *Graphs) cancel(x *live) bool {
	ids := x.run.Cancels()
	for _, id := range ids {
		if j := g.book.Jobs[id]; j != nil {
			g.book.Cancel(j, func(wire.JobState) {})
		}
	}
	return len(ids) > 0
}

// Cancel cancels a run; ok is false if it is not live.
func (g *Graphs) Cancel(team, graph, run string) (ok bool) {
	x := g.runs[keyRun(team, graph, run)]
	if x == nil {
		return false
	}
	x.run.Cancel()
	x.dirty = true
	g.cancel(x)
	return true
}

// Tick looks which steps run, and for how long.
func (g *Graphs) Tick(now time.Time) []*jobs.Place {
	if !g.read {
		return nil
	}
	late := map[*live]map[int]bool{}
	for id, w := range g.byJob {
		r := w.run.run
		_, instances := r.State(w.at.Step)
		if j := g.book.Jobs[id]; j != nil && !now.Before(instances[w.at.Index].Hold) && j.Status().Running > 0 {
			r.Running(w.at, now)
		}
		if r.Plan.Steps[w.at.Step].Timeout > 0 {
			if late[w.run] == nil {
				late[w.run] = map[int]bool{}
			}
			late[w.run][w.at.Step] = true
		}
	}
	for x, steps := range late {
		for i := range steps {
			x.run.Late(i, now)
		}
		x.dirty = g.cancel(x) || x.dirty
	}
	return nil
}

// Next gives the next transaction of the graphs: a new run, steps to submit, or a run
// whose state has changed.
func (g *Graphs) Next(now time.Time, room int) *leader.Write {
	if most := min(room, g.cfg.TxnOps); g.read && most >= 2 {
		if len(g.births) > 0 {
			return g.bear(most)
		}
		for i, x := range g.order {
			if x.run.Ready() > 0 || x.dirty {
				if w := g.submit(x, most, now); w != nil {
					// The next look begins behind it: a run of 10,000 ready steps must not
					// hold up the others.
					g.order = append(append(slices.Clone(g.order[:i]), g.order[i+1:]...), x)
					return w
				}
			}
		}
	}
	return nil
}

// bear stores a new run.
func (g *Graphs) bear(most int) *leader.Write {
	b := g.births[0]
	var txn wire.Txn
	if b.next < len(b.parts) {
		size, end := 0, b.next
		for end < len(b.parts) && end-b.next < most && size+len(b.parts[end]) < tuning.CommitBytes {
			txn.Then = append(txn.Then, wire.Change{Put: keyPart(b.hash, end), Value: b.parts[end]})
			size += len(b.parts[end])
			end++
		}
		// They are named by what they say, so writing one again changes nothing.
		return &leader.Write{Txn: txn, Done: func(uint64) {
			b.next = end
			if end == len(b.parts) {
				g.plans[b.hash] = b.plan
			}
		}}
	}
	value, err := runValue(g.codec, b.hash, b.run)
	if err != nil {
		g.births = g.births[1:]
		b.tell(err)
		return nil
	}
	txn.If = []wire.Condition{{Key: b.key}}
	txn.Then = []wire.Change{{Put: b.key, Value: value}}
	return &leader.Write{Txn: txn, Done: func(revision uint64) {
		g.births = g.births[1:]
		x := &live{run: b.run, key: b.key, def: b.hash, version: revision}
		g.runs[b.key] = x
		g.order = append(g.order, x)
		b.tell(nil)
	}, Conflict: func() {
		g.births = g.births[1:]
		b.tell(ErrExists)
	}}
}

// submit stores the jobs of steps that are ready, and the run's state with them.
func (g *Graphs) submit(x *live, most int, now time.Time) *leader.Write {
	limit := x.run.Plan.MaxTasks
	if limit == 0 {
		limit = tuning.GraphTasks
	}
	refs := x.run.Next(min(most-1, max(0, limit-x.active)))
	if len(refs) == 0 && !x.dirty {
		return nil
	}
	var txn wire.Txn
	for _, at := range refs {
		j, value, err := jobOf(x.run, at, now.UnixMilli())
		if err != nil || len(value) > int(g.cfg.ValueKB*1024) {
			g.log.Error("a step cannot be submitted", "job", j.ID, "err", err)
			x.run.Gone(at)
			continue
		}
		x.run.Submitted(at)
		txn.If = append(txn.If, wire.Condition{Key: jobs.KeyJob(j.ID)}, wire.Condition{Key: jobs.KeyEnd(j.ID)})
		txn.Then = append(txn.Then, wire.Change{Put: jobs.KeyJob(j.ID), Value: value})
		// What hears of the job first, its end or this transaction's, must find it.
		g.byJob[j.ID] = where{x, at}
		x.active++
	}
	value, err := runValue(g.codec, x.def, x.run)
	if err != nil || len(value) > int(g.cfg.ValueKB*1024) {
		g.log.Error("a run has become too large and is cancelled", "run", x.key, "bytes", len(value), "err", err)
		x.run.Cancel()
		g.cancel(x)
		return nil
	}
	txn.If = append(txn.If, wire.Condition{Key: x.key, Version: x.version})
	txn.Then = append(txn.Then, wire.Change{Put: x.key, Value: value})
	x.dirty = false
	return &leader.Write{Txn: txn, Done: func(revision uint64) {
		x.version = revision
		if x.run.RunState() != dag.RunRunning && x.active == 0 && !x.dirty {
			delete(g.runs, x.key)
			g.order = slices.DeleteFunc(g.order, func(y *live) bool { return y == x })
		}
	}}
}

// Show answers questions; there are none yet.
func (g *Graphs) Show(string, time.Time) (int, any, bool) { return 0, nil, false }
