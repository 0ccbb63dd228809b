package machines

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// world is workers, leaders one after the other, and a network that loses, keeps and doubles what they say, in steps of
// half a second. It checks at each start that no other copy of the task runs, and that a task counts as done only if it was.
type world struct {
	t       *rapid.T
	now     time.Time
	r       *Registry
	term    uint64
	workers []*simWorker
	tasks   []*simTask
	mail    []letter        // what the network keeps
	calm    bool            // no more troubles
	trace   strings.Builder // what happened, for people
}

type simTask struct {
	id      wire.TaskID
	job     *jobs.Job
	attempt uint64
	place   *jobs.Allocation // as the present leader has it
	stored  *jobs.Allocation // as the record has it: written with each new place, and some time after an end
	done    bool             // as the present leader has it
	isDone  bool             // it completed somewhere
}

type simWorker struct {
	life                int
	rep                 wire.Heartbeat
	heard               time.Time // when the last answered report was sent
	deaf, hangs, silent time.Time // until when
	waits               time.Time // for an answer, until then
	next                time.Time // when it reports next
	dead                bool
}

// letter is something on its way.
type letter struct {
	at, sent time.Time
	copyOf   *wire.Heartbeat // a report that came already, or was late
	to       *simWorker      // else commands to a worker's life
	life     int
	session  uint64
	req      *wire.DirectCommands // direct ones
	answer   *wire.HeartbeatReply // or those of an answer to a report of a session
}

const simLease = time.Duration(lease * float64(time.Second))

func (w *world) chance(percent int, what string) bool {
	return !w.calm && rapid.IntRange(0, 99).Draw(w.t, what) < percent
}

func (w *world) within(most time.Duration, what string) time.Duration {
	return time.Duration(rapid.IntRange(0, int(most/time.Millisecond)).Draw(w.t, what)) * time.Millisecond
}

func clone(rep *wire.Heartbeat) *wire.Heartbeat {
	c := *rep
	c.Tasks = slices.Clone(rep.Tasks)
	return &c
}

// lead begins a tenure from the records.
func (w *world) lead() {
	w.term++
	w.note("leader %d", w.term)
	w.r = New(w.term, lease)
	for _, task := range w.tasks {
		task.place, task.done = nil, task.done && task.stored == nil
		if p := task.stored; p != nil {
			c := *p
			c.Stop, c.State, c.Removed, c.Committed = nil, "", false, true
			task.place, task.stored = &c, &c
			w.r.RestoreAllocation(&c, w.now)
		}
	}
	for _, k := range w.workers {
		if !k.dead {
			w.r.Register(k.rep.Machine, k.rep.Type, k.rep.Zone, k.rep.Spot, w.now, w.now).ListedAddress = k.rep.Address
		}
	}
}

// note adds to the trace.
func (w *world) note(format string, args ...any) {
	fmt.Fprintf(&w.trace, "%v ", w.now.Sub(t0))
	fmt.Fprintf(&w.trace, format, args...)
	w.trace.WriteByte('\n')
}

func (w *world) taskOf(id wire.TaskID) *simTask { return w.tasks[id.Index] }

// obey has a worker carry out commands.
func (w *world) obey(k *simWorker, commands []wire.Command) {
	for _, c := range commands {
		i := slices.IndexFunc(k.rep.Tasks, func(t wire.TaskStatus) bool { return t.Task == c.Task && t.Attempt == c.Attempt })
		switch {
		case c.Op == wire.OpStart && i < 0:
			for _, o := range w.workers {
				for _, t := range o.rep.Tasks {
					// One that hangs executes nothing, and past its lease kills its tasks before anything else.
					if t.Task == c.Task && t.State != wire.TaskExited && w.now.Sub(o.heard) <= simLease {
						w.t.Fatalf("%s attempt %d starts on %s while attempt %d is on %s\n%s", c.Task, c.Attempt, k.rep.Machine, t.Attempt, o.rep.Machine, w.trace.String())
					}
				}
			}
			k.rep.Tasks = append(k.rep.Tasks, wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskRunning})
		case c.Op == wire.OpStop && i >= 0 && k.rep.Tasks[i].State != wire.TaskExited:
			k.rep.Tasks[i].State, k.rep.Tasks[i].Reason = wire.TaskExited, wire.ExitStopped
		case c.Op == wire.OpForget && i >= 0 && k.rep.Tasks[i].State == wire.TaskExited:
			k.rep.Tasks = slices.Delete(slices.Clone(k.rep.Tasks), i, i+1)
		}
	}
}

// settle is what the loop does with outcomes.
func (w *world) settle(outs []Outcome) {
	for _, o := range outs {
		task := w.taskOf(o.Allocation.Task())
		if o.Allocation.Removed || task.place != o.Allocation {
			continue
		}
		o.Allocation.Removed = true
		w.note("settle %v att %d on %s s%d why %s lost %v", o.Allocation.Task(), o.Allocation.Attempt, o.Allocation.Machine, o.Allocation.Incarnation, o.Reason, o.Lost)
		task.place = nil
		w.r.RemoveAllocation(o.Allocation, w.now)
		if o.Reason == wire.ExitDone {
			if !task.isDone {
				w.t.Fatalf("%v counts as done, and is not", task.id)
			}
			task.done = true
		}
	}
}

func (w *world) mayForget(k AttemptID) bool {
	task := w.taskOf(k.Task)
	return task.stored == nil || task.stored.Attempt != k.Attempt
}

// report has the leader take a report, and gives its answer.
func (w *world) report(rep *wire.Heartbeat) *wire.HeartbeatReply {
	a, err := w.r.Heartbeat(clone(rep), false, w.now, w.mayForget)
	w.note("report %s s%d q%d t%d %v -> %v %v", rep.Machine, rep.Incarnation, rep.Seq, rep.FencingToken, rep.Tasks, a.Commands, err)
	if err != nil {
		return nil
	}
	w.settle(a.Outcomes)
	return &wire.HeartbeatReply{FencingToken: w.term, Commands: a.Commands}
}

// hears has a worker take the answer to a report that it sent at a time.
func (w *world) hears(k *simWorker, a *wire.HeartbeatReply, sent time.Time) {
	if a == nil || a.FencingToken < k.rep.FencingToken {
		return
	}
	k.rep.FencingToken, k.heard = a.FencingToken, sent
	w.note("hears %s %v", k.rep.Machine, a.Commands)
	w.obey(k, a.Commands)
}

// do has a worker take direct commands, and gives its report; nil: it gives none.
func (w *world) do(k *simWorker, req *wire.DirectCommands) *wire.Heartbeat {
	if k.dead || w.now.Before(k.hangs) {
		return nil
	}
	k.rep.Seq++
	w.note("do %s s%d t%d %+v", k.rep.Machine, k.rep.Incarnation, k.rep.FencingToken, *req)
	if req.FencingToken >= k.rep.FencingToken && req.Incarnation == k.rep.Incarnation {
		k.rep.FencingToken = req.FencingToken
		w.obey(k, req.Commands)
	}
	return clone(&k.rep)
}

// step lets half a second pass.
func (w *world) step() {
	w.now = w.now.Add(500 * time.Millisecond)
	for _, k := range w.workers {
		w.work(k)
	}
	var kept []letter
	for _, l := range w.mail {
		switch {
		case l.at.After(w.now):
			kept = append(kept, l)
		case l.copyOf != nil:
			w.report(l.copyOf) // its answer reaches nobody
		case l.life != l.to.life || l.to.dead:
		case l.answer != nil && l.session != l.to.rep.Incarnation: // dropped
		case l.answer != nil:
			w.hears(l.to, l.answer, l.sent)
		case w.now.Before(l.to.hangs):
			l.at = l.to.hangs
			kept = append(kept, l)
		default:
			w.do(l.to, l.req) // its answer comes too late
		}
	}
	w.mail = kept
	w.lookAfter()
	if w.chance(2, "leader") {
		w.lead()
	}
}

// work is what a worker does in a step.
func (w *world) work(k *simWorker) {
	switch {
	case k.dead:
		return
	case w.now.Before(k.hangs):
		return
	case w.chance(1, "hang"):
		k.hangs = w.now.Add(w.within(2*simLease, "for"))
		return
	case w.chance(1, "restarted"):
		k.life++
		w.note("restarted %s", k.rep.Machine)
		k.rep.Incarnation, k.rep.Seq, k.rep.FencingToken, k.rep.Tasks, k.heard, k.waits = 1, 0, 0, nil, w.now, time.Time{}
	case k != w.workers[0] && w.chance(1, "dies"):
		k.dead, k.rep.Tasks = true, nil
		return
	case w.chance(2, "deaf"):
		k.deaf = w.now.Add(w.within(3*simLease, "for"))
	case w.chance(1, "silent"):
		k.silent = w.now.Add(w.within(2*simLease, "for"))
	}
	if w.now.Sub(k.heard) > simLease {
		w.note("lease ends %s", k.rep.Machine)
		k.rep.Incarnation, k.rep.Tasks, k.heard, k.waits = k.rep.Incarnation+1, nil, w.now, time.Time{}
	}
	for i := range k.rep.Tasks {
		if id, _ := wire.ParseTaskID(k.rep.Tasks[i].Task); k.rep.Tasks[i].State == wire.TaskRunning && (w.calm || w.chance(3, "ends")) {
			k.rep.Tasks[i].State, k.rep.Tasks[i].Reason = wire.TaskExited, wire.ExitDone
			w.taskOf(id).isDone = true
		}
	}
	if !w.now.After(k.waits) || w.now.Before(k.next) { // its one report is on its way
		return
	}
	k.rep.Seq++
	k.next = w.now.Add(time.Second)
	sent := clone(&k.rep)
	if w.chance(25, "copy") {
		w.mail = append(w.mail, letter{at: w.now.Add(w.within(5*simLease, "late")), copyOf: sent})
	}
	if w.now.Before(k.silent) {
		return
	}
	a := w.report(sent)
	switch {
	case w.now.Before(k.deaf):
		k.next = w.now.Add(5 * time.Second)
	case a != nil && w.chance(15, "slow"):
		k.waits = w.now.Add(time.Duration(rapid.IntRange(1, 7).Draw(w.t, "slow")) * 500 * time.Millisecond)
		w.mail = append(w.mail, letter{at: k.waits, sent: w.now, to: k, life: k.life, session: k.rep.Incarnation, answer: a})
	default:
		w.hears(k, a, w.now)
	}
}

// direct has the leader send commands at once.
func (w *world) direct(name string, places []*jobs.Allocation) {
	_, req := w.r.CommandsFor(name, places)
	if req == nil {
		return
	}
	k := w.worker(name)
	if w.now.Before(k.deaf) || k.dead || w.chance(30, "lost") {
		w.mail = append(w.mail, letter{at: w.now.Add(w.within(5*simLease, "late")), to: k, life: k.life, req: req})
		w.r.Machines[name].Reachability.NoteFailed(w.now, w.now)
		w.r.CommandsUnanswered(name, w.now)
		return
	}
	if rep := w.do(k, req); rep != nil {
		w.r.CommandsAnswered(name, req)
		if a, err := w.r.Heartbeat(rep, true, w.now, w.mayForget); err == nil {
			w.settle(a.Outcomes)
		}
	}
}

func (w *world) worker(name string) *simWorker {
	return w.workers[slices.IndexFunc(w.workers, func(k *simWorker) bool { return k.rep.Machine == name })]
}

// lookAfter is what the leader does in a step: expiries, questions, records and placements.
func (w *world) lookAfter() {
	w.settle(w.r.EndExpired(w.now, nil))
	for _, name := range slices.Sorted(maps.Keys(w.r.Machines)) {
		m, k := w.r.Machines[name], w.worker(name)
		deaf := m.Reachability.Unreachable()
		quiet := m.Incarnation > m.EndedIncarnation && len(m.Allocations) > 0 && w.now.Sub(m.LastHeartbeat) > simLease/2
		if !(deaf || quiet || m.SuspectCopy || m.Reachability.Suspect()) || !m.Reachability.ProbeDue(w.now) {
			continue
		}
		for range 2 {
			_, req, mark, ok := w.r.Probe(m, w.now)
			if !ok {
				break
			}
			m.Reachability.ProbeSent(w.now)
			m.Reachability.ProbeEnded()
			var rep *wire.Heartbeat
			if !w.now.Before(k.deaf) {
				rep = w.do(k, req)
			}
			if rep == nil {
				m.Reachability.NoteFailed(w.now, w.now)
				break
			}
			life := w.r.JudgeRestart(m, mark, rep)
			w.note("asked %s %+v: %v s%d q%d", name, mark, life, rep.Incarnation, rep.Seq)
			switch life {
			case ProcessRestarted:
				w.settle(w.r.AcceptRestart(m, rep, w.now))
			case DeleteOnly:
				k.life++
				k.dead, k.rep.Tasks = true, nil
				w.settle(w.r.MarkLost(name, w.now))
			case Ambiguous:
				m.SuspectCopy = true
			case NotRestarted:
				m.SuspectCopy = false
				if a, err := w.r.Heartbeat(rep, true, w.now, w.mayForget); err == nil {
					w.settle(a.Outcomes)
				}
			}
			if life != ProbeAgain {
				break
			}
		}
	}
	for _, task := range w.tasks {
		if p := task.stored; p != nil && task.place != p && (w.calm || w.chance(20, "written")) {
			task.stored = task.place
		}
		if task.place != nil && task.place.Stop == nil && w.chance(10, "stop") {
			task.place.Stop = &jobs.StopRequest{}
			w.direct(task.place.Machine, []*jobs.Allocation{task.place})
		}
		if task.place != nil || task.done {
			continue
		}
		var open []string
		for _, name := range slices.Sorted(maps.Keys(w.r.Machines)) {
			if m := w.r.Machines[name]; m.Alive() && m.Usable(w.term, w.now) && !m.HasOrphans() {
				open = append(open, name)
			}
		}
		if len(open) == 0 {
			continue
		}
		m := w.r.Machines[rapid.SampledFrom(open).Draw(w.t, "machine")]
		task.attempt++
		task.place = &jobs.Allocation{Job: task.job, Index: task.id.Index, Attempt: task.attempt, Machine: m.Name, Incarnation: m.Incarnation, Committed: true}
		task.stored = task.place
		w.r.AddAllocation(task.place, w.now)
		w.direct(m.Name, []*jobs.Allocation{task.place})
	}
}

// show tells how the machines stand, for people.
func (w *world) show() string {
	s := ""
	for _, k := range w.workers {
		s += fmt.Sprintf("%s dead %v, session %d, seq %d, tasks %v; ", k.rep.Machine, k.dead, k.rep.Incarnation, k.rep.Seq, k.rep.Tasks)
		if m := w.r.Machines[k.rep.Machine]; m != nil {
			s += fmt.Sprintf("known: session %d, seq %d, dead %d, token %d of %d, strays %v, alive %v, usable %v, doubt %v\n",
				m.Incarnation, m.seq, m.EndedIncarnation, m.FencingToken, w.term, m.orphans, m.Alive(), m.Usable(w.term, w.now), m.SuspectCopy)
		}
	}
	return s
}

// Random histories: workers that hang, die, are started anew, do not hear or are not heard; reports whose copies come up to
// five leases late; commands as late; leaders one after the other. Never two copies of a task, no false done; and once all
// troubles are over each machine that lives is given work again and each task is done, within a stated time.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, now: t0}
		job := &jobs.Job{Job: wire.Job{ID: "job-1", Team: "t", CPUs: 1, Tasks: 4, Image: "img"}}
		for i := range 4 {
			w.tasks = append(w.tasks, &simTask{id: wire.TaskID{Job: "job-1", Index: i}, job: job})
		}
		for i := range 4 {
			w.workers = append(w.workers, &simWorker{heard: t0, rep: wire.Heartbeat{
				Machine: fmt.Sprintf("n-%d", i), Address: fmt.Sprintf("10.0.0.%d:1", i), Type: "g8", Zone: "a", Incarnation: 1,
			}})
		}
		w.lead()
		for range rapid.IntRange(10, 240).Draw(t, "steps") {
			w.step()
		}
		w.calm = true
		for _, k := range w.workers {
			k.hangs, k.deaf, k.silent = time.Time{}, time.Time{}, time.Time{}
		}
		// What the network keeps comes within five leases; a machine that was deaf again and again waits for longest.
		for end := w.now.Add(5*simLease + tuning.UnreachablePauseMax + tuning.ProbePauseMax); w.now.Before(end); {
			w.step()
		}
		for _, k := range w.workers {
			m := w.r.Machines[k.rep.Machine]
			if !k.dead && !w.r.WasReturned(k.rep.Machine) && (m == nil || !m.Alive() || !m.Usable(w.term, w.now)) {
				t.Fatalf("%s lives and is given no work: %+v", k.rep.Machine, m)
			}
		}
		for _, task := range w.tasks {
			if !task.done && slices.ContainsFunc(w.workers, func(k *simWorker) bool { return !k.dead }) {
				t.Fatalf("%v is not done: %+v; %s", task.id, task.place, w.show())
			}
		}
	})
}
