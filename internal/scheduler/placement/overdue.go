package placement

import (
	"cmp"
	"slices"
	"time"

	"poppypass/internal/platform/tuning"
)

// The order within a priority favours little work: the longest wait for each CPU second goes first, and what had its fill
// goes last. A job that is large in any way can so wait for ever: each machine that gets free is too small for its task and
// taken by small ones, its team's limit is used up by them, or it is behind them in every pass. So the wait to begin is
// bounded. A job none of whose tasks was placed within tuning.StarvationBound is overdue: before anything else of its priority it
// gets one task; if none fits, a machine, and what it needs of its team's limit, is kept from those behind it until one
// does, as far as what runs ends by itself, and for tuning.ReservationMax at a time (Holds). With that task it has begun, and the order is the
// usual one again, so that the small lose one task's time to each large job.

// overdueIn gives the places of the overdue items among those from lo to hi, the largest first, of equals those that came
// first. The small ones have the usual order in their favour, and the large are few: one task for each is little.
func overdueIn(items []*PendingJob, lo, hi int, now time.Time) []int {
	var late []int
	for i := lo; i < hi; i++ {
		if items[i].Starving(now) {
			late = append(late, i)
		}
	}
	slices.SortFunc(late, func(a, b int) int {
		return cmp.Or(cmp.Compare(items[b].size(), items[a].size()), items[a].enqueuedAt().Compare(items[b].enqueuedAt()), cmp.Compare(items[a].Job.ID, items[b].Job.ID))
	})
	return late
}

// size is what all tasks of an item's job take together, in CPUs.
func (it *PendingJob) size() float64 { return it.Job.CPUs * float64(it.Job.Tasks) }

// Starving tells whether an item's job waits for its first task for too long.
func (it *PendingJob) Starving(now time.Time) bool {
	return it.Started == 0 && !it.Placeholder && !it.OnProbation && it.Waiting > 0 && now.Sub(it.enqueuedAt()) >= tuning.StarvationBound
}

// begin places one task of an overdue item, or keeps for it what it lacks.
func (p *pass) begin(placed []Placement, it *PendingJob) []Placement {
	team, need := p.teams[it.Job.Team], it.Request()
	if team == nil {
		return placed
	}
	if team.leaves(it) {
		if m := p.searchFor(it, AnyKind).best(it); m != nil {
			it.take(m, need, team)
			return append(placed, Placement{it, m})
		}
	}
	// What stays of the team's use leaves too little of its limit: keeping the rest brings nothing, and keeps its other jobs waiting.
	if !p.mayHold || team.PermanentUse.CPUs+need.CPUs > team.QuotaCPUs+slack || team.PermanentUse.GPUs+need.GPUs > team.QuotaGPUs+slack {
		return placed
	}
	// Both at a time: one after the other took as long as both.
	if team.reservedFor == "" {
		team.reservedFor, team.reserved, p.keeps = it.Job.ID, need, true
	}
	if team.reservedFor == it.Job.ID && p.holds < max(1, len(p.machines)/tuning.StarvationReservationShare) && it.hold(p.machines, need) {
		p.holds++
	}
	return placed
}

// leaves tells whether a task of an item fits the team's limit beside what is kept for the begin of another job.
func (t *Team) leaves(it *PendingJob) bool {
	need := it.Request()
	if t.reservedFor != "" && t.reservedFor != it.Job.ID {
		need.CPUs += t.reserved.CPUs
		need.GPUs += t.reserved.GPUs
	}
	return t.fits(need)
}
