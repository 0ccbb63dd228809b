package runner

import (
	"net/http"
	"time"

	"poppypass/internal/graphs/dag"
	"poppypass/internal/scheduler/leader"
)

// schedule creates the scheduled runs that are due.
func (g *Graphs) schedule(now time.Time) {
	for _, gr := range g.graphs {
		if gr.sched == nil || gr.rec.Paused || gr.deleting || gr.version == 0 || gr.rec.Start == nil || now.Before(gr.dueAt) {
			continue
		}
		d := g.defs[gr.rec.Def]
		if d == nil || d.plan == nil {
			continue
		}
		free := gr.rec.MaxRuns - gr.liveRuns()
		if free <= 0 {
			continue
		}
		due := d.plan.Due(gr.sched, gr.last, now, free)
		for _, interval := range due {
			if !g.beginDue(gr, interval, now) {
				break
			}
		}
		if next := gr.sched.Next(now); len(due) == 0 && !next.IsZero() {
			gr.dueAt = next // no interval ends before the schedule fires
		}
	}
}

// beginDue creates the scheduled run of a data interval. It returns false if that is to be retried because memory is
// short.
func (g *Graphs) beginDue(gr *graph, due dag.Interval, now time.Time) bool {
	m := meta{Type: Scheduled, LogicalMS: due.Begin.UnixMilli(), FromMS: due.Begin.UnixMilli(), ToMS: due.End.UnixMilli()}
	stored := func() {
		gr.rec.LastMS = max(gr.rec.LastMS, m.ToMS)
		g.storeGraph(gr, nil)
	}
	ok := true
	g.createRun(gr, RunName(Scheduled, due.Begin), m, now, func(a leader.Answer) {
		switch {
		case a.Status == http.StatusCreated || a.Status == http.StatusConflict:
			// LastMS is updated only when the run is stored. If this leader fails in between, the next one finds
			// that the interval has a run.
			stored()
		case a.Status == http.StatusServiceUnavailable:
			ok = false // the memory limit is reached; the next tick retries
		default:
			g.log.Error("creating a scheduled run was refused; skipping its interval", "graph", gr.rec.ID, "interval", due.Begin, "reason", a.Body)
			stored()
		}
	})
	if ok {
		gr.last = due.End
	}
	return ok
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
