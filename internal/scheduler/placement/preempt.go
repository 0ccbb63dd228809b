package placement

import (
	"cmp"
	"slices"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// Victim is a placed task that may have to make room.
type Victim struct {
	Job       *wire.Job
	Cost      float64   // what stopping it costs, in seconds of work
	Ref       any       // the caller's own name for it
	Preemptor *wire.Job // the job that it makes room for, once it is chosen
}

// within tells whether a task more keeps the team within its guarantee.
func (t *Team) within(n Resources) bool {
	return t.UsedCPUs+n.CPUs <= t.GuaranteedCPUs+slack && t.UsedGPUs+n.GPUs <= t.GuaranteedGPUs+slack
}

// beyond tells whether the team uses more than its guarantee.
func (t *Team) beyond() bool {
	return t.UsedCPUs > t.GuaranteedCPUs+slack || t.UsedGPUs > t.GuaranteedGPUs+slack
}

// Preempt chooses tasks to stop for items that found no room. Only work within
// its team's guarantee has others stopped: those of a lower priority, and, of
// any, what another team runs beyond its own guarantee. For each task the
// machine is taken on which the least work is lost.
func Preempt(items []*PendingJob, machines []*Machine, teams map[string]*Team) []Victim {
	var out []Victim
	offers := make([]offer, len(machines))
	for _, it := range items {
		team, need := teams[it.Job.Team], it.Request()
		known := false
		for n := 0; team != nil && it.Waiting > 0 && n < tuning.PreemptBatch && team.fits(need) && team.within(need); n++ {
			if !known {
				known = true
				for i, m := range machines {
					offers[i] = it.offerOf(m, need, teams)
				}
			}
			// While one item makes room, an offer goes (a zone is full) or stays, but for that of
			// the machine that was just taken, and unless a team is no longer beyond its
			// guarantee. So the cheapest that is known is the cheapest if it still holds.
			i := cheapest(offers)
			for i >= 0 {
				now := it.offerOf(machines[i], need, teams)
				same := now.ok && now.cost == offers[i].cost
				if offers[i] = now; same {
					break
				}
				i = cheapest(offers)
			}
			if i < 0 {
				break
			}
			best, chosen := machines[i], offers[i].victims
			for _, k := range chosen {
				v := best.Victims[k]
				v.Preemptor = it.Job
				out = append(out, v)
				best.Free.Sub(Resources{v.Job.CPUs, v.Job.GPUs, v.Job.MemoryGB}, -1)
				if t := teams[v.Job.Team]; t != nil {
					before := t.beyond()
					t.add(Resources{-v.Job.CPUs, -v.Job.GPUs, 0})
					known = known && before == t.beyond()
				}
			}
			slices.Sort(chosen)
			for _, k := range slices.Backward(chosen) {
				best.Victims = slices.Delete(best.Victims, k, k+1)
			}
			it.take(best, need, team)
			offers[i] = it.offerOf(best, need, teams)
		}
	}
	return out
}

// offer is what room for one task on a machine costs.
type offer struct {
	ok      bool
	cost    float64
	victims []int
}

func (it *PendingJob) offerOf(m *Machine, need Resources, teams map[string]*Team) (o offer) {
	if m.Total.Fits(need) && it.Allows(m.Type, m.Zone, m.Spot) && (it.Avoid == nil || !it.Avoid(m.Name)) {
		o.victims, o.cost, o.ok = it.victimsOn(m, need, teams)
	}
	return o
}

// cheapest gives the first of the cheapest offers; -1: there is none.
func cheapest(offers []offer) int {
	best := -1
	for i := range offers {
		if offers[i].ok && (best < 0 || offers[i].cost < offers[best].cost) {
			best = i
		}
	}
	return best
}

// victimsOn picks the cheapest tasks of a machine whose end makes room for one of the item's.
func (it *PendingJob) victimsOn(m *Machine, need Resources, teams map[string]*Team) (idx []int, cost float64, ok bool) {
	var may []int
	for i, v := range m.Victims {
		t := teams[v.Job.Team]
		lower := v.Job.Priority.Level() < it.Job.Priority.Level()
		// A replica's end is an outage to its users: none for what is lent.
		borrowed := t != nil && v.Job.Team != it.Job.Team && t.beyond() && v.Job.Kind != wire.KindService
		if lower || borrowed {
			may = append(may, i)
		}
	}
	slices.SortFunc(may, func(a, b int) int { return cmp.Compare(m.Victims[a].Cost, m.Victims[b].Cost) })
	free := m.Free
	for _, i := range may {
		if free.Fits(need) {
			break
		}
		v := m.Victims[i]
		free.Sub(Resources{v.Job.CPUs, v.Job.GPUs, v.Job.MemoryGB}, -1)
		idx = append(idx, i)
		cost += v.Cost
	}
	return idx, cost, free.Fits(need)
}
