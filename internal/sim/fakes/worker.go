package fakes

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"poppypass/internal/platform/wire"
)

// Attempt identifies one attempt of a task.
type Attempt struct {
	Task    string
	Attempt uint64
}

// MeasuredAttempt is an attempt as its worker measured it.
type MeasuredAttempt struct {
	Attempt
	StartedAt  time.Time       // start time of the attempt
	RunTime    time.Duration   // run time until the attempt ended
	ExitReason wire.ExitReason // empty: the worker killed the attempt when its lease expired or it was stopped
	Team       string
}

// AttemptPlanner returns how long an attempt is to run, why it is to exit, and the team of its job.
type AttemptPlanner func(task string, attempt uint64) (runTime time.Duration, reason wire.ExitReason, team string)

// Worker is a fake worker that runs by the system clock. It sends heartbeats, executes commands with simulated tasks and
// measures each attempt.
type Worker struct {
	status         wire.Heartbeat    // the heartbeat to send next, with the tasks of the worker
	controllers    map[string]string // addresses of the controllers by member name
	memberOrder    []string
	heartbeatEvery time.Duration
	workerLease    time.Duration
	planAttempt    AttemptPlanner
	onEnd          func(MeasuredAttempt)
	copyDelay      func() (delay time.Duration, ok bool)
	onExposure     func()
	wake           chan struct{} // signals that a heartbeat with a change is due

	mu           sync.Mutex
	process      int  // number of restarts of the worker process
	probed       bool // the process executed a probe
	stopped      bool // the machine no longer exists
	running      map[Attempt]*runningAttempt
	lastAnswered time.Time // when the last answered heartbeat was sent
}

// runningAttempt is an attempt that has not ended.
type runningAttempt struct {
	startedAt time.Time
	endTimer  *time.Timer // ends the attempt after its planned run time
	team      string
	saved     bool // whether it was stopped with a grace period, in which a real task saves its state
}

// WorkerOptions configures a worker.
type WorkerOptions struct {
	Controllers    map[string]string     // addresses by member name
	MemberOrder    []string              // member names in the order in which the worker tries them
	HeartbeatEvery time.Duration         // interval between heartbeats
	WorkerLease    time.Duration         // the worker kills its tasks if no heartbeat is answered for this long
	AttemptPlanner AttemptPlanner        // called for each attempt that starts
	OnEnd          func(MeasuredAttempt) // called for each attempt that has ended
	// CopyDelay returns how late a copy arrives of a direct request that was executed and answered, and whether one does.
	// Nil: there are no copies. OnExposure is called for each copy that is dropped although it is valid, since the worker process was
	// restarted and has not executed a probe yet: it knows no token by which it could refuse the copy.
	CopyDelay  func() (delay time.Duration, ok bool)
	OnExposure func()
}

// leaseCheckInterval is the interval at which a worker checks whether its lease has expired.
const leaseCheckInterval = 20 * time.Millisecond

// NewWorker returns the worker of a machine.
func NewWorker(machine wire.ListedMachine, options WorkerOptions) *Worker {
	return &Worker{
		status:      wire.Heartbeat{Machine: machine.Name, Type: machine.Type, Zone: machine.Zone, Spot: machine.Spot, Incarnation: 1},
		controllers: options.Controllers, memberOrder: options.MemberOrder, heartbeatEvery: options.HeartbeatEvery,
		workerLease: options.WorkerLease, planAttempt: options.AttemptPlanner, onEnd: options.OnEnd,
		copyDelay: options.CopyDelay, onExposure: options.OnExposure,
		wake: make(chan struct{}, 1), running: map[Attempt]*runningAttempt{}, lastAnswered: time.Now(),
	}
}

// Run sends heartbeats and serves direct commands until ctx ends. Then it kills the tasks that still run.
func (w *Worker) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.status.Address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathCommands, w.serveCommands)
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = srv.Serve(listener) }() // returns when srv is closed
	defer srv.Close()
	defer w.kill()
	go w.checkLease(ctx)
	client := &http.Client{Timeout: 4 * time.Second}
	memberIndex, lastSentAt := 0, time.Time{}
	for ctx.Err() == nil {
		member := w.memberOrder[memberIndex%len(w.memberOrder)]
		pause := w.heartbeatEvery
		status, redirectTo := w.heartbeat(ctx, client, member)
		switch {
		case status == http.StatusOK:
		case status == http.StatusMisdirectedRequest && redirectTo != "" && redirectTo != member && w.controllers[redirectTo] != "":
			for i, n := range w.memberOrder {
				if n == redirectTo {
					memberIndex = i
				}
			}
			pause = 0
		default:
			memberIndex++
			pause = time.Second
		}
		lastSentAt = time.Now()
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		case <-w.wake:
			select { // changes are reported at most every half second
			case <-ctx.Done():
			case <-time.After(time.Until(lastSentAt.Add(500 * time.Millisecond))):
			}
		}
	}
	return nil
}

// requestHeartbeat makes Run send the next heartbeat early, since the tasks have changed.
func (w *Worker) requestHeartbeat() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// heartbeat sends one heartbeat to a controller and executes the commands in the reply. It returns the HTTP status of the
// answer, 0 if there is no usable one, and the member to which a redirect refers.
func (w *Worker) heartbeat(ctx context.Context, client *http.Client, member string) (status int, redirectTo string) {
	w.mu.Lock()
	w.status.Seq++
	incarnation, process := w.status.Incarnation, w.process
	raw, err := json.Marshal(w.status)
	w.mu.Unlock()
	if err != nil {
		return 0, ""
	}
	sentAt := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.controllers[member]+wire.PathHeartbeat, bytes.NewReader(raw))
	if err != nil {
		return 0, ""
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusMisdirectedRequest {
		var redirect wire.Redirect
		_ = json.NewDecoder(resp.Body).Decode(&redirect) // if it cannot be decoded, the next controller is tried
		return resp.StatusCode, redirect.ReportTo
	}
	var reply wire.HeartbeatReply
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&reply) != nil {
		return 0, ""
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if reply.FencingToken >= w.status.FencingToken && incarnation == w.status.Incarnation && process == w.process {
		w.status.FencingToken = reply.FencingToken
		w.lastAnswered = sentAt
		w.execute(reply.Commands)
	}
	return resp.StatusCode, ""
}

// serveCommands answers direct commands. Commands for another incarnation, or with an older fencing token than the worker
// has seen, are rejected with 409.
func (w *Worker) serveCommands(rw http.ResponseWriter, r *http.Request) {
	var request wire.DirectCommands
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	status := http.StatusConflict
	if w.obey(request) {
		status = http.StatusOK
		w.copyLater(request)
	}
	w.status.Seq++
	answer(rw, status, w.status)
}

// valid reports whether the worker obeys a direct request, by its token and incarnation. The caller holds the lock.
func (w *Worker) valid(request wire.DirectCommands) bool {
	return !w.stopped && request.FencingToken >= w.status.FencingToken && request.Incarnation == w.status.Incarnation
}

// obey executes a direct request if it is valid, and reports whether it is. The caller holds the lock.
func (w *Worker) obey(request wire.DirectCommands) bool {
	if !w.valid(request) {
		return false
	}
	w.status.FencingToken, w.probed = request.FencingToken, w.probed || len(request.Commands) == 0
	w.execute(request.Commands)
	return true
}

// copyLater lets a copy of an executed direct request arrive later, perhaps at a later process of this worker. The caller
// holds the lock.
func (w *Worker) copyLater(request wire.DirectCommands) {
	if w.copyDelay == nil {
		return
	}
	delay, ok := w.copyDelay()
	if !ok {
		return
	}
	process := w.process
	time.AfterFunc(delay, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if process != w.process && !w.probed {
			if w.valid(request) {
				w.onExposure()
			}
			return
		}
		w.obey(request) // the answer reaches nobody
	})
}

// Restart ends the worker process and begins a new one, which knows neither tasks nor a token.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.killAll()
	w.process, w.probed = w.process+1, false
	w.status.Incarnation, w.status.Seq, w.status.FencingToken = 1, 0, 0
	w.lastAnswered = time.Now()
	w.requestHeartbeat()
}

// checkLease expires the lease in time, also while a heartbeat waits for its answer, until ctx ends.
func (w *Worker) checkLease(ctx context.Context) {
	ticker := time.NewTicker(leaseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.expire()
		}
	}
}

// execute executes commands. The caller holds the lock.
func (w *Worker) execute(commands []wire.Command) {
	for _, c := range commands {
		index := -1
		for i, t := range w.status.Tasks {
			if t.Task == c.Task && t.Attempt == c.Attempt {
				index = i
			}
		}
		id := Attempt{c.Task, c.Attempt}
		switch {
		case c.Op == wire.OpStart && index < 0:
			runTime, reason, team := w.planAttempt(c.Task, c.Attempt)
			w.status.Tasks = append(w.status.Tasks, wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskRunning})
			w.running[id] = &runningAttempt{startedAt: time.Now(), team: team, endTimer: time.AfterFunc(runTime, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				w.exit(id, reason)
			})}
			w.requestHeartbeat()
		case c.Op == wire.OpStop && index >= 0:
			if r := w.running[id]; r != nil {
				r.saved = c.GraceS != nil && *c.GraceS > 0
				r.endTimer.Stop()
				w.exit(id, wire.ExitStopped)
			}
		case c.Op == wire.OpForget && index >= 0 && w.status.Tasks[index].State == wire.TaskExited:
			w.status.Tasks = append(w.status.Tasks[:index:index], w.status.Tasks[index+1:]...)
		}
	}
}

// exit ends a running attempt. The caller holds the lock.
func (w *Worker) exit(id Attempt, reason wire.ExitReason) {
	r := w.running[id]
	if r == nil {
		return
	}
	delete(w.running, id)
	for i := range w.status.Tasks {
		if t := &w.status.Tasks[i]; t.Task == id.Task && t.Attempt == id.Attempt {
			t.State, t.Reason, t.Saved = wire.TaskExited, reason, r.saved
		}
	}
	w.onEnd(MeasuredAttempt{id, r.startedAt, time.Since(r.startedAt), reason, r.team})
	w.requestHeartbeat()
}

// expire kills all tasks and begins a new incarnation if no heartbeat was answered for the duration of the worker's
// lease.
func (w *Worker) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Since(w.lastAnswered) <= w.workerLease {
		return
	}
	w.killAll()
	w.status.Incarnation++
	w.lastAnswered = time.Now()
}

// kill ends the machine with all its tasks.
func (w *Worker) kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.killAll()
}

// killAll kills all tasks and reports their attempts without an exit reason. The caller holds the lock.
func (w *Worker) killAll() {
	for id, r := range w.running {
		r.endTimer.Stop()
		w.onEnd(MeasuredAttempt{id, r.startedAt, time.Since(r.startedAt), "", r.team})
	}
	clear(w.running)
	w.status.Tasks = nil
}

// JobOf returns the job ID that a task name begins with, up to the first slash.
func JobOf(task string) string { return task[:strings.IndexByte(task, '/')] }
