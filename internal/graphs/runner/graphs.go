// Package runner runs graphs of steps as jobs of the scheduler. When a step is ready, it is submitted as a job of
// its graph's team, and the outcome of that job determines the step's state. The package is a subsystem of the
// leader's loop. Package dag decides which steps are ready.
//
// Each step is submitted exactly once. A single transaction stores the step's job and marks the step as submitted in
// the run's record. It is committed only if the run's record is unchanged and the job is not stored yet. So after a
// failover a step is either submitted or ready, and every leader computes the same job ID for it. The outcome of a job
// is stored in the job's own records. A new leader compares these with the runs before it schedules anything.
//
// Only the leader writes graphs and runs. Any member may store definitions, because the key of a definition contains
// the hash of its content. Any member may read all records (Reader).
package runner

import (
	"context"
	"log/slog"
	"time"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/clients/statestore"
	"poppypass/internal/graphs/dag"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// Config is the configuration of Graphs, and the functions that it calls.
type Config struct {
	Clock          clockwork.Clock
	MaxTxnChanges  int     // largest number of changes in a transaction
	MaxValueKiB    float64 // largest size of a value in the state service, in KiB
	MaxMemoryBytes int     // memory limit of graphs and live runs, in bytes; 0: no limit
	// ImpossibleReason returns the reason why a job can never run; empty if it can. It is safe for concurrent use.
	ImpossibleReason func(*wire.Job) string
	// Jitter returns a random number from 0 to 1, which spreads the delays before retries.
	Jitter func() float64
	// DescriptionSource describes the steps of runs to workers. If it is nil, the clients that trigger runs have to describe all
	// steps.
	DescriptionSource DescriptionSource
	// Pools returns the number of slots of a team's pool, and whether it is configured. It is safe for concurrent
	// use.
	Pools func(team, name string) (slots int, ok bool)
}

// Graphs is the subsystem that manages the graphs and live runs of one term of the leader. It implements
// leader.Subsystem and leader.CommandHandler. Only the loop's goroutine uses it, except where noted.
type Graphs struct {
	cfg      Config
	log      *slog.Logger
	codec    *charge.Codec
	jobStore *jobs.Store

	termCtx   context.Context    // done when the leadership ends
	runOnLoop func(func()) error // runs a function on the loop's goroutine
	store     *statestore.Client
	loaded    bool // whether the stored records are loaded

	definitions    map[string]*definition // by hash
	graphs         map[string]*graph      // by key
	runs           map[string]*liveRun    // by key
	byJob          map[string]stepJob     // unfinished jobs of steps, by job ID
	notSeenRunning map[string]stepJob     // subset of byJob whose current attempt was not seen running
	withTimeout    map[string]stepJob     // subset of byJob that is running and whose step has a timeout
	pools          map[poolKey]*pool      // pools that steps have used in this term
	runQueue       []*liveRun             // runs that may have something to store or to submit, in queue order
	deletions      []deletion             // records to delete, in this order
	memoryBytes    int                    // estimated memory of plans and live runs, in bytes
	nextCleanUp    time.Time              // time of the next cleanUp
	describeQueue  describeQueue          // steps to describe before they are submitted
	fetchingHash   string                 // hash of the definition that is being read; empty if none
	lastListing    time.Time              // time of the last listing of definitions; zero if none
	storeLater     map[*liveRun]struct{}  // runs with a change that may be stored after tuning.GraphRecordDelay

	jobsToCancel      map[string]struct{} // IDs of jobs to cancel
	allocationsToStop []*jobs.Allocation  // allocations of cancelled jobs, which the next Tick returns
}

// stepJob is an unfinished job of a step.
type stepJob struct {
	run        *liveRun
	ref        dag.InstanceRef // Step is -1 if the step was cleared after the job was submitted
	generation int             // the step's generation when the job was submitted
}

// current reports whether the job belongs to the current generation of its step.
func (s stepJob) current() bool {
	return s.ref.Step >= 0 && s.generation == s.run.run.Generation(s.ref.Step)
}

// instance returns the state of the job's instance. The job must be current.
func (s stepJob) instance() *dag.Instance {
	_, instances := s.run.run.StepState(s.ref.Step)
	return &instances[s.ref.Index]
}

// New creates the subsystem for one term.
func New(cfg Config, log *slog.Logger) (*Graphs, error) {
	codec, err := charge.NewCodec()
	if err != nil {
		return nil, err
	}
	return &Graphs{
		cfg: cfg, log: log, codec: codec, definitions: map[string]*definition{}, graphs: map[string]*graph{}, runs: map[string]*liveRun{},
		byJob: map[string]stepJob{}, notSeenRunning: map[string]stepJob{}, withTimeout: map[string]stepJob{}, pools: map[poolKey]*pool{}, storeLater: map[*liveRun]struct{}{}, jobsToCancel: map[string]struct{}{},
	}, nil
}

// Loaded receives the job store when its records are loaded.
func (g *Graphs) Loaded(store *jobs.Store, _ time.Time) { g.jobStore = store }

// Admit returns how many waiting tasks of a job may start. No task of a step's job may start during the delay before
// the step's next try, or while the job is being cancelled; Admit then also returns the reason.
func (g *Graphs) Admit(j *jobs.Job, now time.Time) (int, string) {
	job, ok := g.byJob[j.ID]
	if !ok || !job.current() {
		return j.Waiting(), ""
	}
	inst := job.instance()
	if inst.Cancelling {
		return 0, "the step's tries are used up, or its time is over"
	}
	if now.Before(inst.RetryAt) {
		return 0, "the step rests before its next try, until " + inst.RetryAt.UTC().Format(time.RFC3339)
	}
	return j.Waiting(), ""
}

// LimitStarts lowers the counts of waiting jobs to what Admit allows.
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

// Placed does nothing.
func (g *Graphs) Placed(*jobs.Allocation, bool, *wire.MachineType, time.Time) {}

// Tick detects steps that began to run or timed out, creates scheduled runs that are due, and cleans up. It returns
// the allocations of cancelled jobs, whose tasks are to be stopped.
func (g *Graphs) Tick(now time.Time) []*jobs.Allocation {
	if !g.loaded {
		return nil
	}
	for id, job := range g.notSeenRunning {
		j := g.jobStore.Jobs[id]
		if j == nil || j.Allocated == 0 || !job.current() || now.Before(job.instance().RetryAt) || j.Status().Running == 0 {
			continue
		}
		job.run.run.TaskRunning(job.ref, now)
		job.run.tryBegan(job.ref, now)
		g.enqueueStoreLater(job.run, now)
		delete(g.notSeenRunning, id)
		if job.run.run.Plan.Steps[job.ref.Step].Timeout > 0 {
			g.withTimeout[id] = job
		}
	}
	for _, job := range g.withTimeout {
		if job.current() && job.run.run.CancelIfTimedOut(job.ref, now) {
			g.markDirty(job.run)
			g.cancelUnneeded(job.run)
		}
	}
	for live := range g.storeLater {
		if now.Sub(live.storeLaterSince) >= tuning.GraphRecordDelay {
			delete(g.storeLater, live)
			g.markDirty(live)
		}
	}
	g.cancelKnownJobs()
	g.createDueRuns(now)
	if !now.Before(g.nextCleanUp) {
		g.nextCleanUp = now.Add(tuning.GraphCleanUpEvery)
		g.cleanUp(now)
	}
	g.describe()
	stops := g.allocationsToStop
	g.allocationsToStop = nil
	return stops
}

// enqueueStoreLater has a run stored after tuning.GraphRecordDelay, or earlier together with another change of it.
func (g *Graphs) enqueueStoreLater(live *liveRun, now time.Time) {
	if _, ok := g.storeLater[live]; !ok {
		live.storeLaterSince = now
		g.storeLater[live] = struct{}{}
	}
}

// markDirty marks a run as changed, so that it is stored.
func (g *Graphs) markDirty(live *liveRun) {
	live.dirty = true
	g.enqueueRun(live)
}

// enqueueRun adds a run to the queue of runs that may have something to store or to submit.
func (g *Graphs) enqueueRun(live *liveRun) {
	if !live.inQueue && !live.finished {
		live.inQueue = true
		g.runQueue = append(g.runQueue, live)
	}
}
