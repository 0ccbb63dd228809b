package ledger

import (
	"math"
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/machines"
)

// What a task's charge counts:
//
//   - from the report in which it was first seen to run, to the report in which it
//     was first seen to have ended. Fetching an image is not charged.
//   - A worker reports a change within half a second, so both ends are late by the
//     same on average, and the sum over many attempts is right.
//   - What nobody saw is charged as an upper bound and marked so: a task whose
//     machine was lost counts until its loss was proven, which is after the last moment
//     in which its worker can have run it; one that was never seen running but ended
//     counts from the last report that did not have it running; one that a former leader
//     placed counts from when it was placed, if no record says when it began; and one
//     whose end came while nobody led counts until a leader saw it.

// Rate is what a task takes of a machine's price, in millionths an hour: the price
// times its dominant share, the largest of its shares of the machine's processors,
// memory and GPUs, since that is what it keeps from others. Tasks alike that fill a
// machine pay its price together; what is idle nobody is charged for; tasks of opposite
// shapes that share a machine can pay more than its price together.
func Rate(j *wire.Job, typ *wire.MachineType, spot bool) int64 {
	if typ == nil {
		return 0
	}
	price := typ.Price
	if spot {
		price = typ.SpotPrice
	}
	share := 0.0
	for _, r := range [][2]float64{{j.CPUs, typ.CPUs}, {j.MemoryGB, typ.MemoryGB}, {j.GPUs, typ.GPUs}} {
		if r[1] > 0 {
			share = max(share, min(1, r[0]/r[1]))
		}
	}
	return int64(math.Round(price * share * 1e6))
}

// outcomeOf tells how an attempt ended, for its charge.
func outcomeOf(o *machines.Outcome) charge.Outcome {
	p := o.Allocation
	switch {
	case o.Reason == wire.ExitDone:
		return charge.Done
	case o.Reason == wire.ExitError:
		return charge.Failed
	case o.Reason == wire.ExitNoRoom || o.Reason == wire.ExitBusy || o.Reason == wire.ExitUnknown:
		return charge.Refused
	case o.Lost:
		return charge.Lost
	case p.Job.Cancelled():
		return charge.Cancelled
	case p.Stop != nil && p.Stop.Reason != charge.Continues:
		return p.Stop.Reason
	}
	return charge.Stopped
}

// chargeFor gives the charge of an attempt from its outcome; ok is false for one that was
// never started.
func chargeFor(o *machines.Outcome, now time.Time, rateNow int64) (c charge.Charge, ok bool) {
	p := o.Allocation
	if !p.Committed {
		return c, false // no record named it, so nothing was started
	}
	c = charge.Charge{Task: p.Index, Attempt: p.Attempt, Part: p.ChargedParts, Outcome: outcomeOf(o)}
	if o.Saved {
		c.Flags |= charge.ProgressSaved
	}
	begun := p.ChargedFrom
	switch {
	case !begun.IsZero():
		c.Flags |= unseenStart(p)
		if c.Outcome == charge.Lost {
			c.Flags |= charge.UpperBound
		}
	case c.Outcome == charge.Refused:
		begun = now
	default:
		begun = p.AllocatedAt
		if o.NotRunningAt.After(begun) {
			begun = o.NotRunningAt
		}
		c.Flags |= charge.UpperBound
	}
	if p.Inherited && p.State == "" && c.Outcome != charge.Refused {
		// This leader never saw it run: it may have ended while nobody led.
		c.Flags |= charge.UpperBound
	}
	setTimeAndCost(&c, p, begun, now, rateNow)
	return c, true
}

// unseenStart marks a charge whose task counts from when it was placed, since nobody
// knows when it began.
func unseenStart(p *jobs.Allocation) charge.Flag {
	if p.ChargedParts == 0 && !p.ChargedFrom.After(p.AllocatedAt) {
		return charge.UpperBound
	}
	return 0
}

// setTimeAndCost sets a charge's time and money. The price is the mean of those at the
// beginning and the end.
func setTimeAndCost(c *charge.Charge, p *jobs.Allocation, begun, now time.Time, rateNow int64) {
	run := max(0, now.Sub(begun))
	c.Start, c.Run = begun.UnixMilli(), run.Milliseconds()
	rate := p.Kind.Rate
	if rate > 0 && rateNow > 0 {
		rate = (rate + rateNow) / 2
	}
	if rate == 0 {
		rate = rateNow
	}
	if rate == 0 && c.Run > 0 {
		c.Flags |= charge.PriceUnknown
	}
	c.Money = charge.Cost(rate, time.Duration(c.Run)*time.Millisecond)
}
