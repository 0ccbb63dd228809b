package leader

import (
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/scheduler/machines"
)

// silent reports whether a machine, nil if it is not known, has neither sent a heartbeat nor answered us for a while.
func (l *Loop) silent(m *machines.Machine, now time.Time) bool {
	return m == nil || now.Sub(m.LastSeen()) > l.maxSilence()
}

// maxSilence is for how long a machine that can be reached is silent at the most.
func (l *Loop) maxSilence() time.Duration {
	return seconds(tuning.SilentHeartbeats * l.env.Settings.Cluster.Workers.HeartbeatS)
}

// unreachable reports whether no command is likely to get to a machine now.
func (l *Loop) unreachable(m *machines.Machine, now time.Time) bool {
	return l.silent(m, now) || m.Reachability.Unreachable()
}

// leftCommandUnanswered reports whether a machine that still counts as heard did not answer a command since:
// it may hang, or be partitioned, or dead, and what is placed on it would wait for that to end.
func leftCommandUnanswered(m *machines.Machine) bool { return m.UnansweredAt.After(m.LastHeartbeat) }

// partitionedZones are the zones most of whose machines fell silent together: they are partitioned
// from us, and what is rented there is of no use for now.
func (l *Loop) partitionedZones(now time.Time) map[string]bool {
	type count struct{ silent, all int }
	zones := map[string]*count{}
	for _, m := range l.machines.Machines {
		if m.Incarnation == 0 {
			continue // it never sent a heartbeat, nor had it a task
		}
		c := zones[m.Zone]
		if c == nil {
			c = &count{}
			zones[m.Zone] = c
		}
		c.all++
		if l.lostContact(m, now) {
			c.silent++
		}
	}
	partitioned := map[string]bool{}
	for zone, c := range zones {
		if c.silent >= tuning.SilentMany && float64(c.silent) >= tuning.CutShare*float64(c.all) {
			partitioned[zone] = true
		}
	}
	return partitioned
}

// lostContact reports whether a machine is unreachable, or silent. One that a new leader has not heard yet may only be on its way to it.
func (l *Loop) lostContact(m *machines.Machine, now time.Time) bool {
	return m.Reachability.Unreachable() || l.silent(m, now) && now.Sub(l.startedAt) > l.maxSilence()
}
