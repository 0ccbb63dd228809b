package runner

import (
	"net/http"
	"time"

	"poppypass/internal/graphs/dag"
	"poppypass/internal/scheduler/leader"
)

// createDueRuns creates the scheduled runs that are due.
func (g *Graphs) createDueRuns(now time.Time) {
	for _, gr := range g.graphs {
		if gr.schedule == nil || gr.rec.Paused || gr.deleting || gr.version == 0 || gr.rec.Start == nil || now.Before(gr.notDueBefore) {
			continue
		}
		def := g.definitions[gr.rec.Def]
		if def == nil || def.plan == nil {
			continue
		}
		free := gr.rec.MaxRuns - gr.liveRuns()
		if free <= 0 {
			continue
		}
		due := def.plan.Due(gr.schedule, gr.lastIntervalEnd, now, free)
		for _, interval := range due {
			if !g.createScheduledRun(gr, interval, now) {
				break
			}
		}
		if next := gr.schedule.Next(now); len(due) == 0 && !next.IsZero() {
			gr.notDueBefore = next // no interval ends before the schedule fires
		}
	}
}

// createScheduledRun creates the scheduled run of a data interval. It returns false if the memory limit or another
// temporary condition prevents that, and the caller is to retry later.
func (g *Graphs) createScheduledRun(gr *graph, due dag.Interval, now time.Time) bool {
	meta := runMeta{Type: RunTypeScheduled, LogicalMS: due.Begin.UnixMilli(), FromMS: due.Begin.UnixMilli(), ToMS: due.End.UnixMilli()}
	recordInterval := func() {
		gr.rec.LastMS = max(gr.rec.LastMS, meta.ToMS)
		g.storeGraph(gr, nil)
	}
	handled := true
	g.createRun(gr, DefaultRunID(RunTypeScheduled, due.Begin), meta, now, func(a leader.Answer) {
		switch {
		case a.Status == http.StatusCreated || a.Status == http.StatusConflict:
			// LastMS is updated only when the run is stored. If this leader fails in between, the next one finds
			// that the interval has a run.
			recordInterval()
		case a.Status == http.StatusServiceUnavailable:
			handled = false // the memory limit is reached; the next tick retries
		default:
			g.log.Error("creating a scheduled run was refused; skipping its interval", "graph", gr.rec.ID, "interval", due.Begin, "reason", a.Body)
			recordInterval()
		}
	})
	if handled {
		gr.lastIntervalEnd = due.End
	}
	return handled
}

// liveRuns returns the number of live runs, whether they have started or not.
func (gr *graph) liveRuns() (n int) {
	for _, e := range gr.history {
		if e.live != nil {
			n++
		}
	}
	return n
}
