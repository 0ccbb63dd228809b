package leader

import (
	"slices"
	"time"

	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/placement"
)

// schedule runs a scheduling cycle: it places pending tasks on machines with room, and preempts tasks for jobs that
// must not wait any longer.
func (l *Loop) schedule(now time.Time) {
	l.cycle.changed = false
	pending, byID := l.pendingJobs(now)
	if len(pending) == 0 {
		l.cycle.finishWithNothingPending(now)
		return
	}
	candidates := append(slices.Clone(pending), l.placeholders(now)...)
	teams := l.teams()
	withRoom := l.machinesWithRoomFor(now, candidates)
	l.setKindPreferences(pending)
	placed := l.cycle.reservations.Schedule(now, candidates, withRoom, teams)
	l.allocate(placed, byID, now)
	l.preempt(now, pending, withRoom, teams, byID)
	l.cycle.finish(now, len(placed) > 0)
}

// allocate carries out placement decisions, as far as the subsystems admit the tasks.
func (l *Loop) allocate(placed []placement.Placement, byID map[string]*jobs.Job, now time.Time) {
	nextIndex := map[string]int{} // by job ID: the index from which the next waiting task is searched
	for _, p := range placed {
		j := byID[p.Pending.Job.ID]
		i := j.NextWaiting(nextIndex[j.ID])
		if i < 0 {
			continue
		}
		// Jobs share the limits of a subsystem, and each allocation uses up a part of them, so they are checked
		// before every allocation.
		if n, _ := l.subsystems.admit(j, now); n <= 0 {
			continue
		}
		nextIndex[j.ID] = i + 1
		l.allocateTask(j, i, p.Machine.Name, now)
	}
}

// allocateTask allocates a task of a job to a machine. The task is started once the allocation is committed.
func (l *Loop) allocateTask(j *jobs.Job, index int, machine string, now time.Time) {
	m := l.machines.Machines[machine]
	a := l.jobs.Allocate(j, index, m.Name, m.Zone, m.Incarnation, now)
	l.machines.AddAllocation(a, now)
	for _, s := range l.subsystems.active {
		s.Placed(a, m.Spot, l.env.machineType(m.Type), now)
	}
	l.env.observe(func(o Observer) { o.TaskAllocated(j.Class) })
	l.log.Debug("task allocated; starting it once the allocation is stored", "task", a.Task().String(), "attempt", a.Attempt, "class", j.Class, "machine", m.Name,
		"type", m.Type, "spot", m.Spot, "waited_s", now.Sub(j.WaitingSince).Seconds())
}
