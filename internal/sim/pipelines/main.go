// Pipelines has graphs and plain jobs of one class compete on real controllers on loopback,
// while the leader is killed again and again. It prints the waits of both, whether every step
// came to one end, and the controllers' memory.
//
//	go run ./internal/sim/pipelines --program target/poppypass --for 3m --kill-every 40s
package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"poppypass/internal/clients/statestore"
	"poppypass/internal/graphs/airflow"
	"poppypass/internal/graphs/dag"
	"poppypass/internal/graphs/runner"
	"poppypass/internal/platform/wire"
	"poppypass/internal/sim/fakes"
	"poppypass/internal/sim/testcluster"
)

type loadTest struct {
	program   string
	length    time.Duration
	killEvery time.Duration
	steps     int
	crowd     int
	cluster   *testcluster.Cluster

	mu    sync.Mutex
	ready map[string]time.Time // when a job began to wait: a step's when it was described
	kind  map[string]string    // plain, service, first step (it comes at any time, as plain jobs do) or later step
	begun map[string]time.Time
	done  map[string]int
	tries int
}

func main() {
	l := &loadTest{ready: map[string]time.Time{}, kind: map[string]string{}, begun: map[string]time.Time{}, done: map[string]int{}}
	cmd := &cobra.Command{
		Use: "pipelines", Short: "Have graphs and plain jobs compete", SilenceUsage: true, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return l.run(cmd.Context()) },
	}
	cmd.Flags().StringVar(&l.program, "program", "target/poppypass", "the program to run")
	cmd.Flags().DurationVar(&l.length, "for", 3*time.Minute, "how long jobs are submitted")
	cmd.Flags().DurationVar(&l.killEvery, "kill-every", 40*time.Second, "how often the leader is killed; 0: never")
	cmd.Flags().IntVar(&l.crowd, "crowd", 0, "steps of one more graph that are all ready at the start; then services of another team come too, and nothing is waited for at the end")
	cmd.Flags().IntVar(&l.steps, "steps", 6, "steps of each graph, in two rows behind a first one")
	if err := cmd.ExecuteContext(context.Background()); err != nil {
		os.Exit(1)
	}
}

// describe takes descriptions: a step begins to wait as it comes to be known here.
func (l *loadTest) describe(_ http.ResponseWriter, r *http.Request) {
	var steps []runner.Description
	if json.NewDecoder(r.Body).Decode(&steps) != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range steps {
		if _, again := l.ready[s.Job]; !again {
			l.ready[s.Job], l.kind[s.Job] = time.Now(), "later step"
			if s.Step == "first" {
				l.kind[s.Job] = "first step"
			}
		}
	}
}

func (l *loadTest) record(m fakes.MeasuredAttempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := fakes.JobOf(m.Task)
	l.tries++
	if first, ok := l.begun[id]; !ok || m.Begin.Before(first) {
		l.begun[id] = m.Begin
	}
	if m.Why == wire.ExitDone {
		l.done[id]++
	}
}

// graph describes a graph: a first step, two rows behind it, and a last one.
func (l *loadTest) graph(id string) map[string]any {
	step := func(name string, up ...string) map[string]any {
		return map[string]any{"task_id": name, "kind": "job", "upstream": up, "retries": 2, "retry_delay": 2, "job": map[string]any{
			"class": "c", "cpus": 1, "memory_gb": 1, "image": "i", "image_gb": 1, "estimate_s": 6, "spot": true}}
	}
	tasks := []any{step("first")}
	last := []string{"first", "first"}
	for i := range l.steps {
		name := fmt.Sprint("s", i)
		tasks = append(tasks, step(name, last[i%2]))
		last[i%2] = name
	}
	return map[string]any{"dag_id": id, "tasks": append(tasks, step("last", last...))}
}

func (l *loadTest) api(ctx context.Context, method, path string, body any, out any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	status, answer := l.cluster.Send(ctx, method, airflow.PathAPI+path+"?team=team-0", raw)
	// A trigger that was stored without an answer is known when it is repeated.
	if status == 0 || status >= http.StatusBadRequest && status != http.StatusConflict {
		return fmt.Errorf("%s %s: %d %s", method, path, status, answer)
	}
	if out != nil {
		return json.Unmarshal(answer, out)
	}
	return nil
}

// submit submits a plain job of one task. It waits from when it is accepted.
func (l *loadTest) submit(ctx context.Context, id, kind, shape, urgency string, team int) {
	l.cluster.Send(ctx, http.MethodPost, wire.PathJobs, fmt.Appendf(nil, `{"ref":%q,"lane":%q,"desk":"team-%d","shape":%q,"urgency":%q,"seats":1,"cpus":1,
		"gpus":0,"mem_gb":1,"bundle":"i","image_gb":1,"same_place":false,"apart":false,"standby":true,"ride_s":%d,"stub_s":0,"stamp_s":0}`,
		id, kind, team, shape, urgency, map[bool]int{false: 6}[kind == "service"]))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ready[id], l.kind[id] = time.Now(), kind
}

// crowded registers a graph whose steps are all ready at once, and begins a run of it.
func (l *loadTest) crowded(ctx context.Context) error {
	g := l.graph("crowd")
	one := g["tasks"].([]any)[0].(map[string]any)
	tasks := make([]any, l.crowd)
	for i := range tasks {
		step := map[string]any{"task_id": fmt.Sprint("c", i), "kind": "job", "job": one["job"]}
		tasks[i] = step
	}
	raw, err := json.Marshal(map[string]any{"dag_id": "crowd", "team": "team-0", "max_active_tasks": l.crowd, "tasks": tasks})
	if err != nil {
		return err
	}
	d, err := dag.ParseJSON("crowd", raw)
	if err != nil {
		return err
	}
	hash, n, err := runner.NewReader(statestore.New(l.cluster.State.Addr(), 1e6, 1e6)).Store(ctx, d)
	if err != nil {
		return err
	}
	if err := l.api(ctx, http.MethodPut, "/dags/crowd", map[string]any{"definition": hash, "parts": n}, nil); err != nil {
		return err
	}
	return l.api(ctx, http.MethodPost, "/dags/crowd/dagRuns", map[string]any{"dag_run_id": "one"}, nil)
}

func (l *loadTest) run(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, l.length+5*time.Minute)
	defer stop()
	source := httptest.NewServer(http.HandlerFunc(l.describe))
	defer source.Close()
	l.cluster = &testcluster.Cluster{
		Program: l.program, Members: 3, Teams: 2, CPUs: 16, Machines: 4, HeartbeatEvery: time.Second, WorkerLease: 10 * time.Second,
		Type:       wire.MachineType{Name: "small", CPUs: 8, MemoryGB: 32, Price: 0.8, SpotPrice: 0.3, BootS: 1, Zones: []string{"a", "b"}},
		Properties: "graphs = on\ngraphs.pool.team-0.default_pool = 20000\ngraphs.descriptions = " + source.URL + "\n", OnEnd: l.record,
		Task: func(task string, _ uint64) (time.Duration, wire.ExitReason, string) {
			if strings.HasPrefix(task, "job-9") && len(fakes.JobOf(task)) == len("job-9000000") {
				return 15 * time.Second, wire.ExitDone, "team-1" // the replica of a service
			}
			return 6 * time.Second, wire.ExitDone, "team-0"
		},
	}
	defer l.cluster.Close()
	if err := l.cluster.Start(ctx); err != nil {
		return err
	}
	if l.crowd > 0 {
		if err := l.crowded(ctx); err != nil {
			return err
		}
	}
	var runs []string
	begun := time.Now()
	for n := 0; time.Since(begun) < l.length; n++ {
		if n%8 == 0 { // a graph has as many steps as the plain jobs until the next one
			id := fmt.Sprint("g", n/8)
			if err := l.api(ctx, http.MethodPut, "/dags/"+id, l.graph(id), nil); err != nil {
				return err
			}
			if err := l.api(ctx, http.MethodPost, "/dags/"+id+"/dagRuns", map[string]any{"dag_run_id": "one"}, nil); err != nil {
				return err
			}
			runs = append(runs, id)
		}
		id := fmt.Sprintf("job-%d", n+1)
		l.submit(ctx, id, "plain", "array", "standard", 0)
		if l.crowd > 0 && n%8 == 4 {
			l.submit(ctx, fmt.Sprintf("job-9%06d", n), "service", "service", "production", 1)
		}
		if err := l.cluster.KillLeader(ctx, l.killEvery); err != nil {
			return err
		}
		time.Sleep(750 * time.Millisecond)
	}
	states := map[string]int{}
	if l.crowd > 0 {
		l.tell(states)
		return nil
	}
	for _, id := range runs {
		for {
			var r struct{ State string }
			if err := l.api(ctx, http.MethodGet, "/dags/"+id+"/dagRuns/one", nil, &r); err != nil {
				return err
			}
			if r.State == "success" || r.State == "failed" {
				states[r.State]++
				break
			}
			time.Sleep(500 * time.Millisecond)
		}
	}
	for l.cluster.HasKeys("job/") && ctx.Err() == nil {
		time.Sleep(500 * time.Millisecond)
	}
	l.tell(states)
	return nil
}

// tell prints what came of it.
func (l *loadTest) tell(states map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	waits := map[string][]time.Duration{}
	twice, never := 0, 0
	for id, at := range l.ready {
		first, ok := l.begun[id]
		if l.done[id] == 0 {
			never++
		}
		if !ok {
			continue
		}
		if l.done[id] > 1 {
			twice++
		}
		waits[l.kind[id]] = append(waits[l.kind[id]], first.Sub(at))
	}
	fmt.Printf("runs %v; %d jobs, %d attempts, %d never done, %d done twice; the leader was killed %d times; at most %.0f MB in a controller\n",
		states, len(l.ready), l.tries, never, twice, l.cluster.Kills, l.cluster.PeakMB())
	for _, kind := range []string{"plain", "first step", "later step", "service"} {
		w := waits[kind]
		slices.SortFunc(w, func(a, b time.Duration) int { return cmp.Compare(a, b) })
		if len(w) > 0 {
			fmt.Printf("%s: %d waits, median %.2f s, nine in ten within %.2f s, longest %.2f s\n",
				kind, len(w), w[len(w)/2].Seconds(), w[len(w)*9/10].Seconds(), w[len(w)-1].Seconds())
		}
	}
}
