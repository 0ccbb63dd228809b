package ledger

import (
	"math"
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/machines"
)

// What a charge counts:
//
//   - From the heartbeat in which the task was first seen to run, to the heartbeat in which
//     it was first seen to have ended. Fetching an image is not charged.
//   - A worker reports a change within half a second, so both ends are late by the same on
//     average, and the sum over many attempts is right.
//   - What nobody saw is charged as an upper bound and marked so:
//     a task whose machine was lost counts until its loss was proven, which is after the
//     last moment in which its worker can have run it;
//     one that was never seen to run but ended counts from the last heartbeat that did not
//     have it running;
//     one that a former leader placed counts from when it was placed, if no record says
//     when it began;
//     and one whose end came while nobody led counts until a leader saw it.

// Rate is what a task takes of a machine's price, in millionths of money an hour: the price
// times its dominant share, the largest of its shares of the machine's processors, memory
// and GPUs, since that is what it keeps from others. Equal tasks that fill a machine pay its
// price together; idle resources are charged to nobody; tasks of opposite shapes that share
// a machine can pay more than its price together. It is 0 for an unknown type.
func Rate(j *wire.Job, typ *wire.MachineType, spot bool) int64 {
	if typ == nil {
		return 0
	}
	price := typ.Price
	if spot {
		price = typ.SpotPrice
	}
	return int64(math.Round(price * dominantShare(j, typ) * 1e6))
}

// dominantShare is the largest share, up to 1, that a task has of a machine's resources.
func dominantShare(j *wire.Job, typ *wire.MachineType) float64 {
	share := 0.0
	for _, r := range []struct{ used, of float64 }{{j.CPUs, typ.CPUs}, {j.MemoryGB, typ.MemoryGB}, {j.GPUs, typ.GPUs}} {
		if r.of > 0 {
			share = max(share, min(1, r.used/r.of))
		}
	}
	return share
}

// outcomeOf is how an attempt ended, for its charge.
func outcomeOf(o *machines.Outcome) charge.Outcome {
	a := o.Allocation
	switch {
	case o.Reason == wire.ExitDone:
		return charge.Done
	case o.Reason == wire.ExitError:
		return charge.Failed
	case o.Reason == wire.ExitNoRoom || o.Reason == wire.ExitBusy || o.Reason == wire.ExitUnknown:
		return charge.Refused
	case o.Lost:
		return charge.Lost
	case a.Job.Cancelled():
		return charge.Cancelled
	case a.Stop != nil && a.Stop.Reason != charge.Continues:
		return a.Stop.Reason
	}
	return charge.Stopped
}

// chargeFor returns the charge of an attempt from its outcome. currentRate is its task's
// rate by now. started is false if the attempt was never started, so there is no charge.
func chargeFor(o *machines.Outcome, now time.Time, currentRate int64) (c charge.Charge, started bool) {
	a := o.Allocation
	if !a.Committed {
		return c, false // no record named it, so nothing was started
	}
	c = charge.Charge{Task: a.Index, Attempt: a.Attempt, Part: a.ChargedParts, Outcome: outcomeOf(o)}
	from, flags := chargedFrom(o, c.Outcome, now)
	c.Flags = flags
	if o.Saved {
		c.Flags |= charge.ProgressSaved
	}
	if a.Inherited && a.State == "" && c.Outcome != charge.Refused {
		// This leader never saw it run: it may have ended while nobody led.
		c.Flags |= charge.UpperBound
	}
	setTimeAndCost(&c, a, from, now, currentRate)
	return c, true
}

// chargedFrom is from when on an attempt that ended is charged, and UpperBound if its run
// time is not known exactly.
func chargedFrom(o *machines.Outcome, outcome charge.Outcome, now time.Time) (from time.Time, flags charge.Flag) {
	a := o.Allocation
	switch {
	case !a.ChargedFrom.IsZero():
		flags = unseenStart(a)
		if outcome == charge.Lost {
			flags = charge.UpperBound
		}
		return a.ChargedFrom, flags
	case outcome == charge.Refused:
		return now, 0
	}
	from = a.AllocatedAt
	if o.NotRunningAt.After(from) {
		from = o.NotRunningAt
	}
	return from, charge.UpperBound
}

// unseenStart is UpperBound if a task counts from when it was placed, since nobody knows
// when it began; otherwise 0.
func unseenStart(a *jobs.Allocation) charge.Flag {
	if a.ChargedParts == 0 && !a.ChargedFrom.After(a.AllocatedAt) {
		return charge.UpperBound
	}
	return 0
}

// setTimeAndCost sets a charge's time and money. The rate is the mean of that at the
// beginning and the current one, as far as they are known.
func setTimeAndCost(c *charge.Charge, a *jobs.Allocation, from, to time.Time, currentRate int64) {
	run := max(0, to.Sub(from))
	c.Start, c.Run = from.UnixMilli(), run.Milliseconds()
	rate := a.Kind.Rate
	if rate > 0 && currentRate > 0 {
		rate = (rate + currentRate) / 2
	}
	if rate == 0 {
		rate = currentRate
	}
	if rate == 0 && c.Run > 0 {
		c.Flags |= charge.PriceUnknown
	}
	c.Money = charge.Cost(rate, time.Duration(c.Run)*time.Millisecond)
}
