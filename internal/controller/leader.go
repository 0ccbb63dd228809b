package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"time"

	"poppypass/internal/fleet"
	"poppypass/internal/httpjson"
	"poppypass/internal/jobs"
	"poppypass/internal/leadership"
	"poppypass/internal/placement"
	"poppypass/internal/roster"
	"poppypass/internal/statestore"
	"poppypass/internal/tuning"
	"poppypass/internal/wire"
)

// leader is the loop of one tenure. One goroutine owns all its state; I/O is
// done by others, which hand their results back as messages.
type leader struct {
	c      *Controller
	tenure leadership.Tenure
	log    *slog.Logger
	inbox  chan func()
	ended  context.Context
	end    context.CancelCauseFunc

	store   *statestore.Client // with the leader's share of the limits
	book    *jobs.Book
	roster  *roster.Roster
	fleet   fleetState
	begun   time.Time
	loaded  bool // all stored records are in: before, nothing is placed or concluded
	writing bool // a transaction is on its way
	asking  bool // the machines that followers answer are being read
	nextAsk time.Time

	changed  bool          // a pass could find something new
	rested   time.Time     // no pass before, whatever changed
	passWait time.Duration // the pause until the next pass that nothing woke
	nextPass time.Time
}

var errTenureOver = errors.New("the tenure is over")

// lead runs the leader's loop until the tenure is lost.
func (c *Controller) lead(ctx context.Context, t leadership.Tenure) {
	l := newLeader(c, t)
	ctx, l.end = context.WithCancelCause(ctx)
	l.ended = ctx
	c.setCloudShare(true)
	c.leading.Store(l)
	defer func() {
		c.leading.Store(nil)
		c.setCloudShare(false)
		l.end(errTenureOver)
	}()
	go l.load(ctx)
	if types := c.machineTypes(); types != nil {
		go c.storeTypes(ctx, types)
	}
	l.run(ctx)
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, context.Canceled) {
		l.log.Error("leadership given up", "err", cause)
	}
}

func newLeader(c *Controller, t leadership.Tenure) *leader {
	now := c.clock.Now()
	return &leader{
		c: c, tenure: t, log: c.log.With("term", t.Term), inbox: make(chan func(), tuning.Inbox),
		book: jobs.NewBook(c.settings.Cluster.State.TxnOps), roster: roster.New(t.Term, c.settings.Cluster.Workers.LeaseS),
		store: c.store.Share(tuning.LeaderShare),
		begun: now, passWait: tuning.PassWaitMin, fleet: newFleetState(),
	}
}

func (l *leader) run(ctx context.Context) {
	tick := l.c.clock.NewTicker(tuning.Tick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case fn := <-l.inbox:
			fn()
			l.drain()
		case <-tick.Chan():
		}
		l.step(l.c.clock.Now())
	}
}

// drain takes what else has come in, so that changes that come together share
// one pass.
func (l *leader) drain() {
	for range len(l.inbox) {
		select {
		case fn := <-l.inbox:
			fn()
		default:
			return
		}
	}
}

// post hands a message to the loop; it is lost when the tenure is over.
func (l *leader) post(fn func()) {
	select {
	case l.inbox <- fn:
	case <-l.ended.Done():
	}
}

// ask has the loop answer a question.
func ask[T any](ctx context.Context, l *leader, fn func(answer func(T))) (T, error) {
	ch := make(chan T, 1)
	var zero T
	select {
	case l.inbox <- func() { fn(func(v T) { ch <- v }) }:
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-l.ended.Done():
		return zero, errTenureOver
	}
	select {
	case v := <-ch:
		return v, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-l.ended.Done():
		return zero, errTenureOver
	}
}

// load reads the stored jobs and their progress, then follows new jobs.
func (l *leader) load(ctx context.Context) {
	var revision uint64
	read := func(prefix string, take func([]wire.Item)) bool {
		for pause := tuning.StateRetry; ctx.Err() == nil; pause = min(2*pause, tuning.StateRetryMax) {
			rev, err := l.store.Urgent().ListAll(ctx, prefix, func(items []wire.Item) error {
				_, err := ask(ctx, l, func(answer func(bool)) { take(items); answer(true) })
				return err
			})
			if err == nil {
				if prefix == jobs.PrefixJob {
					revision = rev
				}
				return true
			}
			l.log.Debug("records unreadable", "prefix", prefix, "err", err)
			l.c.sleep(ctx, pause)
		}
		return false
	}
	if !read(jobs.PrefixJob, l.takeJobs) {
		return
	}
	// The progress is gathered first and taken in at once: a repeated reading
	// must not count a place twice.
	var progress []wire.Item
	if !read(jobs.PrefixRun, func(items []wire.Item) { progress = append(progress, items...) }) {
		return
	}
	l.post(func() { l.takeProgress(progress) })
	for ctx.Err() == nil {
		r, err := l.store.Watch(ctx, jobs.PrefixJob, revision, tuning.JobWatch)
		switch {
		case errors.Is(err, errCompacted):
			l.end(fmt.Errorf("missed changes of jobs: %w", err))
			return
		case err != nil:
			l.c.sleep(ctx, tuning.StateRetry)
			continue
		}
		revision = max(revision, r.Revision)
		var items []wire.Item
		for _, e := range r.Events {
			revision = max(revision, e.Version)
			if e.Put != "" {
				items = append(items, wire.Item{Key: e.Put, Value: e.Value, Version: e.Version})
			}
		}
		if len(items) > 0 {
			l.post(func() { l.takeJobs(items) })
		}
	}
}

func (l *leader) takeJobs(items []wire.Item) {
	now := l.c.clock.Now()
	for _, item := range items {
		id := item.Key[len(jobs.PrefixJob):]
		if _, over := l.c.finals.get(id); over && l.loaded {
			continue // a late event of a job that is over by now
		}
		known := l.book.Jobs[id] != nil
		j, err := l.book.LoadJob(item, now, now)
		if err != nil {
			l.log.Error("stored job unreadable", "err", err)
			continue
		}
		if !known {
			l.fleet.next = now // rent at once if it finds no room
			l.fleet.recent = append(l.fleet.recent, fleet.Arrival{At: j.WaitSince, Job: &j.Job})
		}
	}
	l.changed = true
}

func (l *leader) takeProgress(items []wire.Item) {
	now := l.c.clock.Now()
	seen := map[string]bool{}
	for _, item := range items {
		if seen[item.Key] {
			continue
		}
		seen[item.Key] = true
		places, err := l.book.LoadRun(item, now)
		if err != nil {
			// Without this record nobody knows where its tasks may be.
			l.end(err)
			return
		}
		for _, p := range places {
			if p.Job.Cancelled() {
				p.Stop = &jobs.Stop{}
			}
			l.roster.Inherit(p, l.begun)
		}
	}
	l.book.Loaded()
	l.loaded, l.changed = true, true
	l.log.Info("records loaded", "jobs", len(l.book.Jobs), "machines", len(l.roster.Machines),
		"took_ms", now.Sub(l.begun).Milliseconds())
}

// step brings what is in line with what is wanted.
func (l *leader) step(now time.Time) {
	if !l.loaded || l.ended.Err() != nil {
		return
	}
	l.expire(now)
	if l.c.elector.Valid(l.tenure.Term) {
		if l.changed && !now.Before(l.rested) || !now.Before(l.nextPass) {
			l.pass(now)
			l.rested = l.rest(now)
		}
		if !now.Before(l.fleet.next) {
			begun := l.c.clock.Now()
			l.stepFleet(begun)
			l.fleet.rested = l.rest(begun)
		}
	}
	l.flush(now)
}

// rest is when work that began at a time and ends now may be done again: a pass
// over a large cluster takes milliseconds of a share of a processor, and
// hundreds of reports a second would each have one. Changes that come
// meanwhile share the next.
func (l *leader) rest(begun time.Time) time.Time {
	now := l.c.clock.Now()
	return now.Add(tuning.RestFactor * now.Sub(begun))
}

// expire ends the sessions of machines that nobody has answered for a lease:
// not this leader, nor a follower in its stead, which the state service tells.
func (l *leader) expire(now time.Time) {
	if l.asking || now.Before(l.nextAsk) {
		return
	}
	l.nextAsk = now.Add(tuning.Tick)
	if len(l.roster.Due(now)) == 0 {
		return
	}
	l.asking = true
	go func() {
		kept, err := readKept(l.ended, l.store)
		l.post(func() {
			done := l.c.clock.Now()
			l.asking, l.nextAsk = false, done.Add(tuning.KeptEvery)
			if err != nil {
				l.log.Debug("kept machines unreadable", "err", err)
				return
			}
			l.settle(l.roster.Expire(now, kept), done)
		})
	}()
}

// flush writes the book's changes, one transaction at a time.
func (l *leader) flush(now time.Time) {
	if l.writing || !l.book.Due(now) {
		return
	}
	batch := l.book.Take(now, l.store.Room())
	if batch == nil {
		return
	}
	l.writing = true
	go func() {
		revision, err := l.commit(batch.Txn)
		if err != nil {
			l.end(err)
			return
		}
		l.post(func() { l.written(batch, revision) })
	}()
}

// commit brings a transaction to a definite outcome. It is repeated unchanged
// until it has one; its guards make sure that only one of the tries is applied.
func (l *leader) commit(t wire.Txn) (uint64, error) {
	t.If = append([]wire.Condition{l.tenure.Guard}, t.If...)
	unsure := false
	for pause := tuning.StateRetry; ; pause = min(2*pause, tuning.StateRetryMax) {
		if err := l.ended.Err(); err != nil {
			return 0, err
		}
		revision, err := l.store.Commit(l.ended, t)
		if err == nil {
			return revision, nil
		}
		var conflict *conflictError
		switch {
		case errors.As(err, &conflict):
			if slices.Contains(conflict.Failed, l.tenure.Guard.Key) {
				return 0, fmt.Errorf("the leader key is another's: %w", err)
			}
			if !unsure {
				return 0, fmt.Errorf("records were changed by another: %w", err)
			}
			// An earlier try without an answer was applied. All its changes
			// have the same revision, so one of them tells.
			if revision, err = l.applied(t); err == nil {
				return revision, nil
			}
			if !errors.Is(err, errUnknown) && !errors.Is(err, errNotExecuted) {
				return 0, err
			}
		case errors.Is(err, errUnknown):
			unsure = true
		case errors.Is(err, errNotExecuted):
		default:
			return 0, fmt.Errorf("records cannot be stored: %w", err)
		}
		l.log.Debug("commit repeated", "err", err)
		l.c.sleep(l.ended, pause)
	}
}

// applied finds the revision of a transaction that was applied without an answer.
func (l *leader) applied(t wire.Txn) (uint64, error) {
	for _, change := range t.Then {
		if change.Put == "" {
			continue
		}
		item, ok, err := l.store.Get(l.ended, change.Put)
		switch {
		case err != nil:
			return 0, err
		case !ok || !sameJSON(item.Value, change.Value):
			return 0, fmt.Errorf("record %s was changed by another", change.Put)
		}
		return item.Version, nil
	}
	return 0, nil // only deletions: nobody needs their revision
}

func (l *leader) written(batch *jobs.Batch, revision uint64) {
	l.writing = false
	start, over := l.book.Written(batch, revision)
	for _, o := range over {
		l.c.finals.add(wire.JobStatus{ID: o.Job.ID, State: o.State, Done: o.Job.Done})
		l.log.Debug("job over", "job", o.Job.ID, "state", o.State)
		if o.State == wire.StateCancelled {
			start = append(start, l.stopAll(o.Job)...)
		}
		l.changed = true
	}
	l.direct(start)
}

// stopAll wants all places of a cancelled job empty, with no time to save.
func (l *leader) stopAll(j *jobs.Job) []*jobs.Place {
	var places []*jobs.Place
	for i := range j.Tasks {
		if p := j.Tasks[i].Place; p != nil {
			p.Stop = &jobs.Stop{}
			places = append(places, p)
		}
	}
	return places
}

// direct tells machines at once what was decided for some places, rather than
// wait for their next reports. The reports' answers repeat it.
func (l *leader) direct(places []*jobs.Place) {
	byMachine := map[string][]*jobs.Place{}
	for _, p := range places {
		byMachine[p.Machine] = append(byMachine[p.Machine], p)
	}
	for name, places := range byMachine {
		addr, req := l.roster.Direct(name, places)
		if req == nil {
			continue
		}
		go l.send(name, addr, req)
	}
}

func (l *leader) send(name, addr string, req *wire.DirectCommands) {
	ctx, cancel := context.WithTimeout(l.ended, tuning.CommandTimeout)
	defer cancel()
	if !l.c.elector.Valid(l.tenure.Term) {
		l.post(func() { l.roster.Sent(name, req) }) // it was never sent
		return
	}
	var rep wire.Report
	status, err := httpjson.Call(ctx, l.c.workers, http.MethodPost, "http://"+addr+wire.PathCommands, req, func(status int) any {
		if status == http.StatusOK || status == http.StatusConflict {
			return &rep
		}
		return nil
	})
	if err == nil && (status == http.StatusOK || status == http.StatusConflict) && rep.Check() == nil && rep.Machine == name {
		l.post(func() {
			l.roster.Sent(name, req)
			if _, err := l.take(&rep, true); err != nil {
				l.log.Debug("answer to commands not used", "machine", name, "err", err)
			}
		})
		return
	}
	l.log.Debug("direct commands unanswered", "machine", name, "status", status, "err", err)
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		// No connection, so nothing was sent that could arrive later.
		l.post(func() { l.roster.Sent(name, req) })
	}
}

// report takes a worker's report and gives the commands for the answer.
func (l *leader) report(ctx context.Context, rep *wire.Report) ([]wire.Command, error) {
	type result struct {
		commands []wire.Command
		err      error
	}
	r, err := ask(ctx, l, func(answer func(result)) {
		commands, err := l.take(rep, false)
		answer(result{commands, err})
	})
	if err != nil {
		return nil, err
	}
	return r.commands, r.err
}

func (l *leader) take(rep *wire.Report, direct bool) ([]wire.Command, error) {
	now := l.c.clock.Now()
	if !l.loaded {
		// Nothing can be concluded yet, but the lease can be kept: what the
		// machine holds is counted from the records once they are in. The
		// lease that this answer renews runs at most from now.
		if !direct {
			l.begun = now
		}
		return nil, nil
	}
	a, err := l.roster.Report(rep, direct, now, l.mayForget)
	if err != nil {
		return nil, err
	}
	l.settle(a.Outcomes, now)
	if a.Machine.Notice.After(now) {
		l.drainSpot(a.Machine, now)
	}
	l.changed = l.changed || a.Changed
	return a.Commands, nil
}

// mayForget tells whether an exited attempt that no place holds can be
// forgotten by its worker: its end is stored, so no leader to come starts the
// same attempt again.
func (l *leader) mayForget(k roster.Key) bool {
	j := l.book.Jobs[k.Task.Job]
	if j == nil || k.Task.Index >= len(j.Tasks) {
		return true
	}
	return l.book.Clean(j, k.Task.Index)
}

// settle takes in how tasks ended in their places.
func (l *leader) settle(outs []roster.Outcome, now time.Time) {
	for _, o := range outs {
		p := o.Place
		if p.Removed {
			continue
		}
		l.roster.Remove(p, now)
		l.changed = true
		if o.Why == wire.WhyDone {
			l.book.Finished(p, now)
			continue
		}
		l.book.Gone(p, now)
		m := l.roster.Machines[p.Machine]
		switch o.Why {
		case wire.WhyError:
			l.failed(p, m, now)
		case wire.WhyNoRoom:
			// Something that we do not see takes room there; ask again later.
			if m != nil {
				m.NoRoom = now.Add(tuning.NoRoomPause)
			}
		case wire.WhyUnknown:
			// The job's description is not there (yet).
			p.Job.PauseUntil = now.Add(tuning.ErrorPause)
		}
		if o.Why != wire.WhyStopped {
			l.log.Debug("task ended", "task", p.Task().String(), "machine", p.Machine, "why", o.Why)
		}
	}
}

// failed takes in a task's failure. Mostly the machine is to blame: the job
// avoids it. A job that fails on several machines is to blame itself: it
// waits longer and longer, and no machine is held to be bad because of it.
func (l *leader) failed(p *jobs.Place, m *roster.Machine, now time.Time) {
	j := p.Job
	j.Errors++
	j.Avoid[p.Machine] = now.Add(tuning.AvoidFor)
	if len(j.Avoid) < tuning.BadJobMachines {
		if m != nil {
			m.NoteError(j.ID)
		}
		return
	}
	for name := range j.Avoid {
		if m := l.roster.Machines[name]; m != nil {
			m.ClearError(j.ID)
		}
	}
	shift := min(j.Errors-tuning.BadJobMachines, 10)
	j.PauseUntil = now.Add(min(tuning.ErrorPause<<shift, tuning.ErrorPauseMax))
}

// drainSpot empties a machine that the cloud will soon take: tasks that can
// save do, and those that will not end in time move at once.
func (l *leader) drainSpot(m *roster.Machine, now time.Time) {
	left := m.Notice.Sub(now)
	for _, p := range m.Places {
		if p.Stop != nil {
			continue
		}
		j := &p.Job.Job
		save := seconds(j.SaveS) + tuning.GraceExtra
		switch {
		case p.State == wire.TaskRunning && j.CheckpointS > 0:
			p.Stop = &jobs.Stop{GraceS: save.Seconds()}
		case p.State == wire.TaskRunning && j.EstimateS > 0 && seconds(j.EstimateS)-now.Sub(p.Running) < left/2:
			// It will probably end by itself.
		default:
			p.Stop = &jobs.Stop{}
		}
	}
	l.direct(valuesOf(m.Places))
}

// pass places what waits.
func (l *leader) pass(now time.Time) {
	l.changed = false
	items, byID := l.items(now)
	if len(items) == 0 {
		l.nextPass = now.Add(tuning.PassWaitMax)
		return
	}
	open, teams := l.openMachines(now), l.teams()
	placed := placement.Pass(now, append(slices.Clone(items), l.reserved(now)...), open, teams)
	next := map[string]int{}
	for _, d := range placed {
		j := byID[d.Item.Job.ID]
		i := j.NextWaiting(next[j.ID])
		if i < 0 {
			continue
		}
		next[j.ID] = i + 1
		m := l.roster.Machines[d.Machine.Name]
		p := l.book.Place(j, i, m.Name, m.Zone, m.Session, now)
		l.roster.Add(p, now)
		l.log.Debug("placed", "task", p.Task().String(), "attempt", p.Attempt, "class", j.Class, "machine", m.Name,
			"type", m.Type, "spot", m.Spot, "waited_s", now.Sub(j.WaitSince).Seconds())
	}
	l.preempt(now, items, open, teams, byID)
	// The design's loop: a pass that places nothing waits 1 s, doubling to
	// 10 s, unless a change wakes it.
	if len(placed) > 0 {
		l.passWait = tuning.PassWaitMin
	} else {
		l.passWait = min(2*l.passWait, tuning.PassWaitMax)
	}
	l.nextPass = now.Add(l.passWait)
}

// preempt stops tasks for work within a guarantee that found no room and has
// used up half of the wait that its aim allows.
func (l *leader) preempt(now time.Time, items []*placement.Item, open []*placement.Machine, teams map[string]*placement.Team, byID map[string]*jobs.Job) {
	var due []*placement.Item
	for _, it := range items {
		j := byID[it.Job.ID]
		patience, ok := l.c.patience(it.Job.Class)
		if ok && it.Waiting > 0 && !now.Before(j.MakingRoom) && now.Sub(it.Since) >= seconds(patience*tuning.PreemptShare) {
			due = append(due, it)
		}
	}
	// Right after a takeover much waits only because machines have not reported.
	if len(due) == 0 || l.tenure.Term > 1 && now.Sub(l.begun) < tuning.PreemptAfter {
		return
	}
	for _, v := range open {
		v.Victims = victims(l.roster.Machines[v.Name], now)
	}
	before := map[*placement.Item]int{}
	for _, it := range due {
		before[it] = it.Waiting
	}
	var stopped []*jobs.Place
	for _, v := range placement.Preempt(due, open, teams) {
		p := v.Ref.(*jobs.Place)
		p.Stop = &jobs.Stop{}
		stopped = append(stopped, p)
		l.log.Debug("making room", "task", p.Task().String(), "class", p.Job.Class, "machine", p.Machine,
			"cost_s", v.Cost, "for", v.For.ID, "for_class", v.For.Class)
	}
	for _, it := range due {
		if it.Waiting < before[it] {
			byID[it.Job.ID].MakingRoom = now.Add(tuning.PreemptAgain)
		}
	}
	l.direct(stopped)
}

// victims are the tasks on a machine that can be stopped now. A task that was
// lost or stopped before is spared: in a full cluster the same ones would be
// stopped over and over, and nothing would ever be done.
func victims(m *roster.Machine, now time.Time) []placement.Victim {
	var out []placement.Victim
	for _, p := range m.Places {
		if p.Stop != nil || !p.Committed || p.Attempt > 1 || p.State != wire.TaskRunning && p.State != wire.TaskFetching {
			continue
		}
		v := placement.Victim{Job: &p.Job.Job, Ref: p, Cost: tuning.PriorityCost * float64(p.Job.Priority.Level())}
		if p.State == wire.TaskRunning {
			ran := now.Sub(p.Running)
			lost := ran.Seconds()
			if p.Job.CheckpointS > 0 {
				lost = min(lost, p.Job.CheckpointS)
			}
			v.Cost += lost
			if ran < tuning.PreemptSettle {
				v.Cost += tuning.FreshCost
			}
		}
		out = append(out, v)
	}
	return out
}

// items are the jobs with tasks that may be placed now.
func (l *leader) items(now time.Time) ([]*placement.Item, map[string]*jobs.Job) {
	var items []*placement.Item
	byID := map[string]*jobs.Job{}
	for _, j := range l.book.Jobs {
		if !j.Open() || j.Waiting() == 0 || now.Before(j.PauseUntil) {
			continue
		}
		byID[j.ID] = j
		_, prompt := l.promptness(j.Class)
		items = append(items, &placement.Item{
			Job: &j.Job, Since: j.WaitSince, Waiting: j.Waiting(), Started: j.Placed + j.Done, Zones: zonesOf(j),
			Prompt: prompt,
			Avoid: func(machine string) bool {
				// A job that fails everywhere may go anywhere.
				return len(j.Avoid) < tuning.BadJobMachines && now.Before(j.Avoid[machine])
			},
		})
	}
	return items, byID
}

// zonesOf is a copy of how many tasks of a job may be in each zone, for one
// that cares.
func zonesOf(j *jobs.Job) map[string]int {
	if !j.Spread && !j.OneZone {
		return nil
	}
	return cloneCounts(j.Zones())
}

// openMachines are the machines that may get tasks now.
func (l *leader) openMachines(now time.Time) []*placement.Machine {
	silent := time.Duration(tuning.SilentReports * l.c.settings.Cluster.Workers.ReportS * float64(time.Second))
	var out []*placement.Machine
	for _, m := range l.roster.Machines {
		if !m.Alive() || m.Returning || m.Draining || m.Bad || m.HasStrays() || !m.Notice.IsZero() ||
			now.Sub(m.Heard) > silent || now.Before(m.NoRoom) {
			continue
		}
		if v, ok := l.view(m); ok {
			out = append(out, v)
		}
	}
	return out
}

func (l *leader) view(m *roster.Machine) (*placement.Machine, bool) {
	for _, t := range l.c.machineTypes() {
		if t.Name != m.Type {
			continue
		}
		v := &placement.Machine{
			Name: m.Name, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Price: t.Price,
			Total:  placement.Room{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB},
			FetchS: fetchTime(m, t),
		}
		used := m.Used()
		v.Free = v.Total
		v.Free.Sub(placement.Room{CPUs: used.CPUs, GPUs: used.GPUs, MemoryGB: used.MemoryGB}, 1)
		return v, true
	}
	return nil, false
}

// fetchTime estimates how long a machine takes to get an image: nothing for
// one that it holds, as far as its tasks show; images fetched at the same time
// share its rate.
func fetchTime(m *roster.Machine, t wire.MachineType) func(image string, gb float64) float64 {
	sharing := 0 // counted when it is first asked for: full machines never are
	return func(image string, gb float64) float64 {
		if t.FetchGBPerS <= 0 || m.Holds(image, t.CacheGB) {
			return 0
		}
		if sharing == 0 {
			fetching := map[string]bool{}
			for _, p := range m.Places {
				if p.State == "" || p.State == wire.TaskFetching {
					fetching[p.Job.Image] = true
				}
			}
			sharing = 1 + len(fetching)
		}
		return gb / t.FetchGBPerS * float64(sharing)
	}
}

// teams counts what each team's tasks use, wherever they may be.
func (l *leader) teams() map[string]*placement.Team {
	teams := make(map[string]*placement.Team, len(l.c.teams))
	for name, t := range l.c.teams {
		teams[name] = &placement.Team{CPUsMax: t.CPUsMax, GPUsMax: t.GPUsMax, CPUsMin: t.CPUs, GPUsMin: t.GPUs}
	}
	for _, j := range l.book.Jobs {
		if t := teams[j.Team]; t != nil {
			t.CPUs += float64(j.Placed) * j.CPUs
			t.GPUs += float64(j.Placed) * j.GPUs
		}
	}
	return teams
}

// status answers a user from memory; ok is false when the job is not known
// here or the right to act ended meanwhile.
func (l *leader) status(ctx context.Context, id string) (wire.JobStatus, bool) {
	type result struct {
		s  wire.JobStatus
		ok bool
	}
	r, err := ask(ctx, l, func(answer func(result)) {
		if j := l.book.Jobs[id]; j != nil && l.loaded {
			answer(result{j.Status(), true})
			return
		}
		answer(result{})
	})
	return r.s, err == nil && r.ok && l.c.elector.Valid(l.tenure.Term)
}

// cancel cancels a job and gives its final state once that is stored; known
// is false when the job is not known here.
func (l *leader) cancel(ctx context.Context, id string) (state wire.JobState, known bool, err error) {
	type result struct {
		state wire.JobState
		known bool
	}
	ctx, stop := context.WithTimeout(ctx, tuning.CancelWait)
	defer stop()
	r, err := ask(ctx, l, func(answer func(result)) {
		j := l.book.Jobs[id]
		if j == nil || !l.loaded {
			answer(result{})
			return
		}
		l.book.Cancel(j, func(s wire.JobState) { answer(result{s, true}) })
	})
	return r.state, r.known, err
}
