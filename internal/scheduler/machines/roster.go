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

// AttemptID is one attempt of a task.
type AttemptID struct {
	Task    wire.TaskID
	Attempt uint64
}

func attemptOf(p *jobs.Allocation) AttemptID { return AttemptID{Task: p.Task(), Attempt: p.Attempt} }

// Resources is what tasks take of a machine or a team.
type Resources struct{ CPUs, GPUs, MemoryGB float64 }

// Add adds n times another amount.
func (a *Resources) Add(b Resources, n float64) {
	a.CPUs += n * b.CPUs
	a.GPUs += n * b.GPUs
	a.MemoryGB += n * b.MemoryGB
}

// DemandOf is what one task of a job takes.
func DemandOf(j *wire.Job) Resources { return Resources{j.CPUs, j.GPUs, j.MemoryGB} }

// Machine is a rented machine, as far as it is known.
type Machine struct {
	Name, Address, Type, Zone string
	Spot                      bool
	ListedAddress             string // its address by the cloud's list; empty: not listed

	Incarnation      uint64 // the newest session known
	seq              uint64 // of the newest report of that session
	EndedIncarnation uint64 // this session and the earlier ones are over, with all their tasks
	FencingToken     uint64 // the highest token that the worker is known to have seen

	LastHeartbeat  time.Time // when its newest report came; zero: it never reported to us
	LeaseExpiry    time.Time // by then its session is over unless it reports again; zero: not counted
	InterruptionAt time.Time // when the cloud takes it, by its notice; zero: no notice

	Allocations map[AttemptID]*jobs.Allocation
	used        Resources // what they take, while counted
	counted     bool
	orphans     map[AttemptID]bool // reported tasks that no record places here
	sent        map[AttemptID]int  // starts sent by direct commands that had no answer (yet)

	images         map[string]*imageUse // images that its tasks had it fetch
	IdleSince      time.Time
	AddedAt        time.Time // when we learned of it
	RentedAt       time.Time // when it was rented, as far as known
	Draining       bool      // it gets no more tasks while the others suffice, and is returned once empty
	Returning      bool      // it gets no more tasks and is being deleted
	Unhealthy      bool      // tasks of several jobs failed on it
	UnansweredAt   time.Time // when a command to it was sent that had no answer
	RefusedAt      time.Time // it refused a task for room; not asked before
	ListedRunning  bool      // the cloud lists it as running
	MissedListings int       // lists in a row that lacked it, since it was last listed or heard
	errorsOf       map[string]bool
	RelativeSpeed  RelativeSpeed // how fast it runs against others

	Reachability   reachability.State // whether it hears us
	Known          bool               // the cloud or a record names it; else only its own reports do, which may be copies
	RentedThisTerm bool               // rented in this term, so that no leader before can have returned it
	SuspectCopy    bool               // a report came that looks older than one before: a copy, or the machine was started anew
	life           uint64             // the session to which it is to be asked; 0: the newest known
	previous       MessageMark        // the newest message of its former life, if it was started anew
	suspectNotice  bool               // its notice comes from a report that may be a copy
	told           told               // what the answer to its newest report said
}

// told is an answer to a report: the next report shows whether it arrived, since a worker has one report in flight.
type told struct {
	token    bool // it brought a token that the worker had not seen
	commands []wire.Command
}

// effect compares a report with the answer to the one before: whether something shows that the answer was carried out, and
// whether something shows that it was not.
func (t *told) effect(rep *wire.Heartbeat, listed map[AttemptID]*wire.TaskStatus, term uint64) (seen, missed bool) {
	if t.token {
		seen, missed = rep.FencingToken >= term, rep.FencingToken < term
	}
	for i := range t.commands {
		c := &t.commands[i]
		id, ok := wire.ParseTaskID(c.Task)
		if !ok {
			continue
		}
		task := listed[AttemptID{Task: id, Attempt: c.Attempt}]
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
	if m.FencingToken > term {
		return false // it obeys a later leader, or nobody
	}
	return m.Reachability.Usable(now, m.RentedThisTerm || m.Known && m.FencingToken+1 >= term)
}

// Alive tells whether the machine's present session can run tasks.
func (m *Machine) Alive() bool {
	return (!m.LastHeartbeat.IsZero() || m.Reachability.EverAcknowledged()) && m.Incarnation > m.EndedIncarnation
}

// LastSeen is when the machine last reported or answered us.
func (m *Machine) LastSeen() time.Time {
	if at := m.Reachability.AcknowledgedAt(); at.After(m.LastHeartbeat) {
		return at
	}
	return m.LastHeartbeat
}

// HasOrphans tells whether tasks run there that no record places there.
func (m *Machine) HasOrphans() bool { return len(m.orphans) > 0 }

// Used is what the tasks that may be on the machine take.
func (m *Machine) Used() Resources {
	if !m.counted {
		m.used, m.counted = Resources{}, true
		for _, p := range m.Allocations {
			m.used.Add(DemandOf(&p.Job.Job), 1)
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

// HasImage tells whether a machine with a cache of that size has an image, as far
// as its tasks show: one of them uses it, or what was used since leaves room
// for it. Without the size every image once used would count for ever.
func (m *Machine) HasImage(image string, cacheGB float64) bool {
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

// NoteFailure counts a failed task of a job that works elsewhere; several such
// jobs failing on a machine make it bad.
func (m *Machine) NoteFailure(job string) {
	if m.errorsOf == nil {
		m.errorsOf = map[string]bool{}
	}
	m.errorsOf[job] = true
	m.Unhealthy = m.Unhealthy || len(m.errorsOf) >= tuning.FaultyMachineJobs
}

// NoteCompletion takes in that a task completed on the machine: what failed there
// before does not count against it.
func (m *Machine) NoteCompletion() { clear(m.errorsOf) }

// Registry holds the machines.
type Registry struct {
	Machines map[string]*Machine

	term     uint64
	lease    time.Duration // a worker's lease, with drift and margin
	returned map[string]time.Time
}

// New makes the roster of a term. leaseS is the workers' lease in seconds.
func New(term uint64, leaseS float64) *Registry {
	return &Registry{
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

// WasReturned tells whether a machine was returned not long ago.
func (r *Registry) WasReturned(name string) bool { _, ok := r.returned[name]; return ok }

func (r *Registry) ensure(name string, now time.Time) *Machine {
	m := r.Machines[name]
	if m == nil {
		m = &Machine{
			Name: name, Allocations: map[AttemptID]*jobs.Allocation{}, orphans: map[AttemptID]bool{}, sent: map[AttemptID]int{},
			images: map[string]*imageUse{}, AddedAt: now, IdleSince: now, RentedAt: now,
		}
		r.Machines[name] = m
	}
	return m
}

// RestoreAllocation takes in a place that a former leader recorded. Whoever answered
// the machine last did so before our term began, so its lease runs from then at most.
func (r *Registry) RestoreAllocation(p *jobs.Allocation, begun time.Time) {
	m := r.ensure(p.Machine, begun)
	m.Allocations[attemptOf(p)] = p
	m.use(p, begun)
	m.Incarnation = max(m.Incarnation, p.Incarnation)
	m.Zone, m.Known = p.Zone, true
	if m.LeaseExpiry.Before(begun.Add(r.lease)) {
		m.LeaseExpiry = begun.Add(r.lease)
	}
}

// Register takes in a machine from the cloud: rented or listed.
func (r *Registry) Register(name, typ, zone string, spot bool, rented, now time.Time) *Machine {
	m := r.ensure(name, now)
	m.RentedAt, m.Known = rented, true
	if m.Address == "" { // else it said so itself
		m.Type, m.Zone, m.Spot = typ, zone, spot
	}
	return m
}

// AddAllocation puts a new place on its machine.
func (r *Registry) AddAllocation(p *jobs.Allocation, now time.Time) {
	m := r.ensure(p.Machine, now)
	m.Allocations[attemptOf(p)] = p
	m.use(p, now)
}

// RemoveAllocation takes a place that is proven gone off its machine.
func (r *Registry) RemoveAllocation(p *jobs.Allocation, now time.Time) {
	if m := r.Machines[p.Machine]; m != nil {
		if _, there := m.Allocations[attemptOf(p)]; there {
			delete(m.Allocations, attemptOf(p))
			m.unuse(p, now)
		}
		if len(m.Allocations) == 0 {
			m.IdleSince = now
		}
	}
}

// Outcome is the proven end of a task in a place.
type Outcome struct {
	Allocation   *jobs.Allocation
	Reason       wire.ExitReason // WhyStopped also when its machine's session is over
	Saved        bool            // it saved its progress when it was stopped
	Lost         bool            // nobody saw its end: its machine's session is over, or the machine is gone
	NotRunningAt time.Time       // a time at which it was known not to run yet; zero: none
}

// Ending names the end, for people.
func (o *Outcome) Ending() string {
	if o.Lost {
		return "lost"
	}
	return string(o.Reason)
}

// HeartbeatResult is what a report leads to.
type HeartbeatResult struct {
	Machine       *Machine
	Outcomes      []Outcome
	Commands      []wire.Command
	Started       []*jobs.Allocation // those that were seen to run for the first time
	RetainedExits []AttemptID        // exited attempts that may not be forgotten yet
	Changed       bool               // something that matters to placement changed, outcomes apart
}

// MayForget tells whether an exited attempt that no place holds may be
// forgotten: the stored record no longer names it.
type MayForget func(AttemptID) bool

// Heartbeat takes in a worker's report. direct: it is the answer to a direct
// command, so that no commands can be given back and it renews no lease; and
// it proves nothing of tasks that it lacks, since a report's answer may still
// be on its way to the worker.
func (r *Registry) Heartbeat(rep *wire.Heartbeat, direct bool, now time.Time, mayForget MayForget) (HeartbeatResult, error) {
	var a HeartbeatResult
	if r.WasReturned(rep.Machine) {
		return a, ErrReturned
	}
	m := r.Machines[rep.Machine]
	if m != nil {
		// A session whose lease ran out is over, whatever a late report says.
		if r.older(m, rep) || !direct && r.otherLife(m, rep) || rep.Incarnation <= m.EndedIncarnation {
			m.SuspectCopy = true
			return a, ErrStale
		}
		// A report in which its machine is another one is set aside, before it changes anything.
		if m.Address != "" && (m.Address != rep.Address || m.Type != rep.Type || m.Zone != rep.Zone || m.Spot != rep.Spot) {
			m.SuspectCopy = m.SuspectCopy || !direct
			return a, ErrContradicts
		}
	} else if direct {
		return a, ErrStale
	}
	m = r.ensure(rep.Machine, now)
	a.Machine = m
	usable := m.Usable(r.term, now)
	risen := rep.Incarnation > m.Incarnation // endSession settles its places then
	a.Changed = m.LastHeartbeat.IsZero() || risen
	if risen {
		// Its lease ran out though its reports were answered: the answers did not arrive.
		if !direct && now.Sub(m.LastHeartbeat) < r.lease/2 {
			m.Reachability.NoteMissed(now)
		}
		m.Incarnation, m.told = rep.Incarnation, told{}
		// Its lease counts from its begin, which may be this moment. When a direct answer told of it, the end of the
		// former session's lease once counted for the new one: tasks that had just been started there were started elsewhere.
		m.LeaseExpiry = now.Add(r.lease)
		r.endSession(m, rep.Incarnation-1, &a)
	}
	unseen := rep.FencingToken < r.term
	if direct || !unseen && !m.Reachability.EverAcknowledged() {
		m.Reachability.Acknowledged(now)
		m.SuspectCopy, m.life = m.SuspectCopy && !direct, 0
	}
	m.seq, m.FencingToken = rep.Seq, rep.FencingToken
	m.Address, m.Type, m.Zone, m.Spot = rep.Address, rep.Type, rep.Zone, rep.Spot
	if m.LastHeartbeat.IsZero() && len(m.Allocations) == 0 {
		m.IdleSince = now
	}
	before := m.LastHeartbeat
	m.MissedListings = 0
	// The first report that a new leader sees may be a copy, whose notice is as old as it is: it counts until the
	// machine has proved itself, and clears none.
	if m.Reachability.EverAcknowledged() && m.suspectNotice {
		m.InterruptionAt, m.suspectNotice = time.Time{}, false
	}
	switch {
	case !m.Reachability.EverAcknowledged() && rep.NoticeS == nil:
	case rep.NoticeS == nil:
		m.InterruptionAt = time.Time{}
	case m.InterruptionAt.IsZero():
		m.InterruptionAt = now.Add(time.Duration(max(0, *rep.NoticeS) * float64(time.Second)))
		m.suspectNotice = !m.Reachability.EverAcknowledged()
		a.Changed = true
	}
	if !direct {
		m.LastHeartbeat = now
		m.LeaseExpiry = now.Add(r.lease)
	}
	// Whatever an older term's leader sent directly can no longer start once
	// the worker has seen our token.
	fenced := rep.FencingToken >= r.term
	listed := make(map[AttemptID]*wire.TaskStatus, len(rep.Tasks))
	var stops, forgets, starts []wire.Command
	zero := 0.0
	for i := range rep.Tasks {
		t := &rep.Tasks[i]
		id, ok := wire.ParseTaskID(t.Task)
		if !ok {
			continue
		}
		k := AttemptID{Task: id, Attempt: t.Attempt}
		listed[k] = t
		p := m.Allocations[k]
		switch {
		case p == nil && t.State == wire.TaskExited:
			if m.orphans[k] {
				delete(m.orphans, k)
				a.Changed = true
			}
			switch {
			case !mayForget(k):
				a.RetainedExits = append(a.RetainedExits, k)
			case !direct && fenced && m.sent[k] == 0:
				forgets = append(forgets, wire.Command{Op: wire.OpForget, Task: t.Task, Attempt: t.Attempt})
			}
		case p == nil:
			// Nothing that we know of put it here. It counts until it is gone.
			m.orphans[k] = true
			stops = append(stops, wire.Command{Op: wire.OpStop, Task: t.Task, Attempt: t.Attempt, GraceS: &zero})
		case t.State == wire.TaskExited && t.Reason != wire.ExitDone && !direct && !fenced:
			// Perhaps a copy from a former life, in which the attempt was stopped; a recorded attempt is started again in the
			// next one. What completed, completed.
		case t.State == wire.TaskExited:
			a.Outcomes = append(a.Outcomes, Outcome{Allocation: p, Reason: t.Reason, Saved: t.Saved, NotRunningAt: before})
		default:
			if t.State == wire.TaskRunning && p.State != wire.TaskRunning {
				p.RunningSince = now
				a.Started = append(a.Started, p)
			}
			p.State = t.State
			if p.Stop != nil && (t.State != wire.TaskSaving || p.Stop.GraceS == 0) {
				stops = append(stops, stopCommand(p))
			}
		}
	}
	for k := range m.orphans {
		// A stray that the newest report lacks is gone.
		if listed[k] == nil && !direct {
			delete(m.orphans, k)
			a.Changed = true
		}
	}
	for k, p := range m.Allocations {
		if !risen && fenced && p.Incarnation < rep.Incarnation {
			// Recorded in a session that is over, beside others of a later one: a leader ended before it had written that
			// the task is gone. The session did not rise for this one, so the task was never wanted again. Without our
			// token the report may be a copy from a former life, and the task in the session of the life that runs.
			a.Outcomes = append(a.Outcomes, Outcome{Allocation: p, Reason: wire.ExitStopped, Lost: true})
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
		case m.sent[k] > 0 || now.Sub(p.StartSentAt) < tuning.HeartbeatReplyLife || !rep.Newer(m.previous.Incarnation, m.previous.Seq):
			// The report may be a copy from a former life that we know of. Or a direct start may still arrive, or the answer that held one: the report may be a copy from a former life of
			// a machine that was started anew. Started and stopped here, the
			// attempt becomes known, and the late start has no effect.
			starts = append(starts, startCommand(p), stopCommand(p))
			p.StartSentAt = now
		default:
			// No answer of ours that held its start is still on the way, since workers drop them after 4 s: it is not there.
			a.Outcomes = append(a.Outcomes, Outcome{Allocation: p, Reason: wire.ExitStopped, NotRunningAt: now})
		}
	}
	if !direct {
		switch seen, missed := m.told.effect(rep, listed, r.term); {
		case seen:
			m.Reachability.Acknowledged(now)
		case missed:
			m.Reachability.NoteMissed(now)
		}
		a.Commands = append(append(append(make([]wire.Command, 0, len(stops)+len(forgets)+len(starts)), stops...), forgets...), starts...)
		m.told = told{unseen, a.Commands}
	}
	a.Changed = a.Changed || !usable && m.Usable(r.term, now)
	return a, nil
}

// older tells whether a message is no newer than one that is known of its machine. Direct answers tell the order as well, also of
// a machine that has not reported to us yet.
func (r *Registry) older(m *Machine, rep *wire.Heartbeat) bool {
	return rep.Incarnation < m.Incarnation || !rep.Newer(m.Incarnation, m.seq) && (m.seq > 0 || !m.LastHeartbeat.IsZero())
}

// otherLife tells whether a report that looks newer may be of another life of its machine, as far as that was started anew: then
// the machine itself is to tell.
func (r *Registry) otherLife(m *Machine, rep *wire.Heartbeat) bool {
	risen := rep.Incarnation > m.Incarnation
	switch {
	case rep.FencingToken < m.FencingToken: // a worker keeps the highest token that it has seen
		return true
	case risen && !rep.Newer(m.previous.Incarnation, m.previous.Seq): // a copy from before looks newer than all of the new life
		return true
	}
	// What is recorded there would count as gone, by a session that may be that of a former life, of which this leader never
	// knew, unless the machine has proved itself in this term.
	return risen && len(m.Allocations) > 0 && rep.FencingToken < r.term && !m.Reachability.EverAcknowledged()
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
func (r *Registry) endSession(m *Machine, last uint64, a *HeartbeatResult) {
	m.EndedIncarnation = max(m.EndedIncarnation, last)
	for _, p := range m.Allocations {
		if p.Incarnation <= last {
			a.Outcomes = append(a.Outcomes, Outcome{Allocation: p, Reason: wire.ExitStopped, Lost: true})
		}
	}
	clear(m.orphans)
	clear(m.sent)
}

// ExpiredLeases names the machines whose leases have run out, as far as the answers of
// leaders go.
func (r *Registry) ExpiredLeases(now time.Time) []string {
	var due []string
	for _, m := range r.Machines {
		if !m.LeaseExpiry.IsZero() && !now.Before(m.LeaseExpiry) && m.Incarnation > m.EndedIncarnation {
			due = append(due, m.Name)
		}
	}
	for name, at := range r.returned {
		if now.Sub(at) > tuning.ForgetReturned {
			delete(r.returned, name)
		}
	}
	return due
}

// EndExpired ends the sessions whose leases had run out by the time when it was
// asked which machines followers answer in the leader's stead. Those that are
// kept so are asked about again; one that is not was answered by no follower
// for a whole lease before.
func (r *Registry) EndExpired(asked time.Time, kept map[string]bool) []Outcome {
	var a HeartbeatResult
	for _, name := range r.ExpiredLeases(asked) {
		if m := r.Machines[name]; !kept[name] {
			r.endSession(m, m.Incarnation, &a)
		}
	}
	return a.Outcomes
}

// MarkLost records that a machine is gone with all that was on it: its deletion
// was answered, or the cloud lists it as failed.
func (r *Registry) MarkLost(name string, now time.Time) []Outcome {
	r.returned[name] = now
	m := r.Machines[name]
	if m == nil {
		return nil
	}
	var outs []Outcome
	for _, p := range m.Allocations {
		outs = append(outs, Outcome{Allocation: p, Reason: wire.ExitStopped, Lost: true})
	}
	delete(r.Machines, name)
	return outs
}

// Forget forgets a machine that no longer exists and holds nothing.
func (r *Registry) Forget(name string) { delete(r.Machines, name) }

// CommandsFor makes the request that tells a machine at once what was decided for
// some of its places: starts, or stops where they are wanted. It is nil when
// the machine cannot be told. Sent must be told how it went.
func (r *Registry) CommandsFor(name string, places []*jobs.Allocation) (addr string, req *wire.DirectCommands) {
	m := r.Machines[name]
	if m == nil || m.Address == "" || !m.Alive() || m.Returning {
		return "", nil
	}
	req = &wire.DirectCommands{FencingToken: r.term, Incarnation: m.Incarnation}
	for _, p := range places {
		switch {
		case p.Removed || !p.Committed || p.Incarnation != m.Incarnation:
		case p.Stop == nil:
			m.sent[attemptOf(p)]++
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

// CommandsAnswered records that a direct request had a definite answer: it will not be
// executed again. Without one its starts stay open for the session's rest.
func (r *Registry) CommandsAnswered(name string, req *wire.DirectCommands) {
	m := r.Machines[name]
	if m == nil || m.Incarnation != req.Incarnation {
		return
	}
	for _, c := range req.Commands {
		if id, ok := wire.ParseTaskID(c.Task); ok && c.Op == wire.OpStart {
			k := AttemptID{Task: id, Attempt: c.Attempt}
			if m.sent[k]--; m.sent[k] <= 0 {
				delete(m.sent, k)
			}
		}
	}
}
