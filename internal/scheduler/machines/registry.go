// Package machines implements the leader's registry of machines. It records what the machines' workers report, and until
// when their tasks may still be alive. It makes the commands that reconcile the tasks on the machines with the tasks that
// the job store wants there.
//
// An allocation counts on its machine until it is proven gone; only then may its task start elsewhere. This package
// evaluates every proof and returns it as an Outcome. The proofs are a heartbeat (heartbeat.go, reconcile.go), a
// lease expiry (lease.go), a restart of the machine's worker process (restart.go), and the cloud's statement that the
// machine no longer exists (listing.go, Registry.MarkLost). docs/design.md explains why no task runs twice.
//
// The Registry belongs to the leader's loop and is not safe for concurrent use. The package does no I/O.
package machines

import (
	"errors"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

var (
	// ErrStale is returned for a heartbeat that proves nothing new: a newer message of its machine is known, its
	// incarnation is over, or it may be a delayed copy from before a restart of the machine's worker process.
	ErrStale = errors.New("the heartbeat is outdated or may be a delayed copy")
	// ErrReturned is returned for a heartbeat of a machine that no longer exists: it was returned to the cloud, or
	// lost.
	ErrReturned = errors.New("the machine was returned to the cloud")
	// ErrContradicts is returned for a heartbeat whose address, type, zone or kind (spot or on-demand) differs from
	// that of its machine. None of these can change while the machine exists.
	ErrContradicts = errors.New("the heartbeat's address, type, zone or kind differs from its machine's")
	// ErrUnknownMachine is returned for the name of a machine that is not in the registry.
	ErrUnknownMachine = errors.New("the machine is not in the registry")
	// ErrUnaddressable is returned for a machine to which no direct request can be sent: its address or its
	// incarnation is unknown, its incarnation is over, or it is being deleted.
	ErrUnaddressable = errors.New("no direct request can be sent to the machine")
	// ErrNoCommands is returned if there is nothing to send to a machine directly.
	ErrNoCommands = errors.New("there are no commands for the machine")
)

// Registry is the set of machines that a leader knows during one term. It is not safe for concurrent use.
type Registry struct {
	Machines map[string]*Machine // by name

	term     uint64
	lease    time.Duration        // duration of a worker's lease, plus clock drift and margin
	returned map[string]time.Time // when machines were returned or lost, by name; remembered for tuning.ForgetReturnedAfter

	tokenRaises uint64 // how often the token of a machine was raised
}

// New returns an empty registry for a term. leaseS is the duration of the workers' leases in seconds.
func New(term uint64, leaseS float64) *Registry {
	return &Registry{
		Machines: map[string]*Machine{}, term: term, returned: map[string]time.Time{},
		lease: time.Duration(leaseS*(1+tuning.ClockDriftShare)*float64(time.Second)) + tuning.LeaseMargin,
	}
}

// ensure returns the machine with a name. It adds the machine if the registry lacks it.
func (r *Registry) ensure(name string, now time.Time) *Machine {
	m := r.Machines[name]
	if m == nil {
		m = newMachine(name, r.term, now)
		r.Machines[name] = m
	}
	return m
}

// RentedMachine is what the cloud states about a machine, in its answer to a rent request or in its list of machines.
type RentedMachine struct {
	Name, Type, Zone string
	Spot             bool
	RentedAt         time.Time // when it was rented, as far as known
}

// Register adds a machine that the cloud names. If the machine has sent a heartbeat, the type, zone and kind in that
// heartbeat take precedence.
func (r *Registry) Register(rented RentedMachine, now time.Time) *Machine {
	m := r.ensure(rented.Name, now)
	m.RentedAt, m.Confirmed = rented.RentedAt, true
	if m.Address == "" {
		m.Type, m.Zone, m.Spot = rented.Type, rented.Zone, rented.Spot
	}
	return m
}

// Forget removes a machine that no longer exists and has no allocations.
func (r *Registry) Forget(name string) { delete(r.Machines, name) }

// MarkLost records that a machine is gone with everything on it: the cloud confirmed its deletion, lists it as failed
// or lists it no longer (ProvenGone). It returns the outcomes of the machine's allocations. From then on its
// heartbeats get ErrReturned.
func (r *Registry) MarkLost(name string, now time.Time) []Outcome {
	r.returned[name] = now
	m := r.Machines[name]
	if m == nil {
		return nil
	}
	var outcomes []Outcome
	for _, allocation := range m.Allocations {
		outcomes = append(outcomes, lostOutcome(allocation))
	}
	delete(r.Machines, name)
	return outcomes
}

// WasReturned reports whether a machine was returned or lost within about tuning.ForgetReturnedAfter.
func (r *Registry) WasReturned(name string) bool { _, ok := r.returned[name]; return ok }

// forgetReturned drops the names of machines that were returned or lost more than tuning.ForgetReturnedAfter ago.
func (r *Registry) forgetReturned(now time.Time) {
	for name, at := range r.returned {
		if now.Sub(at) > tuning.ForgetReturnedAfter {
			delete(r.returned, name)
		}
	}
}

// AddAllocation adds a new allocation to its machine.
func (r *Registry) AddAllocation(allocation *jobs.Allocation, now time.Time) {
	m := r.ensure(allocation.Machine, now)
	m.Allocations[attemptOf(allocation)] = allocation
	m.retainImage(allocation, now)
}

// RestoreAllocation adds an allocation that a former leader recorded. termStart is the start of this term. Only an
// answer to a heartbeat renews a machine's lease, and the last answer before this call was sent before termStart,
// whoever sent it. So the lease expires at the latest one lease duration after termStart, unless another heartbeat is
// answered.
func (r *Registry) RestoreAllocation(allocation *jobs.Allocation, termStart time.Time) {
	m := r.ensure(allocation.Machine, termStart)
	m.Allocations[attemptOf(allocation)] = allocation
	m.retainImage(allocation, termStart)
	m.Incarnation = max(m.Incarnation, allocation.Incarnation)
	m.Zone, m.Confirmed = allocation.Zone, true
	if m.LeaseExpiry.Before(termStart.Add(r.lease)) {
		m.LeaseExpiry = termStart.Add(r.lease)
	}
}

// RemoveAllocation removes an allocation that is proven gone from its machine.
func (r *Registry) RemoveAllocation(allocation *jobs.Allocation, now time.Time) {
	m := r.Machines[allocation.Machine]
	if m == nil {
		return
	}
	if _, present := m.Allocations[attemptOf(allocation)]; present {
		delete(m.Allocations, attemptOf(allocation))
		m.releaseImage(allocation, now)
	}
	if len(m.Allocations) == 0 {
		m.IdleSince = now
	}
}

// Outcome is the proven end of an allocation.
type Outcome struct {
	Allocation *jobs.Allocation
	Reason     wire.ExitReason // why the task ended; wire.ExitStopped if Lost
	Saved      bool            // the task saved a checkpoint when it was stopped
	Lost       bool            // nobody saw the end: the machine's incarnation is over, or the machine is gone
	// LastHeartbeatWithoutExit is when the machine's newest heartbeat arrived that does not show the task's exit;
	// zero: unknown. A task that was never reported as running had not started by then. A task that was reported as
	// running had not exited by then.
	LastHeartbeatWithoutExit time.Time
}

// lostOutcome returns the outcome of an allocation whose end nobody saw.
func lostOutcome(allocation *jobs.Allocation) Outcome {
	return Outcome{Allocation: allocation, Reason: wire.ExitStopped, Lost: true}
}

// ReasonLabel returns the kind of end for display and metrics: "lost", or the reason of the exit.
func (o *Outcome) ReasonLabel() string {
	if o.Lost {
		return "lost"
	}
	return string(o.Reason)
}
