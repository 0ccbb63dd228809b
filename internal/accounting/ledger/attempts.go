package ledger

import (
	"context"
	"log/slog"
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/machines"
)

// Placed records the kind of machine on which an attempt will run, and reserves the attempt's expected usage in its
// team's budgets.
func (l *Ledger) Placed(a *jobs.Allocation, spot bool, typ *wire.MachineType, _ time.Time) {
	a.Kind = charge.Kind{Zone: a.Zone, Spot: spot, Rate: Rate(&a.Job.Job, typ, spot)}
	if typ != nil {
		a.Kind.Type = typ.Name
	}
	l.addLive(a)
}

// Ended charges an attempt that has ended.
func (l *Ledger) Ended(o machines.Outcome, now time.Time) {
	a := o.Allocation
	delete(l.liveAllocations, a)
	c, started := chargeFor(&o, now, l.currentRate(a))
	completed := c.Outcome == charge.Done && c.Flags&charge.UpperBound == 0
	l.budgets.EndTask(a, completed, time.Duration(c.RunMS)*time.Millisecond)
	if started {
		l.recordCharges(a, charge.SplitByDay(c, l.location), now)
	}
}

// Finished does nothing: the ledger charges for attempts, not for jobs.
func (l *Ledger) Finished(jobs.FinishedJob, time.Time) {}

// currentRate returns the rate of an attempt's task at the current prices, in millionths of the currency per hour; 0 if
// the machine type is unknown.
func (l *Ledger) currentRate(a *jobs.Allocation) int64 {
	return Rate(&a.Job.Job, wire.FindMachineType(l.cfg.MachineTypes(), a.Kind.Type), a.Kind.Spot)
}

// chargeDayEnd charges running tasks for their time up to the end of the day. So the bill of a day is complete soon
// after that day, however long its tasks continue to run.
func (l *Ledger) chargeDayEnd(now time.Time) {
	end := l.dayEnd
	l.dayEnd = l.endOfDay(now)
	for a := range l.liveAllocations {
		if a.ChargedFrom.IsZero() || !a.ChargedFrom.Before(end) {
			continue
		}
		c := charge.Charge{Task: a.Index, Attempt: a.Attempt, Part: a.ChargedParts, Outcome: charge.Continues, Flags: unseenStartFlag(a)}
		setTimeAndCost(&c, a, a.ChargedFrom, end, l.currentRate(a))
		parts := charge.SplitByDay(c, l.location)
		a.ChargedFrom, a.ChargedParts = end, a.ChargedParts+len(parts)
		l.recordCharges(a, parts, now)
	}
}

// recordCharges adds the parts of an attempt's charge to the budgets' usage and the metrics, and passes them to the job
// store to be written.
func (l *Ledger) recordCharges(a *jobs.Allocation, parts []charge.Charge, now time.Time) {
	traits := jobs.TraitsOf(&a.Job.Job)
	for i := range parts {
		l.addChargeUsage(&traits, &parts[i])
		if l.cfg.OnCharge != nil {
			l.cfg.OnCharge(traits.Team, parts[i].Outcome.String(), traits.AmountsOf(&parts[i]))
		}
	}
	l.stats.Charges += len(parts)
	l.store.AddCharges(a, parts, now)
	if l.log.Enabled(context.Background(), slog.LevelDebug) {
		for i := range parts {
			l.logCharge(a, &traits, &parts[i])
		}
	}
}

func (l *Ledger) logCharge(a *jobs.Allocation, traits *charge.JobTraits, c *charge.Charge) {
	sum := traits.AmountsOf(c)
	l.log.Debug("attempt charged", "task", a.Task().String(), "attempt", c.Attempt, "part", c.Part, "team", traits.Team, "class", traits.Class,
		"type", a.Kind.Type, "spot", a.Kind.Spot, "how", c.Outcome.String(), "bound", c.Flags&charge.UpperBound != 0, "saved", c.Flags&charge.ProgressSaved != 0,
		"run_ms", c.RunMS, "core_us", sum.Core, "money_u", sum.Money)
}
