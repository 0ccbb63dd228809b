package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// TaskSpec is what a worker knows of a task from its job's description.
type TaskSpec struct {
	CPUs, MemGB float64
	Bundle      string
	ImageGB     float64
	Run         time.Duration
	Cause       string // how it exits after Run: done or error
}

// Fleet is what all workers share.
type Fleet struct {
	Record      *Record
	Controllers map[string]string // addresses by name
	Order       []string
	ReportEvery time.Duration
	Lease       time.Duration
	// Describe returns the description of a task; ok is false if its job has not been submitted.
	Describe func(task string, attempt uint64) (spec TaskSpec, ok bool)
	OnStart  func(machine, task string, attempt uint64) // the task has its image
	OnEnd    func(machine, task string, attempt uint64, cause string)
}

// Worker is a stand-in of a machine's worker.
type Worker struct {
	fleet   *Fleet
	machine *Machine
	address string
	ctx     context.Context
	stop    context.CancelFunc
	server  *http.Server
	changed chan struct{}

	mu       sync.Mutex
	shift    uint64
	punch    uint64
	baton    uint64
	tasks    []*workerTask
	images   map[string]bool
	leaseEnd time.Time
}

type workerTask struct {
	Seat     string `json:"seat"`
	Boarding uint64 `json:"boarding"`
	Status   string `json:"status"`
	Cause    string `json:"cause,omitempty"`
	Kept     bool   `json:"kept,omitempty"`
	spec     TaskSpec
	timer    *time.Timer
}

type workerCall struct {
	Call      string   `json:"call"`
	Seat      string   `json:"seat"`
	Boarding  uint64   `json:"boarding"`
	BoardingS *float64 `json:"boarding_s"`
}

// StartWorker starts the worker of a machine.
func StartWorker(fleet *Fleet, m *Machine) *Worker {
	w := &Worker{fleet: fleet, machine: m, shift: 1, images: map[string]bool{}, leaseEnd: time.Now().Add(fleet.Lease), changed: make(chan struct{}, 1)}
	w.ctx, w.stop = context.WithCancel(context.Background())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	w.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /do", w.serveDo)
	mux.HandleFunc("GET /show", func(rw http.ResponseWriter, _ *http.Request) {
		w.mu.Lock()
		defer w.mu.Unlock()
		reply(rw, http.StatusOK, w.report())
	})
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(listener) }()
	go w.reportLoop()
	go w.watchLease()
	fleet.Record.Log("machine %s is up", m.Name)
	return w
}

// Stop ends the worker with all that is on its machine.
func (w *Worker) Stop() {
	w.stop()
	_ = w.server.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.killAll("machine gone")
	w.fleet.Record.Log("machine %s is gone", w.machine.Name)
}

func (w *Worker) report() object {
	w.punch++
	seats := make([]workerTask, 0, len(w.tasks))
	for _, t := range w.tasks {
		seats = append(seats, workerTask{Seat: t.Seat, Boarding: t.Boarding, Status: t.Status, Cause: t.Cause, Kept: t.Kept})
	}
	return object{"stall": w.machine.Name, "address": w.address, "build": w.machine.Type.SKU, "yard": w.machine.Yard, "standby": w.machine.Standby,
		"shift": w.shift, "punch": w.punch, "baton": w.baton, "warning_s": nil, "seats": seats}
}

func (w *Worker) noteChange() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

func (w *Worker) serveDo(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 64<<10+1))
	var request struct {
		Baton *uint64      `json:"baton"`
		Shift *uint64      `json:"shift"`
		Calls []workerCall `json:"calls"`
	}
	if err != nil || len(body) > 64<<10 || json.Unmarshal(body, &request) != nil || request.Baton == nil || request.Shift == nil {
		w.fleet.Record.Log("machine %s answers 400 to a direct request of %d bytes", w.machine.Name, len(body))
		reply(rw, http.StatusBadRequest, object{"error": "malformed"})
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if *request.Baton < w.baton || *request.Shift != w.shift {
		reply(rw, http.StatusConflict, w.report())
		return
	}
	w.setBaton(*request.Baton)
	w.execute(request.Calls)
	reply(rw, http.StatusOK, w.report())
}

func (w *Worker) setBaton(baton uint64) {
	if baton > w.baton {
		w.baton = baton
		w.noteChange()
	}
}

func (w *Worker) find(seat string, boarding uint64) *workerTask {
	for _, t := range w.tasks {
		if t.Seat == seat && t.Boarding == boarding {
			return t
		}
	}
	return nil
}

func (w *Worker) execute(calls []workerCall) {
	for _, c := range calls {
		t := w.find(c.Seat, c.Boarding)
		switch {
		case c.Call == "start" && t == nil:
			w.start(c.Seat, c.Boarding)
		case c.Call == "halt" && t != nil && t.Status != "exited":
			w.exit(t, "stopped")
		case c.Call == "forget" && t != nil && t.Status == "exited":
			for i := range w.tasks {
				if w.tasks[i] == t {
					w.tasks = append(w.tasks[:i:i], w.tasks[i+1:]...)
					break
				}
			}
		}
	}
}

func (w *Worker) start(seat string, boarding uint64) {
	t := &workerTask{Seat: seat, Boarding: boarding, Status: "fetching"}
	spec, ok := w.fleet.Describe(seat, boarding)
	t.spec = spec
	cpus, mem := 0.0, 0.0
	refusal := ""
	for _, other := range w.tasks {
		if other.Status == "exited" {
			continue
		}
		cpus, mem = cpus+other.spec.CPUs, mem+other.spec.MemGB
		if other.Seat == seat {
			refusal = "busy"
		}
	}
	switch {
	case !ok:
		refusal = "unknown"
	case refusal == "" && (cpus+spec.CPUs > w.machine.Type.CPUs+1e-6 || mem+spec.MemGB > w.machine.Type.MemGB+1e-6):
		refusal = "full"
	}
	w.tasks = append(w.tasks, t)
	w.noteChange()
	if refusal != "" {
		t.Status, t.Cause = "exited", refusal
		w.fleet.Record.Log("machine %s refuses %s attempt %d: %s", w.machine.Name, seat, boarding, refusal)
		return
	}
	fetch := time.Duration(0)
	if !w.images[spec.Bundle] {
		fetch = time.Duration(spec.ImageGB / w.machine.Type.FetchGB * float64(time.Second))
	}
	t.timer = time.AfterFunc(fetch, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if t.Status != "fetching" {
			return
		}
		w.images[spec.Bundle] = true
		t.Status = "running"
		w.fleet.OnStart(w.machine.Name, seat, boarding)
		w.noteChange()
		t.timer = time.AfterFunc(spec.Run, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if t.Status == "running" {
				w.exit(t, spec.Cause)
			}
		})
	})
}

func (w *Worker) exit(t *workerTask, cause string) {
	started := t.Status == "running"
	t.timer.Stop()
	t.Status, t.Cause = "exited", cause
	if started {
		w.fleet.OnEnd(w.machine.Name, t.Seat, t.Boarding, cause)
	}
	w.noteChange()
}

func (w *Worker) killAll(cause string) {
	for _, t := range w.tasks {
		if t.Status != "exited" {
			w.exit(t, cause)
		}
	}
	w.tasks = nil
}

func (w *Worker) watchLease() {
	for w.ctx.Err() == nil {
		w.mu.Lock()
		if time.Now().After(w.leaseEnd) {
			if len(w.tasks) > 0 {
				w.fleet.Record.Log("machine %s: the lease ended, %d tasks are killed", w.machine.Name, len(w.tasks))
			}
			w.killAll("lease ended")
			w.shift++
			w.leaseEnd = time.Now().Add(w.fleet.Lease)
			w.noteChange()
		}
		w.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
	}
}

func (w *Worker) reportLoop() {
	client := &http.Client{Timeout: 4 * time.Second, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	node := rand.IntN(len(w.fleet.Order))
	for w.ctx.Err() == nil {
		sentAt := time.Now()
		pause := time.Duration(float64(w.fleet.ReportEvery) * (0.75 + 0.5*rand.Float64()))
		name := w.fleet.Order[node]
		status, conductor := w.sendReport(client, name)
		switch {
		case status == http.StatusOK:
		case status == http.StatusMisdirectedRequest && conductor != "" && conductor != name && w.fleet.Controllers[conductor] != "":
			client.CloseIdleConnections()
			for i, n := range w.fleet.Order {
				if n == conductor {
					node = i
				}
			}
			continue
		default:
			client.CloseIdleConnections()
			node = (node + 1) % len(w.fleet.Order)
			select {
			case <-w.ctx.Done():
			case <-time.After(time.Second):
			}
			continue
		}
		select {
		case <-w.ctx.Done():
		case <-time.After(pause):
		case <-w.changed:
			time.Sleep(time.Until(sentAt.Add(500 * time.Millisecond)))
		}
	}
}

func (w *Worker) sendReport(client *http.Client, name string) (status int, conductor string) {
	w.mu.Lock()
	shift := w.shift
	raw, _ := json.Marshal(w.report())
	w.mu.Unlock()
	sentAt := time.Now()
	request, _ := http.NewRequestWithContext(w.ctx, http.MethodPost, "http://"+w.fleet.Controllers[name]+"/agent/beat", bytes.NewReader(raw))
	response, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	var answer struct {
		Conductor string       `json:"conductor"`
		Baton     *uint64      `json:"baton"`
		Calls     []workerCall `json:"calls"`
	}
	_ = json.Unmarshal(body, &answer)
	if response.StatusCode == http.StatusBadRequest {
		w.fleet.Record.Log("machine %s: %s answers 400 to a report of %d bytes with %s tasks: %s", w.machine.Name, name, len(raw), strconv.Itoa(strings.Count(string(raw), `"seat"`)), body)
	}
	if response.StatusCode != http.StatusOK {
		return response.StatusCode, answer.Conductor
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if answer.Baton == nil || *answer.Baton < w.baton || shift != w.shift || len(body) > 64<<10 {
		return response.StatusCode, ""
	}
	w.setBaton(*answer.Baton)
	w.leaseEnd = sentAt.Add(w.fleet.Lease)
	w.execute(answer.Calls)
	return response.StatusCode, ""
}
