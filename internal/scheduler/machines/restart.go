package machines

import (
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// MessageMark identifies a message of a machine, usually the newest one that was known when a probe was sent.
// Within a worker process, (Incarnation, Seq) only grows. An answer to the probe from the same process is therefore newer
// than the mark. An answer that is not newer is from another process: the worker was restarted.
type MessageMark struct {
	Incarnation, Seq uint64
	SentAt           time.Time // when the probe was sent; zero: the mark was not taken for a probe
}

// ProbeRequest returns a direct request that asks a machine for its heartbeat. The request has no commands, but it carries
// a fencing token above those of all direct starts that were sent to the machine, which the worker remembers. The answer
// shows a state of the worker after the request was sent. The error is ErrUnaddressable.
func (r *Registry) ProbeRequest(m *Machine, now time.Time) (addr string, req *wire.DirectCommands, mark MessageMark, err error) {
	incarnation := m.Incarnation
	if m.probeIncarnation != 0 {
		incarnation = m.probeIncarnation
	}
	addr = m.Address
	if addr == "" {
		addr = m.ListedAddress
	}
	if addr == "" || incarnation == 0 || m.Returning {
		return "", nil, mark, ErrUnaddressable
	}
	r.raiseToken(m)
	req = &wire.DirectCommands{FencingToken: m.tokens.current, Incarnation: incarnation, Commands: []wire.Command{}}
	return addr, req, MessageMark{m.Incarnation, m.seq, now}, nil
}

// RestartVerdict is what the answer to a probe proves about the machine's worker process.
type RestartVerdict int

// The verdicts. Only ProcessRestarted proves that allocations are gone (AcceptRestart).
const (
	NotRestarted     RestartVerdict = iota
	Ambiguous                       // perhaps restarted; a reply to one of its heartbeats may still be on its way
	ProbeAgain                      // restarted, but the process is not known yet to refuse every direct start that was sent
	ProcessRestarted                // restarted; no earlier task is on the machine, and no earlier start can arrive
)

// JudgeRestart compares the answer to a probe with the mark that was taken when the probe was sent. An answer that is
// not newer than the mark shows that the worker was restarted.
//
// The verdict is Ambiguous nevertheless if the probe was sent less than tuning.HeartbeatReplyValidity after the last
// accepted heartbeat. A worker drops replies only after 4 s, so a reply with a start may still be on its way to the new
// process. This is possible if the leader made two mistakes: it took the first heartbeat of the new process for one of
// the former process, and then a delayed copy of a later heartbeat of the former process for the second heartbeat of the
// new process.
//
// Unless the verdict is NotRestarted, the next probe is addressed to the new process, which takes the token from it. If the
// verdict is ProbeAgain, the answer shows whether that process has a token of this term above those of the direct starts.
func (r *Registry) JudgeRestart(m *Machine, mark MessageMark, hb *wire.Heartbeat) RestartVerdict {
	if hb.Newer(mark.Incarnation, mark.Seq) {
		return NotRestarted
	}
	m.probeIncarnation = hb.Incarnation
	switch {
	case mark.SentAt.Sub(m.LastHeartbeat) < tuning.HeartbeatReplyValidity:
		return Ambiguous
	case !r.hasTermToken(hb) || hb.FencingToken <= m.tokens.newestStart:
		return ProbeAgain
	}
	return ProcessRestarted
}

// AcceptRestart records that a machine's worker process was restarted. hb is the answer to a probe for which
// JudgeRestart returned ProcessRestarted; its token is above those of all direct starts. Tasks that were allocated to the
// machine before are gone unless hb lists them, since
//   - the worker lists everything that is on its machine;
//   - the worker refuses commands of older leaders, direct starts of this leader and copies of them by their tokens;
//   - replies to heartbeats of the former process reach nobody, and no reply to a heartbeat of the new process is on
//     its way (JudgeRestart).
//
// Without AcceptRestart, the heartbeats of a machine that is back soon after a restart would be rejected as delayed
// copies until its new process had sent as many heartbeats as the former one.
func (r *Registry) AcceptRestart(m *Machine, hb *wire.Heartbeat, now time.Time) []Outcome {
	outcomes := m.outcomesOfUnlisted(hb)
	clear(m.orphans)
	clear(m.images)
	m.recordLastBeforeRestart()
	m.Incarnation, m.seq, m.FencingToken = hb.Incarnation, hb.Seq, hb.FencingToken
	m.tokens.noteSeen(hb.FencingToken)
	m.EndedIncarnation, m.probeIncarnation = hb.Incarnation-1, 0
	m.SuspectCopy, m.lastReply, m.InterruptionAt = false, reply{}, time.Time{}
	// No leader has answered a heartbeat of this process yet, so nobody has renewed its lease. Without a renewal the
	// lease ends one lease duration from now at the latest.
	m.LeaseExpiry = now.Add(r.lease)
	m.Reachability.Acknowledged(now)
	return outcomes
}

// outcomesOfUnlisted returns the outcomes of the allocations whose attempts a heartbeat does not list. All of these
// attempts count as lost.
func (m *Machine) outcomesOfUnlisted(hb *wire.Heartbeat) []Outcome {
	listed := make(map[AttemptID]bool, len(hb.Tasks))
	for i := range hb.Tasks {
		status := &hb.Tasks[i]
		if taskID, ok := wire.ParseTaskID(status.Task); ok {
			listed[AttemptID{Task: taskID, Attempt: status.Attempt}] = true
		}
	}
	var outcomes []Outcome
	for id, allocation := range m.Allocations {
		if !listed[id] {
			outcomes = append(outcomes, lostOutcome(allocation))
		}
	}
	return outcomes
}

// recordLastBeforeRestart records the newest message from before a restart. Any heartbeat that is not newer may be a
// delayed copy. After several restarts, the newest of these messages counts.
func (m *Machine) recordLastBeforeRestart() {
	newest := &m.lastBeforeRestart
	if newest.Incarnation < m.Incarnation || newest.Incarnation == m.Incarnation && newest.Seq < m.seq {
		*newest = MessageMark{Incarnation: m.Incarnation, Seq: m.seq}
	}
}
