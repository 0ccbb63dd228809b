package ledger

import (
	"math"
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/machines"
)

// The time for which an attempt is charged:
//
//   - It begins with the heartbeat that first reports the task as running, and ends with the heartbeat that first
//     reports the task's end. The time to fetch the image is not charged.
//   - A worker reports a change within half a second. So both times are late by the same amount on average, and the sum
//     over many attempts is correct.
//   - If the start or the end was not observed, the charge is an upper bound and is flagged as such:
//     If the machine was lost, the time ends when the loss is proven, which is after the last moment at which the worker
//     can have run the task.
//     If the task ended without being reported as running, the time begins with the last heartbeat that did not report it
//     as running.
//     If an earlier leader placed the task and no record contains its start, the time begins with the placement.
//     If the task ended while there was no leader, the time ends when a leader first sees the end.

// Rate returns a task's share of a machine's price, in millionths of the currency per hour; 0 for an unknown type. The
// rate is the price times the task's dominant share: the largest of its shares of the machine's processors, memory and
// GPUs, because that much of the machine is unavailable to others. Equal tasks that fill a machine together pay its
// price. Idle resources are charged to nobody. Tasks that share a machine can together pay more than its price if their
// dominant shares are of different resources, such as processors and memory.
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

// dominantShare returns the largest of a task's shares of a machine's processors, memory and GPUs, at most 1.
func dominantShare(j *wire.Job, typ *wire.MachineType) float64 {
	share := 0.0
	for _, r := range []struct{ used, available float64 }{{j.CPUs, typ.CPUs}, {j.MemoryGB, typ.MemoryGB}, {j.GPUs, typ.GPUs}} {
		if r.available > 0 {
			share = max(share, min(1, r.used/r.available))
		}
	}
	return share
}

// outcomeOf returns the outcome of an attempt for its charge.
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

// chargeFor returns the charge of an attempt that ended. currentRate is the task's rate at the current prices. started is
// false if the attempt was never started; there is no charge then.
func chargeFor(o *machines.Outcome, now time.Time, currentRate int64) (c charge.Charge, started bool) {
	a := o.Allocation
	if !a.Committed {
		return c, false // no stored record contained the allocation, so no worker was told to start it
	}
	c = charge.Charge{Task: a.Index, Attempt: a.Attempt, Part: a.ChargedParts, Outcome: outcomeOf(o)}
	from, flags := chargedFrom(o, c.Outcome, now)
	c.Flags = flags
	if o.Saved {
		c.Flags |= charge.ProgressSaved
	}
	if a.Inherited && a.State == "" && c.Outcome != charge.Refused {
		// This leader never saw the task running, so it may have ended while there was no leader.
		c.Flags |= charge.UpperBound
	}
	setTimeAndCost(&c, a, from, now, currentRate)
	return c, true
}

// chargedFrom returns the time from which an attempt that ended is charged, and UpperBound if the charged time may be
// longer than the run time.
func chargedFrom(o *machines.Outcome, outcome charge.Outcome, now time.Time) (from time.Time, flags charge.Flag) {
	a := o.Allocation
	switch {
	case !a.ChargedFrom.IsZero():
		flags = unseenStartFlag(a)
		if outcome == charge.Lost {
			flags = charge.UpperBound
		}
		return a.ChargedFrom, flags
	case outcome == charge.Refused:
		return now, 0
	}
	from = a.AllocatedAt
	if o.LastHeartbeatWithoutExit.After(from) {
		from = o.LastHeartbeatWithoutExit
	}
	return from, charge.UpperBound
}

// unseenStartFlag returns UpperBound if a task is charged from its placement on because its start is unknown; otherwise 0.
func unseenStartFlag(a *jobs.Allocation) charge.Flag {
	if a.ChargedParts == 0 && !a.ChargedFrom.After(a.AllocatedAt) {
		return charge.UpperBound
	}
	return 0
}

// setTimeAndCost sets the time and the money of a charge. The applied rate is the mean of the rate at the allocation and
// the current one. If only one of them is known, it applies; if neither is, the charge is flagged PriceUnknown.
func setTimeAndCost(c *charge.Charge, a *jobs.Allocation, from, to time.Time, currentRate int64) {
	runTime := max(0, to.Sub(from))
	c.StartMS, c.RunMS = from.UnixMilli(), runTime.Milliseconds()
	rate := a.Kind.Rate
	if rate > 0 && currentRate > 0 {
		rate = (rate + currentRate) / 2
	}
	if rate == 0 {
		rate = currentRate
	}
	if rate == 0 && c.RunMS > 0 {
		c.Flags |= charge.PriceUnknown
	}
	c.Money = charge.Cost(rate, time.Duration(c.RunMS)*time.Millisecond)
}
