package runner

import (
	"net/http"
	"time"

	"poppypass/internal/graphs/dag"
	"poppypass/internal/scheduler/leader"
)

// schedule begins the runs that are due.
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

// beginDue begins the run of an interval, and reports whether its turn is over.
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
			// The mark moves once the run is stored: a leader that dies in between leaves
			// the next one to find the run there.
			stored()
		case a.Status == http.StatusServiceUnavailable:
			ok = false // there is no memory: it is asked again
		default:
			g.log.Error("a run that is due cannot begin", "graph", gr.rec.ID, "interval", due.Begin, "reason", a.Body)
			stored()
		}
	})
	if ok {
		gr.last = due.End
	}
	return ok
}

func (gr *graph) liveRuns() (n int) {
	for _, e := range gr.history {
		if e.live != nil {
			n++
		}
	}
	return n
}
