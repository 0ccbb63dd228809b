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

// Attempt names an attempt of a task.
type Attempt struct {
	Task    string
	Attempt uint64
}

// MeasuredAttempt is what a worker itself saw of an attempt.
type MeasuredAttempt struct {
	Attempt
	Begin time.Time       // when it began to run
	Run   time.Duration   // from then to when it ended
	Why   wire.ExitReason // empty: it was killed with its worker's session
	Team  string
}

// Task says how long a task runs and how it ends, and whose it is.
type Task func(task string, attempt uint64) (run time.Duration, why wire.ExitReason, team string)

// Worker is a worker in real time: it reports, obeys, and measures each attempt.
type Worker struct {
	heartbeatTemplate wire.Heartbeat
	controllers       map[string]string // addresses of the controllers by member
	order             []string
	every             time.Duration
	lease             time.Duration
	task              Task
	measured          func(MeasuredAttempt)
	wake              chan struct{}

	mu           sync.Mutex
	running      map[Attempt]*run
	lastAnswered time.Time // when the last answered report was sent
}

type run struct {
	begun time.Time
	end   *time.Timer
	team  string
	saved bool
}

// NewWorker makes a worker of a machine. measured is told each attempt that ended.
func NewWorker(m wire.ListedMachine, nodes map[string]string, order []string, every, lease time.Duration, task Task, measured func(MeasuredAttempt)) *Worker {
	return &Worker{
		heartbeatTemplate: wire.Heartbeat{Machine: m.Name, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Incarnation: 1},
		controllers:       nodes, order: order, every: every, lease: lease, task: task, measured: measured,
		wake: make(chan struct{}, 1), running: map[Attempt]*run{}, lastAnswered: time.Now(),
	}
}

// Run works until ctx ends; its tasks then end with it.
func (k *Worker) Run(ctx context.Context) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	k.heartbeatTemplate.Address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathCommands, k.direct)
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = srv.Serve(l) }() // it ends when it is closed
	defer srv.Close()
	defer k.kill()
	client := &http.Client{Timeout: 4 * time.Second}
	at, last := 0, time.Time{}
	for ctx.Err() == nil {
		name := k.order[at%len(k.order)]
		pause := k.every
		status, to := k.heartbeat(ctx, client, name)
		switch {
		case status == http.StatusOK:
		case status == http.StatusMisdirectedRequest && to != "" && to != name && k.controllers[to] != "":
			for i, n := range k.order {
				if n == to {
					at = i
				}
			}
			pause = 0
		default:
			at++
			pause = time.Second
		}
		k.expire()
		last = time.Now()
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		case <-k.wake:
			select { // a change is told at most once every half second
			case <-ctx.Done():
			case <-time.After(time.Until(last.Add(500 * time.Millisecond))):
			}
		}
	}
	return nil
}

func (k *Worker) changed() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// heartbeat reports once.
func (k *Worker) heartbeat(ctx context.Context, client *http.Client, name string) (status int, to string) {
	k.mu.Lock()
	k.heartbeatTemplate.Seq++
	session := k.heartbeatTemplate.Incarnation
	raw, err := json.Marshal(k.heartbeatTemplate)
	k.mu.Unlock()
	if err != nil {
		return 0, ""
	}
	sent := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+k.controllers[name]+wire.PathHeartbeat, bytes.NewReader(raw))
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
	k.mu.Lock()
	defer k.mu.Unlock()
	if a.FencingToken >= k.heartbeatTemplate.FencingToken && session == k.heartbeatTemplate.Incarnation {
		k.heartbeatTemplate.FencingToken = a.FencingToken
		k.lastAnswered = sent
		k.execute(a.Commands)
	}
	return resp.StatusCode, ""
}

func (k *Worker) direct(w http.ResponseWriter, r *http.Request) {
	var q wire.DirectCommands
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	status := http.StatusConflict
	if q.FencingToken >= k.heartbeatTemplate.FencingToken && q.Incarnation == k.heartbeatTemplate.Incarnation {
		k.heartbeatTemplate.FencingToken = q.FencingToken
		k.execute(q.Commands)
		status = http.StatusOK
	}
	k.heartbeatTemplate.Seq++
	answer(w, status, k.heartbeatTemplate)
}

// execute executes commands.
func (k *Worker) execute(commands []wire.Command) {
	for _, c := range commands {
		i := -1
		for n, t := range k.heartbeatTemplate.Tasks {
			if t.Task == c.Task && t.Attempt == c.Attempt {
				i = n
			}
		}
		id := Attempt{c.Task, c.Attempt}
		switch {
		case c.Op == wire.OpStart && i < 0:
			length, why, team := k.task(c.Task, c.Attempt)
			k.heartbeatTemplate.Tasks = append(k.heartbeatTemplate.Tasks, wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskRunning})
			k.running[id] = &run{begun: time.Now(), team: team, end: time.AfterFunc(length, func() {
				k.mu.Lock()
				defer k.mu.Unlock()
				k.exit(id, why)
			})}
			k.changed()
		case c.Op == wire.OpStop && i >= 0:
			if r := k.running[id]; r != nil {
				r.saved = c.GraceS != nil && *c.GraceS > 0
				r.end.Stop()
				k.exit(id, wire.ExitStopped)
			}
		case c.Op == wire.OpForget && i >= 0 && k.heartbeatTemplate.Tasks[i].State == wire.TaskExited:
			k.heartbeatTemplate.Tasks = append(k.heartbeatTemplate.Tasks[:i:i], k.heartbeatTemplate.Tasks[i+1:]...)
		}
	}
}

// exit ends a running attempt. The lock is held.
func (k *Worker) exit(id Attempt, why wire.ExitReason) {
	r := k.running[id]
	if r == nil {
		return
	}
	delete(k.running, id)
	for i := range k.heartbeatTemplate.Tasks {
		if t := &k.heartbeatTemplate.Tasks[i]; t.Task == id.Task && t.Attempt == id.Attempt {
			t.State, t.Reason, t.Saved = wire.TaskExited, why, r.saved
		}
	}
	k.measured(MeasuredAttempt{id, r.begun, time.Since(r.begun), why, r.team})
	k.changed()
}

// expire ends the session when nobody answered for a lease.
func (k *Worker) expire() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if time.Since(k.lastAnswered) <= k.lease {
		return
	}
	k.killAll()
	k.heartbeatTemplate.Incarnation++
	k.lastAnswered = time.Now()
}

func (k *Worker) kill() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.killAll()
}

func (k *Worker) killAll() {
	for id, r := range k.running {
		r.end.Stop()
		k.measured(MeasuredAttempt{id, r.begun, time.Since(r.begun), "", r.team})
	}
	clear(k.running)
	k.heartbeatTemplate.Tasks = nil
}

// JobOf is the job of a task's name.
func JobOf(task string) string { return task[:strings.IndexByte(task, '/')] }
