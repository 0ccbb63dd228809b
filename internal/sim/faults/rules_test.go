package faults_test

import (
	"poppypass/internal/platform/wire"
)

// checkRules checks the rules that are not tied to an event, and fails the test if any rule was violated.
func (sim *simulation) checkRules() {
	sim.mu.Lock()
	sim.checkCancelled()
	sim.checkNoJobLost()
	violation, trace := sim.firstViolation, sim.trace.String()
	sim.mu.Unlock()
	if violation != "" {
		sim.t.Fatalf("%s\n%s", violation, trace)
	}
}

// taskBegan records that a task begins to execute and checks the rules that apply then. The caller holds sim.mu.
func (sim *simulation) taskBegan(w *worker, t *wire.TaskStatus) {
	sim.taskStarts++
	sim.record("%s attempt %d begins to execute on %s", t.Task, t.Attempt, w.heartbeat.Machine)
	for other, status := range sim.tasksOnMachines(false) {
		if other != w && status.Task == t.Task {
			sim.reportViolation("ran twice: %s begins on %s while it executes on %s", t.Task, w.heartbeat.Machine, other.heartbeat.Machine)
		}
	}
	j := sim.jobOf(t.Task)
	if !j.cancelConfirmedAt.IsZero() {
		sim.reportViolation("ran after cancellation: %s begins on %s %v after its user was told that it is cancelled", t.Task, w.heartbeat.Machine, sim.now().Sub(j.cancelConfirmedAt))
	}
	if inUse, limit := sim.cpusInUse(j.team, false)+j.cpus, teamLimits[j.team]; inUse > limit {
		sim.reportViolation("quota exceeded: %s begins on %s, and team %s uses %g CPUs of at most %g", t.Task, w.heartbeat.Machine, j.team, inUse, limit)
	}
	if why := j.placementViolation(w, sim.otherTasksByZone(j, t.Task, false)); why != "" {
		sim.reportViolation("wrong placement: %s begins on %s: %s", t.Task, w.heartbeat.Machine, why)
	}
}

// checkCancelled checks that no task executes for longer than cancel_s after its job's user was told that the job
// is cancelled. The caller holds sim.mu.
func (sim *simulation) checkCancelled() {
	limit := seconds(sim.deployment.cancelS)
	for w, t := range sim.tasksOnMachines(false) {
		if j := sim.jobOf(t.Task); !j.cancelConfirmedAt.IsZero() && sim.now().Sub(j.cancelConfirmedAt) > limit {
			sim.reportViolation("ran after cancellation: %s executes on %s %v after its user was told that it is cancelled", t.Task, w.heartbeat.Machine, sim.now().Sub(j.cancelConfirmedAt))
		}
	}
}

// checkNoJobLost checks, once all faults are over, that requests about each job are answered and that no job waits
// while a machine has room for it. The caller holds sim.mu.
func (sim *simulation) checkNoJobLost() {
	if sim.faultsOverSince.simulated.IsZero() {
		return
	}
	for _, j := range sim.jobs {
		if !j.accepted || j.history.level == levelEnded {
			continue
		}
		lastAnswered := j.lastAnswered
		if lastAnswered.simulated.Before(sim.faultsOverSince.simulated) {
			lastAnswered = sim.faultsOverSince
		}
		if sim.bothElapsed(lastAnswered, maxUnanswered, minRealTime) {
			sim.reportViolation("job lost: no request about %s was answered for %v", j.id, sim.now().Sub(lastAnswered.simulated))
		}
		switch machine := sim.machineWithRoom(j); {
		case machine == "":
			j.roomSince = instant{}
		case j.roomSince.simulated.IsZero():
			j.roomSince = sim.instant()
		case sim.bothElapsed(j.roomSince, maxWaitWithRoom, minRealTime):
			sim.reportViolation("left waiting: %s has waited for %v while %s has room", j.id, sim.now().Sub(j.roomSince.simulated), machine)
		}
	}
}
