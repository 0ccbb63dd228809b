package ledger

import (
	"context"
	"log/slog"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/leader"
)

// Tick collects detached charges, closes days and enforces the budgets. It returns the
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

// logTotals logs the totals every TotalsLogEvery at the level debug.
func (l *Ledger) logTotals(now time.Time) {
	if !l.loaded || now.Before(l.nextTotalsLog) || !l.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	l.nextTotalsLog = now.Add(tuning.TotalsLogEvery)
	t := l.totals(Query{By: []string{"team"}}, now)
	running := 0
	for a := range l.live {
		if !a.ChargedFrom.IsZero() {
			running++
		}
	}
	l.log.Debug("ledger totals", "attempts", t.Sum.Attempts, "core_us", t.Sum.CoreMicroS, "money_u", t.Sum.MoneyMicro, "done", t.Sum.Ends["done"],
		"lost", t.Sum.Ends["lost"], "running", running, "running_core_us", t.Running.CoreMicroS, "running_money_u", t.Running.MoneyMicro,
		"lefts", len(l.detached), "roll_ups", l.stats.RollUps, "changes", l.stats.Changes)
}

// NextWrite returns the ledger's own next transaction: a roll-up if one is due, and
// otherwise, from time to time, one that makes the totals smaller.
func (l *Ledger) NextWrite(now time.Time, room int) *leader.SubsystemWrite {
	if !l.loaded {
		return nil
	}
	if w := l.rollUp(now, room); w != nil {
		return w
	}
	if now.Before(l.nextCompactCheck) {
		return nil
	}
	if w := l.foldIntoMonths(now, room); w != nil {
		return w
	}
	w := l.compact(room)
	if w == nil {
		l.nextCompactCheck = now.Add(tuning.CompactCheckEvery)
	}
	return w
}
