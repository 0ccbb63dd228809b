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

// Attempt identifies an attempt of a task.
type Attempt struct {
	Task    string
	Attempt uint64
}

// MeasuredAttempt is an attempt as its worker measured it.
type MeasuredAttempt struct {
	Attempt
	Begin time.Time       // when it began to run
	Run   time.Duration   // from then to when it ended
	Why   wire.ExitReason // empty: it was killed when its worker's lease expired
	Team  string
}

// Task decides how long an attempt runs, how it ends, and which team it belongs to.
type Task func(task string, attempt uint64) (run time.Duration, why wire.ExitReason, team string)

// Worker is a worker in real time: it sends heartbeats, executes commands, and measures each attempt.
type Worker struct {
	status      wire.Heartbeat
	controllers map[string]string // addresses of the controllers by member
	order       []string
	every       time.Duration
	lease       time.Duration
	task        Task
	onEnd       func(MeasuredAttempt)
	wake        chan struct{}

	mu           sync.Mutex
	running      map[Attempt]*run
	lastAnswered time.Time // when the last heartbeat that was answered was sent
}

type run struct {
	begun time.Time
	end   *time.Timer
	team  string
	saved bool
}

// WorkerOptions are what a worker needs beside its machine.
type WorkerOptions struct {
	Controllers map[string]string     // addresses by member
	Order       []string              // members in the order in which they are tried
	Every       time.Duration         // between heartbeats
	Lease       time.Duration         // after which its tasks end unless a heartbeat is answered
	Task        Task                  // decides about each attempt
	OnEnd       func(MeasuredAttempt) // called with each attempt that ended
}

// NewWorker makes the worker of a machine.
func NewWorker(m wire.ListedMachine, o WorkerOptions) *Worker {
	return &Worker{
		status:      wire.Heartbeat{Machine: m.Name, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Incarnation: 1},
		controllers: o.Controllers, order: o.Order, every: o.Every, lease: o.Lease, task: o.Task, onEnd: o.OnEnd,
		wake: make(chan struct{}, 1), running: map[Attempt]*run{}, lastAnswered: time.Now(),
	}
}

// Run serves until ctx ends; the tasks that run then end with it.
func (w *Worker) Run(ctx context.Context) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.status.Address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathCommands, w.direct)
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = srv.Serve(l) }() // it ends when it is closed
	defer srv.Close()
	defer w.kill()
	client := &http.Client{Timeout: 4 * time.Second}
	at, last := 0, time.Time{}
	for ctx.Err() == nil {
		name := w.order[at%len(w.order)]
		pause := w.every
		status, to := w.heartbeat(ctx, client, name)
		switch {
		case status == http.StatusOK:
		case status == http.StatusMisdirectedRequest && to != "" && to != name && w.controllers[to] != "":
			for i, n := range w.order {
				if n == to {
					at = i
				}
			}
			pause = 0
		default:
			at++
			pause = time.Second
		}
		w.expire()
		last = time.Now()
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		case <-w.wake:
			select { // a change is told at most once every half second
			case <-ctx.Done():
			case <-time.After(time.Until(last.Add(500 * time.Millisecond))):
			}
		}
	}
	return nil
}

func (w *Worker) changed() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// heartbeat sends one heartbeat and executes the commands in its reply.
func (w *Worker) heartbeat(ctx context.Context, client *http.Client, name string) (status int, to string) {
	w.mu.Lock()
	w.status.Seq++
	incarnation := w.status.Incarnation
	raw, err := json.Marshal(w.status)
	w.mu.Unlock()
	if err != nil {
		return 0, ""
	}
	sent := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.controllers[name]+wire.PathHeartbeat, bytes.NewReader(raw))
	if err != nil {
		return 0, ""
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusMisdirectedRequest {
		var r wire.Redirect
		_ = json.NewDecoder(resp.Body).Decode(&r) // without one, the next controller is tried
		return resp.StatusCode, r.ReportTo
	}
	var a wire.HeartbeatReply
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&a) != nil {
		return 0, ""
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if a.FencingToken >= w.status.FencingToken && incarnation == w.status.Incarnation {
		w.status.FencingToken = a.FencingToken
		w.lastAnswered = sent
		w.execute(a.Commands)
	}
	return resp.StatusCode, ""
}

func (w *Worker) direct(rw http.ResponseWriter, r *http.Request) {
	var q wire.DirectCommands
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	status := http.StatusConflict
	if q.FencingToken >= w.status.FencingToken && q.Incarnation == w.status.Incarnation {
		w.status.FencingToken = q.FencingToken
		w.execute(q.Commands)
		status = http.StatusOK
	}
	w.status.Seq++
	answer(rw, status, w.status)
}

// execute carries out commands. The caller holds the lock.
func (w *Worker) execute(commands []wire.Command) {
	for _, c := range commands {
		i := -1
		for n, t := range w.status.Tasks {
			if t.Task == c.Task && t.Attempt == c.Attempt {
				i = n
			}
		}
		id := Attempt{c.Task, c.Attempt}
		switch {
		case c.Op == wire.OpStart && i < 0:
			length, why, team := w.task(c.Task, c.Attempt)
			w.status.Tasks = append(w.status.Tasks, wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskRunning})
			w.running[id] = &run{begun: time.Now(), team: team, end: time.AfterFunc(length, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				w.exit(id, why)
			})}
			w.changed()
		case c.Op == wire.OpStop && i >= 0:
			if r := w.running[id]; r != nil {
				r.saved = c.GraceS != nil && *c.GraceS > 0
				r.end.Stop()
				w.exit(id, wire.ExitStopped)
			}
		case c.Op == wire.OpForget && i >= 0 && w.status.Tasks[i].State == wire.TaskExited:
			w.status.Tasks = append(w.status.Tasks[:i:i], w.status.Tasks[i+1:]...)
		}
	}
}

// exit ends a running attempt. The caller holds the lock.
func (w *Worker) exit(id Attempt, why wire.ExitReason) {
	r := w.running[id]
	if r == nil {
		return
	}
	delete(w.running, id)
	for i := range w.status.Tasks {
		if t := &w.status.Tasks[i]; t.Task == id.Task && t.Attempt == id.Attempt {
			t.State, t.Reason, t.Saved = wire.TaskExited, why, r.saved
		}
	}
	w.onEnd(MeasuredAttempt{id, r.begun, time.Since(r.begun), why, r.team})
	w.changed()
}

// expire begins a new incarnation when no heartbeat was answered for a lease.
func (w *Worker) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Since(w.lastAnswered) <= w.lease {
		return
	}
	w.killAll()
	w.status.Incarnation++
	w.lastAnswered = time.Now()
}

func (w *Worker) kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.killAll()
}

func (w *Worker) killAll() {
	for id, r := range w.running {
		r.end.Stop()
		w.onEnd(MeasuredAttempt{id, r.begun, time.Since(r.begun), "", r.team})
	}
	clear(w.running)
	w.status.Tasks = nil
}

// JobOf returns the job id in a task's name.
func JobOf(task string) string { return task[:strings.IndexByte(task, '/')] }
