package machines

import (
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// MessageMark is the newest message of a machine that was known when a probe was sent. An answer from the same worker process
// is newer, since (incarnation, seq) only grow. An older answer comes from another process: the worker was restarted.
type MessageMark struct {
	Incarnation, Seq uint64
	Sent             time.Time // when the probe was sent
}

// Probe makes the request that asks a machine for its heartbeat: no commands, but the term's token, which the worker keeps.
// What it answers was so after the request was sent. The error is ErrUnaddressable: there is nobody to ask.
func (r *Registry) Probe(m *Machine, now time.Time) (addr string, req *wire.DirectCommands, mark MessageMark, err error) {
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
	req = &wire.DirectCommands{FencingToken: r.term, Incarnation: incarnation, Commands: []wire.Command{}}
	return addr, req, MessageMark{m.Incarnation, m.seq, now}, nil
}

// RestartVerdict is what the answer to a probe proves of the machine's worker process.
type RestartVerdict int

// The verdicts. Only ProcessRestarted lets allocations count as gone (AcceptRestart).
const (
	NotRestarted     RestartVerdict = iota
	Ambiguous                       // perhaps restarted; a reply to one of its heartbeats may still be on its way
	ProbeAgain                      // restarted; that it refuses the commands of older leaders is not known yet
	DeleteOnly                      // restarted; a direct start may still arrive, so only the machine's deletion proves anything
	ProcessRestarted                // restarted; nothing from before is there, nor can come
)

// JudgeRestart judges the answer to a probe by the mark that was taken when it was sent. A worker drops replies after 4 s.
// Within that time after the last heartbeat that was taken, a reply with a start may be on its way to the new process: its
// first heartbeat may have been taken for one of the former process, and a copy of a later one of that for its next.
//
// At ProbeAgain the next probe is addressed to the new process: what it answers shows whether it has the term's token.
func (r *Registry) JudgeRestart(m *Machine, mark MessageMark, hb *wire.Heartbeat) RestartVerdict {
	switch {
	case hb.Newer(mark.Incarnation, mark.Seq):
		return NotRestarted
	case mark.Sent.Sub(m.LastHeartbeat) < tuning.HeartbeatReplyLife:
		return Ambiguous
	case len(m.unansweredStarts) > 0:
		return DeleteOnly
	case !r.hasTermToken(hb):
		m.probeIncarnation = hb.Incarnation
		return ProbeAgain
	}
	return ProcessRestarted
}

// AcceptRestart records that a machine's worker process was restarted, by an answer that JudgeRestart found to prove it and
// that holds the term's token. What was allocated there before is gone, unless the answer lists it. That holds since
//   - the worker lists all that is on its machine;
//   - commands of older leaders are refused by their tokens;
//   - replies to heartbeats of the former process reach nobody, and none to one of the new process is on its way
//     (JudgeRestart);
//   - no direct start of this leader is open.
//
// Without this a machine that was back at once was shut out as a copy until its new process had sent as many heartbeats as
// the former one.
func (r *Registry) AcceptRestart(m *Machine, hb *wire.Heartbeat, now time.Time) []Outcome {
	outcomes := m.allocationsNotIn(hb)
	clear(m.orphans)
	clear(m.images)
	m.recordLastBeforeRestart()
	m.Incarnation, m.seq, m.FencingToken = hb.Incarnation, hb.Seq, hb.FencingToken
	m.EndedIncarnation, m.probeIncarnation = hb.Incarnation-1, 0
	m.SuspectCopy, m.lastReply, m.InterruptionAt = false, reply{}, time.Time{}
	m.LeaseExpiry = now.Add(r.lease) // no leader had answered this process before
	m.Reachability.Acknowledged(now)
	return outcomes
}

// allocationsNotIn returns the outcomes of the allocations whose attempts a heartbeat does not list.
func (m *Machine) allocationsNotIn(hb *wire.Heartbeat) []Outcome {
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

// recordLastBeforeRestart keeps the newest message from before the restart: whatever is not newer may be a copy. After several
// restarts that is the newest of all of them.
func (m *Machine) recordLastBeforeRestart() {
	newest := &m.lastBeforeRestart
	if newest.Incarnation < m.Incarnation || newest.Incarnation == m.Incarnation && newest.Seq < m.seq {
		*newest = MessageMark{Incarnation: m.Incarnation, Seq: m.seq}
	}
}
