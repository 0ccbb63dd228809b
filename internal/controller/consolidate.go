package controller

import (
	"cmp"
	"slices"
	"time"

	"poppypass/internal/fleet"
	"poppypass/internal/jobs"
	"poppypass/internal/placement"
	"poppypass/internal/roster"
	"poppypass/internal/tuning"
	"poppypass/internal/wire"
)

// consolidate empties a machine whose work fits on cheaper or fuller ones that
// are kept anyway, so that it can be returned: a single replica would keep it
// rented for as long as it lives. Tasks of arrays end by themselves; replicas
// are moved a few at a time, to machines that hold their image, where they
// start at once.
func (l *leader) consolidate(now time.Time) {
	if now.Before(l.fleet.nextMove) {
		return
	}
	l.fleet.nextMove = now.Add(tuning.MoveEvery)
	items, _ := l.items(now)
	var draining *roster.Machine
	for _, m := range l.roster.Machines {
		if m.Draining && (len(items) > 0 || !m.Alive() || !l.fitsElsewhere(m, now)) {
			m.Draining = false // its room is wanted after all
		}
		if m.Draining {
			draining = m
		}
	}
	if draining == nil && len(items) == 0 {
		draining = l.surplus(now)
	}
	if draining != nil {
		l.move(draining, now)
	}
}

// surplus finds the machine on which the most money is wasted among those
// whose work fits elsewhere, and takes it out of placement.
func (l *leader) surplus(now time.Time) *roster.Machine {
	views := l.openMachines(now)
	waste := func(v *placement.Machine) float64 { return v.Price * v.FreeShare() }
	slices.SortFunc(views, func(a, b *placement.Machine) int {
		return cmp.Or(cmp.Compare(waste(b), waste(a)), cmp.Compare(a.Name, b.Name))
	})
	for _, v := range views[:min(len(views), tuning.MoveCandidates)] {
		m := l.roster.Machines[v.Name]
		if len(m.Places) > 0 && l.fitsElsewhere(m, now) {
			m.Draining = true
			l.log.Info("emptying machine", "machine", m.Name, "type", m.Type, "tasks", len(m.Places))
			return m
		}
	}
	return nil
}

// fitsElsewhere tells whether a machine's tasks fit on others that are in use
// and cheaper or fuller, with room left there and on idle ones for what is
// expected.
func (l *leader) fitsElsewhere(m *roster.Machine, now time.Time) bool {
	view, ok := l.view(m)
	if !ok {
		return false
	}
	var others, idle []*placement.Machine
	for _, o := range l.openMachines(now) {
		switch {
		case o.Name == m.Name:
		case len(l.roster.Machines[o.Name].Places) == 0:
			idle = append(idle, o)
		case o.Price < view.Price || o.Price == view.Price && o.FreeShare() < view.FreeShare():
			others = append(others, o)
		}
	}
	items := itemsOn(m, now)
	placement.Pass(now, items, others, fleet.Unlimited(items))
	expected := l.expected(now)
	placement.Pass(now, expected, append(others, idle...), fleet.Unlimited(expected))
	for _, it := range append(items, expected...) {
		if it.Waiting > 0 {
			return false
		}
	}
	return true
}

// itemsOn are the tasks on a machine as if they waited to be placed.
func itemsOn(m *roster.Machine, now time.Time) []*placement.Item {
	byJob := map[*jobs.Job]*placement.Item{}
	var items []*placement.Item
	for _, p := range m.Places {
		it := byJob[p.Job]
		if it == nil {
			it = &placement.Item{Job: &p.Job.Job, Since: now, Zones: cloneCounts(p.Job.Zones())}
			byJob[p.Job] = it
			items = append(items, it)
		}
		it.Waiting++
		it.Zones[p.Zone]--
	}
	return items
}

// move stops a few replicas of a machine that is being emptied; the next pass
// places them anew. A start that is stopped within 30 s does not count, so
// fresh ones stay for now.
func (l *leader) move(m *roster.Machine, now time.Time) {
	var moved []*jobs.Place
	for _, p := range m.Places {
		if p.Job.Kind != wire.KindService || p.Stop != nil || p.State != wire.TaskRunning || now.Sub(p.Running) < tuning.PreemptSettle {
			continue
		}
		if l.imageElsewhere(p, now) && len(moved) < tuning.MoveAtOnce {
			p.Stop = &jobs.Stop{}
			moved = append(moved, p)
		}
	}
	l.direct(moved)
}

// imageElsewhere tells whether an open machine that holds a place's image has
// room for it.
func (l *leader) imageElsewhere(p *jobs.Place, now time.Time) bool {
	it := &placement.Item{Job: &p.Job.Job, Since: now, Waiting: 1, Zones: cloneCounts(p.Job.Zones())}
	it.Zones[p.Zone]--
	open := slices.DeleteFunc(l.openMachines(now), func(v *placement.Machine) bool {
		return v.Name == p.Machine || v.FetchS(p.Job.Image, p.Job.ImageGB) > 0 || len(l.roster.Machines[v.Name].Places) == 0
	})
	items := []*placement.Item{it}
	return len(placement.Pass(now, items, open, fleet.Unlimited(items))) == 1
}
