package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Record is the log of what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// Log writes one line.
func (r *Record) Log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Node is a controller process.
type Node struct {
	name, bind, mesh, settings string
	mu                         sync.Mutex
	cmd                        *exec.Cmd
	ended                      bool // the test is over
	kills                      int
	memoryKills                int
	peakKB                     int
}

// Cluster is a small deployment on loopback addresses.
type Cluster struct {
	Record *Record
	State  *State
	Cloud  *Cloud
	Fleet  *Fleet
	Nodes  []*Node
	dir    string
	// RAMMiB is the memory of a controller's machine. A process over it is killed and started again.
	RAMMiB       float64
	RestartDelay time.Duration
	wg           sync.WaitGroup
}

// Team is a team of the settings.
type Team struct {
	Name          string
	CPUs, CPUsMax float64
}

// Deployment describes a cluster.
type Deployment struct {
	Zones    []string // by controller
	Teams    []Team
	ReportS  float64
	LeaseS   float64
	CancelS  float64
	RPS      float64
	WriteRPS float64
	TxnOps   int
	RAMMiB   float64
	RestartS float64
	Types    []MachineType
	Capacity int
	Extra    string // more of the settings
}

// freeAddrs returns n loopback addresses on which nothing listens. Their ports are below those that the system gives to
// outgoing connections, so none of these takes one before a controller does.
func freeAddrs(n int) (addrs []string) {
	for len(addrs) < n {
		l, listenErr := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 10_000+rand.IntN(20_000)))
		if listenErr != nil {
			continue
		}
		defer l.Close() // open until all are found, so that they differ
		addrs = append(addrs, l.Addr().String())
	}
	return addrs
}

// StartCluster starts the stand-ins and the controllers.
func StartCluster(rec *Record, d Deployment, fleet *Fleet) (*Cluster, error) {
	c := &Cluster{Record: rec, Fleet: fleet, RAMMiB: d.RAMMiB, RestartDelay: time.Duration(d.RestartS * float64(time.Second))}
	current.Store(c)
	var err error
	if c.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	if c.State, err = NewState(d.RPS, d.WriteRPS, 16, d.TxnOps); err != nil {
		return nil, err
	}
	fleet.Record, fleet.Controllers = rec, map[string]string{}
	fleet.ReportEvery, fleet.Lease = time.Duration(d.ReportS*float64(time.Second)), time.Duration(d.LeaseS*float64(time.Second))
	addrs := freeAddrs(2 * len(d.Zones))
	for i := range d.Zones {
		n := &Node{name: fmt.Sprintf("stall-%d", i), bind: addrs[2*i], mesh: addrs[2*i+1]}
		c.Nodes = append(c.Nodes, n)
		fleet.Controllers[n.name] = n.bind
		fleet.Order = append(fleet.Order, n.name)
	}
	if c.Cloud, err = NewCloud(d.Types, d.Capacity, 6, 4*time.Second, func(m *Machine) *Worker { return StartWorker(fleet, m) }); err != nil {
		return nil, err
	}
	for i, n := range c.Nodes {
		var b bytes.Buffer
		fmt.Fprintf(&b, "member = %q\ndomain = %q\nbind = %q\nmesh_addr = %q\n", n.name, d.Zones[i], n.bind, n.mesh)
		for k, other := range c.Nodes {
			if k != i {
				fmt.Fprintf(&b, "[[members]]\nmember = %q\ndomain = %q\nendpoint = %q\n", other.name, d.Zones[k], other.mesh)
			}
		}
		fmt.Fprintf(&b, "[outside]\ncloud = %q\nstate = %q\n[cluster]\ninitial_size = %d\nzones = [%q, %q]\nclock_error_ms = 250.0\n", c.Cloud.addr, c.State.addr, len(d.Zones), d.Zones[0], d.Zones[1])
		for _, t := range d.Teams {
			fmt.Fprintf(&b, "[[cluster.teams]]\nname = %q\ncpus = %g\ncpus_max = %g\ngpus = 0.0\ngpus_max = 0.0\n", t.Name, t.CPUs, t.CPUsMax)
		}
		fmt.Fprintf(&b, "[cluster.workers]\nreport_s = %g\nlease_s = %g\ngang_wait_s = 40.0\ngang_peer_s = 5.0\ncancel_s = %g\n", d.ReportS, d.LeaseS, d.CancelS)
		fmt.Fprintf(&b, "[cluster.state]\nrps = %g\nwrite_rps = %g\nvalue_kb = 16.0\ntxn_ops = %d\n[cluster.cloud]\nrps = 6.0\nlist_lag_s = 4.0\n", d.RPS, d.WriteRPS, d.TxnOps)
		fmt.Fprintf(&b, "[cluster.limits]\ncpu_share = 0.24\nram_mb = %g\nfd_limit = 1200\n%s", d.RAMMiB, d.Extra)
		n.settings = filepath.Join(c.dir, n.name+".toml")
		if err := os.WriteFile(n.settings, b.Bytes(), 0o600); err != nil {
			return nil, err
		}
	}
	for _, n := range c.Nodes {
		if err := c.launch(n); err != nil {
			c.Stop()
			return nil, err
		}
	}
	return c, nil
}

// launch starts a controller, and starts it again whenever it ends.
func (c *Cluster) launch(n *Node) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ended {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(c.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/poppypass", "serve", "--properties", "deploy/service.properties", "--config", n.settings)
	cmd.Stderr = log
	level := os.Getenv("LOG_LEVEL")
	if level == "" {
		level = "info"
	}
	cmd.Env = append(os.Environ(), "LOG_LEVEL="+level)
	if err := cmd.Start(); err != nil {
		return err
	}
	n.cmd = cmd
	c.Record.Log("controller %s started", n.name)
	done := make(chan struct{})
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		err := cmd.Wait()
		close(done)
		log.Close()
		n.mu.Lock()
		n.cmd = nil
		ended := n.ended
		n.mu.Unlock()
		if ended {
			return
		}
		c.Record.Log("controller %s ended: %v", n.name, err)
		time.AfterFunc(c.RestartDelay, func() { _ = c.launch(n) })
	}()
	go c.guardMemory(n, cmd, done)
	return nil
}

// guardMemory is the platform's memory limit. It counts the process's anonymous memory only, which is less than all that
// the process holds.
func (c *Cluster) guardMemory(n *Node, cmd *exec.Cmd, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(100 * time.Millisecond):
		}
		kb := anonymousKB(cmd.Process.Pid)
		n.mu.Lock()
		n.peakKB = max(n.peakKB, kb)
		n.mu.Unlock()
		if float64(kb) > c.RAMMiB*1024 {
			n.mu.Lock()
			n.memoryKills++
			n.mu.Unlock()
			c.Record.Log("controller %s holds %.0f MiB of %.0f: the platform kills it", n.name, float64(kb)/1024, c.RAMMiB)
			_ = cmd.Process.Kill()
			return
		}
	}
}

func anonymousKB(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(raw), "\n") {
		var kb int
		if _, err := fmt.Sscanf(line, "RssAnon: %d kB", &kb); err == nil {
			return kb
		}
	}
	return 0
}

// Kill kills a controller; it is back after the restart delay.
func (c *Cluster) Kill(name string) bool {
	for _, n := range c.Nodes {
		if n.name != name {
			continue
		}
		n.mu.Lock()
		cmd := n.cmd
		n.kills++
		n.mu.Unlock()
		if cmd != nil {
			c.Record.Log("controller %s is killed", name)
			_ = cmd.Process.Kill()
			return true
		}
	}
	return false
}

// Stop ends all processes.
func (c *Cluster) Stop() {
	for _, n := range c.Nodes {
		n.mu.Lock()
		n.ended = true
		if n.cmd != nil {
			_ = n.cmd.Process.Kill()
		}
		n.mu.Unlock()
	}
	c.wg.Wait()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Println("kept", c.dir)
	}
}

// WaitReady waits until all controllers answer /up with 200 and one leads.
func (c *Cluster) WaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		up := 0
		for _, n := range c.Nodes {
			if status, _, _ := c.send(n, time.Second, http.MethodGet, "/up", nil); status == http.StatusOK {
				up++
			}
		}
		if up == len(c.Nodes) && c.State.Leader() != "" {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the controllers did not become ready")
}

// send sends a request on a connection of its own to one controller.
func (c *Cluster) send(n *Node, limit time.Duration, method, path string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.bind+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, err
	}
	return response.StatusCode, raw, nil
}

// Ask sends a user's request to the controllers in turn, a second apart, until one answers with a status below 500 or the
// time is over.
func (c *Cluster) Ask(limit, wait time.Duration, method, path string, body []byte) (status int, answer []byte) {
	deadline := time.Now().Add(limit)
	for i := 0; ; i++ {
		n := c.Nodes[i%len(c.Nodes)]
		var err error
		status, answer, err = c.send(n, wait, method, path, body)
		if err != nil {
			status, answer = 0, []byte(err.Error())
		}
		c.Record.Log("%s %s (%d bytes) to %s: %d %s", method, path, len(body), n.name, status, short(answer))
		if status > 0 && status < http.StatusInternalServerError || time.Now().After(deadline) {
			return status, answer
		}
		time.Sleep(time.Second)
	}
}

func short(raw []byte) string {
	text := strings.Join(strings.Fields(string(raw)), " ")
	if len(text) > 160 {
		text = text[:160] + "..."
	}
	return text
}

// Job is a submission.
type Job struct {
	Ref                        string
	Lane, Desk, Shape, Urgency string
	Seats                      int
	CPUs, MemGB                float64
	Apart                      bool
	RideS                      float64
}

// Submit submits a job as a user does, and reports whether it was accepted.
func (c *Cluster) Submit(j Job) bool {
	body, _ := json.Marshal(object{"ref": j.Ref, "lane": j.Lane, "desk": j.Desk, "shape": j.Shape, "urgency": j.Urgency, "seats": j.Seats, "cpus": j.CPUs, "gpus": 0.0,
		"mem_gb": j.MemGB, "bundle": "img-" + j.Lane, "image_gb": 0.5, "builds": nil, "yard": nil, "same_place": false, "apart": j.Apart, "standby": false,
		"ride_s": j.RideS, "stub_s": 0.0, "stamp_s": 0.0, "departure_s": nil})
	status, _ := c.Ask(60*time.Second, 5*time.Second, http.MethodPost, "/v2/runs", body)
	return status == http.StatusOK || status == http.StatusCreated
}

// Poll asks once for a job's status; it is empty if no controller answers with 200.
func (c *Cluster) Poll(ref string) string {
	for _, n := range c.Nodes {
		status, raw, err := c.send(n, 2*time.Second, http.MethodGet, "/v2/runs/"+ref, nil)
		if err != nil {
			continue
		}
		c.Record.Log("GET /v2/runs/%s to %s: %d %s", ref, n.name, status, short(raw))
		var answer struct{ Status string }
		if status == http.StatusOK && json.Unmarshal(raw, &answer) == nil {
			return answer.Status
		}
	}
	return ""
}
