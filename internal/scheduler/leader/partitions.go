package leader

import (
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/scheduler/machines"
)

// silent reports whether a machine has neither sent a heartbeat nor answered the leader for longer than maxSilence.
// A machine that is not known (nil) is silent.
func (l *Loop) silent(m *machines.Machine, now time.Time) bool {
	return m == nil || now.Sub(m.LastSeen()) > l.maxSilence()
}

// maxSilence is the longest time that may pass between messages of a machine that is connected to the leader.
func (l *Loop) maxSilence() time.Duration {
	return seconds(tuning.SilentHeartbeatIntervals * l.env.Settings.Cluster.Workers.HeartbeatS)
}

// silentOrUnreachable reports whether a command sent to a machine now is unlikely to reach it, because the machine is
// silent or counts as unreachable.
func (l *Loop) silentOrUnreachable(m *machines.Machine, now time.Time) bool {
	return l.silent(m, now) || m.Reachability.Unreachable()
}

// leftCommandUnanswered reports whether a machine has left a command unanswered that was sent after its last
// heartbeat. The machine may hang, be partitioned or be dead, even if it is not silent yet. A task placed on it
// would wait until the machine responds again or is known to be gone.
func leftCommandUnanswered(m *machines.Machine) bool {
	return m.UnansweredCommandAt.After(m.LastHeartbeat)
}

// partitionedZones returns the zones that count as partitioned from the leader. In these zones, the share of machines
// that have lost contact with the leader is at least tuning.PartitionZoneShare, and their number at
// least tuning.PartitionMinMachines. The leader cannot use machines that it rents there.
func (l *Loop) partitionedZones(now time.Time) map[string]bool {
	type count struct{ lost, all int }
	counts := map[string]*count{}
	for _, m := range l.machines.Machines {
		if m.Incarnation == 0 {
			continue // the machine never sent a heartbeat and never had a task
		}
		c := counts[m.Zone]
		if c == nil {
			c = &count{}
			counts[m.Zone] = c
		}
		c.all++
		if l.lostContact(m, now) {
			c.lost++
		}
	}
	partitioned := map[string]bool{}
	for zone, c := range counts {
		if c.lost >= tuning.PartitionMinMachines && float64(c.lost) >= tuning.PartitionZoneShare*float64(c.all) {
			partitioned[zone] = true
		}
	}
	return partitioned
}

// lostContact reports whether a machine is unreachable or silent. For the first maxSilence of a term no machine
// counts as silent, since its worker may still be searching for the new leader.
func (l *Loop) lostContact(m *machines.Machine, now time.Time) bool {
	return m.Reachability.Unreachable() || l.silent(m, now) && now.Sub(l.startedAt) > l.maxSilence()
}
