// Intake is a load test in which thousands of workers send heartbeats to one real controller on loopback. The controller's
// limit of sockets may be lower than the number of workers. It prints how many heartbeats were answered in time, and the
// controller's threads, sockets and memory.
//
//	go run ./internal/sim/intake --program target/poppypass --workers 10000 --sockets 3851 --for 60s
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"poppypass/internal/platform/wire"
	"poppypass/internal/sim/fakes"
)

// loadTest holds the settings and the measurements of the load test.
type loadTest struct {
	program        string
	workers        int           // number of workers
	sockets        int           // the controller's limit of open files
	memoryMiB      float64       // the controller's memory limit, in MiB
	heartbeatEvery time.Duration // mean interval between a worker's heartbeats
	duration       time.Duration // how long the test runs
	addr           string        // address of the controller's worker API

	sent, answered, failed atomic.Int64 // numbers of heartbeats; failed ones got no answer with status 200 within 4 s
	mu                     sync.Mutex
	slowest                time.Duration // longest time until an answer
}

func main() {
	l := &loadTest{}
	cmd := &cobra.Command{
		Use: "intake", Short: "Have a controller answer the reports of many workers", SilenceUsage: true, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return l.run(cmd.Context()) },
	}
	cmd.Flags().StringVar(&l.program, "program", "target/poppypass", "the program to run")
	cmd.Flags().IntVar(&l.workers, "workers", 10_000, "how many workers report")
	cmd.Flags().IntVar(&l.sockets, "sockets", 3851, "the controller's limit of sockets")
	cmd.Flags().Float64Var(&l.memoryMiB, "memory", 322, "the controller's memory in MiB")
	cmd.Flags().DurationVar(&l.heartbeatEvery, "every", 5*time.Second, "how often each reports")
	cmd.Flags().DurationVar(&l.duration, "for", time.Minute, "how long")
	if err := cmd.ExecuteContext(context.Background()); err != nil {
		os.Exit(1)
	}
}

// run runs the load test and prints its results.
func (l *loadTest) run(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, l.duration)
	defer stop()
	state := fakes.NewStore(clockwork.NewRealClock())
	defer state.Close()
	cloud := fakes.NewCloud(24, wire.MachineType{Name: "small", CPUs: 4, MemoryGB: 16, Price: 0.2, SpotPrice: 0.05, BootS: 20, Zones: []string{"a", "b"}})
	defer cloud.Close()
	dir, err := os.MkdirTemp("", "intake")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	if l.addr, err = fakes.FreeLoopbackAddr(); err != nil {
		return err
	}
	peerAddr, err := fakes.FreeLoopbackAddr()
	if err != nil {
		return err
	}
	settings := fmt.Sprintf("member = \"m0\"\ndomain = \"a\"\nbind = %q\nmesh_addr = %q\n[outside]\ncloud = %q\nstate = %q\n"+
		"[[cluster.teams]]\nname = \"t\"\n[cluster.workers]\nreport_s = %g\nlease_s = 26.5\ncancel_s = 51.5\n"+
		"[cluster.state]\nrps = 500.0\nwrite_rps = 180.0\nvalue_kb = 16.0\ntxn_ops = 40\n[cluster.cloud]\nrps = 12.0\nlist_lag_s = 6.0\n"+
		"[cluster.limits]\nram_mb = %g\nfd_limit = %d\n", l.addr, peerAddr, cloud.Addr(), state.Addr(), l.heartbeatEvery.Seconds(), l.memoryMiB, l.sockets)
	settingsPath := filepath.Join(dir, "settings.toml")
	if err := os.WriteFile(settingsPath, []byte(settings), 0o600); err != nil {
		return err
	}
	program := exec.CommandContext(ctx, l.program, "serve", "--config", settingsPath)
	program.Stderr = os.Stderr
	program.Env = append(os.Environ(), "LOG_LEVEL=error")
	if err := program.Start(); err != nil {
		return err
	}
	defer func() { _ = program.Wait() }() // ctx has ended and killed the process: an error is expected
	time.Sleep(2 * time.Second)
	var wg sync.WaitGroup
	for i := range l.workers {
		wg.Go(func() { l.runWorker(ctx, i) })
	}
	var lastStatus string
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(l.duration / 10):
			if status := processStatus(program.Process.Pid); status != "" {
				lastStatus = status
			}
		}
	}
	wg.Wait()
	fmt.Printf("%d workers, %d sockets, a report each %v, for %v: %d reports, %d answered within 4 s, %d not; the slowest took %v\n%s\n",
		l.workers, l.sockets, l.heartbeatEvery, l.duration, l.sent.Load(), l.answered.Load(), l.failed.Load(), l.slowest.Round(time.Millisecond), lastStatus)
	return nil
}

// runWorker sends heartbeats as one worker does until ctx ends. The intervals vary by a quarter around the mean.
func (l *loadTest) runWorker(ctx context.Context, i int) {
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	heartbeat := wire.Heartbeat{Machine: fmt.Sprintf("n-%06d", i), Address: "127.0.0.1:1", Type: "small", Zone: "a", Incarnation: 1}
	wait := time.Duration(rand.Int64N(int64(l.heartbeatEvery)))
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		wait = time.Duration(float64(l.heartbeatEvery) * (0.75 + rand.Float64()/2))
		heartbeat.Seq++
		raw, err := json.Marshal(heartbeat)
		if err != nil {
			return
		}
		sentAt := time.Now()
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.addr+wire.PathHeartbeat, bytes.NewReader(raw))
		if err != nil {
			return
		}
		resp, err := client.Do(req)
		if ctx.Err() != nil {
			return
		}
		l.sent.Add(1)
		if err != nil || resp.StatusCode != http.StatusOK {
			l.failed.Add(1)
			if err == nil {
				resp.Body.Close()
			}
			continue
		}
		var reply wire.HeartbeatReply
		if json.NewDecoder(resp.Body).Decode(&reply) == nil {
			heartbeat.FencingToken = reply.FencingToken
		}
		_, _ = io.Copy(io.Discard, resp.Body) // read to the end so that the connection is reused
		resp.Body.Close()
		l.answered.Add(1)
		l.mu.Lock()
		l.slowest = max(l.slowest, time.Since(sentAt))
		l.mu.Unlock()
	}
}

// processStatus returns a process's open files, threads and memory for printing, or "" if the system does not report
// them.
func processStatus(pid int) string {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return ""
	}
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return ""
	}
	out := []string{fmt.Sprintf("open files: %d", len(files))}
	for line := range strings.Lines(string(status)) {
		for _, key := range []string{"Threads:", "VmRSS:", "VmHWM:"} {
			if strings.HasPrefix(line, key) {
				out = append(out, strings.Join(strings.Fields(line), " "))
			}
		}
	}
	return strings.Join(out, ", ")
}
