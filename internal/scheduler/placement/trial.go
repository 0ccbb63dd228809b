package placement

import (
	"math"
	"time"
)

// Marks of machines in a trial, where jobs that hold one stand otherwise.
const (
	asked = "\x00" // what is on it is asked about
	gone  = "\x01" // it is out of the trial
)

// DryRun tells where tasks would go on machines that it keeps in order from one question to the
// next: to ask for each of hundreds of machines whether its work fits on the others costs
// as much as one pass, rather than one each.
type DryRun struct {
	p    pass
	used []*search // by the present question
}

// NewDryRun begins a trial. What fits takes the machines' room; nothing else may change it meanwhile.
func NewDryRun(machines []*Machine) *DryRun {
	return &DryRun{p: pass{machines: machines, roomy: machines, searches: map[shape]*search{}}}
}

// BestMachine gives the machine on which one more task of an item would be placed; nil: there is none.
func (t *DryRun) BestMachine(it *PendingJob) *Machine { return t.p.searchFor(it, AnyKind).best(it) }

// TryPlace tells whether all waiting tasks of some items, whose teams have no limits, fit on the
// machines but one, and takes their room if they do. That one is out of the trial then.
func (t *DryRun) TryPlace(now time.Time, items []*PendingJob, not *Machine) bool {
	if not != nil {
		not.reservedFor = asked
	}
	none := Team{QuotaCPUs: math.Inf(1), QuotaGPUs: math.Inf(1)}
	teams := map[string]*Team{}
	for _, it := range items {
		teams[it.Job.Team] = &none
	}
	Sort(items, teams, now)
	t.used = t.used[:0]
	var placed []Placement
	for _, it := range items {
		if it.Waiting == 0 {
			continue
		}
		s := t.p.searchFor(it, AnyKind)
		t.used = append(t.used, s)
		for need := it.Request(); it.Waiting > 0; {
			m := s.best(it)
			if m == nil {
				t.giveBack(placed)
				if not != nil {
					not.reservedFor = ""
				}
				return false
			}
			it.take(m, need, &none)
			placed = append(placed, Placement{it, m})
		}
	}
	if not != nil {
		not.reservedFor = gone
	}
	return true
}

// giveBack gives back what a question took. Its searches may have seen the machines with less
// room, and have them too far behind: they get a new entry.
func (t *DryRun) giveBack(placed []Placement) {
	for _, p := range placed {
		p.Machine.Free.Sub(p.Pending.Request(), -1)
	}
	for i, p := range placed {
		if i > 0 && placed[i-1].Machine == p.Machine {
			continue
		}
		for _, s := range t.used {
			s.again(p.Machine)
		}
	}
}

// again puts a machine in order that has more room than before.
func (s *search) again(m *Machine) {
	if s.takes(m) {
		s.add(s.front(m.Zone), s.candidate(m))
	}
}
