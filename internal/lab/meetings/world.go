// Package meetings is a whole service on one machine in which troubles meet: controllers, workers, users, the state service and the
// cloud, and the ways between them, on a clock that its tests hold.
package meetings

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/config"
	"poppypass/internal/controller"
	"poppypass/internal/standin"
	"poppypass/internal/wire"
)

// meeting is a whole service: several controllers, workers that report, hang and do not hear, users who submit, ask and cancel, a
// state service that refuses, is down or carries transactions out late, and the ways between all of them. The rules are checked from
// outside, by the workers and the users. Time goes on in steps, whatever is on its way: a call may take no time or, seen
// from the clock, many seconds, as it may in a slow network. So the rules must hold however the goroutines are scheduled.
type meeting struct {
	t      testing.TB
	r      *rand.Rand
	site   site
	clock  *clockwork.FakeClock
	state  *standin.State
	cloud  *standin.Cloud
	nodes  []*node
	client *http.Client
	begun  time.Time
	term   uint64         // the last that was seen to lead
	asking sync.WaitGroup // requests on their way
	ends   []ending       // troubles, and when they are over

	mu      sync.Mutex // guards what follows; never held over a call
	workers []*crew
	jobs    []*sold
	letters []letter
	trace   strings.Builder
	broken  string
	starts  int
	copies  int // percent of reports of which a copy comes late
}

// dice is a source of chance for several goroutines.
type dice struct {
	mu  sync.Mutex
	src rand.Source
}

func (d *dice) Uint64() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.src.Uint64()
}

// site is what a deployment sets.
type site struct {
	nodes          int
	lease, cancelS float64
	report, imageS float64
	machines       int
}

type node struct {
	w     *meeting
	name  string
	addr  string
	mesh  string
	zone  string
	door  *standin.Door
	gates map[string]*gate // ways to the others, by their names
	c     *controller.Controller
	stop  func() // nil: it is down
	back  time.Time
}

// gate is the way from one controller to another.
type gate struct {
	l    net.Listener
	mu   sync.Mutex
	shut bool
	open []net.Conn
}

func newGate(t testing.TB, to string) *gate {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := &gate{l: l}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			go g.pass(in, to)
		}
	}()
	t.Cleanup(func() { l.Close(); g.set(true) })
	return g
}

func (g *gate) pass(in net.Conn, to string) {
	defer in.Close()
	out, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer out.Close()
	g.mu.Lock()
	shut := g.shut
	g.open = append(g.open, in, out)
	g.mu.Unlock()
	if shut {
		return
	}
	go func() { _, _ = io.Copy(out, in); out.Close() }()
	_, _ = io.Copy(in, out)
}

// set shuts the gate, which ends what passes, or opens it.
func (g *gate) set(shut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut = shut; shut {
		for _, c := range g.open {
			c.Close()
		}
		g.open = nil
	}
}

// sold is a job, as its user knows it.
type sold struct {
	id              string
	raw             []byte // its submission
	tasks           int
	kind            string
	accepted, asked bool               // asked: its user wants it cancelled
	asking          context.CancelFunc // its request to cancel is on its way; nil: none is
	sent            time.Time
	confirmed       time.Time // when its user was told that it is cancelled
	done            bool      // its user was told
	next            time.Time // when it is asked about next
	completed       map[string]bool
}

// crew is a worker and its machine.
type crew struct {
	w                 *meeting
	rep               wire.Report
	srv               *httptest.Server
	gone              bool
	seen              time.Time // when the last answered report was sent
	next              time.Time
	at                int // which controller it reports to
	sent              time.Time
	waits             context.CancelFunc            // its report is on its way; nil: none is
	due               map[standin.Attempt]time.Time // when the present state of a task is over
	hangs, deaf, lost time.Time                     // until when; lost: no way to any controller
	held              []wire.DirectCommands
	only              *node  // the one controller that it reaches, and that reaches it; nil: all
	term              uint64 // that one's
}

// letter is a copy of a report that comes again.
type letter struct {
	at  time.Time
	raw []byte
}

// patience is how long a condition may take by the machine's clock beyond its bound by the world's: what a starved machine needs.
const patience = 20 * time.Second

// worlds is how many there were.
var worlds atomic.Int32

func newMeeting(t testing.TB, s site, seed uint64) *meeting {
	clock := clockwork.NewFakeClock()
	w := &meeting{
		t: t, r: rand.New(&dice{src: rand.NewPCG(seed, 5)}), site: s, clock: clock, state: standin.NewState(clock), begun: clock.Now(),
		cloud:  standin.NewCloud(s.machines, wire.MachineType{Name: "g8", CPUs: 16, MemoryGB: 64, Price: 1, SpotPrice: 0.4, BootS: 5, Zones: []string{"a", "b"}}),
		client: &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 8}},
	}
	// An address of its own for each world, and ports that no connection is given: they are free when a controller is back.
	n := int(worlds.Add(1))
	host := fmt.Sprintf("127.%d.%d.%d", 10+os.Getpid()%200, n/250, 1+n%250)
	for i := range s.nodes {
		w.nodes = append(w.nodes, &node{w: w, name: fmt.Sprintf("m%d", i), addr: fmt.Sprintf("%s:%d", host, 20001+i), mesh: fmt.Sprintf("%s:%d", host, 21001+i), zone: string(rune('a' + i%2)), door: w.state.Door(), gates: map[string]*gate{}})
	}
	for _, n := range w.nodes {
		for _, o := range w.nodes {
			if o != n {
				n.gates[o.name] = newGate(t, o.mesh)
			}
		}
	}
	for _, n := range w.nodes {
		n.boot()
	}
	t.Cleanup(func() {
		w.asking.Wait()
		for _, n := range w.nodes {
			n.end()
		}
		for _, k := range w.workers {
			k.srv.CloseClientConnections()
			k.srv.Close()
		}
		w.client.CloseIdleConnections()
		w.state.Close()
		w.cloud.Close()
	})
	return w
}

// boot starts a controller, as a process with no memory of an earlier one.
func (n *node) boot() {
	s := &config.Settings{
		Member: n.name, Zone: n.zone, Bind: n.addr, MeshAddr: n.mesh, Outside: config.Outside{Cloud: n.w.cloud.Addr(), State: n.door.Addr()},
		Cluster: config.Cluster{
			Zones: []string{"a", "b"}, Teams: []config.Team{{Name: "t", CPUs: 4000, CPUsMax: 8000}},
			Workers: config.Workers{ReportS: n.w.site.report, LeaseS: n.w.site.lease, CancelS: n.w.site.cancelS},
			State:   config.State{RPS: 1e6, WriteRPS: 1e6, ValueKB: 16, TxnOps: 24}, Cloud: config.Cloud{RPS: 1e6},
		},
	}
	for _, o := range n.w.nodes {
		if o != n {
			s.Members = append(s.Members, config.Member{Name: o.name, Zone: o.zone, Endpoint: n.gates[o.name].l.Addr().String()})
		}
	}
	own, err := config.LoadProperties("")
	if err != nil {
		n.w.t.Fatal(err)
	}
	if n.c, err = controller.New(s, config.Watch("", nil, own), n.w.clock, slog.New(slog.DiscardHandler)); err != nil {
		n.w.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.c.Run(ctx) }()
	n.stop = func() {
		stop()
		if err := <-done; err != nil {
			n.w.t.Errorf("controller %s ended: %v", n.name, err)
		}
	}
}

// end kills it.
func (n *node) end() {
	if n.stop != nil {
		n.stop()
		n.stop = nil
	}
}

// apart cuts it from the others, or ends that.
func (n *node) apart(cut bool) {
	for _, o := range n.w.nodes {
		if o != n {
			n.gates[o.name].set(cut)
			o.gates[n.name].set(cut)
		}
	}
}

// holds has some workers reach one controller alone, which leads; nil: all reach all again.
func (w *meeting) holds(n *node, workers []*crew) {
	_, term := w.holder()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range workers {
		k.only, k.term = n, term
	}
}

// holder gives the controller that the leader key names, and its term.
func (w *meeting) holder() (n *node, term uint64) {
	member, term := w.state.Holder()
	if i := slices.IndexFunc(w.nodes, func(n *node) bool { return n.name == member }); i >= 0 {
		n = w.nodes[i]
	}
	if term > w.term {
		w.term = term
		w.say("%s leads in term %d", member, term)
	}
	return n, term
}

// leader gives the controller that leads, by the leader key; nil if none does, or it is down.
func (w *meeting) leader() *node {
	if n, _ := w.holder(); n != nil && n.stop != nil {
		return n
	}
	return nil
}

func (w *meeting) now() time.Time { return w.clock.Now() }

// note adds to the trace. The lock is held.
func (w *meeting) note(format string, args ...any) {
	fmt.Fprintf(&w.trace, "%v ", w.now().Sub(w.begun))
	fmt.Fprintf(&w.trace, format, args...)
	w.trace.WriteByte('\n')
}

// breaks takes in that a rule is broken. The lock is held.
func (w *meeting) breaks(format string, args ...any) {
	w.note("BROKEN "+format, args...)
	if w.broken == "" {
		w.broken = fmt.Sprintf(format, args...)
	}
}

func (w *meeting) say(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.note(format, args...)
}

// post sends JSON and reads what comes back; status 0: nothing did.
func (w *meeting) post(ctx context.Context, url string, raw []byte, out any) int {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(raw))
	if err != nil {
		w.t.Fatal(err)
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if json.NewDecoder(resp.Body).Decode(out) != nil && resp.StatusCode == http.StatusOK {
		return 0
	}
	return resp.StatusCode
}

// crews makes the cloud's machines workers, and ends those that it no longer has.
func (w *meeting) crews() {
	there := w.cloud.Machines()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range there {
		if !slices.ContainsFunc(w.workers, func(k *crew) bool { return k.rep.Machine == m.Name }) {
			now := w.now()
			k := &crew{w: w, seen: now, next: now.Add(5 * time.Second), due: map[standin.Attempt]time.Time{}, at: w.r.IntN(len(w.nodes))}
			mux := http.NewServeMux()
			mux.HandleFunc("POST "+wire.PathCommands, k.direct)
			mux.HandleFunc("GET "+wire.PathShow, k.show)
			k.srv = httptest.NewServer(mux)
			k.rep = wire.Report{Machine: m.Name, Address: k.srv.Listener.Addr().String(), Type: m.Type, Zone: m.Zone, Spot: m.Spot, Session: 1, Tasks: []wire.TaskReport{}}
			w.workers = append(w.workers, k)
			w.note("%s in %s", m.Name, m.Zone)
		}
	}
	for _, k := range w.workers {
		if !k.gone && !slices.ContainsFunc(there, func(m wire.ListedMachine) bool { return m.Name == k.rep.Machine }) {
			k.gone = true
			w.note("%s is returned", k.rep.Machine)
			k.rep.Tasks = nil
		}
	}
}

func (k *crew) away() bool { return k.gone || k.w.now().Before(k.hangs) || k.w.now().Before(k.lost) }

// present tells whether a task is on its machine: it has its image, and nothing ended it.
func present(s wire.TaskState) bool { return s == wire.TaskRunning || s == wire.TaskSaving }

// live brings a worker up to now: its lease, images, runs and saves. The lock is held.
func (k *crew) live() {
	now := k.w.now()
	if k.gone || now.Before(k.hangs) {
		return
	}
	if k.over() {
		k.w.note("%s: session %d is over with %d tasks", k.rep.Machine, k.rep.Session, len(k.rep.Tasks))
		k.rep.Session, k.seen, k.rep.Tasks, k.held = k.rep.Session+1, now, []wire.TaskReport{}, nil
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
		key := standin.Attempt{Task: t.Task, Attempt: t.Attempt}
		switch {
		case t.State == wire.TaskFetching && !now.Before(k.due[key]):
			k.w.begins(k, t)
			t.State = wire.TaskRunning
			k.due[key] = now.Add(k.w.runs(t.Task))
			k.next = now
		case t.State == wire.TaskRunning && !now.Before(k.due[key]):
			t.State, t.Why = wire.TaskExited, wire.WhyDone
			k.w.job(t.Task).completed[t.Task] = true
			k.next = now
		case t.State == wire.TaskSaving && !now.Before(k.due[key]):
			t.State, t.Why, t.Saved = wire.TaskExited, wire.WhyStopped, true
			k.next = now
		}
	}
}

func (w *meeting) job(task string) *sold {
	id := standin.JobOf(task)
	for _, j := range w.jobs {
		if j.id == id {
			return j
		}
	}
	w.t.Fatalf("a task of job %s that nobody submitted", id)
	return nil
}

// runs is how long a task runs.
func (w *meeting) runs(task string) time.Duration {
	if w.job(task).kind == "service" {
		return 100 * time.Hour
	}
	return time.Duration(20+w.r.IntN(100)) * time.Second
}

// begins checks the rules at the start of a task. The lock is held.
func (w *meeting) begins(k *crew, t *wire.TaskReport) {
	w.starts++
	w.note("%s attempt %d begins on %s", t.Task, t.Attempt, k.rep.Machine)
	for _, o := range w.workers {
		for _, u := range o.rep.Tasks {
			if o != k && u.Task == t.Task && present(u.State) && !o.over() {
				w.breaks("ran_twice: %s begins on %s while it is on %s", t.Task, k.rep.Machine, o.rep.Machine)
			}
		}
	}
}

// over tells whether a worker's lease is over, so that it kills its tasks before it does anything else: the protocol has it look at
// its lease first when it goes on after it hung.
func (k *crew) over() bool {
	return k.w.now().Sub(k.seen) > seconds(k.w.site.lease)
}

// carryOut executes direct commands, late or not, and tells whether token and session allowed it. The lock is held.
func (k *crew) carryOut(q wire.DirectCommands, when string) bool {
	if q.Token < k.rep.Token || q.Session != k.rep.Session {
		return false
	}
	if q.Token > k.rep.Token {
		k.rep.Token, k.next = q.Token, k.w.now()
	}
	k.obey(q.Commands, when+"direct")
	return true
}

func (k *crew) direct(rw http.ResponseWriter, r *http.Request) {
	var q wire.DirectCommands
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	k.w.mu.Lock()
	defer k.w.mu.Unlock()
	k.live()
	if now := k.w.now(); k.away() || now.Before(k.deaf) || k.only != nil && q.Token != k.term {
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

func (k *crew) show(rw http.ResponseWriter, _ *http.Request) {
	k.w.mu.Lock()
	defer k.w.mu.Unlock()
	k.live()
	if k.away() || k.w.now().Before(k.deaf) || k.only != nil {
		panic(http.ErrAbortHandler)
	}
	k.rep.Seq++
	raw, _ := json.Marshal(k.rep)
	_, _ = rw.Write(raw)
}

// obey executes commands. The lock is held.
func (k *crew) obey(commands []wire.Command, how string) {
	now := k.w.now()
	for _, c := range commands {
		i := slices.IndexFunc(k.rep.Tasks, func(t wire.TaskReport) bool { return t.Task == c.Task && t.Attempt == c.Attempt })
		key := standin.Attempt{Task: c.Task, Attempt: c.Attempt}
		switch {
		case c.Op == wire.OpStart && i < 0:
			t := wire.TaskReport{Task: c.Task, Attempt: c.Attempt, State: wire.TaskFetching}
			if slices.ContainsFunc(k.rep.Tasks, func(o wire.TaskReport) bool { return o.Task == c.Task && o.State != wire.TaskExited }) {
				t.State, t.Why = wire.TaskExited, wire.WhyBusy
			}
			k.w.note("%s attempt %d starts on %s by %s", c.Task, c.Attempt, k.rep.Machine, how)
			k.due[key] = now.Add(k.w.seconds(0, k.w.site.imageS))
			k.rep.Tasks = append(k.rep.Tasks, t)
			k.next = now
		case c.Op == wire.OpStop && i >= 0 && k.rep.Tasks[i].State != wire.TaskExited:
			t := &k.rep.Tasks[i]
			k.w.note("%s attempt %d is stopped on %s by %s", c.Task, c.Attempt, k.rep.Machine, how)
			if c.GraceS != nil && *c.GraceS >= 4 && t.State == wire.TaskRunning {
				t.State, k.due[key] = wire.TaskSaving, now.Add(4*time.Second)
			} else {
				t.State, t.Why = wire.TaskExited, wire.WhyStopped
			}
			k.next = now
		case c.Op == wire.OpForget && i >= 0 && k.rep.Tasks[i].State == wire.TaskExited:
			k.rep.Tasks = slices.Delete(slices.Clone(k.rep.Tasks), i, i+1)
		}
	}
}

// reports has a worker report if it is time, and give up a report that had no answer for 4 s.
func (k *crew) reports() {
	w := k.w
	w.mu.Lock()
	defer w.mu.Unlock()
	k.live()
	now := w.now()
	if k.waits != nil && now.Sub(k.sent) >= 4*time.Second {
		k.waits()
	}
	if k.waits != nil || k.away() || now.Before(k.next) {
		return
	}
	k.rep.Seq++
	session := k.rep.Session
	raw, _ := json.Marshal(k.rep)
	to := w.nodes[k.at%len(w.nodes)]
	if w.r.IntN(100) < w.copies {
		w.letters = append(w.letters, letter{now.Add(w.seconds(2, 2+1.5*w.site.lease)), raw})
	}
	if k.only != nil && k.only != to {
		k.answered(0, nil, to, session)
		return
	}
	ctx, cancel := context.WithCancel(w.t.Context())
	k.waits, k.sent = cancel, now
	w.asking.Go(func() {
		var a answer
		status := w.post(ctx, "http://"+to.addr+wire.PathReport, raw, &a)
		w.mu.Lock()
		defer w.mu.Unlock()
		if cancel(); w.now().Sub(k.sent) > 4*time.Second {
			status = 0
		}
		k.waits = nil
		k.answered(status, &a, to, session)
	})
}

// answer is what a controller answers a report.
type answer struct {
	wire.ReportAnswer
	wire.Redirect
}

// answered takes in the answer to the report that was sent last. The lock is held.
func (k *crew) answered(status int, a *answer, by *node, session uint64) {
	w, now := k.w, k.w.now()
	k.live()
	if k.away() || now.Before(k.deaf) {
		status = 0 // the answer is lost
	}
	pause := w.seconds(0.75*w.site.report, 1.25*w.site.report)
	switch {
	case status == http.StatusOK:
		if a.Token >= k.rep.Token && session == k.rep.Session {
			k.rep.Token, k.seen = a.Token, k.sent
			k.obey(a.Commands, by.name)
		}
		if slices.ContainsFunc(k.rep.Tasks, func(t wire.TaskReport) bool { return t.State == wire.TaskExited }) {
			pause = 500 * time.Millisecond
		}
	case status == http.StatusMisdirectedRequest && a.ReportTo != "" && a.ReportTo != by.name:
		k.at = slices.IndexFunc(w.nodes, func(n *node) bool { return n.name == a.ReportTo })
		pause = 250 * time.Millisecond
	default:
		k.at = (k.at + 1) % len(w.nodes)
		pause = time.Second
	}
	k.next = now.Add(pause)
}

// sells has a user submit a job, again and again until it is accepted.
func (w *meeting) sells(id, kind string, tasks int, stub float64) {
	raw, err := json.Marshal(map[string]any{
		"ref": id, "lane": "l", "desk": "t", "shape": kind, "urgency": "standard", "seats": tasks, "cpus": 4.0, "gpus": 0.0, "mem_gb": 1.0,
		"bundle": "img", "image_gb": 1.0, "same_place": false, "apart": kind == "service" && tasks > 1, "standby": true,
		"ride_s": 10.0, "stub_s": stub, "stamp_s": stub / 10,
	})
	if err != nil {
		w.t.Fatal(err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs = append(w.jobs, &sold{id: id, tasks: tasks, kind: kind, raw: raw, completed: map[string]bool{}, next: w.now()})
}

// submit submits a job once.
func (w *meeting) submit(j *sold) {
	var out map[string]any
	status := w.post(w.t.Context(), "http://"+w.anyNode().addr+"/v2/runs", j.raw, &out)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch j.next = w.now().Add(time.Second); status {
	case http.StatusCreated, http.StatusOK:
		j.accepted = true
		w.note("%s is accepted", j.id)
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		w.breaks("forgotten: %s is refused with %d: %v", j.id, status, out)
	}
}

// anyNode gives a controller that is up, or one that is not if none is.
func (w *meeting) anyNode() *node {
	n := w.nodes[w.r.IntN(len(w.nodes))]
	for range 10 {
		if n.stop != nil {
			break
		}
		n = w.nodes[w.r.IntN(len(w.nodes))]
	}
	return n
}

// asks has a user ask about a job, or cancel it.
func (w *meeting) asks(j *sold) {
	n := w.anyNode()
	w.mu.Lock()
	now := w.now()
	due := !now.Before(j.next)
	if due && !j.accepted {
		w.mu.Unlock()
		w.submit(j)
		return
	}
	cancel := due && j.asked && j.asking == nil && j.confirmed.IsZero() && !j.done
	final := !j.confirmed.IsZero() || j.done
	if due {
		if j.next = now.Add(time.Duration(4000+w.r.IntN(2000)) * time.Millisecond); j.asked && !final {
			j.next = now.Add(time.Second)
		}
	}
	ctx := w.t.Context()
	if cancel {
		ctx, j.asking = context.WithCancel(ctx)
		j.sent = now
	} else if j.asking != nil && now.Sub(j.sent) > 5*time.Second {
		j.asking() // a user waits for so long
	}
	wasDone, wasCancelled := j.done, !j.confirmed.IsZero()
	w.mu.Unlock()
	if !due {
		return
	}
	if cancel {
		w.asking.Go(func() {
			var out struct{ Status string }
			status := w.post(ctx, "http://"+n.addr+"/v2/runs/"+j.id+"/cancel", nil, &out)
			w.mu.Lock()
			defer w.mu.Unlock()
			j.asking()
			if j.asking = nil; status == http.StatusOK {
				w.note("%s is told %s by %s", j.id, out.Status, n.name)
				w.told(j, out.Status)
			} else if status == http.StatusNotFound {
				w.breaks("forgotten: %s is unknown to %s", j.id, n.name)
			}
		})
		return
	}
	var out struct{ Status string }
	resp, err := w.client.Get("http://" + n.addr + "/v2/runs/" + j.id)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case resp.StatusCode == http.StatusNotFound:
		w.breaks("forgotten: %s is unknown to %s", j.id, n.name)
	case resp.StatusCode == http.StatusOK && json.NewDecoder(resp.Body).Decode(&out) == nil:
		if wasDone && out.Status != "done" || wasCancelled && out.Status != "withdrawn" {
			w.breaks("went_back: %s is called %s by %s, and was over", j.id, out.Status, n.name)
		}
		if out.Status == "done" || out.Status == "withdrawn" {
			if !final {
				w.note("%s is told %s by %s, asking", j.id, out.Status, n.name)
			}
			w.told(j, out.Status)
		}
	}
}

// told takes in a final state. The lock is held.
func (w *meeting) told(j *sold, state string) {
	switch {
	case state == "done" && len(j.completed) < j.tasks:
		w.breaks("not_done: %s is called done with %d of %d tasks", j.id, len(j.completed), j.tasks)
	case state == "withdrawn" && !j.asked:
		w.breaks("went_back: %s is called cancelled, and nobody cancelled it", j.id)
	case state == "done" && !j.confirmed.IsZero() || state == "withdrawn" && j.done:
		w.breaks("went_back: %s is called %s, and was over otherwise", j.id, state)
	case state == "done":
		j.done = true
	case state == "withdrawn" && j.confirmed.IsZero():
		j.confirmed = w.now()
	}
}

// ending is the end of a trouble.
type ending struct {
	at time.Time
	fn func()
}

// lasts begins a trouble and has it end after a time.
func (w *meeting) lasts(d time.Duration, begin, end func()) {
	begin()
	w.ends = append(w.ends, ending{w.now().Add(d), end})
}

// over ends the troubles that are due, or all.
func (w *meeting) over(all bool) {
	w.ends = slices.DeleteFunc(w.ends, func(e ending) bool {
		if !all && w.now().Before(e.at) {
			return false
		}
		e.fn()
		return true
	})
	if w.state.Held() > 0 && (all || w.r.IntN(16) == 0) {
		late := w.state.Deliver()
		w.say("%d late transactions are carried out", len(late))
	}
}

// seconds gives a time between two bounds.
func (w *meeting) seconds(least, most float64) time.Duration {
	return seconds(least + w.r.Float64()*(most-least))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// some gives some of the workers.
func (w *meeting) some() []*crew {
	share := w.r.Float64()
	var out []*crew
	for _, k := range w.workers {
		if w.r.Float64() < share {
			out = append(out, k)
		}
	}
	return out
}

// trouble begins one of the troubles, mostly one that concerns the leader.
func (w *meeting) trouble() {
	n := w.leader()
	if n == nil || w.r.IntN(4) == 0 {
		n = w.anyNode()
	}
	s := w.site
	switch w.r.IntN(13) {
	case 0, 1:
		w.say("%s is refused by the state service", n.name)
		w.lasts(w.seconds(1, 20), func() { n.door.Refuse(true) }, func() { n.door.Refuse(false) })
	case 2:
		w.say("the state service is down")
		w.lasts(w.seconds(1, 1.3*s.cancelS), func() { w.state.Refuse(true) }, func() { w.say("the state service is back"); w.state.Refuse(false) })
	case 3, 4:
		for range 1 + w.r.IntN(len(w.nodes)) {
			if n.stop != nil {
				w.say("%s ends", n.name)
				n.end()
				n.back = w.now().Add(w.seconds(0.2, 6))
			}
			n = w.nodes[w.r.IntN(len(w.nodes))]
		}
	case 5, 6:
		refused := w.r.IntN(2) == 0
		w.say("%s is cut from the others, and refused: %v", n.name, refused)
		w.lasts(w.seconds(2, 1.5*s.lease), func() { n.apart(true); n.door.Refuse(refused) }, func() { n.apart(false); n.door.Refuse(false) })
	case 7:
		w.say("transactions come late")
		w.lasts(w.seconds(5, 40), func() {
			w.state.Late(func(wire.Txn) bool { return rand.IntN(4) == 0 })
		}, func() { w.state.Late(nil) })
	case 8:
		w.say("copies of reports")
		w.lasts(w.seconds(5, 60), func() { w.copies = 30 }, func() { w.copies = 0 })
	case 9, 10, 11:
		until, what := w.now().Add(w.seconds(1, 1.4*s.lease)), w.r.IntN(3)
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, k := range w.some() {
			w.note("%s %s until %v", k.rep.Machine, []string{"hangs", "is deaf", "is lost"}[what], until.Sub(w.begun))
			*[]*time.Time{&k.hangs, &k.deaf, &k.lost}[what] = until
		}
	case 12:
		if n != w.leader() {
			return
		}
		w.mu.Lock()
		some := w.some()
		w.note("%d workers reach %s alone", len(some), n.name)
		w.mu.Unlock()
		w.lasts(w.seconds(2, 2*s.lease), func() { w.holds(n, some) }, func() { w.holds(nil, some) })
	}
}

// tick is one step of time.
const tick = 250 * time.Millisecond

// step lets everybody do what is due, and time go on.
func (w *meeting) step() {
	w.crews()
	w.over(false)
	w.leader() // for the trace
	for _, n := range w.nodes {
		if n.stop == nil && !w.now().Before(n.back) {
			w.say("%s is back", n.name)
			n.boot()
		}
	}
	w.mu.Lock()
	workers, sold := slices.Clone(w.workers), slices.Clone(w.jobs)
	var due [][]byte
	w.letters = slices.DeleteFunc(w.letters, func(l letter) bool {
		if w.now().Before(l.at) {
			return false
		}
		due = append(due, l.raw)
		return true
	})
	w.mu.Unlock()
	for _, raw := range due {
		to := w.anyNode().addr
		w.asking.Go(func() {
			var out map[string]any
			w.post(w.t.Context(), "http://"+to+wire.PathReport, raw, &out) // its answer reaches nobody
		})
	}
	for _, k := range workers {
		k.reports()
	}
	for _, j := range sold {
		w.asks(j)
	}
	w.check()
	w.clock.Advance(tick)
	w.state.Expire()
	// What was due gets a moment of the machine: a call and its answer from each.
	for _, n := range w.nodes {
		if n.stop == nil {
			continue
		}
		if resp, err := w.client.Get("http://" + n.addr + wire.PathHealth); err == nil {
			resp.Body.Close()
		}
	}
}

// check looks for tasks of cancelled jobs.
func (w *meeting) check() {
	w.mu.Lock()
	limit := seconds(w.site.cancelS)
	for _, k := range w.workers {
		if k.gone || k.over() {
			continue
		}
		for _, t := range k.rep.Tasks {
			if j := w.job(t.Task); present(t.State) && !j.confirmed.IsZero() && w.now().Sub(j.confirmed) > limit {
				w.breaks("ran_cancelled: %s is on %s %v after its user was told", t.Task, k.rep.Machine, w.now().Sub(j.confirmed))
			}
		}
	}
	broken, trace := w.broken, w.trace.String()
	w.mu.Unlock()
	if broken != "" {
		w.t.Fatalf("%s\n%s", broken, trace)
	}
}

// pass lets time pass.
func (w *meeting) pass(d time.Duration) {
	for ; d > 0; d -= tick {
		w.step()
	}
}

// until lets time pass until a condition holds, for a time at the most.
func (w *meeting) until(what string, most time.Duration, holds func() bool) time.Duration {
	w.t.Helper()
	begun := w.now()
	real := time.Now()
	for !holds() {
		// Both bounds: what it takes by the clock, and that a starved machine had time to do it.
		if w.now().Sub(begun) > most && time.Since(real) > patience {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.t.Fatalf("never happened: %s\n%s", what, w.trace.String())
		}
		w.step()
	}
	return w.now().Sub(begun)
}

// locked tells whether something holds, under the lock.
func (w *meeting) locked(fn func() bool) func() bool {
	return func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return fn()
	}
}

// all tells whether something holds of all jobs.
func (w *meeting) all(fn func(*sold) bool) func() bool {
	return w.locked(func() bool { return !slices.ContainsFunc(w.jobs, func(j *sold) bool { return !fn(j) }) })
}

// running is how many tasks of a job are on machines. The lock is held.
func (w *meeting) running(id string) int {
	n := 0
	for _, k := range w.workers {
		for _, t := range k.rep.Tasks {
			if !k.gone && standin.JobOf(t.Task) == id && present(t.State) {
				n++
			}
		}
	}
	return n
}

// cancels has a job's user want it cancelled from now on.
func (w *meeting) cancels(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, j := range w.jobs {
		if j.id == id && !j.done {
			j.asked, j.next = true, w.now()
			w.note("%s is to be cancelled", id)
		}
	}
}
