package runner

import (
	"cmp"
	"net/http"
	"net/url"
	"slices"
	"time"

	"poppypass/internal/graphs/dag"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/leader"
)

// poolKey identifies a pool.
type poolKey struct{ team, name string }

// pool limits how many steps of a team's graphs are submitted at a time.
type pool struct {
	slots, used int       // number of slots in total, and of those that submitted steps occupy
	waitQueue   waitQueue // runs with ready steps for which too few slots are free
}

// slots returns the number of slots of a team's pool, and whether the pool exists.
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
		n, _ := g.slots(key.team, key.name) // a pool that is no longer configured has the default number
		g.pools[key] = &pool{slots: n}
	}
	return g.pools[key]
}

// waitQueue is a queue of runs that wait for slots of a pool or for the graph's limit, first come first served.
type waitQueue struct{ runs []*liveRun }

// update adds a run to the queue if it waits, and removes it if it does not. A run that was allocated slots and still
// waits moves to the end of the queue. If the run does not wait and there is room for more steps, the first run of the
// queue is enqueued in Graphs.runQueue.
func (q *waitQueue) update(g *Graphs, live *liveRun, waits, allocated, hasRoom bool) {
	i := slices.Index(q.runs, live)
	if i >= 0 && (allocated || !waits) {
		q.runs = slices.Delete(q.runs, i, i+1)
	}
	if waits && (i < 0 || allocated) {
		q.runs = append(q.runs, live)
	}
	if !waits && hasRoom {
		q.enqueueFirst(g)
	}
}

// enqueueFirst enqueues the first waiting run in Graphs.runQueue, so that the next write submits its steps if they fit.
func (q *waitQueue) enqueueFirst(g *Graphs) {
	if len(q.runs) > 0 {
		g.enqueueRun(q.runs[0])
	}
}

// slotsNeeded returns the number of slots that a step occupies.
func slotsNeeded(p *dag.Plan, step int) int { return max(1, p.Steps[step].PoolSlots) }

// fits reports whether enough slots are free for a step. A step that needs more slots than the pool has may use the
// pool alone.
func (p *pool) fits(live *liveRun, step int) bool {
	return p.used == 0 || p.used+slotsNeeded(live.run.Plan, step) <= p.slots
}

// allocateSlots allocates a step's slots.
func (g *Graphs) allocateSlots(live *liveRun, step int) {
	live.activeJobs++
	live.graph.activeInstances++
	g.pool(live.run.Plan, step).used += slotsNeeded(live.run.Plan, step)
}

// releaseSlots frees a step's slots. It enqueues in Graphs.runQueue the step's run, the first run that waits for the
// pool, and the first run that waits for the graph's limit.
func (g *Graphs) releaseSlots(live *liveRun, step int) {
	p := g.pool(live.run.Plan, step)
	live.activeJobs--
	live.graph.activeInstances--
	p.used -= slotsNeeded(live.run.Plan, step)
	p.waitQueue.enqueueFirst(g)
	live.graph.waitQueue.enqueueFirst(g)
	g.enqueueRun(live)
}

// poolQueues returns the queues of all pools.
func (g *Graphs) poolQueues() (out []*waitQueue) {
	for _, p := range g.pools {
		out = append(out, &p.waitQueue)
	}
	return out
}

// PathPools is the path of the query for a team's pools. The answer is a list of PoolView.
const PathPools = "/graphs/pools"

// Query answers queries for state that only the leader has in memory: the pools (PathPools). Everything else can be
// read from the stored records with a Reader. For any other path the error is leader.ErrUnknownPath; there are no other
// errors.
func (g *Graphs) Query(uri string, _ time.Time) (leader.Answer, error) {
	u, err := url.Parse(uri)
	if err != nil || u.Path != PathPools {
		return leader.Answer{}, leader.ErrUnknownPath
	}
	if !g.loaded {
		return leader.Answer{Status: http.StatusServiceUnavailable, Body: wire.Error{Error: "the graphs are being read"}}, nil
	}
	out := []PoolView{}
	for key, p := range g.pools {
		if key.team != u.Query().Get("team") {
			continue
		}
		v := PoolView{Name: key.name, Slots: p.slots, Used: p.used}
		for _, live := range p.waitQueue.runs {
			v.Waiting += len(live.waitingForPool[p])
		}
		out = append(out, v)
	}
	return leader.Answer{Status: http.StatusOK, Body: out}, nil
}
