package runner

import (
	"slices"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// deleteRun deletes a finished run. then, if not nil, is called when its record is deleted.
func (g *Graphs) deleteRun(gr *graph, e *entry, then func()) {
	e.deleting = true
	g.enqueueDeletions(func() {
		gr.history = slices.DeleteFunc(gr.history, func(x *entry) bool { return x == e })
		g.releaseDefinition(e.def)
		if then != nil {
			then()
		}
	}, e.key)
}

// applyRetention deletes finished runs of a graph, except for the newest tuning.GraphRetainedRuns.
func (g *Graphs) applyRetention(gr *graph) {
	over := 0
	for i := len(gr.history) - 1; i >= 0; i-- {
		if e := gr.history[i]; e.live == nil && !e.deleting {
			if over++; over > tuning.GraphRetainedRuns {
				g.deleteRun(gr, e, nil)
			}
		}
	}
}

// cleanUp removes from memory the plans that only finished runs refer to, and deletes definitions that have been
// unreferenced for tuning.GraphDeleteAfter. At the same interval it has sweep look for unregistered uploads.
func (g *Graphs) cleanUp(now time.Time) {
	if g.lastSweep.IsZero() {
		g.lastSweep = now // Read has just listed all definitions
	} else if now.Sub(g.lastSweep) >= tuning.GraphDeleteAfter {
		g.lastSweep = now
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
		case d.refs > 0 || hash == g.fetching:
			d.idle = time.Time{}
		case d.idle.IsZero():
			d.idle = now
		case now.Sub(d.idle) >= tuning.GraphDeleteAfter:
			delete(g.defs, hash)
			g.enqueueDeletions(nil, partKeys(hash, d.parts)...)
		}
	}
}

// deletion is a record to delete. then, if not nil, is called when it is deleted.
type deletion struct {
	key  string
	then func()
}

// enqueueDeletions has records deleted in the given order. then, if not nil, is called when all are deleted.
func (g *Graphs) enqueueDeletions(then func(), keys ...string) {
	for i, key := range keys {
		d := deletion{key: key}
		if i == len(keys)-1 {
			d.then = then
		}
		g.deletions = append(g.deletions, d)
	}
}

// putDeletions adds pending deletions to a transaction.
func (g *Graphs) putDeletions(b *batch) {
	n := 0
	for n < len(g.deletions) && b.fits(1, 0) {
		b.txn.Then = append(b.txn.Then, wire.Change{Delete: g.deletions[n].key})
		b.size += 2 * len(g.deletions[n].key)
		n++
	}
	if n > 0 {
		b.done = append(b.done, func(uint64) {
			gone := g.deletions[:n]
			g.deletions = g.deletions[n:]
			for _, d := range gone {
				if d.then != nil {
					d.then()
				}
			}
		})
	}
}
