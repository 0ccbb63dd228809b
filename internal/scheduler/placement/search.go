package placement

import (
	"cmp"
	"slices"
	"strings"

	"poppypass/internal/platform/tuning"
)

// A pass asks for the best machine once for each task, and most tasks are like others. So
// machines are put in order once for each shape of tasks, and kept in it as they fill up: a
// heap for each zone, whose entries remember by which free room they stand where they do. In a
// pass room only goes, so an entry that is out of date stands too far in front, never too far
// behind: it is put right when it comes to the front, and the front is the best machine.
//
// What differs between items of one shape (zones that are open, machines that are held or
// avoided, how tasks are spread) is looked at in front only.

// shape is what the order of machines within a zone hangs on.
type shape struct {
	need         Resources
	image        string
	imageGB      float64
	types        string
	spot, prompt bool
	side         KindPreference
}

func shapeOf(it *PendingJob, side KindPreference) shape {
	s := shape{side: side, need: it.Request(), image: it.Job.Image, imageGB: it.Job.ImageGB, spot: it.Job.Spot, prompt: it.LatencySensitive}
	if it.Job.Types != nil {
		s.types = "\x00" + strings.Join(it.Job.Types, "\x00") // none allowed is not the same as all
	}
	return s
}

// candidate is a machine in the order of a shape.
type candidate struct {
	m     *Machine
	fetch float64   // seconds until it has the image, rounded
	free  Resources // by which it stands where it does
}

// front is the machines of a zone that have room for a shape, the best first.
type front struct {
	zone string
	heap []candidate
}

// search has the machines in the order of one shape.
type search struct {
	shape shape
	types []string // those allowed; nil: any
	zones []front
	aside []candidate // passed over for one item
}

// searchFor gives the search of an item's shape.
func (p *pass) searchFor(it *PendingJob, side KindPreference) *search {
	key := shapeOf(it, side)
	if s := p.searches[key]; s != nil {
		return s
	}
	s := &search{shape: key, types: it.Job.Types}
	for _, m := range p.roomy {
		if s.takes(m) {
			f := s.front(m.Zone)
			f.heap = append(f.heap, s.candidate(m))
		}
	}
	for i := range s.zones {
		f := &s.zones[i]
		for k := len(f.heap)/2 - 1; k >= 0; k-- {
			s.down(f, k)
		}
	}
	if len(p.searches) >= tuning.TaskShapesMax {
		clear(p.searches) // of so many shapes, few come again
	}
	p.searches[key] = s
	return s
}

// takes tells whether a machine has room for the shape, and is of an allowed kind.
func (s *search) takes(m *Machine) bool {
	return m.Free.Fits(s.shape.need) && s.shape.side.admits(m.Spot) && (!m.Spot || s.shape.spot) && (s.types == nil || slices.Contains(s.types, m.Type))
}

func (s *search) candidate(m *Machine) candidate {
	return candidate{m: m, fetch: m.fetch(s.shape.image, s.shape.imageGB), free: m.Free}
}

func (s *search) front(zone string) *front {
	for i := range s.zones {
		if s.zones[i].zone == zone {
			return &s.zones[i]
		}
	}
	s.zones = append(s.zones, front{zone: zone})
	return &s.zones[len(s.zones)-1]
}

// before orders machines of one zone as Item.better does.
func (s *search) before(a, b *candidate) bool {
	if a.m.Spot != b.m.Spot {
		return a.m.Spot
	}
	if s.shape.prompt && a.fetch != b.fetch {
		return a.fetch < b.fetch
	}
	if a.m.Price != b.m.Price && (a.m.Spot || !s.shape.spot) {
		return a.m.Price < b.m.Price
	}
	if a.fetch == b.fetch && a.m.Unacknowledged != b.m.Unacknowledged {
		return b.m.Unacknowledged
	}
	return cmp.Or(cmp.Compare(a.fetch, b.fetch), cmp.Compare(b.free.CPUs, a.free.CPUs), cmp.Compare(b.free.MemoryGB, a.free.MemoryGB),
		cmp.Compare(a.m.Name, b.m.Name)) < 0
}

// down moves an entry behind those that are better.
func (s *search) down(f *front, k int) {
	h := f.heap
	for {
		best := k
		for c := 2*k + 1; c <= 2*k+2 && c < len(h); c++ {
			if s.before(&h[c], &h[best]) {
				best = c
			}
		}
		if best == k {
			return
		}
		h[k], h[best] = h[best], h[k]
		k = best
	}
}

// drop takes the front entry out.
func (s *search) drop(f *front) {
	last := len(f.heap) - 1
	f.heap[0] = f.heap[last]
	f.heap = f.heap[:last]
	s.down(f, 0)
}

// add puts an entry in.
func (s *search) add(f *front, c candidate) {
	f.heap = append(f.heap, c)
	for k := len(f.heap) - 1; k > 0 && s.before(&f.heap[k], &f.heap[(k-1)/2]); k = (k - 1) / 2 {
		f.heap[k], f.heap[(k-1)/2] = f.heap[(k-1)/2], f.heap[k]
	}
}

// best gives the best machine for one more task of an item; nil: there is none.
func (s *search) best(it *PendingJob) (best *Machine) {
	for i := range s.zones {
		f := &s.zones[i]
		if !it.AllowsZone(f.zone) {
			continue
		}
		s.aside = s.aside[:0]
		for len(f.heap) > 0 {
			c := &f.heap[0]
			if c.free != c.m.Free {
				if !c.m.Free.Fits(s.shape.need) {
					s.drop(f)
				} else {
					c.free = c.m.Free
					s.down(f, 0)
				}
				continue
			}
			if c.m.reservedFor == gone {
				s.drop(f)
				continue
			}
			if c.m.reservedFor != "" && c.m.reservedFor != it.Job.ID || it.Avoid != nil && it.Avoid(c.m.Name) {
				s.aside = append(s.aside, *c)
				s.drop(f)
				continue
			}
			if best == nil || it.better(c.m, best) {
				best = c.m
			}
			break
		}
		for _, c := range s.aside {
			s.add(f, c)
		}
	}
	return best
}
