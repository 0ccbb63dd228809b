package leader

import (
	"time"

	"poppypass/internal/platform/tuning"
)

// stepDownIfUnreachable gives up the leadership if no worker answers this member, although workers' heartbeats arrive and
// another member reaches workers. In that case this member's own connection is cut.
func (l *Loop) stepDownIfUnreachable(now time.Time) {
	probes := &l.probing
	if l.env.ProbeWorkers == nil || probes.askingPeers || now.Before(probes.nextPeerProbe) || !l.mayBeUnreachable(now) {
		return
	}
	addrs := l.unresponsiveAddresses(now)
	if len(addrs) < tuning.UnansweredMachinesMin {
		return
	}
	probes.askingPeers, probes.nextPeerProbe = true, now.Add(tuning.UnansweredFor)
	go func() {
		reached := l.env.ProbeWorkers(l.termCtx, addrs)
		l.post(func() {
			probes.askingPeers = false
			if reached && len(probes.unanswered) >= tuning.UnansweredMachinesMin {
				l.endTerm(ErrUnreachable)
			}
		})
	}()
}

// mayBeUnreachable reports whether at least tuning.UnansweredMachinesMin machines have left commands unanswered, and no
// machine has answered any command for tuning.UnansweredFor.
func (l *Loop) mayBeUnreachable(now time.Time) bool {
	answered := l.probing.lastAnsweredAt
	if answered.Before(l.startedAt) {
		answered = l.startedAt
	}
	return len(l.probing.unanswered) >= tuning.UnansweredMachinesMin && now.Sub(answered) >= tuning.UnansweredFor
}

// unresponsiveAddresses returns the addresses of machines that left commands unanswered, so that the other members can
// probe these machines. It returns at most tuning.UnansweredMachinesMin addresses. Machines without recent heartbeats are
// left out: they may be dead, which is no reason to step down.
func (l *Loop) unresponsiveAddresses(now time.Time) []string {
	var addrs []string
	for name := range l.probing.unanswered {
		m := l.machines.Machines[name]
		if m == nil {
			delete(l.probing.unanswered, name)
			continue
		}
		if m.Address != "" && now.Sub(m.LastHeartbeat) <= l.maxSilence() && len(addrs) < tuning.UnansweredMachinesMin {
			addrs = append(addrs, m.Address)
		}
	}
	return addrs
}
