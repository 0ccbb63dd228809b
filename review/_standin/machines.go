package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

type machineType struct {
	SKU      string   `json:"sku"`
	CPUs     float64  `json:"cpus"`
	GPUs     float64  `json:"gpus"`
	MemGB    float64  `json:"mem_gb"`
	CacheGB  float64  `json:"cache_gb"`
	FetchGBs float64  `json:"fetch_gb_per_s"`
	Rate     float64  `json:"rate"`
	Spot     float64  `json:"spot_price"`
	StartupS float64  `json:"startup_s"`
	Yards    []string `json:"yards"`
}

type listed struct {
	Ref     string  `json:"ref"`
	Address string  `json:"address"`
	Build   string  `json:"build"`
	Yard    string  `json:"yard"`
	Standby bool    `json:"standby"`
	Status  string  `json:"status"`
	AgeS    float64 `json:"age_s"`
}

// job is what a user has submitted and described to the workers.
type job struct {
	ID                        string
	Team, Shape, Urgency      string
	Seats                     int
	CPUs, MemGB               float64
	Image                     string
	ImageGB                   float64
	Builds                    []string
	Yard                      string
	SamePlace, Apart, Standby bool
	Run                       time.Duration // of each task
	StubS, StampS             float64
	Fails                     bool // each attempt ends with an error after Run
	// What users and workers saw.
	mu        sync.Mutex
	doneTasks map[int]bool // results that are kept
}

// snapshot is the machine list at one time.
type snapshot struct {
	at    time.Time
	items []listed
}

// cloud is a stand-in of the cloud. Machines are workers in this process.
type cloud struct {
	w         *world
	types     []machineType
	capacity  int
	bootAfter func() time.Duration
	lag       time.Duration

	mu        sync.Mutex
	bookings  map[string][]string
	machines  map[string]*worker
	created   map[string]time.Time
	count     int
	history   []snapshot
	calls     bucket
	outage    bool
	lateShare float64 // of rentals and deletions that get no answer and are executed later
}

func newCloud(w *world, types []machineType, capacity int, rps float64, lag time.Duration) (*cloud, string) {
	c := &cloud{w: w, types: types, capacity: capacity, lag: lag, bookings: map[string][]string{}, machines: map[string]*worker{}, created: map[string]time.Time{},
		calls: bucket{2 * rps, 2 * rps, time.Now()}, bootAfter: func() time.Duration { return time.Second }}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal(err)
	}
	go func() { _ = http.Serve(l, http.HandlerFunc(c.serve)) }()
	go func() {
		for {
			time.Sleep(200 * time.Millisecond)
			c.mu.Lock()
			c.snapshot()
			c.mu.Unlock()
		}
	}()
	return c, l.Addr().String()
}

func (c *cloud) snapshot() {
	now := time.Now()
	var items []listed
	for name, m := range c.machines {
		status := "booting"
		addr := ""
		if m.isUp() {
			status, addr = "running", m.addr
		}
		items = append(items, listed{name, addr, m.build, m.yard, m.standby, status, now.Sub(c.created[name]).Seconds()})
	}
	sort.Slice(items, func(i, k int) bool { return items[i].Ref < items[k].Ref })
	c.history = append(c.history, snapshot{now, items})
	if len(c.history) > 200 {
		c.history = c.history[1:]
	}
}

func (c *cloud) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outage {
		send(w, 503, errorOf("trouble"))
		return
	}
	if !c.calls.take(1, time.Now()) {
		send(w, 429, errorOf("too many requests"))
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /machine_types":
		send(w, 200, map[string]any{"builds": c.types})
	case "POST /machines":
		var in struct {
			Booking string `json:"booking"`
			Build   string `json:"build"`
			Yard    string `json:"yard"`
			Standby bool   `json:"standby"`
			Number  int    `json:"number"`
		}
		if json.Unmarshal(body, &in) != nil || in.Booking == "" || in.Number < 1 || in.Number > 50 {
			send(w, 400, errorOf("malformed"))
			return
		}
		names, known := c.bookings[in.Booking]
		if !known {
			var typ *machineType
			for i := range c.types {
				if c.types[i].SKU == in.Build {
					typ = &c.types[i]
				}
			}
			if typ == nil {
				send(w, 400, errorOf("malformed"))
				return
			}
			for len(names) < in.Number && len(c.machines) < c.capacity {
				c.count++
				name := fmt.Sprintf("n-%06d", c.count)
				names = append(names, name)
				c.created[name] = time.Now()
				m := newWorker(c.w, name, typ, in.Yard, in.Standby)
				c.machines[name] = m
				time.AfterFunc(c.bootAfter(), m.boot)
			}
			if len(names) == 0 {
				send(w, 503, errorOf("no capacity"))
				return
			}
			c.bookings[in.Booking] = names
			c.w.rec.log("cloud", "rented %v (%s, %s, spot %v)", names, in.Build, in.Yard, in.Standby)
		}
		send(w, 200, map[string]any{"stalls": names})
	case "POST /machines/release":
		var in struct {
			Stalls []string `json:"stalls"`
		}
		if json.Unmarshal(body, &in) != nil || len(in.Stalls) > 100 {
			send(w, 400, errorOf("malformed"))
			return
		}
		c.w.rec.log("cloud", "returned %v", in.Stalls)
		for _, n := range in.Stalls {
			if m := c.machines[n]; m != nil {
				delete(c.machines, n)
				m.gone()
			}
		}
		send(w, 200, struct{}{})
	case "GET /machines":
		after := r.URL.Query().Get("after")
		lag := time.Duration(float64(c.lag) * (0.7 + 0.6*rand.Float64()))
		out := []listed{}
		for i := len(c.history) - 1; i >= 0; i-- {
			if time.Since(c.history[i].at) >= lag {
				for _, m := range c.history[i].items {
					if m.Ref > after && len(out) < 500 {
						out = append(out, m)
					}
				}
				break
			}
		}
		send(w, 200, map[string]any{"stalls": out, "has_next": false})
	default:
		send(w, 400, errorOf("malformed"))
	}
}

func (c *cloud) workers() []*worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*worker
	for _, m := range c.machines {
		out = append(out, m)
	}
	sort.Slice(out, func(i, k int) bool { return out[i].name < out[k].name })
	return out
}

// seat is a task on a machine, as reports show it.
type seat struct {
	Seat     string `json:"seat"`
	Boarding uint64 `json:"boarding"`
	Status   string `json:"status"`
	Cause    string `json:"cause,omitempty"`
	Kept     bool   `json:"kept,omitempty"`

	job   *job
	index int
	timer *time.Timer
}

type call struct {
	Call      string   `json:"call"`
	Seat      string   `json:"seat"`
	Boarding  uint64   `json:"boarding"`
	BoardingS *float64 `json:"boarding_s"`
}

// worker is a stand-in of a machine's worker, by PROTOCOL-poppypass.md, "Workers -> controller nodes".
type worker struct {
	w                 *world
	name, build, yard string
	standby           bool
	typ               *machineType
	addr              string

	mu         sync.Mutex
	cond       chan struct{}
	up, ended  bool
	shift      uint64
	punch      uint64
	baton      uint64
	lastSent   time.Time // when the last answered report was sent, or the session began
	seats      []*seat
	images     map[string]bool
	srv        *http.Server
	generation int // of the worker's process
	muteUntil  time.Time
	hangUntil  time.Time
	// lateCommands, if set, decides whether a direct command is held up and executed later, unanswered.
	lateCommands  func() (time.Duration, bool)
	maxReport     int
	lastRaw       []byte
	maxSeats      int
	tooLong       int // reports longer than 64 KiB
	refused400    int
	directTooLong int
	expiries      int
}

func newWorker(w *world, name string, typ *machineType, yard string, standby bool) *worker {
	return &worker{w: w, name: name, build: typ.SKU, typ: typ, yard: yard, standby: standby, cond: make(chan struct{}, 1), images: map[string]bool{}}
}

func (m *worker) isUp() bool { m.mu.Lock(); defer m.mu.Unlock(); return m.up }

func (m *worker) boot() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ended {
		return
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal(err)
	}
	m.addr = l.Addr().String()
	m.srv = &http.Server{Handler: http.HandlerFunc(m.serve)}
	go func() { _ = m.srv.Serve(l) }()
	m.up, m.shift, m.punch, m.baton, m.lastSent = true, 1, 0, 0, time.Now()
	m.generation++
	go m.run(m.generation)
}

// gone ends the machine with all that is on it.
func (m *worker) gone() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended, m.up = true, false
	m.generation++
	m.killAll("machine gone")
	if m.srv != nil {
		go m.srv.Close()
	}
}

// restart ends the worker's process and begins a new one at the same address after a pause.
func (m *worker) restart(pause time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ended || !m.up {
		return
	}
	m.killAll("machine restarted")
	m.generation++
	g := m.generation
	m.up = false
	time.AfterFunc(pause, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.ended || m.generation != g {
			return
		}
		m.images = map[string]bool{}
		m.up, m.shift, m.punch, m.baton, m.lastSent = true, 1, 0, 0, time.Now()
		go m.run(g)
	})
}

func (m *worker) killAll(why string) {
	for _, s := range m.seats {
		if s.timer != nil {
			s.timer.Stop()
		}
		if s.Status == "running" || s.Status == "saving" {
			m.w.offMachine(m, s, why)
		}
	}
	m.seats = nil
}

func (m *worker) change() {
	select {
	case m.cond <- struct{}{}:
	default:
	}
}

// report returns the next report. The caller holds the lock.
func (m *worker) report() []byte {
	m.punch++
	seats := m.seats
	if seats == nil {
		seats = []*seat{}
	}
	raw, _ := json.Marshal(map[string]any{"stall": m.name, "address": m.addr, "build": m.build, "yard": m.yard, "standby": m.standby,
		"shift": m.shift, "punch": m.punch, "baton": m.baton, "warning_s": nil, "seats": seats})
	m.lastRaw = raw
	m.maxReport, m.maxSeats = max(m.maxReport, len(raw)), max(m.maxSeats, len(seats))
	return raw
}

// checkLease ends the session if the last answered report was sent more than lease_s ago. The caller holds the lock.
func (m *worker) checkLease() {
	if time.Since(m.lastSent).Seconds() > m.w.set.LeaseS && m.up {
		if len(m.seats) > 0 {
			m.w.rec.log(m.name, "the lease is over after session %d; %d tasks are killed", m.shift, len(m.seats))
			m.expiries++
		}
		m.killAll("lease over")
		m.shift++
		m.lastSent = time.Now()
	}
}

func (m *worker) run(generation int) {
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxConnsPerHost: 1}, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	defer client.CloseIdleConnections()
	names := append([]string(nil), m.w.memberNames()...)
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] }) // each worker has an order of its own
	node := rand.IntN(len(names))
	alive := func() bool { m.mu.Lock(); defer m.mu.Unlock(); return m.generation == generation && m.up }
	go func() {
		for alive() {
			time.Sleep(50 * time.Millisecond)
			m.mu.Lock()
			if time.Now().After(m.hangUntil) && m.generation == generation {
				m.checkLease()
			}
			m.mu.Unlock()
		}
	}()
	for alive() {
		for alive() && m.hanging() {
			time.Sleep(20 * time.Millisecond)
		}
		m.mu.Lock()
		m.checkLease()
		raw, shift, mute := m.report(), m.shift, time.Now().Before(m.muteUntil)
		m.mu.Unlock()
		sent := time.Now()
		status, answer := 0, []byte(nil)
		withheld := m.w.withhold && len(raw) > 64<<10
		if mute {
			time.Sleep(4 * time.Second)
		} else if !withheld { // with withhold, a worker sends no report that is longer than a request body may be
			status, answer = m.post(client, m.w.nodeAddr(names[node]), raw)
		}
		if len(raw) > 64<<10 {
			m.mu.Lock()
			m.tooLong++
			if status == 400 {
				m.refused400++
			}
			m.mu.Unlock()
			m.w.rec.log(m.name, "report of %d tasks has %d bytes; %s answers %d", strings.Count(string(raw), "boarding"), len(raw), names[node], status)
		}
		pause := time.Second
		switch status {
		case 200:
			var in struct {
				Baton *uint64 `json:"baton"`
				Calls []call  `json:"calls"`
			}
			pause = time.Duration((0.75 + 0.5*rand.Float64()) * m.w.set.ReportS * float64(time.Second))
			if json.Unmarshal(answer, &in) == nil && in.Baton != nil {
				m.mu.Lock()
				if m.generation == generation && *in.Baton >= m.baton && m.shift == shift {
					if *in.Baton > m.baton {
						m.baton = *in.Baton
						m.change()
					}
					m.lastSent = sent
					m.w.rec.commands(m.name, "answer", in.Calls)
					m.execute(in.Calls)
				}
				m.mu.Unlock()
			}
		case 421:
			var in struct {
				Conductor string `json:"conductor"`
			}
			_ = json.Unmarshal(answer, &in)
			client.CloseIdleConnections()
			found := false
			for i, n := range names {
				if n == in.Conductor && i != node {
					node, found = i, true
					break
				}
			}
			if found {
				pause = time.Duration(rand.IntN(500)) * time.Millisecond
			} else {
				node = (node + 1) % len(names)
			}
		default:
			node = (node + 1) % len(names)
		}
		timer := time.NewTimer(pause)
		if status == 200 {
			select {
			case <-timer.C:
			case <-m.cond:
				time.Sleep(time.Until(sent.Add(500 * time.Millisecond)))
			}
		} else {
			<-timer.C
		}
		timer.Stop()
	}
}

func (m *worker) hanging() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Now().Before(m.hangUntil)
}

func (m *worker) post(client *http.Client, addr string, raw []byte) (int, []byte) {
	req, err := http.NewRequestWithContext(context.Background(), "POST", "http://"+addr+"/agent/beat", bytes.NewReader(raw))
	if err != nil {
		return 0, nil
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, body
}

func (m *worker) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		return
	}
	for m.hanging() {
		time.Sleep(20 * time.Millisecond)
	}
	m.mu.Lock()
	up, late := m.up, m.lateCommands
	m.mu.Unlock()
	if !up {
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == "/show" {
		m.mu.Lock()
		m.checkLease()
		raw := m.report()
		m.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(raw)
		return
	}
	if len(body) > 64<<10 {
		m.w.rec.log(m.name, "a controller sends a direct request of %d bytes; it is answered 400: a request body may be at most 64 KiB", len(body))
		m.mu.Lock()
		m.directTooLong++
		m.mu.Unlock()
		send(w, 400, errorOf("too long"))
		return
	}
	if late != nil {
		if after, yes := late(); yes {
			time.AfterFunc(after, func() { m.direct(body, "late direct command") })
			<-r.Context().Done()
			return
		}
	}
	status, raw := m.direct(body, "direct")
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

func (m *worker) direct(body []byte, how string) (int, []byte) {
	var in struct {
		Baton *uint64 `json:"baton"`
		Shift *uint64 `json:"shift"`
		Calls []call  `json:"calls"`
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.checkLease()
	if json.Unmarshal(body, &in) != nil || in.Baton == nil || in.Shift == nil {
		return 400, []byte(`{"error":"malformed"}`)
	}
	if !m.up || *in.Baton < m.baton || *in.Shift != m.shift {
		return 409, m.report()
	}
	if *in.Baton > m.baton {
		m.baton = *in.Baton
		m.change()
	}
	m.w.rec.commands(m.name, how, in.Calls)
	m.execute(in.Calls)
	return 200, m.report()
}

func (m *worker) used() (cpus, mem float64) {
	for _, s := range m.seats {
		if s.Status != "exited" && s.job != nil {
			cpus += s.job.CPUs
			mem += s.job.MemGB
		}
	}
	return cpus, mem
}

// execute executes commands. The caller holds the lock.
func (m *worker) execute(calls []call) {
	index := make(map[string]*seat, len(m.seats))
	for _, s := range m.seats {
		index[fmt.Sprint(s.Seat, "#", s.Boarding)] = s
	}
	usedCPUs, usedMem := m.used()
	for _, c := range calls {
		key := fmt.Sprint(c.Seat, "#", c.Boarding)
		s := index[key]
		switch {
		case c.Call == "start" && s == nil:
			s = &seat{Seat: c.Seat, Boarding: c.Boarding}
			index[key] = s
			m.seats = append(m.seats, s)
			m.change()
			s.job, s.index = m.w.jobOf(c.Seat)
			busy := false
			for _, o := range m.seats {
				busy = busy || o != s && o.Seat == c.Seat && o.Status != "exited"
			}
			switch {
			case s.job == nil:
				s.Status, s.Cause = "exited", "unknown"
			case busy:
				s.Status, s.Cause = "exited", "busy"
			case usedCPUs+s.job.CPUs > m.typ.CPUs+1e-6 || usedMem+s.job.MemGB > m.typ.MemGB+1e-6:
				s.Status, s.Cause = "exited", "full"
			default:
				usedCPUs += s.job.CPUs
				usedMem += s.job.MemGB
				s.Status = "fetching"
				fetch := time.Duration(0)
				if !m.images[s.job.Image] {
					fetch = time.Duration(s.job.ImageGB / m.typ.FetchGBs * float64(time.Second))
				}
				m.after(s, fetch, m.begin)
			}
		case c.Call == "halt" && s != nil && s.Status != "exited":
			m.change()
			if s.Status == "running" && s.job.StubS > 0 && c.BoardingS != nil && *c.BoardingS >= s.job.StampS {
				s.Status = "saving"
				s.timer.Stop()
				m.after(s, time.Duration(s.job.StampS*float64(time.Second)), func(s *seat) { m.exit(s, "stopped", true) })
				continue
			}
			m.exit(s, "stopped", false)
		case c.Call == "forget" && s != nil && s.Status == "exited":
			for i, o := range m.seats {
				if o == s {
					m.seats = append(m.seats[:i:i], m.seats[i+1:]...)
					break
				}
			}
			delete(index, key)
		}
	}
}

// after runs fn on a task after a time, unless the task has ended or its machine hangs meanwhile. The caller holds the lock.
func (m *worker) after(s *seat, d time.Duration, fn func(*seat)) {
	g := m.generation
	var fire func()
	fire = func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.generation != g || s.Status == "exited" || !m.has(s) {
			return
		}
		if left := time.Until(m.hangUntil); left > 0 {
			s.timer = time.AfterFunc(left, fire)
			return
		}
		fn(s)
	}
	s.timer = time.AfterFunc(d, fire)
}

func (m *worker) has(s *seat) bool {
	for _, o := range m.seats {
		if o == s {
			return true
		}
	}
	return false
}

func (m *worker) begin(s *seat) {
	m.images[s.job.Image] = true
	m.change()
	s.job.mu.Lock()
	done := s.job.doneTasks[s.index]
	s.job.mu.Unlock()
	m.w.onMachine(m, s)
	s.Status = "running"
	if done {
		m.exit(s, "done", false)
		return
	}
	if s.job.Shape == "array" {
		m.after(s, time.Duration(float64(s.job.Run)*(0.9+0.2*rand.Float64())), func(s *seat) {
			if s.job.Fails {
				m.exit(s, "error", false)
				return
			}
			s.job.mu.Lock()
			s.job.doneTasks[s.index] = true
			s.job.mu.Unlock()
			m.exit(s, "done", false)
		})
	}
}

func (m *worker) exit(s *seat, why string, kept bool) {
	if s.timer != nil {
		s.timer.Stop()
	}
	if s.Status == "running" || s.Status == "saving" {
		m.w.offMachine(m, s, why)
	}
	s.Status, s.Cause, s.Kept = "exited", why, kept
	m.change()
}
