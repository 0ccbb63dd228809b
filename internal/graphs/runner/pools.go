package runner

import (
	"cmp"
	"slices"

	"poppypass/internal/graphs/dag"
	"poppypass/internal/platform/tuning"
)

type poolKey struct{ team, name string }

// pool bounds how many steps of a team's graphs are submitted at a time.
type pool struct {
	slots, used int
	line        waitLine
}

// slots returns how many slots a team's pool has.
func (g *Graphs) slots(team, name string) (int, bool) {
	if g.cfg.Pools != nil {
		if n, ok := g.cfg.Pools(team, name); ok {
			return n, true
		}
	}
	return tuning.GraphDefaultPoolSlots, name == "" || name == DefaultPool
}

// pool returns the pool of a step.
func (g *Graphs) pool(p *dag.Plan, step int) *pool {
	key := poolKey{p.Team, cmp.Or(p.Steps[step].Pool, DefaultPool)}
	if g.pools[key] == nil {
		n, _ := g.slots(key.team, key.name) // one that is not configured any more keeps the default
		g.pools[key] = &pool{slots: n}
	}
	return g.pools[key]
}

// waitLine is where runs wait for room, in the order in which they came.
type waitLine struct{ runs []*liveRun }

// update says whether a run waits. One that took something goes behind the others; one
// that waits for nothing any more leaves, and if there is room the next is looked at.
func (l *waitLine) update(g *Graphs, x *liveRun, waits, took, room bool) {
	i := slices.Index(l.runs, x)
	if i >= 0 && (took || !waits) {
		l.runs = slices.Delete(l.runs, i, i+1)
	}
	if waits && (i < 0 || took) {
		l.runs = append(l.runs, x)
	}
	if !waits && room {
		l.wakeFirst(g)
	}
}

// wakeFirst has the first in line looked at.
func (l *waitLine) wakeFirst(g *Graphs) {
	if len(l.runs) > 0 {
		g.enqueueRun(l.runs[0])
	}
}

func slotsOf(p *dag.Plan, step int) int { return max(1, p.Steps[step].PoolSlots) }

// fits reports whether a step's slots are free. A step that wants more than there are is alone.
func (p *pool) fits(x *liveRun, step int) bool {
	return p.used == 0 || p.used+slotsOf(x.run.Plan, step) <= p.slots
}

// takeSlots takes a step's slots.
func (g *Graphs) takeSlots(x *liveRun, step int) {
	x.active++
	x.graph.active++
	g.pool(x.run.Plan, step).used += slotsOf(x.run.Plan, step)
}

// releaseSlots frees a step's slots, and has whoever waits for them looked at.
func (g *Graphs) releaseSlots(x *liveRun, step int) {
	p := g.pool(x.run.Plan, step)
	x.active--
	x.graph.active--
	p.used -= slotsOf(x.run.Plan, step)
	p.line.wakeFirst(g)
	x.graph.line.wakeFirst(g)
	g.enqueueRun(x)
}

func (g *Graphs) lines() (out []*waitLine) {
	for _, p := range g.pools {
		out = append(out, &p.line)
	}
	return out
}
