package ledger

import (
	"context"
	"log/slog"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/leader"
)

// Tick collects detached charges, charges running tasks at the end of a day, and enforces the budgets. It returns the
// allocations that are to be stopped.
func (l *Ledger) Tick(now time.Time) []*jobs.Allocation {
	l.collectDetached(now)
	l.applyBudgetSettings(now)
	l.logTotals(now)
	if !now.Before(l.dayEnd) {
		l.chargeDayEnd(now)
	}
	return l.enforceBudgets(now)
}

// logTotals logs the totals at debug level, once every TotalsLogEvery.
func (l *Ledger) logTotals(now time.Time) {
	if !l.loaded || now.Before(l.nextTotalsLog) || !l.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	l.nextTotalsLog = now.Add(tuning.TotalsLogEvery)
	totals := l.totals(Query{By: []string{"team"}}, now)
	running := 0
	for a := range l.liveAllocations {
		if !a.ChargedFrom.IsZero() {
			running++
		}
	}
	l.log.Debug("totals of all charges", "attempts", totals.Sum.Attempts, "core_us", totals.Sum.CoreMicroS, "money_u", totals.Sum.MoneyMicro, "done", totals.Sum.Ends["done"],
		"lost", totals.Sum.Ends["lost"], "running", running, "running_core_us", totals.Running.CoreMicroS, "running_money_u", totals.Running.MoneyMicro,
		"lefts", len(l.detached), "roll_ups", l.stats.RollUps, "changes", l.stats.Changes)
}

// NextWrite returns the ledger's next transaction, with at most maxChanges changes: a roll-up if one is due, and otherwise
// one that reduces the number of rows or pages of totals. After a check that found nothing to reduce, the next check is
// CompactCheckEvery later.
func (l *Ledger) NextWrite(now time.Time, maxChanges int) *leader.SubsystemWrite {
	if !l.loaded {
		return nil
	}
	if write := l.rollUp(now, maxChanges); write != nil {
		return write
	}
	if now.Before(l.nextCompactCheck) {
		return nil
	}
	if write := l.foldIntoMonths(now, maxChanges); write != nil {
		return write
	}
	write := l.compact(maxChanges)
	if write == nil {
		l.nextCompactCheck = now.Add(tuning.CompactCheckEvery)
	}
	return write
}
