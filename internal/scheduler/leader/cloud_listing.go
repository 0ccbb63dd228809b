package leader

import (
	"time"

	"poppypass/internal/clients/cloud"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/machines"
)

// cloudListing is when the cloud's list of machines is read.
type cloudListing struct {
	inFlight bool
	next     time.Time
}

// startListing begins to read the cloud's list, if that is due.
func (l *Loop) startListing(now time.Time) {
	if l.listing.inFlight || now.Before(l.listing.next) {
		return
	}
	l.listing.inFlight = true
	go l.listMachines()
}

// listMachines reconciles the machine registry with the cloud's list.
func (l *Loop) listMachines() {
	begun := l.env.Clock.Now()
	pages, err := l.env.Cloud.List(l.ended)
	l.post(func() {
		now := l.env.Clock.Now()
		l.listing.inFlight = false
		l.listing.next = now.Add(listPause(now.Sub(begun)))
		if err != nil {
			l.log.Debug("machine list unreadable", "err", err)
			return
		}
		for _, page := range pages {
			l.endProvenGone(page)
		}
		l.reconcileMachines(pages, now)
	})
}

// listPause is the pause after a reading of the cloud's list that took a time.
func listPause(took time.Duration) time.Duration { return max(tuning.ListEvery, took) }

// endProvenGone ends all that was on the machines that a page of the list proves to be gone: a quarter of
// those that the cloud takes back go without a word, and their tasks waited for their leases.
func (l *Loop) endProvenGone(page cloud.ListPage) {
	var gone []string
	for _, name := range l.machines.ProvenGone(page.After, page.Last, page.Machines) {
		if m := l.machines.Machines[name]; !m.Returning { // that one's deletion will tell
			gone = append(gone, name)
		}
	}
	if len(gone) > 0 {
		l.log.Info("machines taken", "machines", gone)
		l.machinesLost(gone)
	}
}

// reconcileMachines brings the registry in line with a list of machines.
func (l *Loop) reconcileMachines(pages []cloud.ListPage, now time.Time) {
	size := 0
	for _, page := range pages {
		size += len(page.Machines)
	}
	listed := make(map[string]bool, size)
	var failed []string
	for _, page := range pages {
		for _, lm := range page.Machines {
			listed[lm.Name] = true
			if l.reconcileListed(lm, now) {
				failed = append(failed, lm.Name)
			}
		}
	}
	if len(failed) > 0 {
		l.log.Info("machines failed", "machines", failed)
		// A failed machine has stopped by itself, with all that was on it.
		l.machinesLost(failed)
		l.deleteMachines(failed)
	}
	l.forgetUnlisted(listed, now)
}

// reconcileListed brings a machine of the registry in line with the list. failed is true if it is to be deleted.
func (l *Loop) reconcileListed(lm wire.ListedMachine, now time.Time) (failed bool) {
	if l.machines.WasReturned(lm.Name) {
		return false
	}
	m := l.machines.Machines[lm.Name]
	switch {
	case lm.State == wire.MachineFailed:
		failed = m == nil || !m.Returning
	case m == nil || m.Type == "":
		// Not expected, or restored from records: it is used or returned like any other.
		rentedAt := now.Add(-seconds(lm.AgeS))
		l.machines.Register(machines.Rented{Name: lm.Name, Type: lm.Type, Zone: lm.Zone, Spot: lm.Spot, RentedAt: rentedAt}, now)
		if m == nil {
			l.log.Info("machine found", "machine", lm.Name, "state", lm.State)
		}
	}
	if m := l.machines.Machines[lm.Name]; m != nil {
		l.cycle.wakeIf(!m.Known) // it may be used from now on
		m.ListedRunning, m.Known, m.ListedAddress = lm.State == wire.MachineRunning, true, lm.Address
	}
	return failed
}

// forgetUnlisted forgets machines whose lease ran out, or that never came up, and that list after list lacks: they were taken.
func (l *Loop) forgetUnlisted(listed map[string]bool, now time.Time) {
	lag := seconds(2*l.env.Settings.Cluster.Cloud.ListLagS) + tuning.ListEvery
	for _, m := range l.machines.Machines {
		if listed[m.Name] || m.Alive() || now.Sub(m.AddedAt) < lag {
			m.MissedListings = 0
			continue
		}
		if m.MissedListings++; m.MissedListings >= tuning.UnlistedLists && len(m.Allocations) == 0 && !m.Returning {
			l.machines.Forget(m.Name)
		}
	}
}
