// Intake has a real controller answer the reports of thousands of workers on loopback, with
// fewer sockets than workers if so asked, and prints how many were answered in time, and the
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

type loadTest struct {
	program  string
	workers  int
	sockets  int
	memoryMB float64
	every    time.Duration
	length   time.Duration
	bind     string

	sent, answered, late atomic.Int64
	mu                   sync.Mutex
	worst                time.Duration
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
	cmd.Flags().Float64Var(&l.memoryMB, "memory", 322, "the controller's memory in MiB")
	cmd.Flags().DurationVar(&l.every, "every", 5*time.Second, "how often each reports")
	cmd.Flags().DurationVar(&l.length, "for", time.Minute, "how long")
	if err := cmd.ExecuteContext(context.Background()); err != nil {
		os.Exit(1)
	}
}

func (l *loadTest) run(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, l.length)
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
	if l.bind, err = fakes.Loopback(); err != nil {
		return err
	}
	mesh, err := fakes.Loopback()
	if err != nil {
		return err
	}
	settings := fmt.Sprintf("member = \"m0\"\ndomain = \"a\"\nbind = %q\nmesh_addr = %q\n[outside]\ncloud = %q\nstate = %q\n"+
		"[[cluster.teams]]\nname = \"t\"\n[cluster.workers]\nreport_s = %g\nlease_s = 26.5\ncancel_s = 51.5\n"+
		"[cluster.state]\nrps = 500.0\nwrite_rps = 180.0\nvalue_kb = 16.0\ntxn_ops = 40\n[cluster.cloud]\nrps = 12.0\nlist_lag_s = 6.0\n"+
		"[cluster.limits]\nram_mb = %g\nfd_limit = %d\n", l.bind, mesh, cloud.Addr(), state.Addr(), l.every.Seconds(), l.memoryMB, l.sockets)
	path := filepath.Join(dir, "settings.toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	program := exec.CommandContext(ctx, l.program, "serve", "--config", path)
	program.Stderr = os.Stderr
	program.Env = append(os.Environ(), "LOG_LEVEL=error")
	if err := program.Start(); err != nil {
		return err
	}
	defer func() { _ = program.Wait() }() // it is killed
	time.Sleep(2 * time.Second)
	var wg sync.WaitGroup
	for i := range l.workers {
		wg.Go(func() { l.work(ctx, i) })
	}
	var peak string
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(l.length / 10):
			if now := process(program.Process.Pid); now != "" {
				peak = now
			}
		}
	}
	wg.Wait()
	fmt.Printf("%d workers, %d sockets, a report each %v, for %v: %d reports, %d answered within 4 s, %d not; the slowest took %v\n%s\n",
		l.workers, l.sockets, l.every, l.length, l.sent.Load(), l.answered.Load(), l.late.Load(), l.worst.Round(time.Millisecond), peak)
	return nil
}

// work reports as one worker does.
func (l *loadTest) work(ctx context.Context, i int) {
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	rep := wire.Heartbeat{Machine: fmt.Sprintf("n-%06d", i), Address: "127.0.0.1:1", Type: "small", Zone: "a", Incarnation: 1}
	wait := time.Duration(rand.Int64N(int64(l.every)))
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		wait = time.Duration(float64(l.every) * (0.75 + rand.Float64()/2))
		rep.Seq++
		raw, err := json.Marshal(rep)
		if err != nil {
			return
		}
		begun := time.Now()
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.bind+wire.PathHeartbeat, bytes.NewReader(raw))
		if err != nil {
			return
		}
		resp, err := client.Do(req)
		if ctx.Err() != nil {
			return
		}
		l.sent.Add(1)
		if err != nil || resp.StatusCode != http.StatusOK {
			l.late.Add(1)
			if err == nil {
				resp.Body.Close()
			}
			continue
		}
		var a wire.HeartbeatReply
		if json.NewDecoder(resp.Body).Decode(&a) == nil {
			rep.FencingToken = a.FencingToken
		}
		_, _ = io.Copy(io.Discard, resp.Body) // so that the connection is used again
		resp.Body.Close()
		l.answered.Add(1)
		l.mu.Lock()
		l.worst = max(l.worst, time.Since(begun))
		l.mu.Unlock()
	}
}

// process tells a process's threads, open files and memory, as far as the system says.
func process(pid int) string {
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
