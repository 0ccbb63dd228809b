package leader

import (
	"cmp"
	"slices"
	"time"

	"poppypass/internal/clients/cloud"
	"poppypass/internal/cluster/workerlease"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/autoscale"
	"poppypass/internal/scheduler/placement"
)

// idleMachinesNeeded are the idle machines that what is expected would use, when it takes
// the machines in use and the cheap ones first.
func (l *Loop) idleMachinesNeeded(now time.Time) map[string]bool {
	items := l.expectedJobs(now)
	open := l.machinesWithRoomFor(now, items)
	needed := map[string]bool{}
	type key struct {
		*placement.Machine
		idle bool
	}
	order := make([]key, len(open))
	for i, m := range open {
		order[i] = key{m, len(l.machines.Machines[m.Name].Allocations) == 0}
	}
	slices.SortFunc(order, func(a, b key) int {
		return cmp.Or(cmp.Compare(btoi(a.idle), btoi(b.idle)), cmp.Compare(btoi(!a.Spot), btoi(!b.Spot)), cmp.Compare(a.Price, b.Price), cmp.Compare(a.Name, b.Name))
	})
	teams := autoscale.UnlimitedTeams(items)
	placement.Sort(items, teams, now)
	for _, m := range order {
		items = slices.DeleteFunc(items, func(it *placement.PendingJob) bool { return it.Waiting == 0 })
		if len(items) == 0 {
			break
		}
		if len(placement.ScheduleSorted(now, items, []*placement.Machine{m.Machine}, teams)) > 0 && m.idle {
			needed[m.Name] = true
		}
	}
	return needed
}

// awaitRightToAct waits until the right to act is there, and tells whether it ever is.
// A leader that stood still must not delete machines on which the next one has
// placed tasks meanwhile.
func (l *Loop) awaitRightToAct() bool {
	for l.ended.Err() == nil && !l.env.Valid(l.leadership.Term) {
		l.env.sleep(l.ended, tuning.Tick)
	}
	return l.ended.Err() == nil
}

// scaleIn gives back what is idle, never came up, or fell silent.
func (l *Loop) scaleIn(now time.Time) {
	if l.fleet.deleting {
		return
	}
	var names []string
	var needed map[string]bool // worked out for the first machine that could go
	release := l.silenceUntilReturn()
	for _, m := range l.machines.Machines {
		if m.Returning || len(m.Allocations) > 0 {
			continue
		}
		var why string
		switch {
		case m.LastHeartbeat.IsZero() && m.ListedRunning:
			if now.Sub(m.AddedAt) > workerlease.WithDrift(l.workerLease())+release {
				why = "silent"
			}
		case m.LastHeartbeat.IsZero() && m.Incarnation == 0:
			if now.Sub(m.RentedAt) > l.bootTime(m.Type, tuning.BootGiveUp) && now.Sub(m.AddedAt) > tuning.AdoptWait {
				why = "never came up"
			}
		case !m.Alive():
			if now.Sub(m.LeaseExpiry) > release {
				why = "silent"
			}
		case m.Reachability.Unreachable():
			if now.Sub(m.Reachability.UnreachableSince()) > release {
				why = "deaf"
			}
		case m.HasOrphans():
		case m.Unhealthy:
			why = "faulty"
		case m.Draining:
			why = "surplus"
		case now.Sub(m.IdleSince) > l.env.Tunables.IdleKeep:
			if needed == nil {
				needed = l.idleMachinesNeeded(now)
			}
			if !needed[m.Name] {
				why = "idle"
			}
		}
		if why == "" || len(names) >= wire.MaxDelete {
			continue
		}
		m.Returning = true
		names = append(names, m.Name)
		l.log.Info("returning machine", "machine", m.Name, "why", why)
	}
	l.deleteMachines(names)
}

// silenceUntilReturn is how long machines may be silent after their leases before
// they are returned. Many silent together are cut off, not dead, and are of
// use again once the cut ends; the dead among them the cloud lists as failed.
// After a takeover in a cut 74 machines of the other zone, listed as running,
// were returned as never having come up.
func (l *Loop) silenceUntilReturn() time.Duration {
	silent := 0
	for _, m := range l.machines.Machines {
		if m.Reachability.Unreachable() || !m.Alive() && (m.ListedRunning || m.Incarnation > 0) {
			silent++
		}
	}
	if silent >= tuning.SilentMany && float64(silent) >= tuning.SilentManyShare*float64(len(l.machines.Machines)) {
		return tuning.SilentReturnAfterCut
	}
	return tuning.SilentReturnAfter
}

// deleteMachines deletes one batch at a time: what comes meanwhile waits for
// the next, so that deletions take little of the cloud's rate.
func (l *Loop) deleteMachines(names []string) {
	l.fleet.deleteQueue = append(l.fleet.deleteQueue, names...)
	if l.fleet.deleting || len(l.fleet.deleteQueue) == 0 {
		return
	}
	part := l.fleet.deleteQueue[:min(len(l.fleet.deleteQueue), wire.MaxDelete)]
	l.fleet.deleteQueue = slices.Clone(l.fleet.deleteQueue[len(part):])
	l.fleet.deleting = true
	go func() {
		for l.awaitRightToAct() {
			if err := l.env.Cloud.Delete(l.ended, part); err != nil {
				l.log.Debug("deletion repeated", "err", err)
				l.env.sleep(l.ended, tuning.CloudRetry)
				continue
			}
			l.post(func() {
				l.fleet.deleting = false
				l.markMachinesLost(part)
				l.deleteMachines(nil)
			})
			return
		}
	}()
}

// markMachinesLost takes in that machines are gone with all that was on them.
func (l *Loop) markMachinesLost(names []string) {
	now := l.env.Clock.Now()
	for _, name := range names {
		l.applyOutcomes(l.machines.MarkLost(name, now), now)
	}
}

// listMachines compares the cloud's list with the machines known.
func (l *Loop) listMachines() {
	begun := l.env.Clock.Now()
	listed, err := l.env.Cloud.List(l.ended)
	l.post(func() {
		now := l.env.Clock.Now()
		l.fleet.listing = false
		l.fleet.nextList = now.Add(listPause(now.Sub(begun)))
		if err != nil {
			l.log.Debug("machine list unreadable", "err", err)
			return
		}
		for _, page := range listed {
			l.applyProvenGone(page)
		}
		l.reconcileMachines(listed, now)
	})
}

// listPause is the pause after a reading of the cloud's list that took a time.
func listPause(took time.Duration) time.Duration { return max(tuning.ListEvery, took) }

// applyProvenGone takes in which machines the list proves to be gone, with all that was on them: a quarter of
// those that the cloud takes back go without a word, and their tasks waited for their leases.
func (l *Loop) applyProvenGone(page cloud.ListPage) {
	var gone []string
	for _, name := range l.machines.ProvenGone(page.After, page.Last, page.Machines) {
		if m := l.machines.Machines[name]; !m.Returning { // that one's deletion will tell
			gone = append(gone, name)
		}
	}
	if len(gone) > 0 {
		l.log.Info("machines taken", "machines", gone)
		l.markMachinesLost(gone)
	}
}

func (l *Loop) reconcileMachines(pages []cloud.ListPage, now time.Time) {
	var listed []wire.ListedMachine
	for _, p := range pages {
		listed = append(listed, p.Machines...)
	}
	there := make(map[string]bool, len(listed))
	var failed []string
	for _, lm := range listed {
		there[lm.Name] = true
		if l.machines.WasReturned(lm.Name) {
			continue
		}
		m := l.machines.Machines[lm.Name]
		switch {
		case lm.State == wire.MachineFailed:
			if m == nil || !m.Returning {
				failed = append(failed, lm.Name)
			}
		case m == nil || m.Type == "":
			// Not expected, or inherited from records: it is used or returned like any other.
			l.machines.Register(lm.Name, lm.Type, lm.Zone, lm.Spot, now.Add(-seconds(lm.AgeS)), now)
			if m == nil {
				l.log.Info("machine found", "machine", lm.Name, "state", lm.State)
			}
		}
		if m := l.machines.Machines[lm.Name]; m != nil {
			l.changed = l.changed || !m.Known // it may be used from now on
			m.ListedRunning, m.Known, m.ListedAddress = lm.State == wire.MachineRunning, true, lm.Address
		}
	}
	if len(failed) > 0 {
		l.log.Info("machines failed", "machines", failed)
		// A failed machine has stopped by itself, with all that was on it.
		l.markMachinesLost(failed)
		l.deleteMachines(failed)
	}
	lag := seconds(2*l.env.Settings.Cluster.Cloud.ListLagS) + tuning.ListEvery
	for _, m := range l.machines.Machines {
		if there[m.Name] || m.Alive() || now.Sub(m.AddedAt) < lag {
			m.MissedListings = 0
			continue
		}
		// Its lease ran out, or it never came up, and list after list lacks
		// it: it was taken.
		if m.MissedListings++; m.MissedListings >= tuning.UnlistedLists && len(m.Allocations) == 0 && !m.Returning {
			l.machines.Forget(m.Name)
		}
	}
}
