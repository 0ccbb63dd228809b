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

// Placed notes on what kind of machine an attempt will run, and reserves what it is
// expected to use.
func (l *Ledger) Placed(a *jobs.Allocation, spot bool, typ *wire.MachineType, _ time.Time) {
	a.Kind = charge.Kind{Zone: a.Zone, Spot: spot, Rate: Rate(&a.Job.Job, typ, spot)}
	if typ != nil {
		a.Kind.Type = typ.Name
	}
	l.addLive(a)
}

// Ended charges an attempt that came to its end.
func (l *Ledger) Ended(o machines.Outcome, now time.Time) {
	a := o.Allocation
	delete(l.live, a)
	c, started := chargeFor(&o, now, l.currentRate(a))
	seenDone := c.Outcome == charge.Done && c.Flags&charge.UpperBound == 0
	l.budgets.EndTask(a, seenDone, time.Duration(c.Run)*time.Millisecond)
	if started {
		l.recordCharges(a, charge.SplitByDay(c, l.location), now)
	}
}

// Finished does nothing in the ledger: charges are of attempts.
func (l *Ledger) Finished(jobs.FinishedJob, time.Time) {}

// currentRate is what an attempt's task would take of its machine's price by now.
func (l *Ledger) currentRate(a *jobs.Allocation) int64 {
	return Rate(&a.Job.Job, wire.FindMachineType(l.cfg.MachineTypes(), a.Kind.Type), a.Kind.Spot)
}

// chargeDayEnd charges what running tasks took up to the end of the day: a bill for a day
// is whole soon after it, however long a task runs on.
func (l *Ledger) chargeDayEnd(now time.Time) {
	end := l.dayEnd
	l.dayEnd = l.endOfDay(now)
	for a := range l.live {
		if a.ChargedFrom.IsZero() || !a.ChargedFrom.Before(end) {
			continue
		}
		c := charge.Charge{Task: a.Index, Attempt: a.Attempt, Part: a.ChargedParts, Outcome: charge.Continues, Flags: unseenStart(a)}
		setTimeAndCost(&c, a, a.ChargedFrom, end, l.currentRate(a))
		parts := charge.SplitByDay(c, l.location)
		a.ChargedFrom, a.ChargedParts = end, a.ChargedParts+len(parts)
		l.recordCharges(a, parts, now)
	}
}

// recordCharges counts the parts of an attempt's charge and has the job store write them.
func (l *Ledger) recordCharges(a *jobs.Allocation, parts []charge.Charge, now time.Time) {
	traits := jobs.TraitsOf(&a.Job.Job)
	for i := range parts {
		l.countCharge(&traits, &parts[i])
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
	l.log.Debug("charged", "task", a.Task().String(), "attempt", c.Attempt, "part", c.Part, "team", traits.Team, "class", traits.Class,
		"type", a.Kind.Type, "spot", a.Kind.Spot, "how", c.Outcome.String(), "bound", c.Flags&charge.UpperBound != 0, "saved", c.Flags&charge.ProgressSaved != 0,
		"run_ms", c.Run, "core_us", sum.Core, "money_u", sum.Money)
}
