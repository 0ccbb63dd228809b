package faults_test

import (
	"poppypass/internal/platform/wire"
)

// check looks for broken rules.
func (sim *simulation) check() {
	sim.mu.Lock()
	sim.checkCancelled()
	sim.checkServed()
	broken, trace := sim.broken, sim.trace.String()
	sim.mu.Unlock()
	if broken != "" {
		sim.t.Fatalf("%s\n%s", broken, trace)
	}
}

// taskBegan checks the rules at the start of a task. The lock is held.
func (sim *simulation) taskBegan(k *worker, t *wire.TaskStatus) {
	sim.starts++
	sim.record("%s attempt %d begins on %s", t.Task, t.Attempt, k.rep.Machine)
	for o, u := range sim.onMachines(false) {
		if o != k && u.Task == t.Task {
			sim.violation("ran_twice: %s begins on %s while it is on %s", t.Task, k.rep.Machine, o.rep.Machine)
		}
	}
	j := sim.jobOf(t.Task)
	if !j.confirmed.IsZero() {
		sim.violation("ran_cancelled: %s begins on %s %v after its user was told", t.Task, k.rep.Machine, sim.now().Sub(j.confirmed))
	}
	if use, most := sim.use(j.team, false)+j.cpus, teamLimits[j.team]; use > most {
		sim.violation("quota: %s begins on %s, and team %s uses %g of %g CPUs", t.Task, k.rep.Machine, j.team, use, most)
	}
	if why := j.fits(k, sim.siblings(j, t.Task, false)); why != "" {
		sim.violation("wrong_place: %s begins on %s: %s", t.Task, k.rep.Machine, why)
	}
}

// checkCancelled looks for tasks of cancelled jobs. The lock is held.
func (sim *simulation) checkCancelled() {
	limit := seconds(sim.site.cancelS)
	for k, t := range sim.onMachines(false) {
		if j := sim.jobOf(t.Task); !j.confirmed.IsZero() && sim.now().Sub(j.confirmed) > limit {
			sim.violation("ran_cancelled: %s is on %s %v after its user was told", t.Task, k.rep.Machine, sim.now().Sub(j.confirmed))
		}
	}
}

// checkServed looks, once all faults are over, for jobs that are forgotten or left waiting. The lock is held.
func (sim *simulation) checkServed() {
	if sim.calmSince.at.IsZero() {
		return
	}
	for _, j := range sim.jobs {
		if !j.accepted || j.history.level == ended {
			continue
		}
		heard := j.heard
		if heard.at.Before(sim.calmSince.at) {
			heard = sim.calmSince
		}
		if sim.past(heard, silence, patience) {
			sim.violation("forgotten: no question about %s is answered for %v", j.id, sim.now().Sub(heard.at))
		}
		switch machine := sim.roomFor(j); {
		case machine == "":
			j.roomy = sent{}
		case j.roomy.at.IsZero():
			j.roomy = sim.moment()
		case sim.past(j.roomy, waitMax, patience):
			sim.violation("waits: %s for %v, and %s has room", j.id, sim.now().Sub(j.roomy.at), machine)
		}
	}
}
