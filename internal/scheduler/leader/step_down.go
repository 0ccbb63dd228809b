package leader

import (
	"time"

	"poppypass/internal/platform/tuning"
)

// stepDownIfUnheard leaves the leadership to another member if no worker answers this one, though their heartbeats arrive, and
// another member reaches them: then it is this one's own way that is cut.
func (l *Loop) stepDownIfUnheard(now time.Time) {
	p := &l.probing
	if l.env.ProbeWorkers == nil || p.askingPeers || now.Before(p.nextPeerProbe) || !l.mayBeUnheard(now) {
		return
	}
	addrs := l.unansweredAddresses(now)
	if len(addrs) < tuning.UnheardMachines {
		return
	}
	p.askingPeers, p.nextPeerProbe = true, now.Add(tuning.UnheardFor)
	go func() {
		reached := l.env.ProbeWorkers(l.ended, addrs)
		l.post(func() {
			p.askingPeers = false
			if reached && len(p.unanswered) >= tuning.UnheardMachines {
				l.end(ErrUnreachable)
			}
		})
	}()
}

// mayBeUnheard reports whether several machines left commands unanswered, and none has answered one for some time.
func (l *Loop) mayBeUnheard(now time.Time) bool {
	answered := l.probing.lastAnswered
	if answered.Before(l.startedAt) {
		answered = l.startedAt
	}
	return len(l.probing.unanswered) >= tuning.UnheardMachines && now.Sub(answered) >= tuning.UnheardFor
}

// unansweredAddresses are the addresses of machines that left commands unanswered, as many as the other members are asked about.
// A machine that is dead sends heartbeats to nobody, and is no reason.
func (l *Loop) unansweredAddresses(now time.Time) []string {
	var addrs []string
	for name := range l.probing.unanswered {
		m := l.machines.Machines[name]
		if m == nil {
			delete(l.probing.unanswered, name)
			continue
		}
		if m.Address != "" && now.Sub(m.LastHeartbeat) <= l.maxSilence() && len(addrs) < tuning.UnheardMachines {
			addrs = append(addrs, m.Address)
		}
	}
	return addrs
}
