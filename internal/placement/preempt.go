package placement

import (
	"cmp"
	"slices"

	"poppypass/internal/tuning"
	"poppypass/internal/wire"
)

// Victim is a placed task that may have to make room.
type Victim struct {
	Job  *wire.Job
	Cost float64   // what stopping it costs, in seconds of work
	Ref  any       // the caller's own name for it
	For  *wire.Job // the job that it makes room for, once it is chosen
}

// within tells whether a task more keeps the team within its guarantee.
func (t *Team) within(n Room) bool {
	return t.CPUs+n.CPUs <= t.CPUsMin+slack && t.GPUs+n.GPUs <= t.GPUsMin+slack
}

// beyond tells whether the team uses more than its guarantee.
func (t *Team) beyond() bool { return t.CPUs > t.CPUsMin+slack || t.GPUs > t.GPUsMin+slack }

// Preempt chooses tasks to stop for items that found no room. Only work within
// its team's guarantee has others stopped: those of a lower priority, and, of
// any, what another team runs beyond its own guarantee. For each task the
// machine is taken on which the least work is lost.
func Preempt(items []*Item, machines []*Machine, teams map[string]*Team) []Victim {
	var out []Victim
	for _, it := range items {
		team, need := teams[it.Job.Team], it.Need()
		for n := 0; team != nil && it.Waiting > 0 && n < tuning.PreemptAtOnce && team.fits(need) && team.within(need); n++ {
			var best *Machine
			var chosen []int
			var cost float64
			for _, m := range machines {
				if !m.Total.holds(need) || !it.Allowed(m.Type, m.Zone, m.Spot) || it.Avoid != nil && it.Avoid(m.Name) {
					continue
				}
				idx, c, ok := it.victimsOn(m, need, teams)
				if ok && (best == nil || c < cost) {
					best, chosen, cost = m, idx, c
				}
			}
			if best == nil {
				break
			}
			for _, i := range chosen {
				v := best.Victims[i]
				v.For = it.Job
				out = append(out, v)
				best.Free.Sub(Room{v.Job.CPUs, v.Job.GPUs, v.Job.MemoryGB}, -1)
				if t := teams[v.Job.Team]; t != nil {
					t.add(Room{-v.Job.CPUs, -v.Job.GPUs, 0})
				}
			}
			slices.Sort(chosen)
			for _, i := range slices.Backward(chosen) {
				best.Victims = slices.Delete(best.Victims, i, i+1)
			}
			it.take(best, need, team)
		}
	}
	return out
}

// victimsOn picks the cheapest tasks of a machine whose end makes room for one of the item's.
func (it *Item) victimsOn(m *Machine, need Room, teams map[string]*Team) (idx []int, cost float64, ok bool) {
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
		if free.holds(need) {
			break
		}
		v := m.Victims[i]
		free.Sub(Room{v.Job.CPUs, v.Job.GPUs, v.Job.MemoryGB}, -1)
		idx = append(idx, i)
		cost += v.Cost
	}
	return idx, cost, free.holds(need)
}
