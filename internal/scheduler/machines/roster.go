// Package machines keeps the machines: what their workers report, how long a
// task on them may still be alive, and the commands that bring what runs in
// line with what the book wants.
//
// The Roster belongs to the leader's loop and is not safe for concurrent use.
package machines

import (
	"errors"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/reachability"
)

// Key is one attempt of a task.
type Key struct {
	Task    wire.TaskID
	Attempt uint64
}

func keyOf(p *jobs.Allocation) Key { return Key{Task: p.Task(), Attempt: p.Attempt} }

// Amount is what tasks take of a machine or a team.
type Amount struct{ CPUs, GPUs, MemoryGB float64 }

// Add adds n times another amount.
func (a *Amount) Add(b Amount, n float64) {
	a.CPUs += n * b.CPUs
	a.GPUs += n * b.GPUs
	a.MemoryGB += n * b.MemoryGB
}

// Of is what one task of a job takes.
func Of(j *wire.Job) Amount { return Amount{j.CPUs, j.GPUs, j.MemoryGB} }

// Machine is a rented machine, as far as it is known.
type Machine struct {
	Name, Address, Type, Zone string
	Spot                      bool
	Listed                    string // its address by the cloud's list; empty: not listed

	Session uint64 // the newest session known
	seq     uint64 // of the newest report of that session
	Dead    uint64 // this session and the earlier ones are over, with all their tasks
	Token   uint64 // the highest token that the worker is known to have seen

	Heard    time.Time // when its newest report came; zero: it never reported to us
	LeaseEnd time.Time // by then its session is over unless it reports again; zero: not counted
	Notice   time.Time // when the cloud takes it, by its notice; zero: no notice

	Places  map[Key]*jobs.Allocation
	used    Amount // what they take, while counted
	counted bool
	strays  map[Key]bool // reported tasks that no record places here
	sent    map[Key]int  // starts sent by direct commands that had no answer (yet)

	images     map[string]*imageUse // images that its tasks had it fetch
	IdleSince  time.Time
	Added      time.Time // when we learned of it
	Rented     time.Time // when it was rented, as far as known
	Draining   bool      // it gets no more tasks while the others suffice, and is returned once empty
	Returning  bool      // it gets no more tasks and is being deleted
	Bad        bool      // tasks of several jobs failed on it
	Unanswered time.Time // when a command to it was sent that had no answer
	NoRoom     time.Time // it refused a task for room; not asked before
	Up         bool      // the cloud lists it as running
	Unlisted   int       // lists in a row that lacked it, since it was last listed or heard
	errorsOf   map[string]bool
	Pace       Pace // how fast it runs against others

	Reach  reachability.State // whether it hears us
	Known  bool               // the cloud or a record names it; else only its own reports do, which may be copies
	Ours   bool               // rented in this term, so that no leader before can have returned it
	Doubt  bool               // a report came that looks older than one before: a copy, or the machine was started anew
	life   uint64             // the session to which it is to be asked; 0: the newest known
	former Mark               // the newest message of its former life, if it was started anew
	loose  bool               // its notice comes from a report that may be a copy
	told   told               // what the answer to its newest report said
}

// told is an answer to a report: the next report shows whether it arrived, since a worker has one report in flight.
type told struct {
	token    bool // it brought a token that the worker had not seen
	commands []wire.Command
}

// effect compares a report with the answer to the one before: whether something shows that the answer was carried out, and
// whether something shows that it was not.
func (t *told) effect(rep *wire.Heartbeat, listed map[Key]*wire.TaskStatus, term uint64) (seen, missed bool) {
	if t.token {
		seen, missed = rep.FencingToken >= term, rep.FencingToken < term
	}
	for i := range t.commands {
		c := &t.commands[i]
		id, ok := wire.ParseTaskID(c.Task)
		if !ok {
			continue
		}
		task := listed[Key{Task: id, Attempt: c.Attempt}]
		there := task != nil && task.State != wire.TaskExited
		switch c.Op {
		case wire.OpStart: // whatever came of it, it is listed until it is forgotten
			seen, missed = seen || task != nil, missed || task == nil
		case wire.OpStop:
			missed = missed || there && task.State != wire.TaskSaving
		case wire.OpForget:
			seen, missed = seen || task == nil, missed || task != nil
		}
	}
	return seen, missed && !seen
}

// Usable tells whether the machine may be given work now, as far as the way to it goes: it proved to hear us, or there is
// no reason to think that its reports are copies, and it is not found deaf. term is ours.
func (m *Machine) Usable(term uint64, now time.Time) bool {
	if m.Token > term {
		return false // it obeys a later leader, or nobody
	}
	return m.Reach.Usable(now, m.Ours || m.Known && m.Token+1 >= term)
}

// Alive tells whether the machine's present session can run tasks.
func (m *Machine) Alive() bool { return (!m.Heard.IsZero() || m.Reach.Proven()) && m.Session > m.Dead }

// Seen is when the machine last reported or answered us.
func (m *Machine) Seen() time.Time {
	if at := m.Reach.ProvenAt(); at.After(m.Heard) {
		return at
	}
	return m.Heard
}

// HasStrays tells whether tasks run there that no record places there.
func (m *Machine) HasStrays() bool { return len(m.strays) > 0 }

// Used is what the tasks that may be on the machine take.
func (m *Machine) Used() Amount {
	if !m.counted {
		m.used, m.counted = Amount{}, true
		for _, p := range m.Places {
			m.used.Add(Of(&p.Job.Job), 1)
		}
	}
	return m.used
}

// imageUse is what is known of an image on a machine.
type imageUse struct {
	gb    float64
	tasks int       // placed tasks that use it
	last  time.Time // when the last one was placed or went
}

func (m *Machine) use(p *jobs.Allocation, now time.Time) {
	m.counted = false
	u := m.images[p.Job.Image]
	if u == nil {
		if len(m.images) >= tuning.ImagesKnown {
			clear(m.images) // it cannot hold so many; what is used is noted again
		}
		u = &imageUse{gb: p.Job.ImageGB}
		m.images[p.Job.Image] = u
	}
	u.tasks++
	u.last = now
}

func (m *Machine) unuse(p *jobs.Allocation, now time.Time) {
	m.counted = false
	if u := m.images[p.Job.Image]; u != nil {
		u.tasks = max(0, u.tasks-1)
		u.last = now
	}
}

// Holds tells whether a machine with a cache of that size has an image, as far
// as its tasks show: one of them uses it, or what was used since leaves room
// for it. Without the size every image once used would count for ever.
func (m *Machine) Holds(image string, cacheGB float64) bool {
	u := m.images[image]
	if u == nil || u.tasks > 0 || cacheGB <= 0 {
		return u != nil
	}
	sum := u.gb
	for _, o := range m.images {
		if o != u && (o.tasks > 0 || o.last.After(u.last)) {
			sum += o.gb
		}
	}
	return sum <= cacheGB
}

// NoteError counts a failed task of a job that works elsewhere; several such
// jobs failing on a machine make it bad.
func (m *Machine) NoteError(job string) {
	if m.errorsOf == nil {
		m.errorsOf = map[string]bool{}
	}
	m.errorsOf[job] = true
	m.Bad = m.Bad || len(m.errorsOf) >= tuning.BadMachineJobs
}

// NoteDone takes in that a task completed on the machine: what failed there
// before does not count against it.
func (m *Machine) NoteDone() { clear(m.errorsOf) }

// Roster holds the machines.
type Roster struct {
	Machines map[string]*Machine

	term     uint64
	lease    time.Duration // a worker's lease, with drift and margin
	returned map[string]time.Time
}

// New makes the roster of a term. leaseS is the workers' lease in seconds.
func New(term uint64, leaseS float64) *Roster {
	return &Roster{
		Machines: map[string]*Machine{}, term: term, returned: map[string]time.Time{},
		lease: time.Duration(leaseS*(1+tuning.ClockDrift)*float64(time.Second)) + tuning.LeaseMargin,
	}
}

var (
	// ErrStale tells that a newer report of the machine is known.
	ErrStale = errors.New("a newer report is known")
	// ErrReturned tells that the machine was returned; it is gone.
	ErrReturned = errors.New("the machine was returned")
	// ErrContradicts tells that a report says of its machine what cannot change while it is there.
	ErrContradicts = errors.New("the report contradicts what is known of its machine")
)

// Was tells whether a machine was returned not long ago.
func (r *Roster) Was(name string) bool { _, ok := r.returned[name]; return ok }

func (r *Roster) ensure(name string, now time.Time) *Machine {
	m := r.Machines[name]
	if m == nil {
		m = &Machine{
			Name: name, Places: map[Key]*jobs.Allocation{}, strays: map[Key]bool{}, sent: map[Key]int{},
			images: map[string]*imageUse{}, Added: now, IdleSince: now, Rented: now,
		}
		r.Machines[name] = m
	}
	return m
}

// Inherit takes in a place that a former leader recorded. Whoever answered
// the machine last did so before our term began, so its lease runs from then at most.
func (r *Roster) Inherit(p *jobs.Allocation, begun time.Time) {
	m := r.ensure(p.Machine, begun)
	m.Places[keyOf(p)] = p
	m.use(p, begun)
	m.Session = max(m.Session, p.Incarnation)
	m.Zone, m.Known = p.Zone, true
	if m.LeaseEnd.Before(begun.Add(r.lease)) {
		m.LeaseEnd = begun.Add(r.lease)
	}
}

// Know takes in a machine from the cloud: rented or listed.
func (r *Roster) Know(name, typ, zone string, spot bool, rented, now time.Time) *Machine {
	m := r.ensure(name, now)
	m.Rented, m.Known = rented, true
	if m.Address == "" { // else it said so itself
		m.Type, m.Zone, m.Spot = typ, zone, spot
	}
	return m
}

// Add puts a new place on its machine.
func (r *Roster) Add(p *jobs.Allocation, now time.Time) {
	m := r.ensure(p.Machine, now)
	m.Places[keyOf(p)] = p
	m.use(p, now)
}

// Remove takes a place that is proven gone off its machine.
func (r *Roster) Remove(p *jobs.Allocation, now time.Time) {
	if m := r.Machines[p.Machine]; m != nil {
		if _, there := m.Places[keyOf(p)]; there {
			delete(m.Places, keyOf(p))
			m.unuse(p, now)
		}
		if len(m.Places) == 0 {
			m.IdleSince = now
		}
	}
}

// Outcome is the proven end of a task in a place.
type Outcome struct {
	Allocation *jobs.Allocation
	Why        wire.ExitReason // WhyStopped also when its machine's session is over
	Saved      bool            // it saved its progress when it was stopped
	Lost       bool            // nobody saw its end: its machine's session is over, or the machine is gone
	Idle       time.Time       // a time at which it was known not to run yet; zero: none
}

// How names the end, for people.
func (o *Outcome) How() string {
	if o.Lost {
		return "lost"
	}
	return string(o.Why)
}

// Answer is what a report leads to.
type Answer struct {
	Machine  *Machine
	Outcomes []Outcome
	Commands []wire.Command
	Began    []*jobs.Allocation // those that were seen to run for the first time
	Held     []Key              // exited attempts that may not be forgotten yet
	Changed  bool               // something that matters to placement changed, outcomes apart
}

// MayForget tells whether an exited attempt that no place holds may be
// forgotten: the stored record no longer names it.
type MayForget func(Key) bool

// Report takes in a worker's report. direct: it is the answer to a direct
// command, so that no commands can be given back and it renews no lease; and
// it proves nothing of tasks that it lacks, since a report's answer may still
// be on its way to the worker.
func (r *Roster) Report(rep *wire.Heartbeat, direct bool, now time.Time, mayForget MayForget) (Answer, error) {
	var a Answer
	if r.Was(rep.Machine) {
		return a, ErrReturned
	}
	m := r.Machines[rep.Machine]
	if m != nil {
		// A session whose lease ran out is over, whatever a late report says.
		if r.older(m, rep) || !direct && r.otherLife(m, rep) || rep.Incarnation <= m.Dead {
			m.Doubt = true
			return a, ErrStale
		}
		// A report in which its machine is another one is set aside, before it changes anything.
		if m.Address != "" && (m.Address != rep.Address || m.Type != rep.Type || m.Zone != rep.Zone || m.Spot != rep.Spot) {
			m.Doubt = m.Doubt || !direct
			return a, ErrContradicts
		}
	} else if direct {
		return a, ErrStale
	}
	m = r.ensure(rep.Machine, now)
	a.Machine = m
	usable := m.Usable(r.term, now)
	risen := rep.Incarnation > m.Session // endSession settles its places then
	a.Changed = m.Heard.IsZero() || risen
	if risen {
		// Its lease ran out though its reports were answered: the answers did not arrive.
		if !direct && now.Sub(m.Heard) < r.lease/2 {
			m.Reach.Missed(now)
		}
		m.Session, m.told = rep.Incarnation, told{}
		// Its lease counts from its begin, which may be this moment. When a direct answer told of it, the end of the
		// former session's lease once counted for the new one: tasks that had just been started there were started elsewhere.
		m.LeaseEnd = now.Add(r.lease)
		r.endSession(m, rep.Incarnation-1, &a)
	}
	unseen := rep.FencingToken < r.term
	if direct || !unseen && !m.Reach.Proven() {
		m.Reach.Proved(now)
		m.Doubt, m.life = m.Doubt && !direct, 0
	}
	m.seq, m.Token = rep.Seq, rep.FencingToken
	m.Address, m.Type, m.Zone, m.Spot = rep.Address, rep.Type, rep.Zone, rep.Spot
	if m.Heard.IsZero() && len(m.Places) == 0 {
		m.IdleSince = now
	}
	before := m.Heard
	m.Unlisted = 0
	// The first report that a new leader sees may be a copy, whose notice is as old as it is: it counts until the
	// machine has proved itself, and clears none.
	if m.Reach.Proven() && m.loose {
		m.Notice, m.loose = time.Time{}, false
	}
	switch {
	case !m.Reach.Proven() && rep.NoticeS == nil:
	case rep.NoticeS == nil:
		m.Notice = time.Time{}
	case m.Notice.IsZero():
		m.Notice = now.Add(time.Duration(max(0, *rep.NoticeS) * float64(time.Second)))
		m.loose = !m.Reach.Proven()
		a.Changed = true
	}
	if !direct {
		m.Heard = now
		m.LeaseEnd = now.Add(r.lease)
	}
	// Whatever an older term's leader sent directly can no longer start once
	// the worker has seen our token.
	fenced := rep.FencingToken >= r.term
	listed := make(map[Key]*wire.TaskStatus, len(rep.Tasks))
	var stops, forgets, starts []wire.Command
	zero := 0.0
	for i := range rep.Tasks {
		t := &rep.Tasks[i]
		id, ok := wire.ParseTaskID(t.Task)
		if !ok {
			continue
		}
		k := Key{Task: id, Attempt: t.Attempt}
		listed[k] = t
		p := m.Places[k]
		switch {
		case p == nil && t.State == wire.TaskExited:
			if m.strays[k] {
				delete(m.strays, k)
				a.Changed = true
			}
			switch {
			case !mayForget(k):
				a.Held = append(a.Held, k)
			case !direct && fenced && m.sent[k] == 0:
				forgets = append(forgets, wire.Command{Op: wire.OpForget, Task: t.Task, Attempt: t.Attempt})
			}
		case p == nil:
			// Nothing that we know of put it here. It counts until it is gone.
			m.strays[k] = true
			stops = append(stops, wire.Command{Op: wire.OpStop, Task: t.Task, Attempt: t.Attempt, GraceS: &zero})
		case t.State == wire.TaskExited && t.Reason != wire.ExitDone && !direct && !fenced:
			// Perhaps a copy from a former life, in which the attempt was stopped; a recorded attempt is started again in the
			// next one. What completed, completed.
		case t.State == wire.TaskExited:
			a.Outcomes = append(a.Outcomes, Outcome{Allocation: p, Why: t.Reason, Saved: t.Saved, Idle: before})
		default:
			if t.State == wire.TaskRunning && p.State != wire.TaskRunning {
				p.RunningSince = now
				a.Began = append(a.Began, p)
			}
			p.State = t.State
			if p.Stop != nil && (t.State != wire.TaskSaving || p.Stop.GraceS == 0) {
				stops = append(stops, stopCommand(p))
			}
		}
	}
	for k := range m.strays {
		// A stray that the newest report lacks is gone.
		if listed[k] == nil && !direct {
			delete(m.strays, k)
			a.Changed = true
		}
	}
	for k, p := range m.Places {
		if !risen && fenced && p.Incarnation < rep.Incarnation {
			// Recorded in a session that is over, beside others of a later one: a leader ended before it had written that
			// the task is gone. The session did not rise for this one, so the task was never wanted again. Without our
			// token the report may be a copy from a former life, and the task in the session of the life that runs.
			a.Outcomes = append(a.Outcomes, Outcome{Allocation: p, Why: wire.ExitStopped, Lost: true})
			continue
		}
		if listed[k] != nil || !p.Committed || p.Incarnation != rep.Incarnation {
			continue
		}
		switch {
		case p.Stop == nil:
			// Starting the same attempt again has no effect if it is known there.
			starts = append(starts, startCommand(p))
			if !direct {
				p.StartSentAt = now
			}
		case direct || !fenced:
		case m.sent[k] > 0 || now.Sub(p.StartSentAt) < tuning.AnswerLife || !rep.Newer(m.former.Session, m.former.Seq):
			// The report may be a copy from a former life that we know of. Or a direct start may still arrive, or the answer that held one: the report may be a copy from a former life of
			// a machine that was started anew. Started and stopped here, the
			// attempt becomes known, and the late start has no effect.
			starts = append(starts, startCommand(p), stopCommand(p))
			p.StartSentAt = now
		default:
			// No answer of ours that held its start is still on the way, since workers drop them after 4 s: it is not there.
			a.Outcomes = append(a.Outcomes, Outcome{Allocation: p, Why: wire.ExitStopped, Idle: now})
		}
	}
	if !direct {
		switch seen, missed := m.told.effect(rep, listed, r.term); {
		case seen:
			m.Reach.Proved(now)
		case missed:
			m.Reach.Missed(now)
		}
		a.Commands = append(append(append(make([]wire.Command, 0, len(stops)+len(forgets)+len(starts)), stops...), forgets...), starts...)
		m.told = told{unseen, a.Commands}
	}
	a.Changed = a.Changed || !usable && m.Usable(r.term, now)
	return a, nil
}

// older tells whether a message is no newer than one that is known of its machine. Direct answers tell the order as well, also of
// a machine that has not reported to us yet.
func (r *Roster) older(m *Machine, rep *wire.Heartbeat) bool {
	return rep.Incarnation < m.Session || !rep.Newer(m.Session, m.seq) && (m.seq > 0 || !m.Heard.IsZero())
}

// otherLife tells whether a report that looks newer may be of another life of its machine, as far as that was started anew: then
// the machine itself is to tell.
func (r *Roster) otherLife(m *Machine, rep *wire.Heartbeat) bool {
	risen := rep.Incarnation > m.Session
	switch {
	case rep.FencingToken < m.Token: // a worker keeps the highest token that it has seen
		return true
	case risen && !rep.Newer(m.former.Session, m.former.Seq): // a copy from before looks newer than all of the new life
		return true
	}
	// What is recorded there would count as gone, by a session that may be that of a former life, of which this leader never
	// knew, unless the machine has proved itself in this term.
	return risen && len(m.Places) > 0 && rep.FencingToken < r.term && !m.Reach.Proven()
}

func startCommand(p *jobs.Allocation) wire.Command {
	return wire.Command{Op: wire.OpStart, Task: p.Task().String(), Attempt: p.Attempt}
}

func stopCommand(p *jobs.Allocation) wire.Command {
	grace := p.Stop.GraceS
	return wire.Command{Op: wire.OpStop, Task: p.Task().String(), Attempt: p.Attempt, GraceS: &grace}
}

// endSession records that a machine's sessions up to last are over: what was
// started in them is gone.
func (r *Roster) endSession(m *Machine, last uint64, a *Answer) {
	m.Dead = max(m.Dead, last)
	for _, p := range m.Places {
		if p.Incarnation <= last {
			a.Outcomes = append(a.Outcomes, Outcome{Allocation: p, Why: wire.ExitStopped, Lost: true})
		}
	}
	clear(m.strays)
	clear(m.sent)
}

// Due names the machines whose leases have run out, as far as the answers of
// leaders go.
func (r *Roster) Due(now time.Time) []string {
	var due []string
	for _, m := range r.Machines {
		if !m.LeaseEnd.IsZero() && !now.Before(m.LeaseEnd) && m.Session > m.Dead {
			due = append(due, m.Name)
		}
	}
	for name, at := range r.returned {
		if now.Sub(at) > tuning.ForgetReleased {
			delete(r.returned, name)
		}
	}
	return due
}

// Expire ends the sessions whose leases had run out by the time when it was
// asked which machines followers answer in the leader's stead. Those that are
// kept so are asked about again; one that is not was answered by no follower
// for a whole lease before.
func (r *Roster) Expire(asked time.Time, kept map[string]bool) []Outcome {
	var a Answer
	for _, name := range r.Due(asked) {
		if m := r.Machines[name]; !kept[name] {
			r.endSession(m, m.Session, &a)
		}
	}
	return a.Outcomes
}

// Lost records that a machine is gone with all that was on it: its deletion
// was answered, or the cloud lists it as failed.
func (r *Roster) Lost(name string, now time.Time) []Outcome {
	r.returned[name] = now
	m := r.Machines[name]
	if m == nil {
		return nil
	}
	var outs []Outcome
	for _, p := range m.Places {
		outs = append(outs, Outcome{Allocation: p, Why: wire.ExitStopped, Lost: true})
	}
	delete(r.Machines, name)
	return outs
}

// Drop forgets a machine that no longer exists and holds nothing.
func (r *Roster) Drop(name string) { delete(r.Machines, name) }

// Direct makes the request that tells a machine at once what was decided for
// some of its places: starts, or stops where they are wanted. It is nil when
// the machine cannot be told. Sent must be told how it went.
func (r *Roster) Direct(name string, places []*jobs.Allocation) (addr string, req *wire.DirectCommands) {
	m := r.Machines[name]
	if m == nil || m.Address == "" || !m.Alive() || m.Returning {
		return "", nil
	}
	req = &wire.DirectCommands{FencingToken: r.term, Incarnation: m.Session}
	for _, p := range places {
		switch {
		case p.Removed || !p.Committed || p.Incarnation != m.Session:
		case p.Stop == nil:
			m.sent[keyOf(p)]++
			req.Commands = append(req.Commands, startCommand(p))
		case p.State != "":
			req.Commands = append(req.Commands, stopCommand(p))
		}
	}
	if len(req.Commands) == 0 {
		return "", nil
	}
	return m.Address, req
}

// Sent records that a direct request had a definite answer: it will not be
// executed again. Without one its starts stay open for the session's rest.
func (r *Roster) Sent(name string, req *wire.DirectCommands) {
	m := r.Machines[name]
	if m == nil || m.Session != req.Incarnation {
		return
	}
	for _, c := range req.Commands {
		if id, ok := wire.ParseTaskID(c.Task); ok && c.Op == wire.OpStart {
			k := Key{Task: id, Attempt: c.Attempt}
			if m.sent[k]--; m.sent[k] <= 0 {
				delete(m.sent, k)
			}
		}
	}
}
