// Package runner runs graphs of steps on the same core as every other job: when a step is
// ready, it is submitted as a job of its graph's team, and what becomes of that job is the
// step's state. It joins the leader's loop as a subsystem; package dag decides.
//
// Exactly once: the write that records a step as submitted is the transaction that
// stores its job, guarded on both. So a step is submitted or it is ready, whoever leads
// next, and its job's id is the same for all. What became of the job is in its own
// records, which a new leader compares with the runs before it goes on.
//
// Only the leader writes graphs and runs; any member stores definitions, which are named by
// what they say, and reads all of it (Reader).
package runner

import (
	"context"
	"log/slog"
	"net/http"
	"net/url"
	"time"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/clients/statestore"
	"poppypass/internal/graphs/dag"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/leader"
	"poppypass/internal/scheduler/machines"
)

// Config is what the graphs find in their process.
type Config struct {
	Clock   clockwork.Clock
	TxnOps  int     // changes in one transaction
	ValueKB float64 // the longest value of the state service, in KiB
	Bytes   int     // that graphs and live runs may take in memory; 0: any number
	// Impossible says why a job can never run, or nothing. It is safe for concurrent use.
	Impossible func(*wire.Job) string
	// Jitter returns a share from 0 to 1, by which rests before retries differ.
	Jitter func() float64
	// Source makes the descriptions of steps known to workers; nil: only clients do.
	Source Source
	// Pools returns the slots of a team's pool. It is safe for concurrent use.
	Pools func(team, name string) (slots int, ok bool)
}

// Graphs are the graphs and live runs of one leadership. It implements leader.Subsystem and
// leader.CommandHandler.
type Graphs struct {
	cfg      Config
	log      *slog.Logger
	codec    *charge.Codec
	jobStore *jobs.Store

	ended context.Context    // of the leadership
	ask   func(func()) error // has the loop do something
	store *statestore.Client
	read  bool

	defs           map[string]*definition // by hash
	graphs         map[string]*graph      // by key
	runs           map[string]*liveRun    // those that are not over, by key
	byJob          map[string]stepJob     // steps whose jobs are not over
	notSeenRunning map[string]stepJob     // those of them that were not seen to run
	withTimeout    map[string]stepJob     // those that run, and may not for ever
	pools          map[poolKey]*pool      //
	todo           []*liveRun             // runs with something to store or to submit
	deletions      []deletion             // records that are to go
	bytes          int                    // that graphs and runs take
	nextCleanUp    time.Time              // when definitions are looked at next
	source         describer              //
	fetching       string                 // the definition that is being read; empty: none
	lastSweep      time.Time              // when definitions were looked for last
	storeLater     map[*liveRun]struct{}  // runs with something that may wait to be stored

	cancels map[string]struct{} // jobs that are to be cancelled
	stops   []*jobs.Allocation  // of those that were, for the loop to stop
}

// stepJob is a step's job that is not over.
type stepJob struct {
	run        *liveRun
	at         dag.InstanceRef
	generation int
}

// current reports whether it is the job of the present generation of its step.
func (w stepJob) current() bool {
	return w.at.Step >= 0 && w.generation == w.run.run.Generation(w.at.Step)
}

func (w stepJob) instance() *dag.Instance {
	_, instances := w.run.run.StepState(w.at.Step)
	return &instances[w.at.Index]
}

// New makes the graphs of a leadership.
func New(cfg Config, log *slog.Logger) (*Graphs, error) {
	codec, err := charge.NewCodec()
	if err != nil {
		return nil, err
	}
	return &Graphs{
		cfg: cfg, log: log, codec: codec, defs: map[string]*definition{}, graphs: map[string]*graph{}, runs: map[string]*liveRun{},
		byJob: map[string]stepJob{}, notSeenRunning: map[string]stepJob{}, withTimeout: map[string]stepJob{}, pools: map[poolKey]*pool{}, storeLater: map[*liveRun]struct{}{}, cancels: map[string]struct{}{},
	}, nil
}

// Loaded receives the job store, once its records are loaded.
func (g *Graphs) Loaded(book *jobs.Store, _ time.Time) { g.jobStore = book }

// Admit has a step's job rest before its next try.
func (g *Graphs) Admit(j *jobs.Job, now time.Time) (int, string) {
	w, ok := g.byJob[j.ID]
	if !ok || !w.current() {
		return j.Waiting(), ""
	}
	x := w.instance()
	if x.Cancelling {
		return 0, "the step's tries are used up, or its time is over"
	}
	if now.Before(x.RetryAt) {
		return 0, "the step rests before its next try, until " + x.RetryAt.UTC().Format(time.RFC3339)
	}
	return j.Waiting(), ""
}

// LimitStarts lowers the counts of jobs that rest.
func (g *Graphs) LimitStarts(waiting []*jobs.Job, counts []int, now time.Time) {
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
func (g *Graphs) Placed(*jobs.Allocation, bool, *wire.MachineType, time.Time) {}

// Ended counts a step's failed attempts.
func (g *Graphs) Ended(o machines.Outcome, now time.Time) {
	id := o.Allocation.Job.ID
	w, ok := g.byJob[id]
	if !ok || !w.current() || o.Reason != wire.ExitError || o.Allocation.Job.Cancelled() {
		return
	}
	w.run.ended(w.at, now, dag.Failed)
	w.run.run.AttemptFailed(w.at, now, g.cfg.Jitter())
	delete(g.withTimeout, id)
	g.notSeenRunning[id] = w
	g.markDirty(w.run)
	g.cancelUnneeded(w.run)
}

// Finished records the final state of a step's job.
func (g *Graphs) Finished(o jobs.FinishedJob, now time.Time) { g.jobFinished(o.Job.ID, o.State, now) }

func (g *Graphs) jobFinished(id string, state wire.JobState, now time.Time) {
	w, ok := g.byJob[id]
	if !ok {
		return
	}
	x := w.run
	if early, pending := x.pending[id]; pending {
		// The transaction that stores the job has no answer yet: whether this job is ours
		// is known with that.
		if early == "" {
			x.pending[id] = state
		}
		return
	}
	delete(g.byJob, id)
	delete(g.notSeenRunning, id)
	delete(g.withTimeout, id)
	if w.at.Step >= 0 {
		g.releaseSlots(x, w.at.Step)
	} else {
		x.active--
	}
	g.markDirty(x)
	if !w.current() {
		x.run.OrphanFinished(id)
		return
	}
	end := dag.Success
	if state != wire.StateDone {
		end = dag.Failed
		x.run.JobCancelled(w.at)
	} else if err := x.run.JobDone(w.at); err != nil {
		end = dag.Failed
		g.log.Info("a step has failed", "graph", x.graph.rec.ID, "run", x.run.ID, "err", err)
	}
	x.ended(w.at, now, end)
	g.cancelUnneeded(x)
	if x.graph.hasPastDependents {
		// The same step of the runs behind it may wait for this.
		for _, e := range x.graph.history {
			if e.live != nil && len(e.live.waitingForPast) > 0 {
				g.enqueueRun(e.live)
			}
		}
	}
}

// cancelUnneeded cancels the jobs that a run has no use for any more.
func (g *Graphs) cancelUnneeded(x *liveRun) {
	for _, id := range x.run.TakeCancellations() {
		g.cancels[id] = struct{}{}
	}
	g.cancelKnownJobs()
}

// cancelKnownJobs cancels the jobs that the job store knows by now: it hears of one that was just
// stored a moment later.
func (g *Graphs) cancelKnownJobs() {
	for id := range g.cancels {
		if _, ok := g.byJob[id]; !ok {
			delete(g.cancels, id) // it is over
		} else if j := g.jobStore.Jobs[id]; j != nil {
			delete(g.cancels, id)
			g.jobStore.Cancel(j, func(wire.JobState) {})
			g.stops = append(g.stops, j.StopAll(charge.Cancelled)...)
		}
	}
}

// markDirty has a run stored.
func (g *Graphs) markDirty(x *liveRun) {
	x.dirty = true
	g.enqueueRun(x)
}

// enqueueRun has it looked at what a run can submit.
func (g *Graphs) enqueueRun(x *liveRun) {
	if !x.queued && !x.finished {
		x.queued = true
		g.todo = append(g.todo, x)
	}
}

// Tick looks which steps run, and for how long, which runs are due, and what may go.
func (g *Graphs) Tick(now time.Time) []*jobs.Allocation {
	if !g.read {
		return nil
	}
	for id, w := range g.notSeenRunning {
		j := g.jobStore.Jobs[id]
		if j == nil || j.Allocated == 0 || !w.current() || now.Before(w.instance().RetryAt) || j.Status().Running == 0 {
			continue
		}
		w.run.run.TaskRunning(w.at, now)
		w.run.begun(w.at, now)
		g.enqueueStoreLater(w.run, now)
		delete(g.notSeenRunning, id)
		if w.run.run.Plan.Steps[w.at.Step].Timeout > 0 {
			g.withTimeout[id] = w
		}
	}
	for _, w := range g.withTimeout {
		if w.current() && w.run.run.CancelIfTimedOut(w.at, now) {
			g.markDirty(w.run)
			g.cancelUnneeded(w.run)
		}
	}
	for x := range g.storeLater {
		if now.Sub(x.lateAt) >= tuning.GraphRecordDelay {
			delete(g.storeLater, x)
			g.markDirty(x)
		}
	}
	g.cancelKnownJobs()
	g.schedule(now)
	if !now.Before(g.nextCleanUp) {
		g.nextCleanUp = now.Add(tuning.GraphCleanUpEvery)
		g.cleanUp(now)
	}
	g.describe()
	stops := g.stops
	g.stops = nil
	return stops
}

// enqueueStoreLater has a run stored within a while, or with what is stored of it before.
func (g *Graphs) enqueueStoreLater(x *liveRun, now time.Time) {
	if _, ok := g.storeLater[x]; !ok {
		x.lateAt = now
		g.storeLater[x] = struct{}{}
	}
}

// NextWrite returns the next transaction of the graphs: graphs, runs with the jobs of steps that
// are ready, and records that are to go, as many as it takes.
func (g *Graphs) NextWrite(now time.Time, room int) *leader.SubsystemWrite {
	b := &batch{most: min(room, g.cfg.TxnOps), value: int(g.cfg.ValueKB * 1024)}
	if !g.read || b.most < 2 {
		return nil
	}
	g.storeGraphs(b)
	g.storeRuns(b, now)
	g.putDeletions(b)
	g.describe()
	if len(b.txn.Then) == 0 {
		return nil
	}
	return &leader.SubsystemWrite{Txn: b.txn, Done: func(revision uint64) {
		for _, fn := range b.done {
			fn(revision)
		}
	}, Conflict: func() {
		for _, fn := range b.undo {
			fn()
		}
	}}
}

// batch gathers one transaction.
type batch struct {
	txn   wire.Txn
	most  int // changes
	value int // bytes of the longest value
	size  int // bytes of what is in it
	done  []func(revision uint64)
	undo  []func() // if a condition did not hold
}

// fits reports whether some more changes of some bytes can go with it.
func (b *batch) fits(changes, bytes int) bool {
	return len(b.txn.Then)+changes <= b.most && (b.size == 0 || b.size+bytes <= tuning.TxnTargetBytes)
}

func (b *batch) put(key string, version uint64, value []byte) {
	b.txn.If = append(b.txn.If, wire.Condition{Key: key, Version: version})
	b.txn.Then = append(b.txn.Then, wire.Change{Put: key, Value: value})
	b.size += len(value) + 2*len(key)
}

// PathPools asks for a team's pools, as PoolViews.
const PathPools = "/graphs/pools"

// Query answers what only the leader knows; the rest is answered from what is stored (Reader). The error is
// leader.ErrUnknownPath.
func (g *Graphs) Query(uri string, _ time.Time) (leader.Answer, error) {
	u, err := url.Parse(uri)
	if err != nil || u.Path != PathPools {
		return leader.Answer{}, leader.ErrUnknownPath
	}
	if !g.read {
		return leader.Answer{Status: http.StatusServiceUnavailable, Body: wire.Error{Error: "the graphs are being read"}}, nil
	}
	out := []PoolView{}
	for key, p := range g.pools {
		if key.team != u.Query().Get("team") {
			continue
		}
		v := PoolView{Name: key.name, Slots: p.slots, Used: p.used}
		for _, x := range p.line.runs {
			v.Waits += len(x.waitingForPool[p])
		}
		out = append(out, v)
	}
	return leader.Answer{Status: http.StatusOK, Body: out}, nil
}
