package runner

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/clients/statestore"
	"poppypass/internal/graphs/dag"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// loader holds what a new leader reads.
type loader struct {
	codec  *charge.Codec
	log    *slog.Logger
	defs   map[string]*definition
	graphs map[string]*graph
	runs   []*liveRun
}

// Read reads graphs and the runs that are not over, and what became of their jobs meanwhile.
func (g *Graphs) Read(ctx context.Context, store *statestore.Client, ask func(func()) error) (func(), error) {
	l := &loader{codec: g.codec, log: g.log, defs: map[string]*definition{}, graphs: map[string]*graph{}}
	if err := l.read(ctx, store); err != nil {
		return nil, err
	}
	// From here on the loop is told what becomes of these jobs. One that is not live any more
	// has ended: its end is stored for ever.
	var ended []string
	if err := ask(func() {
		g.ended, g.ask, g.store = ctx, ask, store
		ended = g.install(l)
	}); err != nil {
		return nil, err
	}
	states := map[string]wire.JobState{}
	for _, id := range ended {
		item, ok, err := store.Get(ctx, jobs.KeyFinalState(id))
		if err != nil {
			return nil, err
		}
		var e jobs.FinalState
		if ok {
			if err := json.Unmarshal(item.Value, &e); err != nil {
				return nil, err
			}
			states[id] = e.State
		}
	}
	return func() {
		now := g.cfg.Clock.Now()
		for _, id := range ended {
			if state, ok := states[id]; ok || g.jobStore.Jobs[id] == nil {
				g.jobFinished(id, state, now)
			}
		}
		for _, x := range l.runs {
			for _, id := range x.run.JobsBeingCancelled() { // what a former leader was about to cancel
				g.cancels[id] = struct{}{}
			}
			if x.run.RunState() != dag.RunRunning && x.active == 0 {
				x.dirty = true
			}
			g.enqueueRun(x)
		}
		g.cancelKnownJobs()
		g.read = true
		g.log.Info("graphs loaded", "graphs", len(g.graphs), "runs", len(g.runs), "steps", len(g.byJob))
	}, nil
}

// install records what was read, and returns the jobs of steps that are not live.
func (g *Graphs) install(l *loader) (ended []string) {
	g.defs, g.graphs, g.runs, g.bytes = l.defs, l.graphs, map[string]*liveRun{}, 0
	clear(g.byJob)
	clear(g.notSeenRunning)
	clear(g.withTimeout)
	clear(g.pools)
	for _, d := range g.defs {
		d.packed = nil
		if d.plan != nil {
			g.bytes += planBytes(d.plan)
		}
	}
	open := func(x *liveRun, id string, at dag.InstanceRef) {
		w := stepJob{run: x, at: at}
		if at.Step >= 0 {
			w.generation = x.run.Generation(at.Step)
			g.takeSlots(x, at.Step)
			g.notSeenRunning[id] = w
		} else {
			x.active++
		}
		g.byJob[id] = w
		if j := g.jobStore.Jobs[id]; j == nil || j.Cancelled() {
			ended = append(ended, id)
		}
	}
	for _, x := range l.runs {
		g.addLive(x)
		if x.meta.StartMS != 0 {
			x.graph.started++
		}
		for i := range x.run.Plan.Steps {
			_, instances := x.run.StepState(i)
			for k := range instances {
				if s := instances[k].State; s == dag.Queued || s == dag.Running || s == dag.UpForRetry {
					open(x, x.run.JobID(dag.InstanceRef{Step: i, Index: k}), dag.InstanceRef{Step: i, Index: k})
				}
			}
		}
		for _, id := range x.run.Orphans() {
			open(x, id, dag.InstanceRef{Step: -1})
		}
	}
	return ended
}

// read reads all records. One that cannot be read must not hold up the
// others: it rests.
func (l *loader) read(ctx context.Context, store *statestore.Client) error {
	have := map[string]int{}
	if _, err := store.ListAll(ctx, PrefixDef, func(items []wire.Item) error {
		gather(l.defs, have, items)
		return nil
	}); err != nil {
		return err
	}
	for hash, d := range l.defs {
		if have[hash] != d.parts {
			d.packed, d.parts = nil, max(d.parts, have[hash]) // a part is missing
		}
	}
	if _, err := store.ListAll(ctx, PrefixGraph, func(items []wire.Item) error {
		for _, item := range items {
			if err := l.graph(item); err != nil {
				l.log.Error("a graph is unreadable and rests", "record", item.Key, "err", err)
			}
		}
		return nil
	}); err != nil {
		return err
	}
	_, err := store.ListAll(ctx, PrefixRun, func(items []wire.Item) error {
		for _, item := range items {
			if err := l.run(item); err != nil {
				l.log.Error("a run is unreadable and rests", "record", item.Key, "err", err)
			}
		}
		return nil
	})
	return err
}

// plan returns the plan of a definition.
func (l *loader) plan(hash string) (*dag.Plan, error) {
	d := l.defs[hash]
	if d == nil {
		return nil, errParts
	}
	err := d.load(l.codec, hash)
	return d.plan, err
}

// load makes the plan of a definition, if that was not done.
func (d *definition) load(c *charge.Codec, hash string) error {
	if d.plan != nil {
		return nil
	}
	if d.packed == nil {
		return errParts
	}
	plan, err := unpack(c, hash, d.packed)
	if err == nil {
		d.plan, d.packed = plan, nil
	}
	return err
}

func (l *loader) graph(item wire.Item) error {
	var rec GraphRecord
	if err := json.Unmarshal(item.Value, &rec); err != nil {
		return err
	}
	p, err := l.plan(rec.Def)
	if p == nil || err != nil {
		return errors.Join(errParts, err)
	}
	gr := &graph{key: item.Key, version: item.Version, rec: rec}
	gr.define(p, rec.Def, rec.Paused)
	if rec.LastMS != 0 {
		gr.last = time.UnixMilli(rec.LastMS)
	}
	l.defs[rec.Def].refs++
	l.graphs[item.Key] = gr
	return nil
}

func (l *loader) run(item wire.Item) error {
	var rec runRecord
	if err := json.Unmarshal(item.Value, &rec); err != nil {
		return err
	}
	gr := l.graphs[keyGraph(rec.Team, rec.Graph)]
	if gr == nil {
		return errors.New("its graph is not known")
	}
	e := &entry{key: item.Key, id: rec.ID, logical: rec.LogicalMS, due: rec.ToMS != 0, def: rec.Def}
	if rec.over() && !gr.hasPastDependents {
		l.refer(gr, e) // its definition is not read for that
		return nil
	}
	p, err := l.plan(rec.Def)
	if err != nil {
		return err
	}
	r, err := decodeRun(l.codec, &rec, p)
	if err != nil {
		return err
	}
	if rec.over() {
		e.failed = failedPastDependents(r)
	} else {
		x := newLiveRun(gr, r, item.Key, rec.Def, rec.meta)
		x.version, x.entry, x.size, x.tries = item.Version, e, len(item.Value), readTries(l.codec, &rec)
		e.live = x
		l.runs = append(l.runs, x)
	}
	l.refer(gr, e)
	return nil
}

// refer takes a run into its graph's history.
func (l *loader) refer(gr *graph, e *entry) {
	if d := l.defs[e.def]; d != nil {
		d.refs++
	}
	gr.insertRun(e)
}
