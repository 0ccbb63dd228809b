package machines

import (
	"time"

	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// HeartbeatResult is what a heartbeat leads to.
type HeartbeatResult struct {
	Machine       *Machine
	Outcomes      []Outcome
	Commands      []wire.Command     // for the reply; none for a direct answer
	Started       []*jobs.Allocation // those that were seen to run for the first time
	RetainedExits []AttemptID        // exited attempts that the worker may not forget yet
	Changed       bool               // something that matters to placement changed, outcomes apart
}

// MayForget reports whether an exited attempt without an allocation may be forgotten by its worker: the stored record no
// longer names it.
type MayForget func(AttemptID) bool

// Heartbeat processes a heartbeat that a worker sent by itself. It renews the lease of its machine, and its reply brings the
// result's commands. The error is ErrReturned, ErrStale or ErrContradicts; such a heartbeat changes nothing but whether its
// machine is to be probed.
func (r *Registry) Heartbeat(hb *wire.Heartbeat, now time.Time, mayForget MayForget) (HeartbeatResult, error) {
	return r.processHeartbeat(hb, false, now, mayForget)
}

// DirectAnswer processes the heartbeat with which a worker answered a direct request. Such an answer carries no commands back
// and renews no lease. It proves nothing of tasks that it lacks, since a reply to a heartbeat may still be on its way to the
// worker. But it is no delayed copy, and proves that the machine is reached. The errors are those of Heartbeat.
func (r *Registry) DirectAnswer(hb *wire.Heartbeat, now time.Time, mayForget MayForget) (HeartbeatResult, error) {
	return r.processHeartbeat(hb, true, now, mayForget)
}

// processHeartbeat processes a heartbeat: first the order of its machine's messages and its incarnation, then the lease and
// the spot notice, then its tasks. direct: it is the answer to a direct request.
func (r *Registry) processHeartbeat(hb *wire.Heartbeat, direct bool, now time.Time, mayForget MayForget) (HeartbeatResult, error) {
	if err := r.admit(hb, direct); err != nil {
		return HeartbeatResult{}, err
	}
	machine := r.ensure(hb.Machine, now)
	wasUsable := machine.Usable(r.term, now)
	rc := reconciliation{
		machine: machine, heartbeat: hb, direct: direct, now: now,
		hasTermToken:      r.hasTermToken(hb),
		newIncarnation:    hb.Incarnation > machine.Incarnation,
		previousHeartbeat: machine.LastHeartbeat,
	}
	rc.result.Machine = machine
	rc.result.Changed = machine.LastHeartbeat.IsZero() || rc.newIncarnation
	if rc.newIncarnation {
		rc.result.Outcomes = r.beginIncarnation(machine, hb, direct, now)
	}
	r.recordAcknowledgment(machine, hb, direct, now)
	machine.recordIdentity(hb, now)
	if machine.recordInterruption(hb, now) {
		rc.result.Changed = true
	}
	if !direct {
		machine.LastHeartbeat = now
		machine.LeaseExpiry = now.Add(r.lease)
	}

	// Not a field of rc: so the map stays on the stack.
	listed := make(map[AttemptID]*wire.TaskStatus, len(hb.Tasks))
	rc.processListed(listed, mayForget)
	rc.dropMissingOrphans(listed)
	rc.processMissingAllocations(listed)
	if !direct {
		r.recordReplyEffect(machine, hb, listed, now)
		rc.result.Commands = rc.commands()
		machine.lastReply = reply{newToken: !rc.hasTermToken, commands: rc.result.Commands}
	}
	rc.result.Changed = rc.result.Changed || !wasUsable && machine.Usable(r.term, now)
	return rc.result, nil
}

// admit decides whether a heartbeat is news of a machine that exists, before it changes anything. One that is refused may have
// the machine probed.
func (r *Registry) admit(hb *wire.Heartbeat, direct bool) error {
	if r.WasReturned(hb.Machine) {
		return ErrReturned
	}
	m := r.Machines[hb.Machine]
	if m == nil {
		if direct {
			return ErrStale
		}
		return nil
	}
	// An incarnation whose lease expired is over, whatever a late heartbeat says.
	ended := hb.Incarnation <= m.EndedIncarnation
	if m.outOfOrder(hb) || !direct && r.mayPredateRestart(m, hb) || ended {
		m.SuspectCopy = true
		return ErrStale
	}
	if m.contradicts(hb) {
		m.SuspectCopy = m.SuspectCopy || !direct
		return ErrContradicts
	}
	return nil
}

// outOfOrder reports whether a message is no newer than one that is known of its machine. Direct answers tell the order as
// well, also of a machine from which no heartbeat has come in this term.
func (m *Machine) outOfOrder(hb *wire.Heartbeat) bool {
	anyMessageKnown := m.seq > 0 || !m.LastHeartbeat.IsZero()
	return hb.Incarnation < m.Incarnation || anyMessageKnown && !hb.Newer(m.Incarnation, m.seq)
}

// mayPredateRestart reports whether a heartbeat that looks newer may be a delayed copy from before or after a restart of the
// machine's worker process. Then the machine itself is to tell, as the answer to a probe.
func (r *Registry) mayPredateRestart(m *Machine, hb *wire.Heartbeat) bool {
	newIncarnation := hb.Incarnation > m.Incarnation
	switch {
	case hb.FencingToken < m.FencingToken: // a worker process keeps the highest token that it has seen
		return true
	case newIncarnation && !hb.Newer(m.lastBeforeRestart.Incarnation, m.lastBeforeRestart.Seq):
		// A copy from before a known restart looks newer than all messages since.
		return true
	}
	// What is recorded there would count as gone, by an incarnation that may be from before a restart of which this leader
	// never knew. Not if the machine has acknowledged a message of this term.
	return newIncarnation && len(m.Allocations) > 0 && !r.hasTermToken(hb) && !m.Reachability.EverAcknowledged()
}

// hasTermToken reports whether a worker had seen the term's token when it sent a heartbeat. Only a message of this term can have
// brought it, and from then on the worker refuses what leaders of older terms sent directly.
func (r *Registry) hasTermToken(hb *wire.Heartbeat) bool { return hb.FencingToken >= r.term }

// contradicts reports whether a heartbeat says of its machine what cannot change while it exists.
func (m *Machine) contradicts(hb *wire.Heartbeat) bool {
	return m.Address != "" && (m.Address != hb.Address || m.Type != hb.Type || m.Zone != hb.Zone || m.Spot != hb.Spot)
}

// beginIncarnation records the first message of a new incarnation, and ends the ones before. The lease counts from the begin
// of the incarnation, which may be this moment. When a direct answer told of a new incarnation, the end of the former one's
// lease once counted for it: tasks that had just been started there were started elsewhere.
func (r *Registry) beginIncarnation(m *Machine, hb *wire.Heartbeat, direct bool, now time.Time) []Outcome {
	// Its worker's lease expired though its heartbeats were answered: the replies did not arrive.
	if !direct && now.Sub(m.LastHeartbeat) < r.lease/2 {
		m.Reachability.NoteMissed(now)
	}
	m.Incarnation, m.lastReply = hb.Incarnation, reply{}
	m.LeaseExpiry = now.Add(r.lease)
	return m.endIncarnations(hb.Incarnation-1, nil)
}

// recordAcknowledgment records that a message of this term reached the machine, if a heartbeat proves it: it is the answer to a
// direct request, or the first one that bears the term's token. Only a direct answer ends the suspicion of a copy.
func (r *Registry) recordAcknowledgment(m *Machine, hb *wire.Heartbeat, direct bool, now time.Time) {
	if direct || r.hasTermToken(hb) && !m.Reachability.EverAcknowledged() {
		m.Reachability.Acknowledged(now)
		m.SuspectCopy, m.probeIncarnation = m.SuspectCopy && !direct, 0
	}
}

// recordIdentity records what a heartbeat says of its machine and where it stands in the order of messages.
func (m *Machine) recordIdentity(hb *wire.Heartbeat, now time.Time) {
	m.seq, m.FencingToken = hb.Seq, hb.FencingToken
	m.Address, m.Type, m.Zone, m.Spot = hb.Address, hb.Type, hb.Zone, hb.Spot
	if m.LastHeartbeat.IsZero() && len(m.Allocations) == 0 {
		m.IdleSince = now
	}
	m.MissedListings = 0
}

// recordInterruption records a heartbeat's spot notice, or that it has none, and reports whether there is a new one. The first
// heartbeat that a new leader sees may be a copy, whose notice is as old as the copy is. So until the machine has
// acknowledged a message of this term a notice counts for the time being, and the lack of one clears nothing.
func (m *Machine) recordInterruption(hb *wire.Heartbeat, now time.Time) bool {
	acknowledged := m.Reachability.EverAcknowledged()
	if acknowledged && m.provisionalNotice {
		m.InterruptionAt, m.provisionalNotice = time.Time{}, false
	}
	if hb.NoticeS == nil {
		if acknowledged {
			m.InterruptionAt = time.Time{}
		}
		return false
	}
	if !m.InterruptionAt.IsZero() {
		return false
	}
	m.InterruptionAt = now.Add(time.Duration(max(0, *hb.NoticeS) * float64(time.Second)))
	m.provisionalNotice = !acknowledged
	return true
}

// recordReplyEffect records what a heartbeat shows of the reply to the one before.
func (r *Registry) recordReplyEffect(m *Machine, hb *wire.Heartbeat, listed map[AttemptID]*wire.TaskStatus, now time.Time) {
	switch acknowledged, missed := m.lastReply.effect(hb, listed, r.term); {
	case acknowledged:
		m.Reachability.Acknowledged(now)
	case missed:
		m.Reachability.NoteMissed(now)
	}
}
