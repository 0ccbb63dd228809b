// Pipelines is a load test in which the steps of graphs and plain jobs compete on real controllers on loopback, while the
// leader is killed repeatedly. It prints how long both waited to start, whether every job was done exactly once, and the
// controllers' peak memory.
//
// With --results each step leaves a result of that size, and each step after it has to be described with it. The exit
// status is 1 if a job is not done once, a run fails, or an accepted result does not reach the step after it.
//
//	go run ./internal/sim/pipelines --program target/poppypass --for 3m --kill-every 40s
//	go run ./internal/sim/pipelines --for 2m --kill-every 12s --steps 24 --results 2048
package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
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

// loadTest holds the settings and the measurements of the load test.
type loadTest struct {
	program   string
	duration  time.Duration // how long jobs are submitted
	killEvery time.Duration // interval at which the leader is killed; 0: never
	steps     int           // of each graph, without its first and last step
	wideSteps int           // steps of the wide graph, all of which are ready at once; 0: no wide graph
	cluster   *testcluster.Cluster
	results   *resultCheck

	mu        sync.Mutex
	readyAt   map[string]time.Time // by job ID: when the job began to wait; for a step, when its description arrived
	kind      map[string]string    // by job ID: plain, service, first step or later step. First steps are counted separately because they become ready at any time, as plain jobs do.
	startedAt map[string]time.Time // by job ID: when its first attempt started
	doneCount map[string]int       // by job ID: number of attempts that were done
	attempts  int                  // number of attempts
}

func main() {
	l := &loadTest{readyAt: map[string]time.Time{}, kind: map[string]string{}, startedAt: map[string]time.Time{}, doneCount: map[string]int{}}
	cmd := &cobra.Command{
		Use: "pipelines", Short: "Have graphs and plain jobs compete", SilenceUsage: true, Args: cobra.NoArgs,
	}
	cmd.RunE = func(cmd *cobra.Command, _ []string) error { return l.run(cmd.Context()) }
	cmd.Flags().StringVar(&l.program, "program", "target/poppypass", "the program to run")
	cmd.Flags().DurationVar(&l.duration, "for", 3*time.Minute, "how long jobs are submitted")
	cmd.Flags().DurationVar(&l.killEvery, "kill-every", 40*time.Second, "how often the leader is killed; 0: never")
	cmd.Flags().IntVar(&l.wideSteps, "crowd", 0, "steps of one more graph that are all ready at the start; then services of another team come too, and nothing is waited for at the end")
	resultBytes := cmd.Flags().Int("results", 0, "bytes of the result that each step leaves; 0: none")
	cmd.Flags().IntVar(&l.steps, "steps", 6, "steps of each graph, in two rows behind a first one")
	cobra.OnInitialize(func() { l.results = newResultCheck(*resultBytes, l.sendResult) })
	if err := cmd.ExecuteContext(context.Background()); err != nil {
		os.Exit(1)
	}
}

// sendResult sends the result of a step, and reports whether it was accepted.
func (l *loadTest) sendResult(ctx context.Context, step runner.Description, result string) bool {
	path := airflow.PathAPI + "/dags/" + step.Graph + "/dagRuns/" + step.Run + "/taskInstances/" + step.Step + "/xcomEntries?team=team-0"
	status, _ := l.cluster.Send(ctx, http.MethodPost, path, wire.EncodeRecord(map[string]any{"key": "return_value", "value": result}))
	return status == http.StatusCreated
}

// receiveDescriptions is the HTTP handler to which the leader sends the descriptions of steps. A step begins to wait when
// its description arrives.
func (l *loadTest) receiveDescriptions(_ http.ResponseWriter, r *http.Request) {
	var steps []runner.Description
	if json.NewDecoder(r.Body).Decode(&steps) != nil {
		return
	}
	l.results.described(steps)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range steps {
		if _, known := l.readyAt[s.Job]; !known {
			l.readyAt[s.Job], l.kind[s.Job] = time.Now(), "later step"
			if s.Step == "first" {
				l.kind[s.Job] = "first step"
			}
		}
	}
}

// recordAttempt records an attempt that has ended.
func (l *loadTest) recordAttempt(m fakes.MeasuredAttempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := fakes.JobOf(m.Task)
	l.attempts++
	if first, ok := l.startedAt[id]; !ok || m.StartedAt.Before(first) {
		l.startedAt[id] = m.StartedAt
	}
	if m.ExitReason == wire.ExitDone {
		l.doneCount[id]++
	}
}

// graphDefinition returns a graph with a first step, two chains of steps that depend on it, and a last step that depends
// on both chains.
func (l *loadTest) graphDefinition(id string) map[string]any {
	step := func(name string, upstream ...string) map[string]any {
		l.results.follows(name, upstream)
		return map[string]any{"task_id": name, "kind": "job", "upstream": upstream, "retries": 2, "retry_delay": 2, "job": map[string]any{
			"class": "c", "cpus": 1, "memory_gb": 1, "image": "i", "image_gb": 1, "estimate_s": 6, "spot": true}}
	}
	tasks := []any{step("first")}
	chainEnds := []string{"first", "first"}
	for i := range l.steps {
		name := fmt.Sprint("s", i)
		tasks = append(tasks, step(name, chainEnds[i%2]))
		chainEnds[i%2] = name
	}
	return map[string]any{"dag_id": id, "tasks": append(tasks, step("last", chainEnds...))}
}

// callAPI calls the graph API and decodes the answer into out, unless out is nil.
func (l *loadTest) callAPI(ctx context.Context, method, path string, body any, out any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	status, answer := l.cluster.Send(ctx, method, airflow.PathAPI+path+"?team=team-0", raw)
	// If a run was created but the answer was lost, the repeated request gets a conflict. That is a success.
	if status == 0 || status >= http.StatusBadRequest && status != http.StatusConflict {
		return fmt.Errorf("%s %s: status %d: %s", method, path, status, answer)
	}
	if out != nil {
		return json.Unmarshal(answer, out)
	}
	return nil
}

// submit submits a job of one task that belongs to no graph. The job begins to wait when it is accepted.
func (l *loadTest) submit(ctx context.Context, id, kind, shape, urgency string, team int) {
	l.cluster.Send(ctx, http.MethodPost, wire.PathJobs, fmt.Appendf(nil, `{"ref":%q,"lane":%q,"desk":"team-%d","shape":%q,"urgency":%q,"seats":1,"cpus":1,
		"gpus":0,"mem_gb":1,"bundle":"i","image_gb":1,"same_place":false,"apart":false,"standby":true,"ride_s":%d,"stub_s":0,"stamp_s":0}`,
		id, kind, team, shape, urgency, map[bool]int{false: 6}[kind == "service"]))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readyAt[id], l.kind[id] = time.Now(), kind
}

// startWideGraph registers a graph whose steps are all ready at once, and starts a run of it.
func (l *loadTest) startWideGraph(ctx context.Context) error {
	graph := l.graphDefinition("crowd")
	template := graph["tasks"].([]any)[0].(map[string]any)
	tasks := make([]any, l.wideSteps)
	for i := range tasks {
		step := map[string]any{"task_id": fmt.Sprint("c", i), "kind": "job", "job": template["job"]}
		tasks[i] = step
	}
	raw, err := json.Marshal(map[string]any{"dag_id": "crowd", "team": "team-0", "max_active_tasks": l.wideSteps, "tasks": tasks})
	if err != nil {
		return err
	}
	d, err := dag.ParseJSON("crowd", raw)
	if err != nil {
		return err
	}
	hash, parts, err := runner.NewReader(statestore.New(l.cluster.State.Addr(), 1e6, 1e6)).StoreDefinition(ctx, d)
	if err != nil {
		return err
	}
	if err := l.callAPI(ctx, http.MethodPut, "/dags/crowd", map[string]any{"definition": hash, "parts": parts}, nil); err != nil {
		return err
	}
	return l.callAPI(ctx, http.MethodPost, "/dags/crowd/dagRuns", map[string]any{"dag_run_id": "one"}, nil)
}

// run runs the load test and prints its results.
func (l *loadTest) run(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, l.duration+5*time.Minute)
	defer stop()
	descriptions := httptest.NewServer(http.HandlerFunc(l.receiveDescriptions))
	defer descriptions.Close()
	l.cluster = &testcluster.Cluster{
		Program: l.program, Members: 3, Teams: 2, CPUs: 16, Machines: 4, HeartbeatEvery: time.Second, WorkerLease: 10 * time.Second,
		Type:       wire.MachineType{Name: "small", CPUs: 8, MemoryGB: 32, Price: 0.8, SpotPrice: 0.3, BootS: 1, Zones: []string{"a", "b"}},
		Properties: "graphs = on\ngraphs.pool.team-0.default_pool = 20000\ngraphs.descriptions = " + descriptions.URL + "\n", OnEnd: l.recordAttempt,
		AttemptPlanner: func(task string, _ uint64) (time.Duration, wire.ExitReason, string) {
			if strings.HasPrefix(task, "job-9") && len(fakes.JobOf(task)) == len("job-9000000") {
				return 15 * time.Second, wire.ExitDone, "team-1" // a replica of a service
			}
			l.results.begun(ctx, fakes.JobOf(task))
			return 6 * time.Second, wire.ExitDone, "team-0"
		},
	}
	defer l.cluster.Close()
	if err := l.cluster.Start(ctx); err != nil {
		return err
	}
	if l.wideSteps > 0 {
		if err := l.startWideGraph(ctx); err != nil {
			return err
		}
	}
	var runs []string
	startedAt := time.Now()
	for n := 0; time.Since(startedAt) < l.duration; n++ {
		if n%8 == 0 { // one graph for every eight plain jobs; by default a graph has eight steps, too
			id := fmt.Sprint("g", n/8)
			if err := l.callAPI(ctx, http.MethodPut, "/dags/"+id, l.graphDefinition(id), nil); err != nil {
				return err
			}
			if err := l.callAPI(ctx, http.MethodPost, "/dags/"+id+"/dagRuns", map[string]any{"dag_run_id": "one"}, nil); err != nil {
				return err
			}
			runs = append(runs, id)
		}
		id := fmt.Sprintf("job-%d", n+1)
		l.submit(ctx, id, "plain", "array", "standard", 0)
		if l.wideSteps > 0 && n%8 == 4 {
			l.submit(ctx, fmt.Sprintf("job-9%06d", n), "service", "service", "production", 1)
		}
		if err := l.cluster.KillLeader(ctx, l.killEvery); err != nil {
			return err
		}
		time.Sleep(750 * time.Millisecond)
	}
	states := map[string]int{}
	if l.wideSteps > 0 {
		_ = l.printResults(states) // nothing is waited for, so jobs are not done
		return nil
	}
	for _, id := range runs {
		for {
			var r struct{ State string }
			if err := l.callAPI(ctx, http.MethodGet, "/dags/"+id+"/dagRuns/one", nil, &r); err != nil {
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
	return l.printResults(states)
}

// printResults prints the results. states counts the finished graph runs by state. It returns an error if something that
// was accepted was not done.
func (l *loadTest) printResults(states map[string]int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	waits := map[string][]time.Duration{}
	doneTwice, neverDone := 0, 0
	for id, readyAt := range l.readyAt {
		first, ok := l.startedAt[id]
		if l.doneCount[id] == 0 {
			neverDone++
		}
		if !ok {
			continue
		}
		if l.doneCount[id] > 1 {
			doneTwice++
		}
		waits[l.kind[id]] = append(waits[l.kind[id]], first.Sub(readyAt))
	}
	fmt.Printf("runs %v; %d jobs, %d attempts, %d never done, %d done twice; the leader was killed %d times; peak memory of a controller %.0f MiB\n",
		states, len(l.readyAt), l.attempts, neverDone, doneTwice, l.cluster.LeaderKills, l.cluster.PeakMiB())
	for _, kind := range []string{"plain", "first step", "later step", "service"} {
		sorted := waits[kind]
		slices.SortFunc(sorted, func(a, b time.Duration) int { return cmp.Compare(a, b) })
		if len(sorted) > 0 {
			fmt.Printf("%s: %d waits, median %.2f s, nine in ten within %.2f s, longest %.2f s\n",
				kind, len(sorted), sorted[len(sorted)/2].Seconds(), sorted[len(sorted)*9/10].Seconds(), sorted[len(sorted)-1].Seconds())
		}
	}
	accepted, missing := l.results.counts()
	fmt.Printf("%d results accepted, %d of them missing in a description\n", accepted, missing)
	if neverDone+doneTwice+states["failed"]+missing > 0 {
		return errors.New("a job was not done once, a run failed, or a result is missing")
	}
	return nil
}
