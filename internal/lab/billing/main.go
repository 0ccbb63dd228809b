// Billing compares the ledger with what workers measured themselves: three real
// controllers on loopback, stand-ins of the state service and the cloud, and workers
// whose tasks fail, are cancelled and lose their machines, while the leader is killed
// again and again. It prints the totals of each team both ways.
//
//	go run ./internal/lab/billing --program target/poppypass --for 3m --kill-every 20s
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"poppypass/internal/ledger"
	"poppypass/internal/standin"
	"poppypass/internal/statestore"
	"poppypass/internal/wire"
)

const (
	members = 3
	teams   = 4
	report  = 2 * time.Second
	lease   = 10 * time.Second
	between = 2 * time.Second // submissions
)

type lab struct {
	program   string
	length    time.Duration
	killEvery time.Duration
	loses     bool
	dir       string
	state     *standin.State
	cloud     *standin.Cloud
	users     []string
	mesh      []string

	mu       sync.Mutex
	measured map[standin.Attempt]standin.Measured
	twice    int
	ended    map[string]context.CancelFunc // workers by machine
	submits  int
}

func main() {
	l := &lab{measured: map[standin.Attempt]standin.Measured{}, ended: map[string]context.CancelFunc{}}
	cmd := &cobra.Command{
		Use: "billing", Short: "Compare the ledger with what workers measured", SilenceUsage: true, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return l.run(cmd.Context()) },
	}
	cmd.Flags().StringVar(&l.program, "program", "target/poppypass", "the program to run")
	cmd.Flags().DurationVar(&l.length, "for", 3*time.Minute, "how long jobs are submitted")
	cmd.Flags().DurationVar(&l.killEvery, "kill-every", 20*time.Second, "how often the leader is killed")
	cmd.Flags().BoolVar(&l.loses, "lose", false, "also have machines die without a word")
	if err := cmd.ExecuteContext(context.Background()); err != nil {
		os.Exit(1)
	}
}

func (l *lab) settings(i int) string {
	var b bytes.Buffer
	fmt.Fprintf(&b, "member = \"m%d\"\nbind = %q\nmesh_addr = %q\n", i, l.users[i], l.mesh[i])
	for k := range members {
		if k != i {
			fmt.Fprintf(&b, "[[members]]\nmember = \"m%d\"\nendpoint = %q\n", k, l.mesh[k])
		}
	}
	fmt.Fprintf(&b, "[outside]\ncloud = %q\nstate = %q\n", l.cloud.Addr(), l.state.Addr())
	for k := range teams {
		fmt.Fprintf(&b, "[[cluster.teams]]\nname = \"team-%d\"\ncpus = 16.0\ncpus_max = 64.0\n", k)
	}
	fmt.Fprintf(&b, "[cluster.workers]\nreport_s = %g\nlease_s = %g\ncancel_s = 20.0\n", report.Seconds(), lease.Seconds())
	b.WriteString("[cluster.state]\nrps = 300.0\nwrite_rps = 150.0\nvalue_kb = 16.0\ntxn_ops = 12\n[cluster.cloud]\nrps = 10.0\nlist_lag_s = 1.0\n")
	return b.String()
}

// task draws a task's length and end from its name, so that each attempt has its own.
func (l *lab) task(task string, attempt uint64) (time.Duration, wire.Why, string) {
	h := fnv.New64a()
	fmt.Fprint(h, task, attempt)
	r := rand.New(rand.NewPCG(h.Sum64(), 1))
	why := wire.WhyDone
	if r.IntN(10) == 0 {
		why = wire.WhyError
	}
	var n int
	_, _ = fmt.Sscanf(standin.JobOf(task), "job-%d", &n) // a name of ours
	return 20*time.Second + time.Duration(r.Int64N(int64(40*time.Second))), why, fmt.Sprintf("team-%d", n%teams)
}

func (l *lab) saw(m standin.Measured) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, again := l.measured[m.Attempt]; again {
		l.twice++
	}
	l.measured[m.Attempt] = m
}

func (l *lab) run(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, l.length+5*time.Minute)
	defer stop()
	var err error
	if l.dir, err = os.MkdirTemp("", "billing"); err != nil {
		return err
	}
	defer os.RemoveAll(l.dir)
	clock := clockwork.NewRealClock()
	l.state = standin.NewState(clock)
	l.cloud = standin.NewCloud(24, wire.MachineType{Name: "small", CPUs: 8, MemoryGB: 32, Price: 0.8, SpotPrice: 0.3, BootS: 1, Zones: []string{"a", "b"}})
	for range members {
		for _, addrs := range []*[]string{&l.users, &l.mesh} {
			addr, err := standin.Loopback()
			if err != nil {
				return err
			}
			*addrs = append(*addrs, addr)
		}
	}
	props := filepath.Join(l.dir, "own.properties")
	if err := os.WriteFile(props, []byte("ledger = on\nfleet.idle.keep = 20s\n"), 0o600); err != nil {
		return err
	}
	var processes [members]*exec.Cmd
	start := func(i int) error {
		path := filepath.Join(l.dir, fmt.Sprintf("m%d.toml", i))
		if err := os.WriteFile(path, []byte(l.settings(i)), 0o600); err != nil {
			return err
		}
		p := exec.CommandContext(ctx, l.program, "serve", "--properties", props, "--config", path)
		p.Env = append(os.Environ(), "LOG_LEVEL=error")
		p.Stderr = os.Stderr
		processes[i] = p
		return p.Start()
	}
	for i := range members {
		if err := start(i); err != nil {
			return err
		}
	}
	defer func() {
		for _, p := range processes {
			_ = p.Process.Kill()
			_ = p.Wait() // it was killed
		}
	}()
	go l.workers(ctx)
	begun, killed, kills := time.Now(), time.Now(), 0
	for id := 1; time.Since(begun) < l.length; id++ {
		l.submit(ctx, id)
		if id%9 == 0 {
			l.post(ctx, fmt.Sprintf("%s/job-%d/%s", wire.PathJobs, id-3, wire.EndCancel), nil)
		}
		if l.loses && id%15 == 0 {
			l.lose()
		}
		if time.Since(killed) >= l.killEvery {
			if i := l.leader(ctx); i >= 0 {
				_ = processes[i].Process.Kill()
				_ = processes[i].Wait() // it was killed
				kills++
				if err := start(i); err != nil {
					return err
				}
			}
			killed = time.Now()
		}
		time.Sleep(between)
	}
	// All that is left runs to its end.
	for open := true; open && ctx.Err() == nil; {
		time.Sleep(time.Second)
		open = false
		for _, item := range l.keys("job/") {
			open = open || item != ""
		}
	}
	time.Sleep(3 * time.Second) // the last ends are stored
	return l.compare(ctx, kills)
}

func (l *lab) keys(prefix string) []string {
	resp, err := http.Get("http://" + l.state.Addr() + wire.PathKV + "?starts=" + prefix + "&page=10")
	if err != nil {
		return []string{"unreadable"}
	}
	defer resp.Body.Close()
	var page wire.ItemPage
	if json.NewDecoder(resp.Body).Decode(&page) != nil {
		return []string{"unreadable"}
	}
	var out []string
	for _, item := range page.Items {
		out = append(out, item.Key)
	}
	return out
}

// workers starts a worker for each machine that is rented, and ends it when its
// machine is deleted.
func (l *lab) workers(ctx context.Context) {
	nodes, order := map[string]string{}, []string{}
	for i, addr := range l.users {
		nodes[fmt.Sprint("m", i)] = addr
		order = append(order, fmt.Sprint("m", i))
	}
	known := map[string]bool{}
	for ctx.Err() == nil {
		l.state.Expire()
		for _, m := range l.cloud.Machines() {
			if known[m.Name] {
				continue
			}
			known[m.Name] = true
			k := standin.NewWorker(m, nodes, order, report, lease, l.task, l.saw)
			wctx, end := context.WithCancel(ctx)
			l.mu.Lock()
			l.ended[m.Name] = end
			l.mu.Unlock()
			go func() { _ = k.Run(wctx) }() // it ends with its machine
		}
		for _, name := range l.cloud.Deleted() {
			l.mu.Lock()
			l.ended[name]()
			l.mu.Unlock()
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// lose ends a machine without a word.
func (l *lab) lose() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, end := range l.ended {
		end()
		return
	}
}

func (l *lab) submit(ctx context.Context, id int) {
	l.submits++
	body := fmt.Appendf(nil, `{"ref":"job-%d","lane":"c%d","desk":"team-%d","shape":"array","urgency":"standard","seats":%d,"cpus":%d,"gpus":0,
		"mem_gb":4,"bundle":"i","image_gb":1,"same_place":false,"apart":false,"standby":true,"ride_s":12,"stub_s":5,"stamp_s":0,"account":"owner-%d"}`,
		id, id%2, id%teams, 1+id%7, 1+id%2, id%5)
	l.post(ctx, wire.PathJobs, body)
}

// post repeats a request until a controller decides it.
func (l *lab) post(ctx context.Context, path string, body []byte) {
	for i := 0; ctx.Err() == nil; i++ {
		resp, err := http.Post("http://"+l.users[i%members]+path, "application/json", bytes.NewReader(body))
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body) // only the status matters
			resp.Body.Close()
			if resp.StatusCode < http.StatusInternalServerError {
				return
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// leader finds which member leads.
func (l *lab) leader(context.Context) int {
	item, ok := l.state.Value("lead/holder")
	if !ok {
		return -1
	}
	var h struct{ Member string }
	var i int
	if json.Unmarshal(item.Value, &h) != nil {
		return -1
	}
	if _, err := fmt.Sscanf(h.Member, "m%d", &i); err != nil {
		return -1
	}
	return i
}

// compare sets the charges of each attempt against what its worker measured.
func (l *lab) compare(ctx context.Context, kills int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	reader, err := ledger.NewReader(statestore.New(l.state.Addr(), 1e6, 1e6))
	if err != nil {
		return err
	}
	type key struct {
		standin.Attempt
		part int
	}
	type sums struct{ measured, charged, seenMeasured, seenCharged, n, bounds float64 }
	byTeam := map[string]*sums{}
	charged := map[standin.Attempt]time.Duration{}
	bound := map[standin.Attempt]bool{}
	parts := map[key]int{}
	for id := 1; id <= l.submits; id++ {
		for after := ""; ; {
			page, err := reader.Job(ctx, fmt.Sprint("job-", id), after)
			if err != nil {
				return err
			}
			for _, c := range page.Charges {
				a := standin.Attempt{Task: c.Task, Attempt: c.Attempt}
				if parts[key{a, c.Part}]++; parts[key{a, c.Part}] > 1 {
					fmt.Printf("%v is charged twice\n", a)
				}
				charged[a] += c.End.Sub(c.Start)
				bound[a] = bound[a] || c.Bound
			}
			if after = page.Next; after == "" {
				break
			}
		}
	}
	missing := 0
	for a, m := range l.measured {
		s := byTeam[m.Team]
		if s == nil {
			s = &sums{}
			byTeam[m.Team] = s
		}
		c, ok := charged[a]
		if !ok {
			missing++
		}
		s.n++
		s.measured += m.Run.Seconds()
		s.charged += c.Seconds()
		if bound[a] {
			s.bounds++
			continue
		}
		s.seenMeasured += m.Run.Seconds()
		s.seenCharged += c.Seconds()
	}
	fmt.Printf("%d jobs, %d attempts measured (%d twice), %d charged, %d measured and not charged; the leader was killed %d times\n",
		l.submits, len(l.measured), l.twice, len(charged), missing, kills)
	over := func(charged, measured float64) float64 { return 100 * (charged/measured - 1) }
	var all sums
	for k := range teams {
		team := fmt.Sprint("team-", k)
		s := byTeam[team]
		if s == nil {
			continue
		}
		fmt.Printf("%s: %.0f attempts measured %.1f s, charged %.1f s: %+.2f %%; without the %.0f upper bounds %+.2f %%\n",
			team, s.n, s.measured, s.charged, over(s.charged, s.measured), s.bounds, over(s.seenCharged, s.seenMeasured))
		all.measured, all.charged = all.measured+s.measured, all.charged+s.charged
		all.seenMeasured, all.seenCharged = all.seenMeasured+s.seenMeasured, all.seenCharged+s.seenCharged
	}
	fmt.Printf("all: measured %.1f s, charged %.1f s: %+.2f %%; without upper bounds %+.2f %%\n",
		all.measured, all.charged, over(all.charged, all.measured), over(all.seenCharged, all.seenMeasured))
	return nil
}
