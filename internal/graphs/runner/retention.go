package runner

import (
	"slices"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// doom drops a run that is over.
func (g *Graphs) doom(gr *graph, e *entry, then func()) {
	e.doomed = true
	g.drop(func() {
		gr.history = slices.DeleteFunc(gr.history, func(x *entry) bool { return x == e })
		g.unrefer(e.def)
		if then != nil {
			then()
		}
	}, e.key)
}

// keep drops the oldest of the runs that are over, beyond those that are kept.
func (g *Graphs) keep(gr *graph) {
	over := 0
	for i := len(gr.history) - 1; i >= 0; i-- {
		if e := gr.history[i]; e.live == nil && !e.doomed {
			if over++; over > tuning.GraphKeep {
				g.doom(gr, e, nil)
			}
		}
	}
}

// tidy forgets plans of which only runs that are over are left, and drops definitions that
// nothing refers to for a while.
func (g *Graphs) tidy(now time.Time) {
	if g.swept.IsZero() {
		g.swept = now // a new leader has just read all of them
	} else if now.Sub(g.swept) >= tuning.GraphIdle {
		g.swept = now
		g.sweep()
	}
	used := map[string]bool{}
	for _, gr := range g.graphs {
		used[gr.rec.Def] = true
	}
	for _, x := range g.runs {
		used[x.def] = true
	}
	for hash, d := range g.defs {
		if d.plan != nil && !used[hash] {
			g.bytes -= planBytes(d.plan)
			d.plan = nil
		}
		switch {
		case d.refs > 0 || hash == g.fetch:
			d.idle = time.Time{}
		case d.idle.IsZero():
			d.idle = now
		case now.Sub(d.idle) >= tuning.GraphIdle:
			delete(g.defs, hash)
			g.drop(nil, partKeys(hash, d.parts)...)
		}
	}
}

// drop is a record that is to go; then is called once it is gone.
type drop struct {
	key  string
	then func()
}

// drop has records go, in this order.
func (g *Graphs) drop(then func(), keys ...string) {
	for i, key := range keys {
		d := drop{key: key}
		if i == len(keys)-1 {
			d.then = then
		}
		g.drops = append(g.drops, d)
	}
}

// dropRecords puts what is to go into a transaction.
func (g *Graphs) dropRecords(b *batch) {
	n := 0
	for n < len(g.drops) && b.fits(1, 0) {
		b.txn.Then = append(b.txn.Then, wire.Change{Delete: g.drops[n].key})
		b.size += 2 * len(g.drops[n].key)
		n++
	}
	if n > 0 {
		b.done = append(b.done, func(uint64) {
			gone := g.drops[:n]
			g.drops = g.drops[n:]
			for _, d := range gone {
				if d.then != nil {
					d.then()
				}
			}
		})
	}
}
