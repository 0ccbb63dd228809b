package leader

import (
	"time"

	"poppypass/internal/clients/cloud"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/machines"
)

// cloudListing is the state of reading the cloud's list of machines.
type cloudListing struct {
	inFlight bool      // the list is being read
	next     time.Time // the list is not read before this time
}

// startListing begins to read the cloud's list of machines if that is due.
func (l *Loop) startListing(now time.Time) {
	if l.listing.inFlight || now.Before(l.listing.next) {
		return
	}
	l.listing.inFlight = true
	go l.listMachines()
}

// listMachines reads the cloud's list and reconciles the machine registry with it. It runs outside the loop's
// goroutine.
func (l *Loop) listMachines() {
	started := l.env.Clock.Now()
	pages, err := l.env.Cloud.List(l.termCtx)
	l.post(func() {
		now := l.env.Clock.Now()
		l.listing.inFlight = false
		l.listing.next = now.Add(listPause(now.Sub(started)))
		if err != nil {
			l.log.Debug("reading the cloud's list of machines failed; retrying at the next listing", "err", err)
			return
		}
		for _, page := range pages {
			l.endProvenGone(page)
		}
		l.reconcileMachines(pages, now)
	})
}

// listPause returns the pause after a reading of the cloud's list that took a given time. The pause is at least as long
// as the reading.
func listPause(took time.Duration) time.Duration { return max(tuning.CloudListEvery, took) }

// endProvenGone ends the attempts on machines that a page of the list proves to be gone. A quarter of the machines
// that the cloud interrupts get no notice. Without this check, their tasks would wait until the machines' leases expire.
func (l *Loop) endProvenGone(page cloud.ListPage) {
	var gone []string
	for _, name := range l.machines.ProvenGone(page.After, page.Last, page.Machines) {
		if m := l.machines.Machines[name]; !m.Returning { // the answer to its deletion ends its attempts
			gone = append(gone, name)
		}
	}
	if len(gone) > 0 {
		l.log.Info("machines gone from the cloud's list; ending their attempts", "machines", gone)
		l.machinesLost(gone)
	}
}

// reconcileMachines brings the registry in line with the cloud's list of machines.
func (l *Loop) reconcileMachines(pages []cloud.ListPage, now time.Time) {
	size := 0
	for _, page := range pages {
		size += len(page.Machines)
	}
	listed := make(map[string]bool, size)
	var failed []string
	for _, page := range pages {
		for _, machine := range page.Machines {
			listed[machine.Name] = true
			if l.reconcileListed(machine, now) {
				failed = append(failed, machine.Name)
			}
		}
	}
	if len(failed) > 0 {
		l.log.Info("cloud lists machines as failed; ending the attempts on them and deleting the machines", "machines", failed)
		// A failed machine has stopped, together with all tasks on it.
		l.machinesLost(failed)
		l.deleteMachines(failed)
	}
	l.forgetUnlisted(listed, now)
}

// reconcileListed brings the registry in line with one machine of the list. failed reports whether the machine
// failed and is not being deleted yet.
func (l *Loop) reconcileListed(listed wire.ListedMachine, now time.Time) (failed bool) {
	if l.machines.WasReturned(listed.Name) {
		return false
	}
	m := l.machines.Machines[listed.Name]
	switch {
	case listed.State == wire.MachineFailed:
		failed = m == nil || !m.Returning
	case m == nil || m.Type == "":
		// The machine is unknown, or only stored records name it. From now on it is used or returned like any other.
		rentedAt := now.Add(-seconds(listed.AgeS))
		l.machines.Register(machines.RentedMachine{Name: listed.Name, Type: listed.Type, Zone: listed.Zone, Spot: listed.Spot, RentedAt: rentedAt}, now)
		if m == nil {
			l.log.Info("unknown machine in the cloud's list; added to the registry", "machine", listed.Name, "state", listed.State)
		}
	}
	if m := l.machines.Machines[listed.Name]; m != nil {
		l.cycle.wakeIf(!m.Confirmed) // the list proves that the machine exists, so tasks may be placed there
		m.ListedRunning, m.Confirmed, m.ListedAddress = listed.State == wire.MachineRunning, true, listed.Address
	}
	return failed
}

// forgetUnlisted forgets machines without tasks that are not alive and are missing from several consecutive lists, because
// the cloud has taken them back. A machine is not alive if its lease expired or it never sent a heartbeat.
func (l *Loop) forgetUnlisted(listed map[string]bool, now time.Time) {
	minAge := seconds(2*l.env.Settings.Cluster.Cloud.ListLagS) + tuning.CloudListEvery
	for _, m := range l.machines.Machines {
		if listed[m.Name] || m.Alive() || now.Sub(m.AddedAt) < minAge {
			m.MissedListings = 0
			continue
		}
		if m.MissedListings++; m.MissedListings >= tuning.MissedListingsMin && len(m.Allocations) == 0 && !m.Returning {
			l.machines.Forget(m.Name)
		}
	}
}
