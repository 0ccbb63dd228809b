package leader

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"poppypass/internal/platform/fencingtoken"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/machines"
)

// A heartbeat that arrives proves only that messages from the machine reach the leader, not that the leader's
// messages reach the machine. The leader probes the machines that may not receive its messages:
//   - machines whose heartbeats show no effect of the leader's replies;
//   - machines that sent a heartbeat that looks older than one received before: either the network delayed a copy
//     of it, or the worker process was restarted;
//   - machines that were found unreachable;
//   - machines whose heartbeats may go to another controller. A controller that is partitioned from everything but
//     its workers renews their leases with replies that contain no commands.
//
// A probe carries the leader's fencing token, which the worker stores. The controller that answers the worker's
// heartbeats can therefore see that a leader reaches the worker, and redirects the worker to that leader.

// probing is the loop's state of probes in flight and of answered and unanswered commands.
type probing struct {
	next           time.Time     // when suspects are next looked for and probed
	limiter        *rate.Limiter // limits the rate of probes
	probesInFlight int           // number of probes in flight
	peakSuspects   int           // largest number of suspects since the number was last 0

	unanswered     map[string]bool // machines that left a command or probe unanswered since any machine last answered one
	lastAnsweredAt time.Time       // when any machine last answered a command or probe; zero: never in this term
	askingPeers    bool            // the other members are being asked whether they get answers from the machines in unanswered
	nextPeerProbe  time.Time       // the other members are not asked before this time
}

func newProbing() probing {
	return probing{limiter: rate.NewLimiter(tuning.ProbesPerSecondMin, tuning.ProbesInFlightMin), unanswered: map[string]bool{}}
}

// commandAnswered records that a machine answered a command or probe.
func (p *probing) commandAnswered(now time.Time) {
	p.lastAnsweredAt = now
	clear(p.unanswered)
}

// commandUnanswered records that a machine left a command or probe unanswered.
func (p *probing) commandUnanswered(machine string) { p.unanswered[machine] = true }

// setRate sets the limit on the rate of probes. machineCount machines send a heartbeat every heartbeatS seconds each. The
// limit is proportional to the number of heartbeats per second from all of them, but at least tuning.ProbesPerSecondMin.
func (p *probing) setRate(machineCount int, heartbeatS float64, now time.Time) {
	perS := max(tuning.ProbesPerSecondMin, tuning.ProbesPerHeartbeat*float64(machineCount)/max(1, heartbeatS))
	p.limiter.SetLimitAt(now, rate.Limit(perS))
	p.limiter.SetBurstAt(now, max(tuning.ProbesInFlightMin, int(perS*tuning.SubsystemTick.Seconds())+1))
}

// notePeakSuspects records the current number of suspects and returns the largest number since it was last 0. The
// limit on probes in flight follows from this peak and not from the current number. Otherwise the limit would fall as
// suspects are cleared, and the last suspects would be probed more and more slowly.
func (p *probing) notePeakSuspects(n int) int {
	if p.peakSuspects = max(p.peakSuspects, n); n == 0 {
		p.peakSuspects = 0
	}
	return p.peakSuspects
}

// suspect is a machine that is to be probed. Suspects of a lower rank are probed first.
type suspect struct {
	m    *machines.Machine
	rank int
}

// stepProbing probes the suspects, as many as the limits on probes in flight and on their rate allow.
func (l *Loop) stepProbing(now time.Time) {
	if now.Before(l.probing.next) || !l.env.MayAct(l.leadership.Term) {
		return
	}
	l.probing.next = now.Add(tuning.SubsystemTick)
	l.probing.setRate(len(l.machines.Machines), l.env.Settings.Cluster.Workers.HeartbeatS, now)
	use := l.machines.TokenUse()
	l.env.observe(func(o Observer) { o.TokenUse(use.Raises, use.RetainedBytes, use.LargestRetainedBytes) })
	suspects := l.suspects(now)
	maxInFlight := l.maxProbesInFlight(l.probing.notePeakSuspects(len(suspects)))
	for _, s := range suspects {
		if l.probing.probesInFlight >= maxInFlight || !l.probing.limiter.AllowN(now, 1) {
			break
		}
		l.probe(s.m, now)
	}
	l.stepDownIfUnreachable(now)
}

// probeSuspect probes a machine at once if a message of it looked like a delayed copy, as far as the limits on probes
// allow. If its worker process was restarted, the probe brings the new process a token by which it refuses late copies of
// starts.
func (l *Loop) probeSuspect(m *machines.Machine, now time.Time) {
	if m == nil || !m.SuspectCopy || !m.Reachability.ProbeDue(now) || !l.env.MayAct(l.leadership.Term) {
		return
	}
	mayProbe := l.probing.probesInFlight < l.maxProbesInFlight(l.probing.peakSuspects)
	if mayProbe && l.probing.limiter.AllowN(now, 1) {
		l.probe(m, now)
	}
}

// suspects returns the machines that are to be probed now, ordered by rank. It also reports to the observer how
// many machines are unreachable and how many live machines have not acknowledged any message.
func (l *Loop) suspects(now time.Time) []suspect {
	var suspects []suspect
	unreachable, unacknowledged := 0, 0
	for _, m := range l.machines.Machines {
		if m.Reachability.Unreachable() {
			unreachable++
		}
		if m.Alive() && !m.Reachability.EverAcknowledged() {
			unacknowledged++
		}
		if rank, ok := l.probeRank(m, now); ok && m.Reachability.ProbeDue(now) {
			suspects = append(suspects, suspect{m, rank})
		}
	}
	l.env.observe(func(o Observer) { o.Reachability(unreachable, unacknowledged) })
	slices.SortFunc(suspects, func(a, b suspect) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.m.Name, b.m.Name)) })
	return suspects
}

// probeRank reports whether there is a reason to probe a machine, and the rank of that reason. Lower ranks are
// probed first.
func (l *Loop) probeRank(m *machines.Machine, now time.Time) (rank int, ok bool) {
	unreachable := m.Reachability.Unreachable()
	switch {
	case m.Reachability.Suspect() && !unreachable:
		return 0, true
	case m.SuspectCopy:
		return 1, true
	case l.heartbeatsMayGoElsewhere(m, now):
		return 2, true
	case unreachable, m.FencingToken > fencingtoken.Last(l.leadership.Term):
		return 3, true
	}
	return 0, false
}

// heartbeatsMayGoElsewhere reports whether a live machine with tasks has sent the leader no heartbeat for longer than
// probeAfter. Its worker may be sending its heartbeats to another controller.
func (l *Loop) heartbeatsMayGoElsewhere(m *machines.Machine, now time.Time) bool {
	lastHeard := m.LastHeartbeat
	if lastHeard.Before(l.startedAt) {
		lastHeard = l.startedAt
	}
	return m.Incarnation > m.EndedIncarnation && len(m.Allocations) > 0 && now.Sub(lastHeard) > l.probeAfter()
}

// probeAfter is how long a machine may send no heartbeat before it is probed: the longest pause between heartbeats,
// plus one attempt of its worker to reach another controller.
func (l *Loop) probeAfter() time.Duration {
	return seconds(tuning.HeartbeatLateFactor*l.env.Settings.Cluster.Workers.HeartbeatS) + tuning.WorkerTryTime
}

// maxProbesInFlight returns how many probes may be in flight for a number of suspects. If that many probes are sent every
// tuning.SubsystemTick, all suspects are probed within the share tuning.ProbeAllLeaseShare of the duration of a worker's
// lease. If this takes more than the share tuning.ProbeCommandShareMax of the command slots, the result is limited to
// that share. It is at least tuning.ProbesInFlightMin, and at least the share tuning.ProbeCommandShare of the command
// slots.
func (l *Loop) maxProbesInFlight(suspectCount int) int {
	commandSlots := float64(cap(l.env.CommandSlots))
	ticks := max(1, tuning.ProbeAllLeaseShare*l.env.Settings.Cluster.Workers.LeaseS/tuning.SubsystemTick.Seconds())
	perTick := int(math.Ceil(float64(suspectCount) / ticks))
	return max(tuning.ProbesInFlightMin, int(tuning.ProbeCommandShare*commandSlots), min(perTick, int(tuning.ProbeCommandShareMax*commandSlots)))
}

// probe asks a machine for a heartbeat, without blocking the loop.
func (l *Loop) probe(m *machines.Machine, now time.Time) {
	addr, req, mark, err := l.machines.ProbeRequest(m, now)
	if err != nil {
		return // the machine has no known address or incarnation, or is being returned
	}
	m.Reachability.ProbeSent(now)
	l.probing.probesInFlight++
	name := m.Name
	go func() {
		ctx, cancel := context.WithTimeout(l.termCtx, tuning.CommandTimeout)
		defer cancel()
		hb, err := l.callWorker(ctx, name, addr, req)
		l.post(func() { l.probeAnswered(name, mark, hb, err) })
	}()
}

// probeAnswered applies the result of a probe: the heartbeat with which the machine answered, or an error. mark is
// the newest message of the machine that was known when the probe was sent.
func (l *Loop) probeAnswered(name string, mark machines.MessageMark, hb *wire.Heartbeat, err error) {
	l.probing.probesInFlight--
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
	case machines.ProcessRestarted:
		l.acceptRestart(m, hb, now)
	default:
		if err := l.handleDirectAnswer(hb); err != nil {
			l.log.Debug("heartbeat in the answer to a probe rejected; ignoring it", "machine", name, "err", err)
		}
		// The answer proves that the process was not restarted, even if it is rejected because a newer heartbeat arrived
		// before it.
		m.SuspectCopy = false
	}
}

// probeFailed records that a machine did not answer a probe.
func (l *Loop) probeFailed(m *machines.Machine, mark machines.MessageMark, now time.Time) {
	wasUnreachable := m.Reachability.Unreachable()
	m.Reachability.NoteUnanswered(mark.SentAt, now)
	l.probing.commandUnanswered(m.Name)
	if m.Reachability.Unreachable() && !wasUnreachable {
		l.log.Info("machine unreachable: heartbeats arrive but it answers no commands; placing no tasks there", "machine", m.Name, "zone", m.Zone, "tasks", len(m.Allocations))
	}
}

// acceptRestart ends the attempts that ran on a machine before its worker process was restarted.
func (l *Loop) acceptRestart(m *machines.Machine, hb *wire.Heartbeat, now time.Time) {
	l.log.Info("worker process restarted; ending the attempts that it does not list", "machine", m.Name, "incarnation", hb.Incarnation, "tasks", len(m.Allocations))
	l.applyOutcomes(l.machines.AcceptRestart(m, hb, now), now)
	l.cycle.wake()
}
