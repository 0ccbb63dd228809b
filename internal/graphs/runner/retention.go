package runner

import (
	"slices"
	"time"

	"poppypass/internal/platform/clock"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// deleteRun deletes a finished run. then, if not nil, is called when its record is deleted.
func (g *Graphs) deleteRun(gr *graph, entry *runEntry, then func()) {
	entry.deleting = true
	deleted := func() {
		gr.history = slices.DeleteFunc(gr.history, func(e *runEntry) bool { return e == entry })
		g.releaseDefinition(entry.defHash)
		if then != nil {
			then()
		}
		if gr.deleting && len(gr.history) == 0 {
			gr.onRunsDeleted()
		}
	}
	if !entry.hasResultRecords {
		g.enqueueDeletions(deleted, entry.key)
		return
	}
	// The run's own record is deleted last: a new leader finds the results that are left by it.
	g.listResultKeys(entry.key, func(keys []string) { g.enqueueDeletions(deleted, append(keys, entry.key)...) })
}

// listResultKeys lists the keys of a run's results that are stored in records of their own, and then calls then on the
// loop's goroutine. It repeats a listing that fails until the leadership ends.
func (g *Graphs) listResultKeys(runKey string, then func(keys []string)) {
	ctx, runOnLoop, store := g.termCtx, g.runOnLoop, g.store
	go func() {
		for pause := tuning.StateRetryPause; ctx.Err() == nil; pause = min(2*pause, tuning.StateRetryPauseMax) {
			var keys []string
			_, err := store.ListAll(ctx, resultPrefix(runKey), func(items []wire.Item) error {
				for _, item := range items {
					keys = append(keys, item.Key)
				}
				return nil
			})
			if err == nil {
				_ = runOnLoop(func() { then(keys) }) // fails only when the leadership has ended
				return
			}
			g.log.Debug("listing the results of a run failed; deleting the run after a pause", "run", runKey, "err", err)
			clock.Sleep(ctx, g.cfg.Clock, pause)
		}
	}()
}

// applyRetention deletes finished runs of a graph, except for the newest tuning.GraphRetainedRunsMax.
func (g *Graphs) applyRetention(gr *graph) {
	finished := 0
	for i := len(gr.history) - 1; i >= 0; i-- {
		if e := gr.history[i]; e.live == nil && !e.deleting {
			if finished++; finished > tuning.GraphRetainedRunsMax {
				g.deleteRun(gr, e, nil)
			}
		}
	}
}

// cleanUp removes from memory the plans that only finished runs refer to, and deletes definitions that have been
// unreferenced for tuning.GraphDeleteAfter. Once every tuning.GraphDeleteAfter it also calls addUnregistered.
func (g *Graphs) cleanUp(now time.Time) {
	if g.lastListing.IsZero() {
		g.lastListing = now // Read has just listed all definitions
	} else if now.Sub(g.lastListing) >= tuning.GraphDeleteAfter {
		g.lastListing = now
		g.addUnregistered()
	}
	inUse := map[string]bool{}
	for _, gr := range g.graphs {
		inUse[gr.rec.Def] = true
	}
	for _, live := range g.runs {
		inUse[live.defHash] = true
	}
	for hash, def := range g.definitions {
		if def.plan != nil && !inUse[hash] {
			g.memoryBytes -= planBytes(def.plan)
			def.plan = nil
		}
		switch {
		case def.refs > 0 || hash == g.fetchingHash:
			def.unreferencedSince = time.Time{}
		case def.unreferencedSince.IsZero():
			def.unreferencedSince = now
		case now.Sub(def.unreferencedSince) >= tuning.GraphDeleteAfter:
			delete(g.definitions, hash)
			g.enqueueDeletions(nil, partKeys(hash, def.parts)...)
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
		b.bytes += 2*len(g.deletions[n].key) + tuning.TxnChangeOverheadBytes
		n++
	}
	if n > 0 {
		b.onCommitted = append(b.onCommitted, func(uint64) {
			deleted := g.deletions[:n]
			g.deletions = g.deletions[n:]
			for _, d := range deleted {
				if d.then != nil {
					d.then()
				}
			}
		})
	}
}
