// Package testcluster runs real controllers on loopback for the labs, over stand-ins of the state
// service and the cloud, with a worker for each machine that is rented.
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
	Program    string // the controllers' binary
	Members    int
	Teams      int // named team-0, team-1 and so on
	CPUs       float64
	Machines   int // that the cloud has
	Type       wire.MachineType
	Report     time.Duration
	Lease      time.Duration
	Properties string
	Task       fakes.Task
	Measured   func(fakes.Measured)

	State *fakes.State
	Cloud *fakes.Cloud
	Users []string // the members' addresses
	Kills int      // of leaders

	dir       string
	mesh      []string
	processes []*exec.Cmd
	killed    time.Time
	mu        sync.Mutex
	ended     map[string]context.CancelFunc // workers by machine
}

// Start starts all of it; it ends with the context, and Close clears up.
func (r *Cluster) Start(ctx context.Context) (err error) {
	if r.dir, err = os.MkdirTemp("", "rig"); err != nil {
		return err
	}
	r.ended, r.killed = map[string]context.CancelFunc{}, time.Now()
	r.State = fakes.NewState(clockwork.NewRealClock())
	r.Cloud = fakes.NewCloud(r.Machines, r.Type)
	for range r.Members {
		for _, addrs := range []*[]string{&r.Users, &r.mesh} {
			addr, err := fakes.Loopback()
			if err != nil {
				return err
			}
			*addrs = append(*addrs, addr)
		}
	}
	r.processes = make([]*exec.Cmd, r.Members)
	for i := range r.Members {
		if err := r.start(ctx, i); err != nil {
			return err
		}
	}
	go r.workers(ctx)
	return nil
}

// Close ends the controllers.
func (r *Cluster) Close() {
	for _, p := range r.processes {
		if p != nil {
			_ = p.Process.Kill()
			_ = p.Wait() // it was killed
		}
	}
	_ = os.RemoveAll(r.dir) // what is left is in the system's temporary files
}

func (r *Cluster) settings(i int) string {
	var b bytes.Buffer
	fmt.Fprintf(&b, "member = \"m%d\"\nbind = %q\nmesh_addr = %q\n", i, r.Users[i], r.mesh[i])
	for k := range r.Members {
		if k != i {
			fmt.Fprintf(&b, "[[members]]\nmember = \"m%d\"\nendpoint = %q\n", k, r.mesh[k])
		}
	}
	fmt.Fprintf(&b, "[outside]\ncloud = %q\nstate = %q\n", r.Cloud.Addr(), r.State.Addr())
	for k := range r.Teams {
		fmt.Fprintf(&b, "[[cluster.teams]]\nname = \"team-%d\"\ncpus = %g\ncpus_max = %g\n", k, r.CPUs/4, r.CPUs)
	}
	fmt.Fprintf(&b, "[cluster.workers]\nreport_s = %g\nlease_s = %g\ncancel_s = 20.0\n", r.Report.Seconds(), r.Lease.Seconds())
	b.WriteString("[cluster.state]\nrps = 300.0\nwrite_rps = 150.0\nvalue_kb = 16.0\ntxn_ops = 12\n[cluster.cloud]\nrps = 10.0\nlist_lag_s = 1.0\n")
	return b.String()
}

func (r *Cluster) start(ctx context.Context, i int) error {
	props := filepath.Join(r.dir, "own.properties")
	path := filepath.Join(r.dir, fmt.Sprintf("m%d.toml", i))
	if err := os.WriteFile(props, []byte(r.Properties), 0o600); err != nil {
		return err
	}
	if err := os.WriteFile(path, []byte(r.settings(i)), 0o600); err != nil {
		return err
	}
	p := exec.CommandContext(ctx, r.Program, "serve", "--properties", props, "--config", path)
	p.Env = append(os.Environ(), "LOG_LEVEL=error")
	p.Stderr = os.Stderr
	r.processes[i] = p
	return p.Start()
}

// KillLeader kills the member that leads, if one does, and starts it again, when that was not
// done for some time; 0: never.
func (r *Cluster) KillLeader(ctx context.Context, every time.Duration) error {
	if every <= 0 || time.Since(r.killed) < every {
		return nil
	}
	r.killed = time.Now()
	i := r.leader()
	if i < 0 {
		return nil
	}
	_ = r.processes[i].Process.Kill()
	_ = r.processes[i].Wait() // it was killed
	r.Kills++
	return r.start(ctx, i)
}

// leader finds which member leads.
func (r *Cluster) leader() int {
	member, _ := r.State.Holder()
	var i int
	if _, err := fmt.Sscanf(member, "m%d", &i); err != nil {
		return -1
	}
	return i
}

// PeakMB is the most memory that any member has had at once, in MiB, as the system counts it.
func (r *Cluster) PeakMB() (most float64) {
	for _, p := range r.processes {
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
func (r *Cluster) workers(ctx context.Context) {
	nodes, order := map[string]string{}, []string{}
	for i, addr := range r.Users {
		nodes[fmt.Sprint("m", i)] = addr
		order = append(order, fmt.Sprint("m", i))
	}
	known := map[string]bool{}
	for ctx.Err() == nil {
		r.State.Expire()
		for _, m := range r.Cloud.Machines() {
			if known[m.Name] {
				continue
			}
			known[m.Name] = true
			k := fakes.NewWorker(m, nodes, order, r.Report, r.Lease, r.Task, r.Measured)
			wctx, end := context.WithCancel(ctx)
			r.mu.Lock()
			r.ended[m.Name] = end
			r.mu.Unlock()
			go func() { _ = k.Run(wctx) }() // it ends with its machine
		}
		for _, name := range r.Cloud.Deleted() {
			r.mu.Lock()
			r.ended[name]()
			r.mu.Unlock()
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// Lose ends a machine without a word.
func (r *Cluster) Lose() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, end := range r.ended {
		end()
		return
	}
}

// Send repeats a request until a controller decides it, and gives its answer.
func (r *Cluster) Send(ctx context.Context, method, path string, body []byte) (status int, answer []byte) {
	for i := 0; ctx.Err() == nil; i++ {
		req, err := http.NewRequestWithContext(ctx, method, "http://"+r.Users[i%r.Members]+path, bytes.NewReader(body))
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

// Any tells whether the state service has keys with a prefix, or cannot be asked.
func (r *Cluster) Any(prefix string) bool {
	resp, err := http.Get("http://" + r.State.Addr() + wire.PathKV + "?starts=" + prefix + "&page=1")
	if err != nil {
		return true
	}
	defer resp.Body.Close()
	var page wire.ItemPage
	return json.NewDecoder(resp.Body).Decode(&page) != nil || len(page.Items) > 0
}
