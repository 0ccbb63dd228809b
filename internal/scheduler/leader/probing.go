package leader

import (
	"cmp"
	"context"
	"errors"
	"math"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/machines"
)

// Reports that arrive prove only that a machine speaks. The leader asks those machines of which it doubts that they hear
// it: whose reports show no effect of its answers, who sent a report that looks older than one before (a copy that
// the network kept, or a machine that was started anew), who were found deaf, and whose reports go to somebody else: a
// controller that is cut off from all but its workers keeps these with answers that bear no command. The question holds
// our token, which the worker keeps, so the member that answers it can see that a leader reaches it, and sends it on.

// probing is what the loop keeps of that.
type probing struct {
	next          time.Time
	limit         *rate.Limiter // questions
	inFlight      int
	mostSuspects  int             // machines that were to be asked at a time, at the most since there were none
	unanswered    map[string]bool // machines that left a command unanswered since any was answered
	lastAnswered  time.Time       // when any was answered last; zero: none yet
	askingPeers   bool            // the other members are being asked
	nextPeerProbe time.Time       // they are not asked before
}

func newProbing() probing {
	return probing{limit: rate.NewLimiter(tuning.ProbeRateMin, tuning.ProbeMin), unanswered: map[string]bool{}}
}

func (w *probing) commandAnswered(now time.Time) {
	w.lastAnswered = now
	clear(w.unanswered)
}

func (w *probing) commandUnanswered(machine string) { w.unanswered[machine] = true }

// rejectHeartbeat counts a report that changes nothing.
func (l *Loop) rejectHeartbeat(rep *wire.Heartbeat, err error) {
	why := "older"
	switch {
	case errors.Is(err, machines.ErrReturned):
		why = "returned"
	case errors.Is(err, machines.ErrContradicts):
		why = "contradicts"
	}
	l.env.observe(func(o Observer) { o.HeartbeatRejected(why) })
	l.log.Debug("report set aside", "machine", rep.Machine, "why", why, "session", rep.Incarnation, "seq", rep.Seq)
}

// unreachable tells whether no command is likely to get to a machine now.
func (l *Loop) unreachable(m *machines.Machine, now time.Time) bool {
	return l.silent(m, now) || m.Reachability.Unreachable()
}

// probeAfter is how long a machine may not have reported before it is asked: the longest pause between reports, and one try of
// another controller.
func (l *Loop) probeAfter() time.Duration {
	return seconds(tuning.HeartbeatLateFactor*l.env.Settings.Cluster.Workers.HeartbeatS) + tuning.WorkerTry
}

// probeRank tells whether there is reason to ask a machine, the more pressing the lower.
func (l *Loop) probeRank(m *machines.Machine, now time.Time) (rank int, ok bool) {
	deaf, heard := m.Reachability.Unreachable(), m.LastHeartbeat
	if heard.Before(l.startedAt) {
		heard = l.startedAt
	}
	switch {
	case m.Reachability.Suspect() && !deaf:
		return 0, true
	case m.SuspectCopy:
		return 1, true
	case m.Incarnation > m.EndedIncarnation && len(m.Allocations) > 0 && now.Sub(heard) > l.probeAfter():
		return 2, true
	case deaf, m.FencingToken > l.leadership.Term:
		return 3, true
	}
	return 0, false
}

// stepProbing asks the machines of which there is doubt, a few at a time.
func (l *Loop) stepProbing(now time.Time) {
	if now.Before(l.probing.next) || !l.env.Valid(l.leadership.Term) {
		return
	}
	l.probing.next = now.Add(tuning.SubsystemTick)
	perS := max(tuning.ProbeRateMin, tuning.ProbeRate*float64(len(l.machines.Machines))/max(1, l.env.Settings.Cluster.Workers.HeartbeatS))
	l.probing.limit.SetLimitAt(now, rate.Limit(perS))
	l.probing.limit.SetBurstAt(now, max(tuning.ProbeMin, int(perS*tuning.SubsystemTick.Seconds())+1))
	type doubt struct {
		m    *machines.Machine
		rank int
	}
	var doubts []doubt
	deaf, unproven := 0, 0
	for _, m := range l.machines.Machines {
		if m.Reachability.Unreachable() {
			deaf++
		}
		if m.Alive() && !m.Reachability.EverAcknowledged() {
			unproven++
		}
		if rank, ok := l.probeRank(m, now); ok && m.Reachability.ProbeDue(now) {
			doubts = append(doubts, doubt{m, rank})
		}
	}
	l.env.observe(func(o Observer) { o.Reachability(deaf, unproven) })
	slices.SortFunc(doubts, func(a, b doubt) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.m.Name, b.m.Name)) })
	// Not by those that are left: the last of them would be asked ever more slowly.
	if l.probing.mostSuspects = max(l.probing.mostSuspects, len(doubts)); len(doubts) == 0 {
		l.probing.mostSuspects = 0
	}
	most := l.probesAtOnce(l.probing.mostSuspects)
	for _, d := range doubts {
		if l.probing.inFlight >= most || !l.probing.limit.AllowN(now, 1) {
			break
		}
		l.probe(d.m, now)
	}
	l.stepDownIfUnheard(now)
}

// probesAtOnce gives how many questions may be on their way when so many machines are to be asked: enough to ask them
// all within ProbeWithinLease of a lease, at one round each SubsystemTick, but no more than ProbeShareMost of the commands.
func (l *Loop) probesAtOnce(doubtful int) int {
	commands := float64(cap(l.env.CommandSlots))
	rounds := max(1, tuning.ProbeWithinLease*l.env.Settings.Cluster.Workers.LeaseS/tuning.SubsystemTick.Seconds())
	needed := int(math.Ceil(float64(doubtful) / rounds))
	return max(tuning.ProbeMin, int(tuning.ProbeShare*commands), min(needed, int(tuning.ProbeShareMost*commands)))
}

// probe asks a machine for its report.
func (l *Loop) probe(m *machines.Machine, now time.Time) {
	addr, req, mark, ok := l.machines.Probe(m, now)
	if !ok {
		return
	}
	m.Reachability.ProbeSent(now)
	l.probing.inFlight++
	name := m.Name
	go func() {
		ctx, cancel := context.WithTimeout(l.ended, tuning.CommandTimeout)
		defer cancel()
		rep, err := l.callWorker(ctx, name, addr, req)
		l.post(func() { l.probeAnswered(name, mark, rep, err) })
	}()
}

// probeAnswered takes in how a question to a machine ended: its report, or why there is none.
func (l *Loop) probeAnswered(name string, mark machines.MessageMark, rep *wire.Heartbeat, err error) {
	l.probing.inFlight--
	m, now := l.machines.Machines[name], l.env.Clock.Now()
	if m == nil {
		return
	}
	m.Reachability.ProbeEnded()
	if err != nil {
		was := m.Reachability.Unreachable()
		m.Reachability.NoteFailed(mark.Sent, now)
		l.probing.commandUnanswered(name)
		if m.Reachability.Unreachable() && !was {
			l.log.Info("machine reports, but does not hear us", "machine", name, "zone", m.Zone, "tasks", len(m.Allocations))
		}
		return
	}
	l.probing.commandAnswered(now)
	switch l.machines.JudgeRestart(m, mark, rep) {
	case machines.Ambiguous:
		m.SuspectCopy = true
		return
	case machines.ProbeAgain:
		l.probe(m, now)
		return
	case machines.DeleteOnly:
		if !m.Returning {
			m.Returning = true
			l.log.Info("returning machine", "machine", name, "why", "started anew with a start on its way")
			l.deleteMachines([]string{name})
		}
		return
	case machines.ProcessRestarted:
		l.log.Info("machine was started anew", "machine", name, "session", rep.Incarnation, "tasks", len(m.Allocations))
		l.applyOutcomes(l.machines.AcceptRestart(m, rep, now), now)
		l.changed = true
		return
	}
	if _, err := l.handleHeartbeat(rep, true); err != nil {
		l.log.Debug("answer to a question not used", "machine", name, "err", err)
	}
	m.SuspectCopy = false // also if a report overtook the answer
}

// stepDownIfUnheard leaves the leadership to another member if no worker answers this one, though their reports come, and
// another member reaches them: then it is this one's own way that is cut.
func (l *Loop) stepDownIfUnheard(now time.Time) {
	w := &l.probing
	met := w.lastAnswered
	if met.Before(l.startedAt) {
		met = l.startedAt
	}
	if l.env.ProbeWorkers == nil || w.askingPeers || now.Before(w.nextPeerProbe) || len(w.unanswered) < tuning.UnheardMachines || now.Sub(met) < tuning.UnheardFor {
		return
	}
	var addrs []string
	for name := range w.unanswered {
		m := l.machines.Machines[name]
		if m == nil {
			delete(w.unanswered, name)
			continue
		}
		// One that is dead reports to nobody, and is no reason.
		if m.Address != "" && now.Sub(m.LastHeartbeat) <= l.maxSilence() && len(addrs) < tuning.UnheardMachines {
			addrs = append(addrs, m.Address)
		}
	}
	if len(addrs) < tuning.UnheardMachines {
		return
	}
	w.askingPeers, w.nextPeerProbe = true, now.Add(tuning.UnheardFor)
	go func() {
		reached := l.env.ProbeWorkers(l.ended, addrs)
		l.post(func() {
			w.askingPeers = false
			if reached && len(w.unanswered) >= tuning.UnheardMachines {
				l.end(ErrUnreachable)
			}
		})
	}()
}
