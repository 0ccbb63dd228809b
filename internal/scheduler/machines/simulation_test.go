package machines

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"pgregory.net/rapid"

	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// simulation is workers, a sequence of leaders, and a network that loses, delays and duplicates messages, in steps of half a
// second. It checks at each start that no other copy of the task runs, and that a task counts as completed only if it was.
type simulation struct {
	t        *rapid.T
	now      time.Time
	r        *Registry
	term     uint64
	workers  []*simWorker
	tasks    []*simTask
	inFlight []message       // delayed by the network
	noFaults bool            // no more faults begin
	trace    strings.Builder // what happened, for people
}

// simTask is a task, as it is and as the leader and its record have it.
type simTask struct {
	id                wire.TaskID
	job               *jobs.Job
	attempt           uint64
	allocation        *jobs.Allocation // as the present leader has it
	recorded          *jobs.Allocation // as the record has it: written with each new allocation, and some time after an end
	completed         bool             // as the present leader has it
	actuallyCompleted bool             // it completed somewhere
}

// simWorker is a machine with its worker process.
type simWorker struct {
	process          int            // counts its restarts
	state            wire.Heartbeat // as it would report itself now
	lastReply        time.Time      // when the last heartbeat was sent that had a reply
	unreachableUntil time.Time      // until then nothing gets to it
	silentUntil      time.Time      // until then nothing of it gets to the leader
	hangsUntil       time.Time
	inFlightUntil    time.Time // until then its one heartbeat is in flight
	nextHeartbeat    time.Time
	dead             bool
}

// message is in flight: a heartbeat to the leader, or direct commands or a reply to a worker's process.
type message struct {
	arrives, sent time.Time
	heartbeat     *wire.Heartbeat // a copy of one that came already, or a late one
	recipient     *simWorker
	process       int
	direct        *wire.DirectCommands
	reply         *wire.HeartbeatReply
	incarnation   uint64 // of the heartbeat that it replies to
}

const simLease = time.Duration(lease * float64(time.Second))

func (s *simulation) chance(percent int, what string) bool {
	return !s.noFaults && rapid.IntRange(0, 99).Draw(s.t, what) < percent
}

func (s *simulation) delayUpTo(limit time.Duration, what string) time.Duration {
	return time.Duration(rapid.IntRange(0, int(limit/time.Millisecond)).Draw(s.t, what)) * time.Millisecond
}

func clone(hb *wire.Heartbeat) *wire.Heartbeat {
	c := *hb
	c.Tasks = slices.Clone(hb.Tasks)
	return &c
}

// electLeader begins a term from the records.
func (s *simulation) electLeader() {
	s.term++
	s.tracef("leader %d", s.term)
	s.r = New(s.term, lease)
	for _, task := range s.tasks {
		task.allocation, task.completed = nil, task.completed && task.recorded == nil
		if recorded := task.recorded; recorded != nil {
			c := *recorded
			c.Stop, c.State, c.Removed, c.Committed = nil, "", false, true
			task.allocation, task.recorded = &c, &c
			s.r.RestoreAllocation(&c, s.now)
		}
	}
	for _, w := range s.workers {
		if !w.dead {
			s.r.Register(Rented{Name: w.state.Machine, Type: w.state.Type, Zone: w.state.Zone, Spot: w.state.Spot, RentedAt: s.now}, s.now).ListedAddress = w.state.Address
		}
	}
}

// tracef adds a line to the trace.
func (s *simulation) tracef(format string, args ...any) {
	fmt.Fprintf(&s.trace, "%v ", s.now.Sub(t0))
	fmt.Fprintf(&s.trace, format, args...)
	s.trace.WriteByte('\n')
}

func (s *simulation) taskOf(id wire.TaskID) *simTask { return s.tasks[id.Index] }

// execute has a worker carry out commands, and checks that no task runs twice.
func (s *simulation) execute(w *simWorker, commands []wire.Command) {
	for _, c := range commands {
		known := slices.IndexFunc(w.state.Tasks, func(t wire.TaskStatus) bool { return t.Task == c.Task && t.Attempt == c.Attempt })
		switch {
		case c.Op == wire.OpStart && known < 0:
			for _, other := range s.workers {
				for _, t := range other.state.Tasks {
					// One that hangs executes nothing, and past its lease kills its tasks before anything else.
					if t.Task == c.Task && t.State != wire.TaskExited && s.now.Sub(other.lastReply) <= simLease {
						s.t.Fatalf("%s attempt %d starts on %s while attempt %d is on %s\n%s", c.Task, c.Attempt, w.state.Machine, t.Attempt, other.state.Machine, s.trace.String())
					}
				}
			}
			w.state.Tasks = append(w.state.Tasks, wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskRunning})
		case c.Op == wire.OpStop && known >= 0 && w.state.Tasks[known].State != wire.TaskExited:
			w.state.Tasks[known].State, w.state.Tasks[known].Reason = wire.TaskExited, wire.ExitStopped
		case c.Op == wire.OpForget && known >= 0 && w.state.Tasks[known].State == wire.TaskExited:
			w.state.Tasks = slices.Delete(slices.Clone(w.state.Tasks), known, known+1)
		}
	}
}

// applyOutcomes is what the leader's loop does with outcomes.
func (s *simulation) applyOutcomes(outcomes []Outcome) {
	for _, outcome := range outcomes {
		task := s.taskOf(outcome.Allocation.Task())
		if outcome.Allocation.Removed || task.allocation != outcome.Allocation {
			continue
		}
		outcome.Allocation.Removed = true
		s.tracef("settle %v attempt %d on %s incarnation %d: %s, lost %v", outcome.Allocation.Task(), outcome.Allocation.Attempt, outcome.Allocation.Machine, outcome.Allocation.Incarnation, outcome.Reason, outcome.Lost)
		task.allocation = nil
		s.r.RemoveAllocation(outcome.Allocation, s.now)
		if outcome.Reason == wire.ExitDone {
			if !task.actuallyCompleted {
				s.t.Fatalf("%v counts as completed, and is not", task.id)
			}
			task.completed = true
		}
	}
}

func (s *simulation) mayForget(id AttemptID) bool {
	task := s.taskOf(id.Task)
	return task.recorded == nil || task.recorded.Attempt != id.Attempt
}

// deliverHeartbeat has the leader process a heartbeat, and returns its reply; nil: it refused the heartbeat.
func (s *simulation) deliverHeartbeat(hb *wire.Heartbeat) *wire.HeartbeatReply {
	result, err := s.r.Heartbeat(clone(hb), s.now, s.mayForget)
	s.tracef("heartbeat of %s incarnation %d seq %d token %d: %v -> %v %v", hb.Machine, hb.Incarnation, hb.Seq, hb.FencingToken, hb.Tasks, result.Commands, err)
	if err != nil {
		return nil
	}
	s.applyOutcomes(result.Outcomes)
	return &wire.HeartbeatReply{FencingToken: s.term, Commands: result.Commands}
}

// deliverReply has a worker process the reply to a heartbeat that it sent at a time. It ignores one with an older token.
func (s *simulation) deliverReply(w *simWorker, reply *wire.HeartbeatReply, sent time.Time) {
	if reply == nil || reply.FencingToken < w.state.FencingToken {
		return
	}
	w.state.FencingToken, w.lastReply = reply.FencingToken, sent
	s.tracef("reply to %s: %v", w.state.Machine, reply.Commands)
	s.execute(w, reply.Commands)
}

// deliverDirect has a worker execute direct commands, and returns its answer; nil: it sends none.
func (s *simulation) deliverDirect(w *simWorker, req *wire.DirectCommands) *wire.Heartbeat {
	if w.dead || s.now.Before(w.hangsUntil) {
		return nil
	}
	w.state.Seq++
	s.tracef("direct to %s incarnation %d token %d: %+v", w.state.Machine, w.state.Incarnation, w.state.FencingToken, *req)
	if req.FencingToken >= w.state.FencingToken && req.Incarnation == w.state.Incarnation {
		w.state.FencingToken = req.FencingToken
		s.execute(w, req.Commands)
	}
	return clone(&w.state)
}

// step lets half a second pass.
func (s *simulation) step() {
	s.now = s.now.Add(500 * time.Millisecond)
	for _, w := range s.workers {
		s.stepWorker(w)
	}
	s.deliver()
	s.stepLeader()
	if s.chance(2, "leader") {
		s.electLeader()
	}
}

// deliver delivers the messages that arrive by now.
func (s *simulation) deliver() {
	var later []message
	for _, m := range s.inFlight {
		switch {
		case m.arrives.After(s.now):
			later = append(later, m)
		case m.heartbeat != nil:
			s.deliverHeartbeat(m.heartbeat) // its reply reaches nobody
		case m.process != m.recipient.process || m.recipient.dead:
		case m.reply != nil && m.incarnation != m.recipient.state.Incarnation: // dropped
		case m.reply != nil:
			s.deliverReply(m.recipient, m.reply, m.sent)
		case s.now.Before(m.recipient.hangsUntil):
			m.arrives = m.recipient.hangsUntil
			later = append(later, m)
		default:
			s.deliverDirect(m.recipient, m.direct) // its answer comes too late
		}
	}
	s.inFlight = later
}

// stepWorker is what a worker does in a step.
func (s *simulation) stepWorker(w *simWorker) {
	if w.dead || s.now.Before(w.hangsUntil) || s.fault(w) {
		return
	}
	if s.now.Sub(w.lastReply) > simLease {
		s.tracef("lease of %s expires", w.state.Machine)
		w.state.Incarnation, w.state.Tasks, w.lastReply, w.inFlightUntil = w.state.Incarnation+1, nil, s.now, time.Time{}
	}
	for i := range w.state.Tasks {
		t := &w.state.Tasks[i]
		if t.State == wire.TaskRunning && (s.noFaults || s.chance(3, "completes")) {
			t.State, t.Reason = wire.TaskExited, wire.ExitDone
			id, _ := wire.ParseTaskID(t.Task)
			s.taskOf(id).actuallyCompleted = true
		}
	}
	if s.now.After(w.inFlightUntil) && !s.now.Before(w.nextHeartbeat) {
		s.sendHeartbeat(w)
	}
}

// fault may begin a fault of a worker or of the paths to and from it. It reports whether the worker does no more in this step.
func (s *simulation) fault(w *simWorker) bool {
	switch {
	case s.chance(1, "hang"):
		w.hangsUntil = s.now.Add(s.delayUpTo(2*simLease, "for"))
		return true
	case s.chance(1, "restarted"):
		w.process++
		s.tracef("%s restarts", w.state.Machine)
		w.state.Incarnation, w.state.Seq, w.state.FencingToken, w.state.Tasks, w.lastReply, w.inFlightUntil = 1, 0, 0, nil, s.now, time.Time{}
	case w != s.workers[0] && s.chance(1, "dies"):
		w.dead, w.state.Tasks = true, nil
		return true
	case s.chance(2, "unreachable"):
		w.unreachableUntil = s.now.Add(s.delayUpTo(3*simLease, "for"))
	case s.chance(1, "silent"):
		w.silentUntil = s.now.Add(s.delayUpTo(2*simLease, "for"))
	}
	return false
}

// sendHeartbeat has a worker send a heartbeat, of which a copy may be delayed and whose reply may be lost or slow.
func (s *simulation) sendHeartbeat(w *simWorker) {
	w.state.Seq++
	w.nextHeartbeat = s.now.Add(time.Second)
	sent := clone(&w.state)
	if s.chance(25, "copy") {
		s.inFlight = append(s.inFlight, message{arrives: s.now.Add(s.delayUpTo(5*simLease, "late")), heartbeat: sent})
	}
	if s.now.Before(w.silentUntil) {
		return
	}
	reply := s.deliverHeartbeat(sent)
	switch {
	case s.now.Before(w.unreachableUntil):
		w.nextHeartbeat = s.now.Add(5 * time.Second)
	case reply != nil && s.chance(15, "slow"):
		w.inFlightUntil = s.now.Add(time.Duration(rapid.IntRange(1, 7).Draw(s.t, "slow")) * 500 * time.Millisecond)
		s.inFlight = append(s.inFlight, message{arrives: w.inFlightUntil, sent: s.now, recipient: w, process: w.process, incarnation: w.state.Incarnation, reply: reply})
	default:
		s.deliverReply(w, reply, s.now)
	}
}

// sendDirect has the leader send commands for allocations of a machine at once.
func (s *simulation) sendDirect(name string, allocations []*jobs.Allocation) {
	_, req, err := s.r.CommandsFor(name, allocations)
	if err != nil {
		return
	}
	w := s.worker(name)
	if s.now.Before(w.unreachableUntil) || w.dead || s.chance(30, "lost") {
		s.inFlight = append(s.inFlight, message{arrives: s.now.Add(s.delayUpTo(5*simLease, "late")), recipient: w, process: w.process, direct: req})
		s.r.Machines[name].Reachability.NoteFailed(s.now, s.now)
		s.r.CommandsUnanswered(name, s.now)
		return
	}
	if answer := s.deliverDirect(w, req); answer != nil {
		s.r.CommandsAnswered(name, req)
		if result, err := s.r.DirectAnswer(answer, s.now, s.mayForget); err == nil {
			s.applyOutcomes(result.Outcomes)
		}
	}
}

func (s *simulation) worker(name string) *simWorker {
	return s.workers[slices.IndexFunc(s.workers, func(w *simWorker) bool { return w.state.Machine == name })]
}

// stepLeader is what the leader does in a step: lease expiries, probes, records and placements.
func (s *simulation) stepLeader() {
	s.applyOutcomes(s.r.EndExpired(s.now, nil))
	for _, name := range slices.Sorted(maps.Keys(s.r.Machines)) {
		if s.probeDue(s.r.Machines[name]) {
			s.probe(name)
		}
	}
	for _, task := range s.tasks {
		if recorded := task.recorded; recorded != nil && task.allocation != recorded && (s.noFaults || s.chance(20, "written")) {
			task.recorded = task.allocation
		}
		if task.allocation != nil && task.allocation.Stop == nil && s.chance(10, "stop") {
			task.allocation.Stop = &jobs.StopRequest{}
			s.sendDirect(task.allocation.Machine, []*jobs.Allocation{task.allocation})
		}
		if task.allocation == nil && !task.completed {
			s.allocate(task)
		}
	}
}

// probeDue reports whether the leader probes a machine now.
func (s *simulation) probeDue(m *Machine) bool {
	quiet := m.Incarnation > m.EndedIncarnation && len(m.Allocations) > 0 && s.now.Sub(m.LastHeartbeat) > simLease/2
	reason := m.Reachability.Unreachable() || quiet || m.SuspectCopy || m.Reachability.Suspect()
	return reason && m.Reachability.ProbeDue(s.now)
}

// probe probes a machine, twice if the first answer says so.
func (s *simulation) probe(name string) {
	m, w := s.r.Machines[name], s.worker(name)
	for range 2 {
		_, req, mark, err := s.r.Probe(m, s.now)
		if err != nil {
			return
		}
		m.Reachability.ProbeSent(s.now)
		m.Reachability.ProbeEnded()
		var answer *wire.Heartbeat
		if !s.now.Before(w.unreachableUntil) {
			answer = s.deliverDirect(w, req)
		}
		if answer == nil {
			m.Reachability.NoteFailed(s.now, s.now)
			return
		}
		verdict := s.r.JudgeRestart(m, mark, answer)
		s.tracef("probed %s %+v: verdict %v, incarnation %d seq %d", name, mark, verdict, answer.Incarnation, answer.Seq)
		switch verdict {
		case ProcessRestarted:
			s.applyOutcomes(s.r.AcceptRestart(m, answer, s.now))
		case DeleteOnly:
			w.process++
			w.dead, w.state.Tasks = true, nil
			s.applyOutcomes(s.r.MarkLost(name, s.now))
		case Ambiguous:
			m.SuspectCopy = true
		case NotRestarted:
			m.SuspectCopy = false
			if result, err := s.r.DirectAnswer(answer, s.now, s.mayForget); err == nil {
				s.applyOutcomes(result.Outcomes)
			}
		}
		if verdict != ProbeAgain {
			return
		}
	}
}

// allocate gives a task to any machine that may get work.
func (s *simulation) allocate(task *simTask) {
	var usable []string
	for _, name := range slices.Sorted(maps.Keys(s.r.Machines)) {
		if m := s.r.Machines[name]; m.Alive() && m.Usable(s.term, s.now) && !m.HasOrphans() {
			usable = append(usable, name)
		}
	}
	if len(usable) == 0 {
		return
	}
	m := s.r.Machines[rapid.SampledFrom(usable).Draw(s.t, "machine")]
	task.attempt++
	task.allocation = &jobs.Allocation{Job: task.job, Index: task.id.Index, Attempt: task.attempt, Machine: m.Name, Incarnation: m.Incarnation, Committed: true}
	task.recorded = task.allocation
	s.r.AddAllocation(task.allocation, s.now)
	s.sendDirect(m.Name, []*jobs.Allocation{task.allocation})
}

// describe returns the state of the workers and what the leader knows of them, for people.
func (s *simulation) describe() string {
	out := ""
	for _, w := range s.workers {
		out += fmt.Sprintf("%s dead %v, incarnation %d, seq %d, tasks %v; ", w.state.Machine, w.dead, w.state.Incarnation, w.state.Seq, w.state.Tasks)
		if m := s.r.Machines[w.state.Machine]; m != nil {
			out += fmt.Sprintf("known: incarnation %d, seq %d, ended %d, token %d of %d, orphans %v, alive %v, usable %v, suspect copy %v\n",
				m.Incarnation, m.seq, m.EndedIncarnation, m.FencingToken, s.term, m.orphans, m.Alive(), m.Usable(s.term, s.now), m.SuspectCopy)
		}
	}
	return out
}
