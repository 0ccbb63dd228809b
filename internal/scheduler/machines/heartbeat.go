package machines

import (
	"time"

	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// HeartbeatResult is the result of processing a heartbeat.
type HeartbeatResult struct {
	Machine       *Machine
	Outcomes      []Outcome
	FencingToken  uint64             // for the reply
	Commands      []wire.Command     // for the reply; empty for a direct answer
	Started       []*jobs.Allocation // allocations whose tasks are reported running for the first time
	RetainedExits []AttemptID        // exited attempts that have no allocation and that the worker may not forget yet
	Changed       bool               // something besides the outcomes changed that matters to placement
}

// MayForget reports whether a worker may forget an exited attempt that has no allocation: the stored record no longer
// names the attempt.
type MayForget func(AttemptID) bool

// Heartbeat processes a heartbeat that a worker sent on its own initiative. It renews the lease of the machine, and
// the reply carries the result's commands. The error is ErrReturned, ErrStale or ErrContradicts. A heartbeat that is
// rejected with an error changes nothing, except that its machine may be probed because of it.
func (r *Registry) Heartbeat(hb *wire.Heartbeat, now time.Time, mayForget MayForget) (HeartbeatResult, error) {
	return r.processHeartbeat(hb, false, now, mayForget)
}

// DirectAnswer processes the heartbeat with which a worker answered a direct request. Such an answer renews no lease,
// and no commands can be sent in reply to it. It proves nothing about a task that it does not list: the reply to an
// ordinary heartbeat may still be on its way to the worker and contain a start of that task. But a direct answer is not
// a delayed copy, and it proves that requests reach the machine. The errors are those of Heartbeat.
func (r *Registry) DirectAnswer(hb *wire.Heartbeat, now time.Time, mayForget MayForget) (HeartbeatResult, error) {
	return r.processHeartbeat(hb, true, now, mayForget)
}

// processHeartbeat processes a heartbeat. It first checks the order of the machine's messages and the incarnation,
// then updates the spot notice and the lease, then reconciles the tasks. direct means that the heartbeat is the
// answer to a direct request.
func (r *Registry) processHeartbeat(hb *wire.Heartbeat, direct bool, now time.Time, mayForget MayForget) (HeartbeatResult, error) {
	if err := r.admit(hb, direct); err != nil {
		return HeartbeatResult{}, err
	}
	machine := r.ensure(hb.Machine, now)
	wasUsable := machine.Usable(r.term, now)
	rc := reconciliation{
		machine: machine, hb: hb, direct: direct, now: now,
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

	// The map is not a field of rc, so that it is not allocated on the heap.
	listed := make(map[AttemptID]*wire.TaskStatus, len(hb.Tasks))
	rc.processListed(listed, mayForget)
	rc.dropMissingOrphans(listed)
	rc.processMissingAllocations(listed)
	if !direct {
		r.recordReplyEffect(machine, hb, listed, now)
		r.forgetRetained(&rc)
		rc.result.Commands = rc.commands()
		machine.lastReply = reply{token: machine.tokens.current, newToken: machine.tokens.current > hb.FencingToken, commands: rc.result.Commands}
	}
	rc.result.FencingToken = machine.tokens.current
	rc.result.Changed = rc.result.Changed || !wasUsable && machine.Usable(r.term, now)
	return rc.result, nil
}

// admit decides whether to accept a heartbeat, before it changes anything. The heartbeat must be new and of a machine
// that still exists, and must not contradict what is known of the machine. If admit rejects the heartbeat, it may mark
// the machine as to be probed (SuspectCopy).
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
	// An incarnation whose lease has expired is over, even if a late heartbeat of it arrives.
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

// outOfOrder reports whether a message is no newer than the newest known message of its machine. Direct answers count
// as known messages too, even if the machine has sent no heartbeat in this term.
func (m *Machine) outOfOrder(hb *wire.Heartbeat) bool {
	anyMessageKnown := m.seq > 0 || !m.LastHeartbeat.IsZero()
	return hb.Incarnation < m.Incarnation || anyMessageKnown && !hb.Newer(m.Incarnation, m.seq)
}

// mayPredateRestart reports whether a heartbeat that looks newer may be a delayed copy from before a restart of the
// machine's worker process, or the first heartbeat after a restart. Its sequence number proves nothing then, and only
// the machine's answer to a probe shows which of the two it is.
func (r *Registry) mayPredateRestart(m *Machine, hb *wire.Heartbeat) bool {
	newIncarnation := hb.Incarnation > m.Incarnation
	switch {
	case hb.FencingToken < m.FencingToken:
		// A running worker process never forgets the highest token that it has seen, so the heartbeat is a delayed copy
		// or from another process.
		return true
	case newIncarnation && !hb.Newer(m.lastBeforeRestart.Incarnation, m.lastBeforeRestart.Seq):
		// A copy from before a known restart can look newer than all messages since the restart.
		return true
	}
	// Accepting the new incarnation would end the allocations on the machine. But the incarnation may be from before
	// a restart that this leader never learned of, and the tasks may run in the present process. This is impossible
	// if the worker has this term's token or the machine has acknowledged a message of this term.
	return newIncarnation && len(m.Allocations) > 0 && !r.hasTermToken(hb) && !m.Reachability.EverAcknowledged()
}

// hasTermToken reports whether a worker had seen a fencing token of this term when it sent a heartbeat. Only a message
// of this term can have carried the token to the worker. From then on the worker refuses direct requests of leaders of older
// terms.
func (r *Registry) hasTermToken(hb *wire.Heartbeat) bool { return hb.FencingToken >= r.term }

// contradicts reports whether a heartbeat differs from the known machine in something that cannot change while the
// machine exists.
func (m *Machine) contradicts(hb *wire.Heartbeat) bool {
	return m.Address != "" && (m.Address != hb.Address || m.Type != hb.Type || m.Zone != hb.Zone || m.Spot != hb.Spot)
}

// beginIncarnation records the first message of a new incarnation and ends the earlier ones. The new incarnation may
// have begun just now, so its lease may last a full lease duration from now. This is also true if the message is a
// direct answer, although direct answers renew no lease otherwise. If the lease expiry of the former incarnation still
// applied, tasks that had just been started on the machine would be started elsewhere while they run there.
func (r *Registry) beginIncarnation(m *Machine, hb *wire.Heartbeat, direct bool, now time.Time) []Outcome {
	// A heartbeat was answered less than half a lease duration ago, and the worker's lease expired nevertheless: the
	// replies did not arrive.
	if !direct && now.Sub(m.LastHeartbeat) < r.lease/2 {
		m.Reachability.NoteMissedReply(now)
	}
	m.Incarnation, m.lastReply = hb.Incarnation, reply{}
	m.LeaseExpiry = now.Add(r.lease)
	return r.endIncarnations(m, hb.Incarnation-1, nil)
}

// recordAcknowledgment records that a message of this term reached the machine, if a heartbeat proves it: the
// heartbeat is the answer to a direct request, or the first one with this term's token. Only a direct answer ends the
// suspicion that heartbeats of the machine are delayed copies.
func (r *Registry) recordAcknowledgment(m *Machine, hb *wire.Heartbeat, direct bool, now time.Time) {
	if direct || r.hasTermToken(hb) && !m.Reachability.EverAcknowledged() {
		m.Reachability.Acknowledged(now)
		m.SuspectCopy, m.probeIncarnation = m.SuspectCopy && !direct, 0
	}
}

// recordIdentity records the position of a heartbeat in the order of the machine's messages, its token, and the
// address, type, zone and kind that it reports.
func (m *Machine) recordIdentity(hb *wire.Heartbeat, now time.Time) {
	m.seq, m.FencingToken = hb.Seq, hb.FencingToken
	m.tokens.noteSeen(hb.FencingToken)
	m.Address, m.Type, m.Zone, m.Spot = hb.Address, hb.Type, hb.Zone, hb.Spot
	if m.LastHeartbeat.IsZero() && len(m.Allocations) == 0 {
		m.IdleSince = now
	}
	m.MissedListings = 0
}

// recordInterruption records a heartbeat's spot notice, or that it has none, and reports whether the notice is new.
// The first heartbeat that a new leader receives may be a delayed copy, and its notice outdated. Therefore, until the machine
// has acknowledged a message of this term, a notice counts only provisionally, and a heartbeat without a notice does
// not clear an earlier one.
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

// recordReplyEffect records whether a heartbeat shows that the reply to the previous heartbeat arrived.
func (r *Registry) recordReplyEffect(m *Machine, hb *wire.Heartbeat, listed map[AttemptID]*wire.TaskStatus, now time.Time) {
	switch acknowledged, missed := m.lastReply.effect(hb, listed); {
	case acknowledged:
		m.Reachability.Acknowledged(now)
	case missed:
		m.Reachability.NoteMissedReply(now)
	}
}
