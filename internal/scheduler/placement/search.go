package placement

import (
	"slices"

	"poppypass/internal/platform/tuning"
)

// A cycle asks for the best machine once per task, and most tasks are of the same
// shape as others. So machines are ranked once per task shape and kept in order
// as they fill up: in a heap per zone, whose entries remember the free resources
// by which they were ranked. In a cycle free resources only shrink, so an entry
// that is out of date is too far in front, never too far behind: it is corrected
// when it comes to the front, and the front is the best machine.
//
// What differs between jobs of one shape (which zones are allowed, which machines
// are reserved or avoided, how tasks are spread) is checked at the front only.

// search ranks the machines for one task shape.
type search struct {
	shape   taskShape
	types   []string // machine types that are allowed; nil: all
	zones   []zoneHeap
	skipped []candidate // buffer of best
}

// searches holds the searches of a cycle by shape.
type searches struct {
	machines []*Machine
	byShape  map[taskShape]*search
}

func newSearches(machines []*Machine) searches {
	return searches{machines: machines, byShape: map[taskShape]*search{}}
}

// forJob returns the search for a job's tasks on a kind of machines.
func (ss *searches) forJob(p *PendingJob, kind KindPreference) *search {
	shape := shapeOf(p, kind)
	if s := ss.byShape[shape]; s != nil {
		return s
	}
	if len(ss.byShape) >= tuning.TaskShapesMax {
		clear(ss.byShape) // of so many shapes few come again
	}
	s := newSearch(shape, p.Job.Types, ss.machines)
	ss.byShape[shape] = s
	return s
}

func newSearch(shape taskShape, types []string, machines []*Machine) *search {
	s := &search{shape: shape, types: types}
	for _, m := range machines {
		if s.accepts(m) {
			h := s.heap(m.Zone)
			h.entries = append(h.entries, s.shape.candidate(m))
		}
	}
	for i := range s.zones {
		s.zones[i].build()
	}
	return s
}

// accepts reports whether a machine has room for the shape and is of an allowed
// kind and type.
func (s *search) accepts(m *Machine) bool {
	return m.Free.Fits(s.shape.request) && s.shape.kind.admits(m.Spot) && (!m.Spot || s.shape.spot) && (s.types == nil || slices.Contains(s.types, m.Type))
}

// heap returns the heap of a zone. The pointer is valid until the next call.
func (s *search) heap(zone string) *zoneHeap {
	for i := range s.zones {
		if s.zones[i].zone == zone {
			return &s.zones[i]
		}
	}
	s.zones = append(s.zones, zoneHeap{zone: zone, shape: &s.shape})
	return &s.zones[len(s.zones)-1]
}

// best returns the best machine for one more task of a job; nil: there is none.
func (s *search) best(p *PendingJob) *Machine {
	var tasksIn map[string]int
	if p.Job.Spread {
		tasksIn = p.Zones
	}
	var best candidate
	for i := range s.zones {
		h := &s.zones[i]
		if !p.AllowsZone(h.zone) {
			continue
		}
		c, found := s.bestIn(h, p)
		if found && (best.m == nil || s.shape.ranksBefore(&c, &best, tasksIn)) {
			best = c
		}
	}
	return best.m
}

// bestIn returns the best machine of a zone for a job. Machines that are reserved
// for other jobs, or that this one avoids, stay in the heap for other jobs.
func (s *search) bestIn(h *zoneHeap, p *PendingJob) (c candidate, found bool) {
	s.skipped = s.skipped[:0]
	for len(h.entries) > 0 && !found {
		front := &h.entries[0]
		switch m := front.m; {
		case front.free != m.Free:
			s.refreshFront(h)
		case m.reservedFor == removedFromDryRun:
			h.pop()
		case m.reservedFor != "" && m.reservedFor != p.Job.ID || p.avoids(m.Name):
			s.skipped = append(s.skipped, *front)
			h.pop()
		default:
			c, found = *front, true
		}
	}
	for _, skipped := range s.skipped {
		h.push(skipped)
	}
	return c, found
}

// refreshFront ranks the front entry by the machine's present free resources, or
// removes it if the shape does not fit any more.
func (s *search) refreshFront(h *zoneHeap) {
	front := &h.entries[0]
	if !front.m.Free.Fits(s.shape.request) {
		h.pop()
		return
	}
	front.free = front.m.Free
	h.siftDown(0)
}

// addFreed ranks a machine again whose free resources have grown.
func (s *search) addFreed(m *Machine) {
	if s.accepts(m) {
		s.heap(m.Zone).push(s.shape.candidate(m))
	}
}
