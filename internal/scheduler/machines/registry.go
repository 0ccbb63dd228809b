// Package machines keeps the registry of machines: what their workers report, until when a task on them may still be alive,
// and the commands that reconcile what runs there with what the job store wants.
//
// An allocation counts on its machine until it is proven gone. Everything that proves this passes through the package and
// comes back as an Outcome: a heartbeat (heartbeat.go), a lease expiry (lease.go), the restart of a machine's worker
// process (restart.go), and the word of the cloud that a machine no longer exists (listing.go, Registry.MarkLost). The
// argument why no task runs twice is in docs/design.md.
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
	// ErrStale is returned for a heartbeat that is no news: a newer message of its machine is known, its incarnation is over,
	// or it may be a delayed copy from before a restart of the machine's worker.
	ErrStale = errors.New("a newer heartbeat is known")
	// ErrReturned is returned for a heartbeat of a machine that was deleted.
	ErrReturned = errors.New("the machine was returned")
	// ErrContradicts is returned for a heartbeat with another address, type, zone or kind than its machine has: these cannot
	// change as long as the machine exists.
	ErrContradicts = errors.New("the heartbeat contradicts what is known of its machine")
	// ErrUnknownMachine is returned where a machine is named that the registry does not hold.
	ErrUnknownMachine = errors.New("the machine is not known")
	// ErrUnaddressable is returned for a machine to which no direct request can be sent: its address or its incarnation is
	// not known or its incarnation is over, or the machine is about to be deleted.
	ErrUnaddressable = errors.New("no direct request can be sent to the machine")
	// ErrNoCommands is returned if a machine need not be told anything directly.
	ErrNoCommands = errors.New("there are no commands for the machine")
)

// Registry holds the machines of one term. It is not safe for concurrent use.
type Registry struct {
	Machines map[string]*Machine // by name

	term     uint64
	lease    time.Duration        // a worker's lease, with clock drift and margin
	returned map[string]time.Time // when machines were deleted, by name; kept for tuning.ForgetReturned
}

// New makes the empty registry of a term. leaseS is the workers' lease in seconds.
func New(term uint64, leaseS float64) *Registry {
	return &Registry{
		Machines: map[string]*Machine{}, term: term, returned: map[string]time.Time{},
		lease: time.Duration(leaseS*(1+tuning.ClockDrift)*float64(time.Second)) + tuning.LeaseMargin,
	}
}

// ensure returns the machine of a name, and adds it if it is not known.
func (r *Registry) ensure(name string, now time.Time) *Machine {
	m := r.Machines[name]
	if m == nil {
		m = newMachine(name, now)
		r.Machines[name] = m
	}
	return m
}

// Rented is what the cloud tells of a machine, in its answer to a rent request or in its list.
type Rented struct {
	Name, Type, Zone string
	Spot             bool
	RentedAt         time.Time // as far as known
}

// Register adds a machine that the cloud names. What the machine itself reported of its type, zone and kind counts for more.
func (r *Registry) Register(rented Rented, now time.Time) *Machine {
	m := r.ensure(rented.Name, now)
	m.RentedAt, m.Known = rented.RentedAt, true
	if m.Address == "" {
		m.Type, m.Zone, m.Spot = rented.Type, rented.Zone, rented.Spot
	}
	return m
}

// Forget removes a machine that no longer exists and has no allocations.
func (r *Registry) Forget(name string) { delete(r.Machines, name) }

// MarkLost records that a machine is gone with all that was on it: its deletion was answered, or the cloud lists it as
// failed. Heartbeats of it get ErrReturned from then on.
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

// WasReturned reports whether a machine was deleted within tuning.ForgetReturned.
func (r *Registry) WasReturned(name string) bool { _, ok := r.returned[name]; return ok }

// forgetReturned drops the names of machines that were deleted long ago.
func (r *Registry) forgetReturned(now time.Time) {
	for name, at := range r.returned {
		if now.Sub(at) > tuning.ForgetReturned {
			delete(r.returned, name)
		}
	}
}

// AddAllocation counts a new allocation on its machine.
func (r *Registry) AddAllocation(allocation *jobs.Allocation, now time.Time) {
	m := r.ensure(allocation.Machine, now)
	m.Allocations[attemptOf(allocation)] = allocation
	m.retainImage(allocation, now)
}

// RestoreAllocation counts an allocation that a former leader recorded. Whoever answered the machine last did so before the
// term began, so its lease runs from then at most.
func (r *Registry) RestoreAllocation(allocation *jobs.Allocation, termStart time.Time) {
	m := r.ensure(allocation.Machine, termStart)
	m.Allocations[attemptOf(allocation)] = allocation
	m.retainImage(allocation, termStart)
	m.Incarnation = max(m.Incarnation, allocation.Incarnation)
	m.Zone, m.Known = allocation.Zone, true
	if m.LeaseExpiry.Before(termStart.Add(r.lease)) {
		m.LeaseExpiry = termStart.Add(r.lease)
	}
}

// RemoveAllocation takes an allocation that is proven gone off its machine.
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
	Allocation   *jobs.Allocation
	Reason       wire.ExitReason // wire.ExitStopped also when its machine's incarnation is over
	Saved        bool            // a checkpoint was saved when it was stopped
	Lost         bool            // nobody saw its end: its machine's incarnation is over, or the machine is gone
	NotRunningAt time.Time       // a time at which it was known not to run yet; zero: none
}

// lostOutcome is the outcome of an allocation whose end nobody saw.
func lostOutcome(allocation *jobs.Allocation) Outcome {
	return Outcome{Allocation: allocation, Reason: wire.ExitStopped, Lost: true}
}

// Ending names the end for people: "lost", or the reason of the exit.
func (o *Outcome) Ending() string {
	if o.Lost {
		return "lost"
	}
	return string(o.Reason)
}
