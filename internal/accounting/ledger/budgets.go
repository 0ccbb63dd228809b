package ledger

import (
	"cmp"
	"slices"
	"time"

	"poppypass/internal/accounting/budget"
	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/scheduler/jobs"
)

// applyBudgetSettings applies the operators' budget settings if they have changed.
func (l *Ledger) applyBudgetSettings(now time.Time) {
	settings := l.cfg.Budgets()
	if settings == l.budgetSettings {
		return
	}
	l.budgetSettings = settings
	l.budgets.Configure(settings, now)
	if len(settings.Budgets) > 0 {
		l.log.Info("budget settings applied", "budgets", len(settings.Budgets))
	}
}

// addPackUsage adds the charges of a pack to the budgets' usage.
func (l *Ledger) addPackUsage(p *charge.Pack) {
	for i := range p.Charges {
		l.addChargeUsage(&p.Traits, &p.Charges[i])
	}
}

// addChargeUsage adds a charge to the budgets' usage.
func (l *Ledger) addChargeUsage(traits *charge.JobTraits, c *charge.Charge) {
	sum := traits.AmountsOf(c)
	l.budgets.AddCharge(budget.Scope{Team: traits.Team, Account: traits.Account}, charge.DayOf(c.StartMS, l.location), budget.Usage{Core: sum.Core, Money: sum.Money})
}

// addLive adds an attempt that has not ended and reserves its expected usage in its team's budgets.
func (l *Ledger) addLive(a *jobs.Allocation) {
	l.liveAllocations[a] = true
	task := budget.TaskOf(&a.Job.Job)
	task.Rate, task.RunningSince = a.Kind.Rate, a.ChargedFrom
	l.budgets.AddTask(a, task)
}

// waitingTask returns the description of a waiting task of a job for the budgets. Its MaxRate is the highest rate on
// any machine type, at on-demand prices.
func (l *Ledger) waitingTask(j *jobs.Job) *budget.Task {
	task := budget.TaskOf(&j.Job)
	types := l.cfg.MachineTypes()
	for i := range types {
		task.MaxRate = max(task.MaxRate, Rate(&j.Job, &types[i], false))
	}
	return task
}

// Admit returns how many of a job's waiting tasks its team's budgets allow to start now, and the reason why no more
// may.
func (l *Ledger) Admit(j *jobs.Job, _ time.Time) (int, string) {
	n := j.Waiting()
	if !l.budgets.HasBudgets() {
		return n, ""
	}
	return l.admit(l.waitingTask(j), n)
}

// admit does the work of Admit for a number of equal waiting tasks. Until the totals are loaded, the usage of the team
// is unknown, so only production tasks may start.
func (l *Ledger) admit(task *budget.Task, waiting int) (n int, reason string) {
	if !l.loaded && !task.Production {
		return 0, "what its team has used is being read"
	}
	return l.budgets.Admit(task, waiting)
}

// LimitStarts lowers the counts of waiting tasks to what the budgets allow for all the jobs together. Without this limit,
// machines would be rented for every job of a team whose budget allows only one of the jobs. The remainder of a budget
// is allotted to the jobs in the order in which they are placed.
func (l *Ledger) LimitStarts(waiting []*jobs.Job, counts []int, _ time.Time) {
	if !l.budgets.HasBudgets() {
		return
	}
	restore := l.budgets.SaveReservations()
	defer restore()
	for _, i := range placementOrder(waiting) {
		task := l.waitingTask(waiting[i])
		n, _ := l.admit(task, waiting[i].Waiting())
		counts[i] = min(counts[i], n)
		l.budgets.Reserve(task, counts[i])
	}
}

// placementOrder returns the indexes of jobs in the order in which they are placed: by descending priority, then by
// descending waiting time.
func placementOrder(waiting []*jobs.Job) []int {
	indexes := make([]int, len(waiting))
	for i := range indexes {
		indexes[i] = i
	}
	slices.SortFunc(indexes, func(a, b int) int {
		x, y := waiting[a], waiting[b]
		return cmp.Or(cmp.Compare(y.Priority.Level(), x.Priority.Level()), x.WaitingSince.Compare(y.WaitingSince), cmp.Compare(x.ID, y.ID))
	})
	return indexes
}

// enforceBudgets recomputes the budgets, logs a warning for those that are nearly spent, and returns the allocations
// that are to be stopped.
func (l *Ledger) enforceBudgets(now time.Time) []*jobs.Allocation {
	if !l.budgets.HasBudgets() {
		return nil
	}
	for a := range l.liveAllocations {
		if !a.ChargedFrom.IsZero() {
			l.budgets.MarkRunning(a, a.ChargedFrom)
		}
	}
	l.budgets.Recompute(now)
	for _, bal := range l.budgets.Warnings() {
		l.log.Warn("budget usage reached its warning threshold", "budget", bal.Scope.String(), "period", bal.Period, "unit", bal.Unit)
	}
	if !l.loaded {
		return nil
	}
	return l.stopOverspent()
}

// stopOverspent requests the stop of live tasks whose budget is spent and whose policy is to drain, once for each task,
// and returns their allocations.
func (l *Ledger) stopOverspent() []*jobs.Allocation {
	var stopped []*jobs.Allocation
	for _, ref := range l.budgets.TasksToDrain() {
		a := ref.(*jobs.Allocation)
		if a.Stop != nil {
			continue
		}
		a.Stop = &jobs.StopRequest{Reason: charge.OverBudget}
		if a.Job.CheckpointS > 0 {
			a.Stop.GraceS = a.Job.SaveS + tuning.CheckpointGraceExtra.Seconds()
		}
		l.log.Info("budget spent; stopping the task", "task", a.Task().String(), "team", a.Job.Team)
		stopped = append(stopped, a)
	}
	return stopped
}
