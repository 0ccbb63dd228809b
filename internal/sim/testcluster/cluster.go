// Package testcluster runs real controllers as processes on loopback addresses, with fakes of the state service and the
// cloud, and a fake worker for each rented machine.
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

// Cluster is a cluster on the local machine. Set the fields of the first group, then call Start.
type Cluster struct {
	Program        string                      // path of the controller binary
	LastProgram    string                      // path of the last member's controller binary; empty: Program
	Members        int                         // number of controllers, named m0, m1 and so on
	Teams          int                         // number of teams, named team-0, team-1 and so on
	CPUs           float64                     // quota of each team; a quarter of it is guaranteed
	Machines       int                         // capacity of the cloud
	Type           wire.MachineType            // the cloud's only machine type
	HeartbeatEvery time.Duration               // interval between a worker's heartbeats
	WorkerLease    time.Duration               // duration of a worker's lease
	Properties     string                      // content of the operators' properties file
	AttemptPlanner fakes.AttemptPlanner        // called by the workers for each attempt that starts
	OnEnd          func(fakes.MeasuredAttempt) // called by the workers for each attempt that has ended

	// CopyDelay and OnExposure are passed on to the workers (fakes.WorkerOptions).
	CopyDelay  func() (delay time.Duration, ok bool)
	OnExposure func()

	State       *fakes.Store
	Cloud       *fakes.Cloud
	UserAddrs   []string // addresses of the controllers' user and worker API
	LeaderKills int      // number of leaders killed by KillLeader

	dir        string   // temporary directory of the configuration files
	peerAddrs  []string // addresses at which the controllers serve each other
	processes  []*exec.Cmd
	lastKillAt time.Time // last attempt to kill a leader; at first, the time of Start
	mu         sync.Mutex
	workers    map[string]*clusterWorker // by machine name
}

// clusterWorker is a worker and the function that ends it.
type clusterWorker struct {
	*fakes.Worker
	stop context.CancelFunc
}

// Start starts the fakes, the controllers and the workers. Controllers and workers end when ctx ends. Close removes the
// configuration files.
func (c *Cluster) Start(ctx context.Context) (err error) {
	if c.dir, err = os.MkdirTemp("", "testcluster"); err != nil {
		return err
	}
	c.workers, c.lastKillAt = map[string]*clusterWorker{}, time.Now()
	c.State = fakes.NewStore(clockwork.NewRealClock())
	c.Cloud = fakes.NewCloud(c.Machines, c.Type)
	for range c.Members {
		for _, addrs := range []*[]string{&c.UserAddrs, &c.peerAddrs} {
			addr, err := fakes.FreeLoopbackAddr()
			if err != nil {
				return err
			}
			*addrs = append(*addrs, addr)
		}
	}
	// Written once: a controller that starts must not find the file empty while it is written again for another.
	if err := os.WriteFile(c.propertiesPath(), []byte(c.Properties), 0o600); err != nil {
		return err
	}
	c.processes = make([]*exec.Cmd, c.Members)
	for i := range c.Members {
		if err := c.startController(ctx, i); err != nil {
			return err
		}
	}
	go c.runWorkers(ctx)
	return nil
}

// Close kills the controllers and removes their configuration files.
func (c *Cluster) Close() {
	for _, process := range c.processes {
		if process != nil {
			_ = process.Process.Kill()
			_ = process.Wait() // it was killed
		}
	}
	_ = os.RemoveAll(c.dir) // files that cannot be removed stay in the system's temporary directory
}

// settings returns the configuration file of member i.
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

// propertiesPath returns the path of the properties file, which all controllers read.
func (c *Cluster) propertiesPath() string { return filepath.Join(c.dir, "operator.properties") }

// startController starts the controller of member i.
func (c *Cluster) startController(ctx context.Context, i int) error {
	settingsPath := filepath.Join(c.dir, fmt.Sprintf("m%d.toml", i))
	if err := os.WriteFile(settingsPath, []byte(c.settings(i)), 0o600); err != nil {
		return err
	}
	program := c.Program
	if c.LastProgram != "" && i == c.Members-1 {
		program = c.LastProgram
	}
	process := exec.CommandContext(ctx, program, "serve", "--properties", c.propertiesPath(), "--config", settingsPath)
	process.Env = append(os.Environ(), "LOG_LEVEL=error")
	process.Stderr = os.Stderr
	c.processes[i] = process
	return process.Start()
}

// KillLeader kills the leader, if there is one, and restarts its controller. It does nothing if every is 0 or if less
// than every has passed since the last attempt to kill a leader.
func (c *Cluster) KillLeader(ctx context.Context, every time.Duration) error {
	if every <= 0 || time.Since(c.lastKillAt) < every {
		return nil
	}
	c.lastKillAt = time.Now()
	i := c.leader()
	if i < 0 {
		return nil
	}
	_ = c.processes[i].Process.Kill()
	_ = c.processes[i].Wait() // it was killed
	c.LeaderKills++
	return c.startController(ctx, i)
}

// leader returns the index of the member that leads, or -1 if there is none.
func (c *Cluster) leader() int {
	member, _ := c.State.LeaderAndTerm()
	var i int
	if _, err := fmt.Sscanf(member, "m%d", &i); err != nil {
		return -1
	}
	return i
}

// PeakMiB returns the largest peak resident set size of the controller processes, in MiB.
func (c *Cluster) PeakMiB() (peak float64) {
	for _, process := range c.processes {
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.Process.Pid))
		if err != nil {
			continue
		}
		for line := range strings.SplitSeq(string(raw), "\n") {
			var kiB float64
			if _, err := fmt.Sscanf(line, "VmHWM: %f kB", &kiB); err == nil {
				peak = max(peak, kiB/1024)
			}
		}
	}
	return peak
}

// runWorkers starts a worker for each rented machine and ends the worker when its machine is deleted.
func (c *Cluster) runWorkers(ctx context.Context) {
	controllers, memberOrder := map[string]string{}, []string{}
	for i, addr := range c.UserAddrs {
		controllers[fmt.Sprint("m", i)] = addr
		memberOrder = append(memberOrder, fmt.Sprint("m", i))
	}
	started := map[string]bool{}
	for ctx.Err() == nil {
		c.State.Expire()
		for _, m := range c.Cloud.Machines() {
			if started[m.Name] {
				continue
			}
			started[m.Name] = true
			worker := fakes.NewWorker(m, fakes.WorkerOptions{
				Controllers: controllers, MemberOrder: memberOrder, HeartbeatEvery: c.HeartbeatEvery, WorkerLease: c.WorkerLease,
				AttemptPlanner: c.AttemptPlanner, OnEnd: c.OnEnd, CopyDelay: c.CopyDelay, OnExposure: c.OnExposure,
			})
			workerCtx, stop := context.WithCancel(ctx)
			c.mu.Lock()
			c.workers[m.Name] = &clusterWorker{worker, stop}
			c.mu.Unlock()
			go func() { _ = worker.Run(workerCtx) }() // returns when it is stopped, or with an error if it cannot listen
		}
		for _, name := range c.Cloud.Deleted() {
			c.mu.Lock()
			c.workers[name].stop()
			c.mu.Unlock()
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// LoseMachine ends the worker of an arbitrary machine without notice. The cloud still lists the machine.
func (c *Cluster) LoseMachine() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.workers {
		w.stop()
		return
	}
}

// RestartWorker restarts the worker process of an arbitrary machine.
func (c *Cluster) RestartWorker() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.workers {
		w.Restart()
		return
	}
}

// Send sends a request to the controllers in turn until one gives an answer with a status below 500, and returns it. If
// ctx ends first, the status is 0.
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

// HasKeys reports whether the state service has keys with a prefix. It also returns true if the state service gives no
// usable answer.
func (c *Cluster) HasKeys(prefix string) bool {
	resp, err := http.Get("http://" + c.State.Addr() + wire.PathKV + "?starts=" + prefix + "&page=1")
	if err != nil {
		return true
	}
	defer resp.Body.Close()
	var page wire.ItemPage
	return json.NewDecoder(resp.Body).Decode(&page) != nil || len(page.Items) > 0
}
