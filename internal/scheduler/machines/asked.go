package machines

import (
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// MessageMark is the newest message of a machine that was known when it was asked. Its answer is newer in the same life of its
// worker, since (session, seq) only grow; an answer that is older comes from another life: the machine was started anew.
type MessageMark struct {
	Incarnation, Seq uint64
	Sent             time.Time
}

// Probe makes the request that asks a machine for its report: no commands, but our token, which the worker keeps. What
// it answers was so after the question was sent. ok is false where nobody can be asked.
func (r *Registry) Probe(m *Machine, now time.Time) (addr string, req *wire.DirectCommands, mark MessageMark, ok bool) {
	session := m.Incarnation
	if m.life != 0 {
		session = m.life
	}
	addr = m.Address
	if addr == "" {
		addr = m.ListedAddress
	}
	if addr == "" || session == 0 || m.Returning {
		return "", nil, mark, false
	}
	return addr, &wire.DirectCommands{FencingToken: r.term, Incarnation: session, Commands: []wire.Command{}}, MessageMark{m.Incarnation, m.seq, now}, true
}

// CommandsUnanswered takes in that a direct request, sent at a time, had no answer. A start in it may still arrive, also at a life of the
// machine that began until then and counts its first session anew, as long as that session's lease lasts.
func (r *Registry) CommandsUnanswered(name string, sent time.Time) {
	m := r.Machines[name]
	if m == nil || len(m.sent) == 0 || m.LeaseExpiry.IsZero() {
		return
	}
	if end := sent.Add(r.lease); m.LeaseExpiry.Before(end) {
		m.LeaseExpiry = end
	}
}

// RestartVerdict is what an answer proves of its machine's worker.
type RestartVerdict int

// What it may prove.
const (
	NotRestarted     RestartVerdict = iota
	Ambiguous                       // perhaps started anew; an answer to one of its reports may still be on its way
	ProbeAgain                      // started anew; that older leaders' commands are refused is not known yet
	DeleteOnly                      // started anew; a start of ours may still arrive there, so only its deletion proves anything
	ProcessRestarted                // started anew: nothing of its former life is there, nor can come
)

// JudgeRestart judges an answer to a question. A worker drops answers after 4 s. Within that of the last report that we took, an
// answer with a start may be on its way to the new life: its first report may have been taken for one of the former
// life, and a copy of a later one of that for its next.
func (r *Registry) JudgeRestart(m *Machine, mark MessageMark, rep *wire.Heartbeat) RestartVerdict {
	switch {
	case rep.Newer(mark.Incarnation, mark.Seq):
		return NotRestarted
	case mark.Sent.Sub(m.LastHeartbeat) < tuning.HeartbeatReplyLife:
		return Ambiguous
	case len(m.sent) > 0:
		return DeleteOnly
	case rep.FencingToken < r.term:
		m.life = rep.Incarnation
		return ProbeAgain
	}
	return ProcessRestarted
}

// AcceptRestart takes in that a machine's worker was started anew, as an answer shows that holds our token: what was placed there in
// its former life is gone. The worker lists all that is on its machine; older leaders' commands are refused by their
// tokens; answers to reports of the former life reach nobody, and none to one of the new life is on its way (Restarted); and no direct start of ours is open. Without this a
// machine that was back at once was shut out as a copy until its new life had sent as many reports as the former one.
func (r *Registry) AcceptRestart(m *Machine, rep *wire.Heartbeat, now time.Time) []Outcome {
	var a HeartbeatResult
	there := map[AttemptID]bool{}
	for i := range rep.Tasks {
		if id, ok := wire.ParseTaskID(rep.Tasks[i].Task); ok {
			there[AttemptID{Task: id, Attempt: rep.Tasks[i].Attempt}] = true
		}
	}
	for k, p := range m.Allocations {
		if !there[k] {
			a.Outcomes = append(a.Outcomes, Outcome{Allocation: p, Reason: wire.ExitStopped, Lost: true})
		}
	}
	clear(m.orphans)
	clear(m.images)
	if m.previous.Incarnation < m.Incarnation || m.previous.Incarnation == m.Incarnation && m.previous.Seq < m.seq {
		m.previous = MessageMark{Incarnation: m.Incarnation, Seq: m.seq}
	}
	m.Incarnation, m.seq, m.FencingToken, m.EndedIncarnation, m.life = rep.Incarnation, rep.Seq, rep.FencingToken, rep.Incarnation-1, 0
	m.SuspectCopy, m.told, m.InterruptionAt = false, told{}, time.Time{}
	m.LeaseExpiry = now.Add(r.lease) // nobody of ours had answered this life before
	m.Reachability.Acknowledged(now)
	return a.Outcomes
}
