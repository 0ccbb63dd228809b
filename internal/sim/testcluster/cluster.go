// Package testcluster runs real controllers as processes on loopback, over fakes of the store and the cloud, with a fake
// worker for each machine that is rented.
package testcluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/platform/wire"
	"poppypass/internal/sim/fakes"
)

// Cluster is a cluster on one machine. Fill in the fields, then Start.
type Cluster struct {
	Program        string // the controllers' binary
	Members        int
	Teams          int // named team-0, team-1 and so on
	CPUs           float64
	Machines       int // that the cloud has
	Type           wire.MachineType
	HeartbeatEvery time.Duration
	WorkerLease    time.Duration
	Properties     string
	Task           fakes.Task
	OnEnd          func(fakes.MeasuredAttempt)

	State     *fakes.Store
	Cloud     *fakes.Cloud
	UserAddrs []string // the members' addresses
	Kills     int      // of leaders

	dir        string
	peerAddrs  []string
	processes  []*exec.Cmd
	killedAt   time.Time
	mu         sync.Mutex
	stopWorker map[string]context.CancelFunc // workers by machine
}

// Start starts all of it; it ends with the context, and Close clears up.
func (c *Cluster) Start(ctx context.Context) (err error) {
	if c.dir, err = os.MkdirTemp("", "testcluster"); err != nil {
		return err
	}
	c.stopWorker, c.killedAt = map[string]context.CancelFunc{}, time.Now()
	c.State = fakes.NewStore(clockwork.NewRealClock())
	c.Cloud = fakes.NewCloud(c.Machines, c.Type)
	for range c.Members {
		for _, addrs := range []*[]string{&c.UserAddrs, &c.peerAddrs} {
			addr, err := fakes.Loopback()
			if err != nil {
				return err
			}
			*addrs = append(*addrs, addr)
		}
	}
	c.processes = make([]*exec.Cmd, c.Members)
	for i := range c.Members {
		if err := c.start(ctx, i); err != nil {
			return err
		}
	}
	go c.workers(ctx)
	return nil
}

// Close ends the controllers.
func (c *Cluster) Close() {
	for _, p := range c.processes {
		if p != nil {
			_ = p.Process.Kill()
			_ = p.Wait() // it was killed
		}
	}
	_ = os.RemoveAll(c.dir) // what is left is in the system's temporary files
}

func (c *Cluster) settings(i int) string {
	var b bytes.Buffer
	fmt.Fprintf(&b, "member = \"m%d\"\nbind = %q\nmesh_addr = %q\n", i, c.UserAddrs[i], c.peerAddrs[i])
	for k := range c.Members {
		if k != i {
			fmt.Fprintf(&b, "[[members]]\nmember = \"m%d\"\nendpoint = %q\n", k, c.peerAddrs[k])
		}
	}
	fmt.Fprintf(&b, "[outside]\ncloud = %q\nstate = %q\n", c.Cloud.Addr(), c.State.Addr())
	for k := range c.Teams {
		fmt.Fprintf(&b, "[[cluster.teams]]\nname = \"team-%d\"\ncpus = %g\ncpus_max = %g\n", k, c.CPUs/4, c.CPUs)
	}
	fmt.Fprintf(&b, "[cluster.workers]\nreport_s = %g\nlease_s = %g\ncancel_s = 20.0\n", c.HeartbeatEvery.Seconds(), c.WorkerLease.Seconds())
	b.WriteString("[cluster.state]\nrps = 300.0\nwrite_rps = 150.0\nvalue_kb = 16.0\ntxn_ops = 12\n[cluster.cloud]\nrps = 10.0\nlist_lag_s = 1.0\n")
	return b.String()
}

func (c *Cluster) start(ctx context.Context, i int) error {
	props := filepath.Join(c.dir, "operator.properties")
	path := filepath.Join(c.dir, fmt.Sprintf("m%d.toml", i))
	if err := os.WriteFile(props, []byte(c.Properties), 0o600); err != nil {
		return err
	}
	if err := os.WriteFile(path, []byte(c.settings(i)), 0o600); err != nil {
		return err
	}
	p := exec.CommandContext(ctx, c.Program, "serve", "--properties", props, "--config", path)
	p.Env = append(os.Environ(), "LOG_LEVEL=error")
	p.Stderr = os.Stderr
	c.processes[i] = p
	return p.Start()
}

// KillLeader kills the member that leads, if one does, and starts it again, when that was not
// done for some time; 0: never.
func (c *Cluster) KillLeader(ctx context.Context, every time.Duration) error {
	if every <= 0 || time.Since(c.killedAt) < every {
		return nil
	}
	c.killedAt = time.Now()
	i := c.leader()
	if i < 0 {
		return nil
	}
	_ = c.processes[i].Process.Kill()
	_ = c.processes[i].Wait() // it was killed
	c.Kills++
	return c.start(ctx, i)
}

// leader finds which member leads.
func (c *Cluster) leader() int {
	member, _ := c.State.Holder()
	var i int
	if _, err := fmt.Sscanf(member, "m%d", &i); err != nil {
		return -1
	}
	return i
}

// PeakMB is the most memory that any member has had at once, in MiB, as the system counts it.
func (c *Cluster) PeakMB() (most float64) {
	for _, p := range c.processes {
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Process.Pid))
		if err != nil {
			continue
		}
		for line := range strings.SplitSeq(string(raw), "\n") {
			var kb float64
			if _, err := fmt.Sscanf(line, "VmHWM: %f kB", &kb); err == nil {
				most = max(most, kb/1024)
			}
		}
	}
	return most
}

// workers starts a worker for each machine that is rented, and ends it when its
// machine is deleted.
func (c *Cluster) workers(ctx context.Context) {
	nodes, order := map[string]string{}, []string{}
	for i, addr := range c.UserAddrs {
		nodes[fmt.Sprint("m", i)] = addr
		order = append(order, fmt.Sprint("m", i))
	}
	known := map[string]bool{}
	for ctx.Err() == nil {
		c.State.Expire()
		for _, m := range c.Cloud.Machines() {
			if known[m.Name] {
				continue
			}
			known[m.Name] = true
			worker := fakes.NewWorker(m, fakes.WorkerOptions{
				Controllers: nodes, Order: order, Every: c.HeartbeatEvery, Lease: c.WorkerLease, Task: c.Task, OnEnd: c.OnEnd,
			})
			wctx, end := context.WithCancel(ctx)
			c.mu.Lock()
			c.stopWorker[m.Name] = end
			c.mu.Unlock()
			go func() { _ = worker.Run(wctx) }() // it ends with its machine
		}
		for _, name := range c.Cloud.Deleted() {
			c.mu.Lock()
			c.stopWorker[name]()
			c.mu.Unlock()
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// LoseMachine ends a machine without a word.
func (c *Cluster) LoseMachine() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, end := range c.stopWorker {
		end()
		return
	}
}

// Send repeats a request until a controller decides it, and gives its answer.
func (c *Cluster) Send(ctx context.Context, method, path string, body []byte) (status int, answer []byte) {
	for i := 0; ctx.Err() == nil; i++ {
		req, err := http.NewRequestWithContext(ctx, method, "http://"+c.UserAddrs[i%c.Members]+path, bytes.NewReader(body))
		if err != nil {
			return 0, nil
		}
		if resp, err := http.DefaultClient.Do(req); err == nil {
			answer, err = io.ReadAll(resp.Body)
			resp.Body.Close()
			if err == nil && resp.StatusCode < http.StatusInternalServerError {
				return resp.StatusCode, answer
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return 0, nil
}

// HasKeys tells whether the state service has keys with a prefix, or cannot be asked.
func (c *Cluster) HasKeys(prefix string) bool {
	resp, err := http.Get("http://" + c.State.Addr() + wire.PathKV + "?starts=" + prefix + "&page=1")
	if err != nil {
		return true
	}
	defer resp.Body.Close()
	var page wire.ItemPage
	return json.NewDecoder(resp.Body).Decode(&page) != nil || len(page.Items) > 0
}
