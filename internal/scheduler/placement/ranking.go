package placement

import (
	"cmp"
	"strings"
)

// taskShape is what the ranking of machines within a zone depends on. Most tasks
// share a shape with many others.
type taskShape struct {
	request                Resources
	image                  string
	imageGB                float64
	types                  string // the allowed machine types, joined
	spot, latencySensitive bool
	kind                   KindPreference
}

func shapeOf(p *PendingJob, kind KindPreference) taskShape {
	s := taskShape{
		request: p.Request(), image: p.Job.Image, imageGB: p.Job.ImageGB, spot: p.Job.Spot,
		latencySensitive: p.LatencySensitive, kind: kind,
	}
	if p.Job.Types != nil {
		s.types = "\x00" + strings.Join(p.Job.Types, "\x00") // no type allowed is not the same as all
	}
	return s
}

// candidate is a machine in the ranking of a shape, with what its rank was
// determined by.
type candidate struct {
	m      *Machine
	fetchS float64   // until it has the image, rounded to seconds
	free   Resources // may be out of date: the machine's free resources are in m
}

func (s *taskShape) candidate(m *Machine) candidate {
	return candidate{m: m, fetchS: m.fetchS(s.image, s.imageGB), free: m.Free}
}

// ranksBefore reports whether a is a better place than b for a task of the shape.
// tasksIn counts, per zone, the placed tasks of a job that is to be spread; nil:
// it is not, or both are in one zone.
//
// Work that may run on spot machines goes there first and leaves the others to
// work that may not. Then, for latency-sensitive work, the machine on which it
// starts soonest, to the second: one that holds its image, or fetches fast and
// has little to fetch. Then the machine that costs least to keep: what runs on a
// machine keeps it rented, so the expensive ones become empty and can be
// returned. For other work the start comes after the price. Then a machine that
// has acknowledged the leader; then the most free room, and the name so that the
// order is deterministic.
func (s *taskShape) ranksBefore(a, b *candidate, tasksIn map[string]int) bool {
	if a.m.Spot != b.m.Spot {
		return a.m.Spot
	}
	if s.latencySensitive && a.fetchS != b.fetchS {
		return a.fetchS < b.fetchS
	}
	if a.m.Price != b.m.Price && (a.m.Spot || !s.spot) {
		return a.m.Price < b.m.Price
	}
	if a.fetchS != b.fetchS {
		return a.fetchS < b.fetchS
	}
	if tasksIn != nil && tasksIn[a.m.Zone] != tasksIn[b.m.Zone] {
		return tasksIn[a.m.Zone] < tasksIn[b.m.Zone]
	}
	if a.m.Unacknowledged != b.m.Unacknowledged {
		return b.m.Unacknowledged
	}
	return cmp.Or(cmp.Compare(b.free.CPUs, a.free.CPUs), cmp.Compare(b.free.MemoryGB, a.free.MemoryGB), cmp.Compare(a.m.Name, b.m.Name)) < 0
}
