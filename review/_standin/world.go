// Command standin plays the cases of the review: it starts controllers of the project as processes of their own, on
// loopback addresses and the real clock, with stand-ins of the state service, the cloud, the workers and the users. The
// stand-ins keep to PROTOCOL-poppypass.md. Verdicts rest on what users, workers and the platform see.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func fatal(err error) {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	cleanUp()
	os.Exit(2)
}

// record is record.txt: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
	brief bool // commands of many tasks are counted, not listed
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		fatal(err)
	}
	return &record{f: f, start: time.Now()}
}

func (r *record) log(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f %-12s %s\n", time.Since(r.start).Seconds(), who, fmt.Sprintf(format, args...))
}

func (r *record) commands(machine, how string, calls []call) {
	if len(calls) > 12 {
		n := map[string]int{}
		for _, c := range calls {
			n[c.Call]++
		}
		r.log(machine, "%s: %d commands %v", how, len(calls), n)
		return
	}
	for _, c := range calls {
		r.log(machine, "%s: %s %s #%d", how, c.Call, c.Seat, c.Boarding)
	}
}

type team struct {
	Name          string
	CPUs, CPUsMax float64
}

type setup struct {
	Members           int
	Zones             []string
	Teams             []team
	ReportS, LeaseS   float64
	CancelS           float64
	State             stateLimits
	Next              *stateLimits // state.next
	CloudRPS, ListLag float64
	RAM               float64
	FD                int
	Types             []machineType
	Capacity          int
}

// node is one controller.
type node struct {
	name, zone, bind, mesh, state string
	settings                      string
	cmd                           *exec.Cmd
	log                           *os.File
	exited                        chan struct{}
	expected                      bool // the end was the driver's own doing
}

type world struct {
	rec   *record
	set   setup
	dir   string
	state *stateService
	cloud *cloud
	nodes []*node

	mu       sync.Mutex
	jobs     map[string]*job
	on       map[string]map[*worker]uint64   // by task: the machines that it is on, and the attempt
	broken   []string                        // rules that were broken
	use      map[string]float64              // CPUs by team
	starts   map[string]int                  // by task
	done     map[string]time.Time            // by job: when its last task completed
	ends     int                             // controllers that ended by themselves
	attempts map[string]map[string]time.Time // by job, then task#attempt: when it began to run
	withhold bool                            // workers send no report that is longer than a request body may be
}

var current *world

func cleanUp() {
	if current == nil {
		return
	}
	for _, n := range current.nodes {
		n.kill()
	}
	_ = os.RemoveAll(current.dir)
}

// freeAddrs returns loopback addresses on which nothing listens.
func freeAddrs(n int) []string {
	var out []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			fatal(err)
		}
		defer l.Close() // after all have been found, so that they differ
		out = append(out, l.Addr().String())
	}
	return out
}

func newWorld(rec *record, set setup) *world {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fatal(err)
	}
	w := &world{rec: rec, set: set, dir: dir, jobs: map[string]*job{}, on: map[string]map[*worker]uint64{}, use: map[string]float64{}, starts: map[string]int{}, done: map[string]time.Time{}, attempts: map[string]map[string]time.Time{}}
	current = w
	w.state = newStateService(rec, set.State)
	var cloudAddr string
	w.cloud, cloudAddr = newCloud(w, set.Types, set.Capacity, set.CloudRPS, time.Duration(set.ListLag*float64(time.Second)))
	addrs := freeAddrs(2 * set.Members)
	for i := range set.Members {
		name := fmt.Sprintf("stall-%d", i)
		w.nodes = append(w.nodes, &node{name: name, zone: set.Zones[i%len(set.Zones)], bind: addrs[2*i], mesh: addrs[2*i+1], state: w.state.listen(name)})
	}
	for _, n := range w.nodes {
		n.settings = filepath.Join(dir, n.name+".toml")
		if err := os.WriteFile(n.settings, []byte(w.settingsOf(n, cloudAddr)), 0o600); err != nil {
			fatal(err)
		}
	}
	return w
}

func f(v float64) string {
	s := strconv.FormatFloat(v, 'f', -1, 64)
	if !strings.Contains(s, ".") {
		s += ".0"
	}
	return s
}

func (w *world) settingsOf(n *node, cloudAddr string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "member = %q\ndomain = %q\nbind = %q\nmesh_addr = %q\n\n", n.name, n.zone, n.bind, n.mesh)
	for _, o := range w.nodes {
		if o != n {
			fmt.Fprintf(&b, "[[members]]\nmember = %q\ndomain = %q\nendpoint = %q\n\n", o.name, o.zone, o.mesh)
		}
	}
	fmt.Fprintf(&b, "[outside]\ncloud = %q\nstate = %q\n\n[cluster]\ninitial_size = %d\nzones = [", cloudAddr, n.state, len(w.nodes))
	for i, z := range w.set.Zones {
		if i > 0 {
			b.WriteString(", ")
		}
		fmt.Fprintf(&b, "%q", z)
	}
	b.WriteString("]\nclock_error_ms = 250.0\n\n")
	for _, t := range w.set.Teams {
		fmt.Fprintf(&b, "[[cluster.teams]]\nname = %q\ncpus = %s\ncpus_max = %s\ngpus = 0.0\ngpus_max = 0.0\n\n", t.Name, f(t.CPUs), f(t.CPUsMax))
	}
	fmt.Fprintf(&b, "[cluster.workers]\nreport_s = %s\nlease_s = %s\ncancel_s = %s\n\n", f(w.set.ReportS), f(w.set.LeaseS), f(w.set.CancelS))
	l := w.set.State
	fmt.Fprintf(&b, "[cluster.state]\nrps = %s\nwrite_rps = %s\nvalue_kb = %s\ntxn_ops = %d\n\n", f(l.RPS), f(l.WriteRPS), f(l.ValueKB), l.TxnOps)
	if x := w.set.Next; x != nil {
		fmt.Fprintf(&b, "[cluster.state.next]\nwrite_rps = %s\nvalue_kb = %s\ntxn_ops = %d\n\n", f(x.WriteRPS), f(x.ValueKB), x.TxnOps)
	}
	fmt.Fprintf(&b, "[cluster.cloud]\nrps = %s\nlist_lag_s = %s\n\n[cluster.limits]\ncpu_share = 0.24\nram_mb = %s\nfd_limit = %d\n", f(w.set.CloudRPS), f(w.set.ListLag), f(w.set.RAM), w.set.FD)
	return b.String()
}

// start starts a controller with the command of the deploy file.
func (w *world) start(n *node) {
	log, err := os.OpenFile(filepath.Join(w.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fatal(err)
	}
	args := strings.Fields(os.Getenv("RUN_COMMAND"))
	if first := strings.Fields(os.Getenv("FIRST_COMMAND")); len(first) > 0 && n.cmd == nil {
		args = first // a roll: the first process of each controller is of an older version
	}
	if len(args) == 0 {
		fatal(fmt.Errorf("RUN_COMMAND is not set"))
	}
	cmd := exec.Command(args[0], append(args[1:], n.settings)...)
	cmd.Stderr = log
	cmd.Env = append(os.Environ(), "LOG_LEVEL="+level())
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		fatal(err)
	}
	n.cmd, n.log, n.exited, n.expected = cmd, log, make(chan struct{}), false
	exited := n.exited
	go func() {
		err := cmd.Wait()
		log.Close()
		w.mu.Lock()
		if !n.expected {
			w.ends++
			w.rec.log(n.name, "the process ended by itself: %v", err)
		}
		w.mu.Unlock()
		close(exited)
	}()
	w.rec.log(n.name, "started, process %d", cmd.Process.Pid)
}

func level() string {
	if l := os.Getenv("CASE_LOG_LEVEL"); l != "" {
		return l
	}
	return "info"
}

func (n *node) kill() {
	if n.cmd == nil {
		return
	}
	if current != nil {
		current.mu.Lock()
		n.expected = true
		current.mu.Unlock()
	}
	_ = n.cmd.Process.Signal(syscall.SIGCONT)
	_ = n.cmd.Process.Kill()
	<-n.exited
	n.cmd = nil
}

func (n *node) signal(s syscall.Signal) { _ = n.cmd.Process.Signal(s) }

func (w *world) memberNames() []string {
	var out []string
	for _, n := range w.nodes {
		out = append(out, n.name)
	}
	return out
}

func (w *world) node(name string) *node {
	for _, n := range w.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

func (w *world) nodeAddr(name string) string { return w.node(name).bind }

func (w *world) jobOf(seat string) (*job, int) {
	id, num, _ := strings.Cut(seat, "/")
	i, err := strconv.Atoi(num)
	w.mu.Lock()
	defer w.mu.Unlock()
	j := w.jobs[id]
	if j == nil || err != nil || i < 0 || i >= j.Seats {
		return nil, 0
	}
	return j, i
}

func (w *world) breaks(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	w.broken = append(w.broken, text)
	w.rec.log("RULE", "%s", text)
}

// onMachine records that a task is on a machine from now on, and checks the rules of starts.
func (w *world) onMachine(m *worker, s *seat) {
	w.mu.Lock()
	defer w.mu.Unlock()
	on := w.on[s.Seat]
	if on == nil {
		on = map[*worker]uint64{}
		w.on[s.Seat] = on
	}
	for o, a := range on {
		if o != m {
			w.breaks("ran_twice", "%s starts on %s (attempt %d) while it is on %s (attempt %d)", s.Seat, m.name, s.Boarding, o.name, a)
		}
	}
	on[m] = s.Boarding
	if w.attempts[s.job.ID] == nil {
		w.attempts[s.job.ID] = map[string]time.Time{}
	}
	w.attempts[s.job.ID][fmt.Sprint(s.Seat, "#", s.Boarding)] = time.Now()
	w.starts[s.Seat]++
	w.use[s.job.Team] += s.job.CPUs
	for _, t := range w.set.Teams {
		if t.Name == s.job.Team && w.use[t.Name] > t.CPUsMax+1e-6 {
			w.breaks("quota", "%s uses %g CPUs, its limit is %g", t.Name, w.use[t.Name], t.CPUsMax)
		}
	}
}

func (w *world) offMachine(m *worker, s *seat, why string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.on[s.Seat], m)
	w.use[s.job.Team] -= s.job.CPUs
	if why == "done" {
		s.job.mu.Lock()
		all := len(s.job.doneTasks) == s.job.Seats
		s.job.mu.Unlock()
		if _, known := w.done[s.job.ID]; all && !known {
			w.done[s.job.ID] = time.Now()
		}
	}
}

// onOf returns how many tasks of a job are on machines.
func (w *world) onOf(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for seat, on := range w.on {
		if strings.HasPrefix(seat, id+"/") {
			n += len(on)
		}
	}
	return n
}

func (w *world) doneOf(id string) int {
	w.mu.Lock()
	j := w.jobs[id]
	w.mu.Unlock()
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.doneTasks)
}

func (j *job) body() []byte {
	var yard, builds any
	if j.Yard != "" {
		yard = j.Yard
	}
	if j.Builds != nil {
		builds = j.Builds
	}
	ride := j.Run.Seconds()
	raw, _ := json.Marshal(map[string]any{"ref": j.ID, "lane": "class-" + j.Team, "desk": j.Team, "shape": j.Shape, "urgency": j.Urgency, "seats": j.Seats,
		"cpus": j.CPUs, "gpus": 0.0, "mem_gb": j.MemGB, "bundle": j.Image, "image_gb": j.ImageGB, "builds": builds, "yard": yard,
		"same_place": j.SamePlace, "apart": j.Apart, "standby": j.Standby, "ride_s": ride, "stub_s": j.StubS, "stamp_s": j.StampS, "departure_s": nil})
	return raw
}

var userClient = &http.Client{Timeout: 5 * time.Second, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
var pollClient = &http.Client{Timeout: 2 * time.Second, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}

// ask sends one request of a user to a node.
func (w *world) ask(client *http.Client, n *node, method, path string, body []byte) (int, map[string]any) {
	req, err := http.NewRequest(method, "http://"+n.bind+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	var out map[string]any
	_ = json.Unmarshal(raw, &out)
	return resp.StatusCode, out
}

// anyNode returns a node as the load balancer chooses one: any that accepts connections.
func (w *world) anyNode() *node { return w.nodes[rand.IntN(len(w.nodes))] }

// submit submits a job as a user does: it repeats the request for up to 60 s. It reports whether the job was accepted.
func (w *world) submit(j *job) bool {
	j.doneTasks = map[int]bool{}
	w.mu.Lock()
	w.jobs[j.ID] = j
	w.mu.Unlock()
	for until := time.Now().Add(60 * time.Second); time.Now().Before(until); time.Sleep(time.Second) {
		n := w.anyNode()
		status, out := w.ask(userClient, n, "POST", "/v2/runs", j.body())
		w.rec.log("user", "POST /v2/runs %s (%d tasks of %g CPUs) at %s: %d %v", j.ID, j.Seats, j.CPUs, n.name, status, out)
		if status == 200 || status == 201 {
			return true
		}
		if status == 400 || status == 422 {
			return false
		}
	}
	return false
}

// poll asks for a job's state at a node that answers. quiet polls are not recorded.
func (w *world) poll(id string, quiet bool) (int, string, map[string]any) {
	n := w.anyNode()
	status, out := w.ask(pollClient, n, "GET", "/v2/runs/"+id, nil)
	if !quiet {
		w.rec.log("user", "GET /v2/runs/%s at %s: %d %v", id, n.name, status, out)
	}
	state, _ := out["status"].(string)
	return status, state, out
}

// cancel asks once for the cancellation of a job.
func (w *world) cancel(id string) (int, string) {
	n := w.anyNode()
	status, out := w.ask(userClient, n, "POST", "/v2/runs/"+id+"/cancel", nil)
	w.rec.log("user", "POST /v2/runs/%s/cancel at %s: %d %v", id, n.name, status, out)
	state, _ := out["status"].(string)
	return status, state
}

// startAll starts all controllers and waits until each is healthy.
func (w *world) startAll() {
	for _, n := range w.nodes {
		w.start(n)
	}
	for until := time.Now().Add(15 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		up := 0
		for _, n := range w.nodes {
			if status, _ := w.ask(pollClient, n, "GET", "/up", nil); status == 200 {
				up++
			}
		}
		if up == len(w.nodes) && w.state.leader() != "" {
			return
		}
		if time.Now().After(until) {
			fatal(fmt.Errorf("the controllers are not up after 15 s"))
		}
	}
}

// copyLogs adds what the controllers logged to the record: errors and warnings, or all if all is set.
func (w *world) copyLogs(all bool, most int) {
	for _, n := range w.nodes {
		raw, err := os.ReadFile(filepath.Join(w.dir, n.name+".log"))
		if err != nil {
			continue
		}
		lines := 0
		for line := range strings.Lines(string(raw)) {
			if !all && !strings.Contains(line, "level=ERROR") && !strings.Contains(line, "level=WARN") && !strings.Contains(line, "panic") && !strings.Contains(line, "DATA RACE") {
				continue
			}
			if lines++; lines > most {
				w.rec.log(n.name, "... more lines of its log are left out")
				break
			}
			w.rec.log(n.name, "log: %s", strings.TrimSpace(line))
		}
	}
}

// checkCharges compares a finished job's charges with the attempts that its workers ran.
func (w *world) checkCharges(j *job) (lost, twice []string) {
	seen := map[string]int{}
	after := ""
	for range 50 {
		path := "/v2/runs/" + j.ID + "/charges"
		if after != "" {
			path += "?after=" + after
		}
		status, out := w.ask(userClient, w.anyNode(), "GET", path, nil)
		if status != 200 {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		list, _ := out["charges"].([]any)
		for _, c := range list {
			m := c.(map[string]any)
			seen[fmt.Sprint(m["task"], "#", m["attempt"], ".", m["part"])]++
			if m["team"] != j.Team {
				twice = append(twice, fmt.Sprint("team ", m["team"]))
			}
		}
		after, _ = out["next"].(string)
		if after == "" {
			break
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for a := range w.attempts[j.ID] {
		if seen[a+".0"] == 0 {
			lost = append(lost, a)
		}
	}
	for a, n := range seen {
		if n > 1 {
			twice = append(twice, a)
		}
	}
	return lost, twice
}
