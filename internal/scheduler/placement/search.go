package placement

import (
	"slices"

	"poppypass/internal/platform/tuning"
)

// A cycle needs the best machine once per task, and most tasks have the same shape as others. The machines
// are therefore ranked once per task shape and remain ordered as they fill up: in one heap per zone, whose
// entries store the free resources by which they were ranked. During a cycle free resources only shrink. An
// outdated entry therefore ranks too high, never too low. It is corrected when it reaches the front of its
// heap, and an up-to-date entry at the front is the best machine of the zone.
//
// Constraints that differ between jobs of one shape are checked only at the front of the heaps: the allowed
// zones, reserved and avoided machines, and how tasks are spread over zones.

// machineRanking ranks the machines for one task shape.
type machineRanking struct {
	shape   taskShape
	types   []string // allowed machine types; nil: all
	zones   []zoneHeap
	skipped []candidate // buffer of bestInZone: entries that the job cannot use
}

// rankings holds the rankings of a cycle by task shape. They are built when first needed.
type rankings struct {
	machines []*Machine
	byShape  map[taskShape]*machineRanking
}

func newRankings(machines []*Machine) rankings {
	return rankings{machines: machines, byShape: map[taskShape]*machineRanking{}}
}

// forJob returns the ranking of the machines of the given kind for a job's tasks.
func (r *rankings) forJob(job *PendingJob, kind MachineKindPreference) *machineRanking {
	shape := shapeOf(job, kind)
	if ranking := r.byShape[shape]; ranking != nil {
		return ranking
	}
	if len(r.byShape) >= tuning.TaskShapesMax {
		clear(r.byShape) // with so many shapes, few of the rankings are needed again
	}
	ranking := newMachineRanking(shape, job.Job.Types, r.machines)
	r.byShape[shape] = ranking
	return ranking
}

func newMachineRanking(shape taskShape, types []string, machines []*Machine) *machineRanking {
	ranking := &machineRanking{shape: shape, types: types}
	for _, m := range machines {
		if ranking.accepts(m) {
			h := ranking.heap(m.Zone)
			h.entries = append(h.entries, ranking.shape.candidate(m))
		}
	}
	for i := range ranking.zones {
		ranking.zones[i].build()
	}
	return ranking
}

// accepts reports whether a machine has room for the shape and is of an allowed kind and type.
func (r *machineRanking) accepts(m *Machine) bool {
	return m.Free.Fits(r.shape.request) && r.shape.kind.matches(m.Spot) && (!m.Spot || r.shape.spot) && (r.types == nil || slices.Contains(r.types, m.Type))
}

// heap returns the heap of a zone. The pointer is valid until the next call, which may move the heaps.
func (r *machineRanking) heap(zone string) *zoneHeap {
	for i := range r.zones {
		if r.zones[i].zone == zone {
			return &r.zones[i]
		}
	}
	r.zones = append(r.zones, zoneHeap{zone: zone, shape: &r.shape})
	return &r.zones[len(r.zones)-1]
}

// best returns the best machine for one more task of a job, or nil if there is none.
func (r *machineRanking) best(job *PendingJob) *Machine {
	var tasksIn map[string]int
	if job.Job.Spread {
		tasksIn = job.Zones
	}
	var best candidate
	for i := range r.zones {
		h := &r.zones[i]
		if !job.AllowsZone(h.zone) {
			continue
		}
		c, found := r.bestInZone(h, job)
		if found && (best.machine == nil || r.shape.ranksBefore(&c, &best, tasksIn)) {
			best = c
		}
	}
	return best.machine
}

// bestInZone returns the best machine of a zone for a job. It skips machines that are reserved for other jobs
// or that this job avoids; they remain in the heap for other jobs.
func (r *machineRanking) bestInZone(heap *zoneHeap, job *PendingJob) (best candidate, found bool) {
	r.skipped = r.skipped[:0]
	for len(heap.entries) > 0 && !found {
		front := &heap.entries[0]
		switch machine := front.machine; {
		case front.free != machine.Free:
			r.refreshFront(heap)
		case machine.reservedFor == removedFromDryRun:
			heap.pop()
		case machine.reservedFor != "" && machine.reservedFor != job.Job.ID || job.avoids(machine.Name):
			r.skipped = append(r.skipped, *front)
			heap.pop()
		default:
			best, found = *front, true
		}
	}
	for _, skipped := range r.skipped {
		heap.push(skipped)
	}
	return best, found
}

// refreshFront ranks the front entry again by the machine's present free resources, or removes it if the shape
// does not fit any more.
func (r *machineRanking) refreshFront(heap *zoneHeap) {
	front := &heap.entries[0]
	if !front.machine.Free.Fits(r.shape.request) {
		heap.pop()
		return
	}
	front.free = front.machine.Free
	heap.siftDown(0)
}

// reinsert adds a new entry for a machine whose free resources have grown, since its existing entry may rank
// too low.
func (r *machineRanking) reinsert(m *Machine) {
	if r.accepts(m) {
		r.heap(m.Zone).push(r.shape.candidate(m))
	}
}
