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

func shapeOf(job *PendingJob, kind KindPreference) taskShape {
	shape := taskShape{
		request: job.Request(), image: job.Job.Image, imageGB: job.Job.ImageGB, spot: job.Job.Spot,
		latencySensitive: job.LatencySensitive, kind: kind,
	}
	if job.Job.Types != nil {
		shape.types = "\x00" + strings.Join(job.Job.Types, "\x00") // no type allowed is not the same as all
	}
	return shape
}

// candidate is a machine in the ranking of a shape, with what its rank was
// determined by.
type candidate struct {
	machine *Machine
	fetchS  float64   // until it has the image, rounded to seconds
	free    Resources // may be out of date: the machine's free resources are in m
}

func (s *taskShape) candidate(m *Machine) candidate {
	return candidate{machine: m, fetchS: m.fetchS(s.image, s.imageGB), free: m.Free}
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
	if a.machine.Spot != b.machine.Spot {
		return a.machine.Spot
	}
	if s.latencySensitive && a.fetchS != b.fetchS {
		return a.fetchS < b.fetchS
	}
	if a.machine.Price != b.machine.Price && (a.machine.Spot || !s.spot) {
		return a.machine.Price < b.machine.Price
	}
	if a.fetchS != b.fetchS {
		return a.fetchS < b.fetchS
	}
	if tasksIn != nil && tasksIn[a.machine.Zone] != tasksIn[b.machine.Zone] {
		return tasksIn[a.machine.Zone] < tasksIn[b.machine.Zone]
	}
	if a.machine.Unacknowledged != b.machine.Unacknowledged {
		return b.machine.Unacknowledged
	}
	return cmp.Or(cmp.Compare(b.free.CPUs, a.free.CPUs), cmp.Compare(b.free.MemoryGB, a.free.MemoryGB), cmp.Compare(a.machine.Name, b.machine.Name)) < 0
}
