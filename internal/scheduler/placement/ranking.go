package placement

import (
	"cmp"
	"strings"
)

// taskShape holds the properties of a task on which the ranking of machines within a zone depends. Most tasks
// have the same shape as many others.
type taskShape struct {
	request                Resources
	image                  string
	imageGB                float64
	types                  string // the allowed machine types, each after a zero byte; empty: all types
	spot, latencySensitive bool
	kind                   MachineKindPreference
}

func shapeOf(job *PendingJob, kind MachineKindPreference) taskShape {
	shape := taskShape{
		request: job.Request(), image: job.Job.Image, imageGB: job.Job.ImageGB, spot: job.Job.Spot,
		latencySensitive: job.LatencySensitive, kind: kind,
	}
	if job.Job.Types != nil {
		shape.types = "\x00" + strings.Join(job.Job.Types, "\x00") // an empty list allows no type, nil allows all
	}
	return shape
}

// candidate is a machine in the ranking of a shape, with the values by which it was ranked.
type candidate struct {
	machine *Machine
	fetchS  float64   // seconds until the machine has the image, rounded
	free    Resources // free resources when it was ranked; the present ones are in machine.Free
}

func (s *taskShape) candidate(machine *Machine) candidate {
	return candidate{machine: machine, fetchS: machine.fetchS(s.image, s.imageGB), free: machine.Free}
}

// ranksBefore reports whether a is a better machine than b for a task of the shape. tasksIn counts the placed
// tasks of the job per zone; it is nil if the job's tasks need not be spread over zones, or if a and b are in
// the same zone.
//
// The criteria are, in this order:
//   - Spot machines first. Work that may run on spot machines leaves on-demand machines to work that may not.
//   - For latency-sensitive work, the shortest time in whole seconds until the machine has the image. The time
//     is short if the machine has the image already, fetches fast or has little to fetch.
//   - The lowest price (for on-demand machines, only if the work must not run on spot machines). A machine
//     stays rented while tasks run on it, so this empties the expensive machines, which can then be
//     returned.
//   - For other work, the shortest time until the machine has the image.
//   - The zone with the fewest tasks of the job.
//   - Machines that have acknowledged a message of this leader.
//   - The most free CPUs, then the most free memory.
//   - The name, so that the order is deterministic.
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
