package runner

import (
	"slices"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// deleteRun deletes a finished run. then, if not nil, is called when its record is deleted.
func (g *Graphs) deleteRun(gr *graph, e *runEntry, then func()) {
	e.deleting = true
	g.enqueueDeletions(func() {
		gr.history = slices.DeleteFunc(gr.history, func(x *runEntry) bool { return x == e })
		g.releaseDefinition(e.defHash)
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
	if g.lastListing.IsZero() {
		g.lastListing = now // Read has just listed all definitions
	} else if now.Sub(g.lastListing) >= tuning.GraphDeleteAfter {
		g.lastListing = now
		g.addUnregistered()
	}
	used := map[string]bool{}
	for _, gr := range g.graphs {
		used[gr.rec.Def] = true
	}
	for _, x := range g.runs {
		used[x.defHash] = true
	}
	for hash, d := range g.definitions {
		if d.plan != nil && !used[hash] {
			g.memoryBytes -= planBytes(d.plan)
			d.plan = nil
		}
		switch {
		case d.refs > 0 || hash == g.fetchingHash:
			d.unreferencedSince = time.Time{}
		case d.unreferencedSince.IsZero():
			d.unreferencedSince = now
		case now.Sub(d.unreferencedSince) >= tuning.GraphDeleteAfter:
			delete(g.definitions, hash)
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
		b.bytes += 2 * len(g.deletions[n].key)
		n++
	}
	if n > 0 {
		b.onCommitted = append(b.onCommitted, func(uint64) {
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
