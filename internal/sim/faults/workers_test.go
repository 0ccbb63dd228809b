package faults_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"time"

	"poppypass/internal/platform/wire"
	"poppypass/internal/sim/fakes"
)

// worker is a worker and its machine.
type worker struct {
	w                       *simulation
	rep                     wire.Heartbeat
	srv                     *httptest.Server
	gone                    bool
	seen                    time.Time // when the last answered report was sent
	next                    time.Time
	at                      int // which controller it reports to
	sent                    time.Time
	waits                   context.CancelFunc          // its report is on its way; nil: none is
	due                     map[fakes.Attempt]time.Time // when the present state of a task is over
	hangs, deaf, lost, mute time.Time                   // until when; lost: no way to any controller or from it; mute: direct commands come
	held                    []wire.DirectCommands
	only                    *node  // the one controller that it reaches, and that reaches it; nil: all
	term                    uint64 // that one's
}

// message is a copy of a report that comes again.
type message struct {
	at  time.Time
	raw []byte
	all bool // it reaches every controller
}

// lateCommands are direct commands that are held up on their way.
type lateCommands struct {
	at       time.Time
	to       *worker
	commands wire.DirectCommands
}

// delay has a direct command arrive of which its sender heard nothing. The lock is held.
func (k *worker) delay(q wire.DirectCommands) {
	k.run()
	switch {
	case k.gone || k.w.now().Before(k.lost) || k.w.now().Before(k.deaf) || k.only != nil && q.FencingToken != k.term: // it is lost
	case k.away():
		k.held = append(k.held, q)
	default:
		k.carryOut(q, "late ")
	}
}

// heldBack tells whether the leader of a term stands still, so that nothing that it sent is on its way. The lock is held.
func (sim *simulation) heldBack(term uint64) bool {
	return slices.ContainsFunc(sim.nodes, func(n *node) bool { return n.still && n.term != 0 && n.term == term })
}

// startWorkers makes the cloud's machines workers, and ends those that it no longer has.
func (sim *simulation) startWorkers() {
	there := sim.cloud.Machines()
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, m := range there {
		if !slices.ContainsFunc(sim.workers, func(k *worker) bool { return k.rep.Machine == m.Name }) {
			now := sim.now()
			k := &worker{w: sim, seen: now, next: now.Add(sim.bootTime()), due: map[fakes.Attempt]time.Time{}, at: sim.r.IntN(len(sim.nodes))}
			mux := http.NewServeMux()
			mux.HandleFunc("POST "+wire.PathCommands, k.direct)
			mux.HandleFunc("GET "+wire.PathWorkerHeartbeat, k.show)
			k.srv = httptest.NewServer(mux)
			k.rep = wire.Heartbeat{Machine: m.Name, Address: k.srv.Listener.Addr().String(), Type: m.Type, Zone: m.Zone, Spot: m.Spot, Incarnation: 1, Tasks: []wire.TaskStatus{}}
			sim.workers = append(sim.workers, k)
			sim.record("%s in %s", m.Name, m.Zone)
		}
	}
	for _, k := range sim.workers {
		if !k.gone && !slices.ContainsFunc(there, func(m wire.ListedMachine) bool { return m.Name == k.rep.Machine }) {
			k.gone = true
			sim.record("%s is returned", k.rep.Machine)
			k.rep.Tasks = nil
		}
	}
}

func (k *worker) away() bool { return k.gone || k.w.now().Before(k.hangs) || k.w.now().Before(k.lost) }

// impaired tells whether something is wrong with a worker that may keep it from work.
func (k *worker) impaired() bool {
	now := k.w.now()
	return k.away() || k.only != nil || now.Before(k.deaf) || now.Before(k.mute)
}

// bootTime is how long a machine takes until it reports: 5 s, or up to 2 s while machines are up at once.
func (sim *simulation) bootTime() time.Duration {
	if sim.fastBoot {
		return sim.seconds(0, 2)
	}
	return 5 * time.Second
}

// present tells whether a task is on its machine: it has its image, and nothing ended it.
func present(s wire.TaskState) bool { return s == wire.TaskRunning || s == wire.TaskSaving }

// run brings a worker up to now: its lease, images, runs and saves. The lock is held.
func (k *worker) run() {
	now := k.w.now()
	if k.gone || now.Before(k.hangs) {
		return
	}
	if k.over() {
		k.w.record("%s: session %d is over with %d tasks", k.rep.Machine, k.rep.Incarnation, len(k.rep.Tasks))
		k.rep.Incarnation, k.seen, k.rep.Tasks, k.held = k.rep.Incarnation+1, now, []wire.TaskStatus{}, nil
		k.next = now
		clear(k.due)
	}
	if len(k.held) > 0 {
		held := k.held
		k.held = nil
		for _, q := range held {
			k.carryOut(q, "late ")
		}
	}
	for i := range k.rep.Tasks {
		t := &k.rep.Tasks[i]
		key := fakes.Attempt{Task: t.Task, Attempt: t.Attempt}
		switch {
		case t.State == wire.TaskFetching && !now.Before(k.due[key]):
			k.w.taskBegan(k, t)
			t.State = wire.TaskRunning
			k.due[key] = now.Add(k.w.runTime(t.Task))
			k.next = now
		case t.State == wire.TaskRunning && !now.Before(k.due[key]):
			t.State, t.Reason = wire.TaskExited, wire.ExitDone
			k.w.taskCompleted(k.w.jobOf(t.Task), t.Task)
			k.next = now
		case t.State == wire.TaskSaving && !now.Before(k.due[key]):
			t.State, t.Reason, t.Saved = wire.TaskExited, wire.ExitStopped, true
			k.next = now
		}
	}
}

// over tells whether a worker's lease is over, so that it kills its tasks before it does anything else: the protocol has it look at
// its lease first when it goes on after it hung.
func (k *worker) over() bool {
	return k.w.now().Sub(k.seen) > seconds(k.w.site.lease)
}

// carryOut executes direct commands, late or not, and tells whether token and session allowed it. The lock is held.
func (k *worker) carryOut(q wire.DirectCommands, when string) bool {
	if q.FencingToken < k.rep.FencingToken || q.Incarnation != k.rep.Incarnation {
		return false
	}
	if q.FencingToken > k.rep.FencingToken {
		k.rep.FencingToken, k.next = q.FencingToken, k.w.now()
	}
	k.execute(q.Commands, when+"direct")
	return true
}

func (k *worker) direct(rw http.ResponseWriter, r *http.Request) {
	var q wire.DirectCommands
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	k.w.mu.Lock()
	defer k.w.mu.Unlock()
	if d := k.w.latency(); d > 0 {
		k.w.mu.Unlock()
		k.w.sleep(k.w.t.Context(), d) // it is executed late, also when its sender has given it up
		k.w.mu.Lock()
	}
	for k.w.heldBack(q.FencingToken) {
		k.w.mu.Unlock()
		k.w.sleep(k.w.t.Context(), tick)
		k.w.mu.Lock()
	}
	k.run()
	if k.w.r.IntN(100) < k.w.lateCommandPercent {
		k.w.delayedCommands = append(k.w.delayedCommands, lateCommands{k.w.now().Add(k.w.seconds(2, 16)), k, q})
		panic(http.ErrAbortHandler)
	}
	if now := k.w.now(); k.away() || now.Before(k.deaf) || k.only != nil && q.FencingToken != k.term {
		if !k.gone && !now.Before(k.deaf) && k.w.r.IntN(2) == 0 {
			k.held = append(k.held, q) // it is carried out when the machine goes on
		}
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	if !k.carryOut(q, "") {
		status = http.StatusConflict
	}
	k.rep.Seq++
	raw, _ := json.Marshal(k.rep) // plain data
	rw.WriteHeader(status)
	_, _ = rw.Write(raw)
}

func (k *worker) show(rw http.ResponseWriter, _ *http.Request) {
	k.w.mu.Lock()
	defer k.w.mu.Unlock()
	k.run()
	// One that reaches a single controller answers whoever asks: who that is cannot be seen here, and the one that keeps it asks.
	if k.away() || k.w.now().Before(k.deaf) {
		panic(http.ErrAbortHandler)
	}
	k.rep.Seq++
	raw, _ := json.Marshal(k.rep)
	_, _ = rw.Write(raw)
}

// execute executes commands. The lock is held.
func (k *worker) execute(commands []wire.Command, how string) {
	now := k.w.now()
	for _, c := range commands {
		i := slices.IndexFunc(k.rep.Tasks, func(t wire.TaskStatus) bool { return t.Task == c.Task && t.Attempt == c.Attempt })
		key := fakes.Attempt{Task: c.Task, Attempt: c.Attempt}
		switch {
		case c.Op == wire.OpStart && i < 0:
			t := wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskFetching}
			if slices.ContainsFunc(k.rep.Tasks, func(o wire.TaskStatus) bool { return o.Task == c.Task && o.State != wire.TaskExited }) {
				t.State, t.Reason = wire.TaskExited, wire.ExitBusy
			}
			k.w.record("%s attempt %d starts on %s by %s", c.Task, c.Attempt, k.rep.Machine, how)
			k.due[key] = now.Add(k.w.seconds(0, k.w.site.imageS))
			k.rep.Tasks = append(k.rep.Tasks, t)
			k.next = now
		case c.Op == wire.OpStop && i >= 0 && k.rep.Tasks[i].State != wire.TaskExited:
			t := &k.rep.Tasks[i]
			k.w.record("%s attempt %d is stopped on %s by %s", c.Task, c.Attempt, k.rep.Machine, how)
			if c.GraceS != nil && *c.GraceS >= 4 && t.State == wire.TaskRunning {
				t.State, k.due[key] = wire.TaskSaving, now.Add(4*time.Second)
			} else {
				t.State, t.Reason = wire.TaskExited, wire.ExitStopped
			}
			k.next = now
		case c.Op == wire.OpForget && i >= 0 && k.rep.Tasks[i].State == wire.TaskExited:
			k.rep.Tasks = slices.Delete(slices.Clone(k.rep.Tasks), i, i+1)
		}
	}
}

// sendHeartbeats has a worker report if it is time, and give up a report that had no answer for 4 s.
func (k *worker) sendHeartbeats() {
	sim := k.w
	sim.mu.Lock()
	defer sim.mu.Unlock()
	k.run()
	now := sim.now()
	if k.waits != nil && now.Sub(k.sent) >= 4*time.Second {
		k.waits()
	}
	if k.waits != nil || k.away() || now.Before(k.next) {
		return
	}
	k.rep.Seq++
	session := k.rep.Incarnation
	raw, _ := json.Marshal(k.rep)
	to := sim.nodes[k.at%len(sim.nodes)]
	if sim.r.IntN(100) < sim.copyPercent {
		sim.copied = append(sim.copied, message{at: now.Add(sim.seconds(2, 2+1.5*sim.site.lease)), raw: raw})
	}
	if sim.r.IntN(100) < sim.copiesForNextLeader {
		sim.heldCopies = append(sim.heldCopies, raw)
	}
	if k.only != nil && k.only != to || now.Before(k.mute) {
		k.handleReply(0, nil, to, session)
		return
	}
	ctx, cancel := context.WithCancel(sim.t.Context())
	k.waits, k.sent = cancel, now
	there, back := sim.latency(), sim.latency()
	sim.asking.Go(func() {
		var a answer
		status := 0
		if sim.sleep(ctx, there) {
			status = sim.post(ctx, "http://"+to.addr+wire.PathHeartbeat, raw, &a)
		} else {
			sim.deliver(raw, to) // it arrives, though its worker has given it up
		}
		if !sim.sleep(ctx, back) {
			status = 0
		}
		sim.mu.Lock()
		defer sim.mu.Unlock()
		if cancel(); sim.now().Sub(k.sent) > 4*time.Second {
			status = 0
		}
		k.waits = nil
		k.handleReply(status, &a, to, session)
	})
}

// latency is how long a message is on its way: no time, or up to what slow links take. The lock is held.
func (sim *simulation) latency() time.Duration {
	if sim.links <= 0 || sim.r.IntN(2) == 0 {
		return 0
	}
	return sim.seconds(0, sim.links.Seconds())
}

// sleep lets time pass on the simulation's clock, and tells whether it did before ctx ended.
func (sim *simulation) sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-sim.clock.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// answer is what a controller answers a report.
type answer struct {
	wire.HeartbeatReply
	wire.Redirect
}

// handleReply takes in the answer to the report that was sent last. The lock is held.
func (k *worker) handleReply(status int, a *answer, by *node, session uint64) {
	sim, now := k.w, k.w.now()
	k.run()
	if k.away() || now.Before(k.deaf) {
		status = 0 // the answer is lost
	}
	pause := sim.seconds(0.75*sim.site.report, 1.25*sim.site.report)
	switch {
	case status == http.StatusOK:
		if a.FencingToken >= k.rep.FencingToken && session == k.rep.Incarnation {
			k.rep.FencingToken, k.seen = a.FencingToken, k.sent
			k.execute(a.Commands, by.name)
		}
		if slices.ContainsFunc(k.rep.Tasks, func(t wire.TaskStatus) bool { return t.State == wire.TaskExited }) {
			pause = 500 * time.Millisecond
		}
	case status == http.StatusMisdirectedRequest && a.ReportTo != "" && a.ReportTo != by.name:
		k.at = slices.IndexFunc(sim.nodes, func(n *node) bool { return n.name == a.ReportTo })
		pause = 250 * time.Millisecond
	default:
		k.at = (k.at + 1) % len(sim.nodes)
		pause = time.Second
	}
	k.next = now.Add(pause)
}
