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

// applyBudgetSettings applies the operators' budgets if they have changed.
func (l *Ledger) applyBudgetSettings(now time.Time) {
	s := l.cfg.Budgets()
	if s == l.budgetSettings {
		return
	}
	l.budgetSettings = s
	l.budgets.Configure(s, now)
	if len(s.Budgets) > 0 {
		l.log.Info("budgets in force", "budgets", len(s.Budgets))
	}
}

// countPack adds the charges of a pack to what the budgets know as used.
func (l *Ledger) countPack(p *charge.Pack) {
	for i := range p.Charges {
		l.countCharge(&p.Traits, &p.Charges[i])
	}
}

func (l *Ledger) countCharge(t *charge.JobTraits, c *charge.Charge) {
	sum := t.AmountsOf(c)
	l.budgets.AddCharge(budget.Scope{Team: t.Team, Account: t.Account}, charge.DayOf(c.Start, l.location), budget.Usage{Core: sum.Core, Money: sum.Money})
}

// addLive adds a live attempt, for which budgets reserve what it is expected to use.
func (l *Ledger) addLive(a *jobs.Allocation) {
	l.live[a] = true
	t := budget.TaskOf(&a.Job.Job)
	t.Rate, t.RunningSince = a.Kind.Rate, a.ChargedFrom
	l.budgets.StartTask(a, t)
}

// waitingTask describes a waiting task of a job for the budgets.
func (l *Ledger) waitingTask(j *jobs.Job) *budget.Task {
	t := budget.TaskOf(&j.Job)
	types := l.cfg.MachineTypes()
	for i := range types {
		t.MaxRate = max(t.MaxRate, Rate(&j.Job, &types[i], false))
	}
	return t
}

// Admit says how many of a job's waiting tasks its team's budgets allow to start now.
func (l *Ledger) Admit(j *jobs.Job, _ time.Time) (int, string) {
	n := j.Waiting()
	if !l.budgets.HasBudgets() {
		return n, ""
	}
	return l.admit(l.waitingTask(j), n)
}

// admit is Admit for a number of equal tasks. Until the totals are loaded it is not known
// what was used, so only production tasks may start.
func (l *Ledger) admit(t *budget.Task, waiting int) (n int, reason string) {
	if !l.loaded && !t.Production {
		return 0, "what its team has used is being read"
	}
	return l.budgets.Admit(t, waiting)
}

// LimitStarts lowers the counts of waiting tasks to what the budgets allow together.
// Otherwise machines would be bought for every job of a team whose budget allows only one
// of them. The rest of a budget goes to the jobs in the order in which they are placed.
func (l *Ledger) LimitStarts(waiting []*jobs.Job, counts []int, _ time.Time) {
	if !l.budgets.HasBudgets() {
		return
	}
	restore := l.budgets.SaveReservations()
	defer restore()
	for _, i := range placementOrder(waiting) {
		t := l.waitingTask(waiting[i])
		n, _ := l.admit(t, waiting[i].Waiting())
		counts[i] = min(counts[i], n)
		l.budgets.Reserve(t, counts[i])
	}
}

// placementOrder returns the indexes of jobs in the order in which they are placed: by
// priority, then by how long they wait.
func placementOrder(waiting []*jobs.Job) []int {
	order := make([]int, len(waiting))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		x, y := waiting[a], waiting[b]
		return cmp.Or(cmp.Compare(y.Priority.Level(), x.Priority.Level()), x.WaitingSince.Compare(y.WaitingSince), cmp.Compare(x.ID, y.ID))
	})
	return order
}

// enforceBudgets recomputes the budgets, warns of those that are nearly spent, and returns
// the allocations that are to be stopped.
func (l *Ledger) enforceBudgets(now time.Time) []*jobs.Allocation {
	if !l.budgets.HasBudgets() {
		return nil
	}
	for a := range l.live {
		if !a.ChargedFrom.IsZero() {
			l.budgets.MarkRunning(a, a.ChargedFrom)
		}
	}
	l.budgets.Recompute(now)
	for _, bal := range l.budgets.Warnings() {
		l.log.Warn("a budget is nearly spent", "budget", bal.Scope.String(), "period", bal.Period, "unit", bal.Unit)
	}
	if !l.loaded {
		return nil
	}
	return l.stopOverspent()
}

// stopOverspent asks the live tasks of spent budgets to stop, each once, and returns their
// allocations.
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
		l.log.Info("stopped for its budget", "task", a.Task().String(), "team", a.Job.Team)
		stopped = append(stopped, a)
	}
	return stopped
}
