package runner

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"slices"
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/clients/statestore"
	"poppypass/internal/graphs/dag"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// loader holds the records that a new leader reads.
type loader struct {
	codec       *charge.Codec
	log         *slog.Logger
	definitions map[string]*definition
	graphs      map[string]*graph
	runs        []*liveRun // those that are not finished
}

// Read reads definitions, graphs and runs, and the final states of jobs that have finished since their runs were
// stored. It returns a function that completes the loading on the loop's goroutine.
func (g *Graphs) Read(ctx context.Context, store *statestore.Client, onLoop func(func()) error) (func(), error) {
	l := &loader{codec: g.codec, log: g.log, definitions: map[string]*definition{}, graphs: map[string]*graph{}}
	if err := l.read(ctx, store); err != nil {
		return nil, err
	}
	// From here on Finished is called for these jobs. A job that is no longer in the job store has finished, and
	// its final state is stored for good.
	var finishedJobs []string
	if err := onLoop(func() {
		g.termCtx, g.runOnLoop, g.store = ctx, onLoop, store
		finishedJobs = g.install(l)
	}); err != nil {
		return nil, err
	}
	finalStates := map[string]wire.JobState{}
	for _, id := range finishedJobs {
		item, ok, err := store.Get(ctx, jobs.KeyFinalState(id))
		if err != nil {
			return nil, err
		}
		var e jobs.FinalState
		if ok {
			if err := json.Unmarshal(item.Value, &e); err != nil {
				return nil, err
			}
			finalStates[id] = e.State
		}
	}
	return func() {
		now := g.cfg.Clock.Now()
		for _, id := range finishedJobs {
			if state, ok := finalStates[id]; ok || g.jobStore.Jobs[id] == nil {
				g.jobFinished(id, state, now)
			}
		}
		for _, live := range l.runs {
			for _, id := range live.run.JobsBeingCancelled() { // jobs that the previous leader was about to cancel
				g.jobsToCancel[id] = struct{}{}
			}
			if live.run.RunState() != dag.RunRunning && live.activeJobs == 0 {
				live.dirty = true
			}
			g.enqueueRun(live)
		}
		g.cancelKnownJobs()
		g.loaded = true
		g.log.Info("graphs and live runs loaded", "graphs", len(g.graphs), "runs", len(g.runs), "steps", len(g.byJob))
	}, nil
}

// install replaces the state of g by what was read. It returns the IDs of the steps' jobs that may have a final state,
// because they are cancelled or no longer in the job store.
func (g *Graphs) install(l *loader) (finishedJobs []string) {
	g.definitions, g.graphs, g.runs, g.memoryBytes = l.definitions, l.graphs, map[string]*liveRun{}, 0
	clear(g.byJob)
	clear(g.notSeenRunning)
	clear(g.withTimeout)
	clear(g.pools)
	for _, d := range g.definitions {
		d.compressed = nil
		if d.plan != nil {
			g.memoryBytes += planBytes(d.plan)
		}
	}
	addJob := func(live *liveRun, id string, ref dag.InstanceRef) {
		job := stepJob{run: live, ref: ref}
		if ref.Step >= 0 {
			job.generation = live.run.Generation(ref.Step)
			g.allocateSlots(live, ref.Step)
			g.notSeenRunning[id] = job
		} else {
			live.activeJobs++
		}
		g.byJob[id] = job
		if j := g.jobStore.Jobs[id]; j == nil || j.Cancelled() {
			finishedJobs = append(finishedJobs, id)
		}
	}
	for _, live := range l.runs {
		g.addLive(live)
		if live.meta.StartMS != 0 {
			live.graph.startedRuns++
		}
		for i := range live.run.Plan.Steps {
			_, instances := live.run.StepState(i)
			for k := range instances {
				if s := instances[k].State; s == dag.Queued || s == dag.Running || s == dag.UpForRetry {
					addJob(live, live.run.JobID(dag.InstanceRef{Step: i, Index: k}), dag.InstanceRef{Step: i, Index: k})
				}
			}
		}
		for _, id := range live.run.Orphans() {
			addJob(live, id, dag.InstanceRef{Step: -1})
		}
	}
	return finishedJobs
}

// read reads all records. A record that cannot be decoded must not block the others, so it is logged and left out.
func (l *loader) read(ctx context.Context, store *statestore.Client) error {
	partCounts := map[string]int{}
	if _, err := store.ListAll(ctx, PrefixDefinition, func(items []wire.Item) error {
		collectParts(l.definitions, partCounts, items)
		return nil
	}); err != nil {
		return err
	}
	for hash, d := range l.definitions {
		if partCounts[hash] != d.parts {
			// The definition is incomplete. The larger count is used, so that cleanUp deletes all its parts.
			d.compressed, d.parts = nil, max(d.parts, partCounts[hash])
		}
	}
	if _, err := store.ListAll(ctx, PrefixGraph, func(items []wire.Item) error {
		for _, item := range items {
			if err := l.addGraph(item); err != nil {
				l.log.Error("decoding a graph failed; ignoring the graph in this term", "record", item.Key, "err", err)
			}
		}
		return nil
	}); err != nil {
		return err
	}
	if _, err := store.ListAll(ctx, PrefixRun, func(items []wire.Item) error {
		for _, item := range items {
			if err := l.addRun(item); err != nil {
				l.log.Error("decoding a run failed; ignoring the run in this term", "record", item.Key, "err", err)
			}
		}
		return nil
	}); err != nil {
		return err
	}
	return l.readResults(ctx, store)
}

// readResults reads the results of live runs that are stored in records of their own. A run without all of its results
// must not go on, so it is left out.
func (l *loader) readResults(ctx context.Context, store *statestore.Client) error {
	var complete []*liveRun
	for _, live := range l.runs {
		if len(live.separate) == 0 {
			complete = append(complete, live)
			continue
		}
		switch err := restoreResults(ctx, store, live.key, live.run, live.separate); {
		case errors.Is(err, errMissingResult):
			l.log.Error("a result of a run is missing; ignoring the run in this term", "record", live.key)
			live.graph.history = slices.DeleteFunc(live.graph.history, func(e *runEntry) bool { return e == live.entry })
			l.definitions[live.defHash].refs--
		case err != nil:
			return err
		default:
			live.size.update(live) // the restored results may be lists that steps are mapped over
			complete = append(complete, live)
		}
	}
	l.runs = complete
	return nil
}

// plan returns the plan of a definition.
func (l *loader) plan(hash string) (*dag.Plan, error) {
	def := l.definitions[hash]
	if def == nil {
		return nil, errMissingPart
	}
	err := def.decodePlan(l.codec, hash)
	return def.plan, err
}

// decodePlan decodes the plan of a definition, unless it is decoded already.
func (d *definition) decodePlan(codec *charge.Codec, hash string) error {
	if d.plan != nil {
		return nil
	}
	if d.compressed == nil {
		return errMissingPart
	}
	plan, err := decodeDefinition(codec, hash, d.compressed)
	if err == nil {
		d.plan, d.compressed = plan, nil
	}
	return err
}

// addGraph adds a stored graph.
func (l *loader) addGraph(item wire.Item) error {
	var rec GraphRecord
	if err := json.Unmarshal(item.Value, &rec); err != nil {
		return err
	}
	plan, err := l.plan(rec.Def)
	if plan == nil || err != nil {
		return errors.Join(errMissingPart, err)
	}
	gr := &graph{key: item.Key, version: item.Version, rec: rec}
	gr.setDefinition(plan, rec.Def, rec.Paused)
	if rec.LastMS != 0 {
		gr.lastIntervalEnd = time.UnixMilli(rec.LastMS)
	}
	l.definitions[rec.Def].refs++
	l.graphs[item.Key] = gr
	return nil
}

// addRun adds a stored run, whose graph is already added.
func (l *loader) addRun(item wire.Item) error {
	var rec runRecord
	if err := json.Unmarshal(item.Value, &rec); err != nil {
		return err
	}
	gr := l.graphs[keyGraph(rec.Team, rec.Graph)]
	if gr == nil {
		return errors.New("the run's graph is not registered or could not be decoded")
	}
	entry := &runEntry{key: item.Key, id: rec.ID, logicalMS: rec.LogicalMS, hasInterval: rec.ToMS != 0, defHash: rec.Def, hasResultRecords: len(rec.Results) > 0}
	if rec.finished() && !gr.hasPastDependents {
		l.addRunEntry(gr, entry) // the definition need not be decoded for a finished run
		return nil
	}
	p, err := l.plan(rec.Def)
	if err != nil {
		return err
	}
	run, err := decodeRun(l.codec, &rec, p)
	if err != nil {
		return err
	}
	if rec.finished() {
		entry.failedPastDependents = failedPastDependents(run)
	} else {
		live, err := newLiveRun(gr, run, item.Key, rec.Def, rec.runMeta, rec.Results)
		if err != nil {
			return err
		}
		live.version, live.entry, live.tries = item.Version, entry, readTries(l.codec, &rec)
		entry.live = live
		l.runs = append(l.runs, live)
	}
	l.addRunEntry(gr, entry)
	return nil
}

// addRunEntry adds a run to its graph's history, and counts its reference to its definition.
func (l *loader) addRunEntry(gr *graph, e *runEntry) {
	if d := l.definitions[e.defHash]; d != nil {
		d.refs++
	}
	gr.insertRun(e)
}
