package leader

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/machines"
)

// Heartbeats that arrive prove only one direction of the way to a machine. The leader probes those machines of which it doubts that they hear
// it: whose heartbeats show no effect of its answers, that sent a heartbeat that looks older than one before (a copy that
// the network kept, or a machine that was restarted), that were found unreachable, and whose heartbeats go to somebody else: a
// controller that is partitioned from all but its workers keeps these with answers that bear no command. The probe holds
// our fencing token, which the worker keeps, so the member that answers it can see that a leader reaches it, and sends it on.

// probing is what the loop keeps of probes, and of how commands are answered.
type probing struct {
	next         time.Time
	limit        *rate.Limiter // of probes
	inFlight     int           // probes
	mostSuspects int           // machines that were to be probed at a time, at the most since there were none

	unanswered    map[string]bool // machines that left a command unanswered since any was answered
	lastAnswered  time.Time       // when any was answered last; zero: none yet
	askingPeers   bool            // the other members are being asked
	nextPeerProbe time.Time       // they are not asked before
}

func newProbing() probing {
	return probing{limit: rate.NewLimiter(tuning.ProbeRateMin, tuning.ProbeMin), unanswered: map[string]bool{}}
}

// commandAnswered tells that a machine answered a command or probe.
func (p *probing) commandAnswered(now time.Time) {
	p.lastAnswered = now
	clear(p.unanswered)
}

// commandUnanswered tells that a machine left a command or probe unanswered.
func (p *probing) commandUnanswered(machine string) { p.unanswered[machine] = true }

// setRate allows probes in proportion to the heartbeats of so many machines.
func (p *probing) setRate(machines int, heartbeatS float64, now time.Time) {
	perS := max(tuning.ProbeRateMin, tuning.ProbeRate*float64(machines)/max(1, heartbeatS))
	p.limit.SetLimitAt(now, rate.Limit(perS))
	p.limit.SetBurstAt(now, max(tuning.ProbeMin, int(perS*tuning.SubsystemTick.Seconds())+1))
}

// noteSuspects counts the machines that are to be probed, and gives the number for which probes in flight are allowed. That is not the
// number of those that are left: the last of them would be probed ever more slowly.
func (p *probing) noteSuspects(n int) int {
	if p.mostSuspects = max(p.mostSuspects, n); n == 0 {
		p.mostSuspects = 0
	}
	return p.mostSuspects
}

// suspect is a machine that is to be probed, the more pressing the lower its rank.
type suspect struct {
	m    *machines.Machine
	rank int
}

// stepProbing probes the suspect machines, a few at a time.
func (l *Loop) stepProbing(now time.Time) {
	if now.Before(l.probing.next) || !l.env.Valid(l.leadership.Term) {
		return
	}
	l.probing.next = now.Add(tuning.SubsystemTick)
	l.probing.setRate(len(l.machines.Machines), l.env.Settings.Cluster.Workers.HeartbeatS, now)
	suspects := l.suspects(now)
	most := l.probesAtOnce(l.probing.noteSuspects(len(suspects)))
	for _, s := range suspects {
		if l.probing.inFlight >= most || !l.probing.limit.AllowN(now, 1) {
			break
		}
		l.probe(s.m, now)
	}
	l.stepDownIfUnheard(now)
}

// suspects are the machines that are to be probed, the most pressing first. The observer is told of the reachability of all.
func (l *Loop) suspects(now time.Time) []suspect {
	var suspects []suspect
	unreachable, unproven := 0, 0
	for _, m := range l.machines.Machines {
		if m.Reachability.Unreachable() {
			unreachable++
		}
		if m.Alive() && !m.Reachability.EverAcknowledged() {
			unproven++
		}
		if rank, ok := l.probeRank(m, now); ok && m.Reachability.ProbeDue(now) {
			suspects = append(suspects, suspect{m, rank})
		}
	}
	l.env.observe(func(o Observer) { o.Reachability(unreachable, unproven) })
	slices.SortFunc(suspects, func(a, b suspect) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.m.Name, b.m.Name)) })
	return suspects
}

// probeRank tells whether there is reason to probe a machine, the more pressing the lower the rank.
func (l *Loop) probeRank(m *machines.Machine, now time.Time) (rank int, ok bool) {
	unreachable := m.Reachability.Unreachable()
	switch {
	case m.Reachability.Suspect() && !unreachable:
		return 0, true
	case m.SuspectCopy:
		return 1, true
	case l.heartbeatsMayGoElsewhere(m, now):
		return 2, true
	case unreachable, m.FencingToken > l.leadership.Term:
		return 3, true
	}
	return 0, false
}

// heartbeatsMayGoElsewhere reports whether a live machine with tasks has sent us no heartbeat for longer than its pauses explain.
func (l *Loop) heartbeatsMayGoElsewhere(m *machines.Machine, now time.Time) bool {
	heard := m.LastHeartbeat
	if heard.Before(l.startedAt) {
		heard = l.startedAt
	}
	return m.Incarnation > m.EndedIncarnation && len(m.Allocations) > 0 && now.Sub(heard) > l.probeAfter()
}

// probeAfter is for how long a machine may send no heartbeat before it is probed: the longest pause between heartbeats, and one try of
// another controller.
func (l *Loop) probeAfter() time.Duration {
	return seconds(tuning.HeartbeatLateFactor*l.env.Settings.Cluster.Workers.HeartbeatS) + tuning.WorkerTry
}

// probesAtOnce gives how many probes may be in flight when so many machines are to be probed: enough to probe them
// all within ProbeWithinLease of a lease, at one round each SubsystemTick, but no more than ProbeShareMost of the commands.
func (l *Loop) probesAtOnce(suspects int) int {
	commands := float64(cap(l.env.CommandSlots))
	rounds := max(1, tuning.ProbeWithinLease*l.env.Settings.Cluster.Workers.LeaseS/tuning.SubsystemTick.Seconds())
	needed := int(math.Ceil(float64(suspects) / rounds))
	return max(tuning.ProbeMin, int(tuning.ProbeShare*commands), min(needed, int(tuning.ProbeShareMost*commands)))
}

// probe asks a machine for a heartbeat.
func (l *Loop) probe(m *machines.Machine, now time.Time) {
	addr, req, mark, err := l.machines.Probe(m, now)
	if err != nil {
		return // nobody can be asked
	}
	m.Reachability.ProbeSent(now)
	l.probing.inFlight++
	name := m.Name
	go func() {
		ctx, cancel := context.WithTimeout(l.ended, tuning.CommandTimeout)
		defer cancel()
		hb, err := l.callWorker(ctx, name, addr, req)
		l.post(func() { l.probeAnswered(name, mark, hb, err) })
	}()
}

// probeAnswered draws the conclusions of a probe, which was answered by a heartbeat or failed.
func (l *Loop) probeAnswered(name string, mark machines.MessageMark, hb *wire.Heartbeat, err error) {
	l.probing.inFlight--
	m, now := l.machines.Machines[name], l.env.Clock.Now()
	if m == nil {
		return
	}
	m.Reachability.ProbeEnded()
	if err != nil {
		l.probeFailed(m, mark, now)
		return
	}
	l.probing.commandAnswered(now)
	switch l.machines.JudgeRestart(m, mark, hb) {
	case machines.Ambiguous:
		m.SuspectCopy = true
	case machines.ProbeAgain:
		l.probe(m, now)
	case machines.DeleteOnly:
		l.deleteRestarted(m)
	case machines.ProcessRestarted:
		l.acceptRestart(m, hb, now)
	default:
		if err := l.handleDirectAnswer(hb); err != nil {
			l.log.Debug("answer to a probe rejected", "machine", name, "err", err)
		}
		m.SuspectCopy = false // also if a heartbeat overtook the answer
	}
}

// probeFailed notes that a machine did not answer a probe.
func (l *Loop) probeFailed(m *machines.Machine, mark machines.MessageMark, now time.Time) {
	wasUnreachable := m.Reachability.Unreachable()
	m.Reachability.NoteFailed(mark.Sent, now)
	l.probing.commandUnanswered(m.Name)
	if m.Reachability.Unreachable() && !wasUnreachable {
		l.log.Info("machine reports, but does not hear us", "machine", m.Name, "zone", m.Zone, "tasks", len(m.Allocations))
	}
}

// deleteRestarted returns a machine that was restarted while a start may still get to it: nothing else proves that its tasks are gone.
func (l *Loop) deleteRestarted(m *machines.Machine) {
	if m.Returning {
		return
	}
	m.Returning = true
	l.log.Info("returning machine", "machine", m.Name, "reason", "restarted with a start in flight")
	l.deleteMachines([]string{m.Name})
}

// acceptRestart ends what ran on a machine before it was restarted.
func (l *Loop) acceptRestart(m *machines.Machine, hb *wire.Heartbeat, now time.Time) {
	l.log.Info("machine was restarted", "machine", m.Name, "incarnation", hb.Incarnation, "tasks", len(m.Allocations))
	l.applyOutcomes(l.machines.AcceptRestart(m, hb, now), now)
	l.cycle.wake()
}
