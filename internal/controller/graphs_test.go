package controller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"poppypass/internal/graphs/airflow"
	"poppypass/internal/graphs/runner"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/sim/fakes"
)

// descriptions is a source at which steps are described: it remembers which job is which.
type descriptions struct {
	mu    sync.Mutex
	steps map[string]runner.Description // by job
}

func (d *descriptions) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var steps []runner.Description
	if err := json.NewDecoder(r.Body).Decode(&steps); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range steps {
		d.steps[s.Job] = s
	}
}

func (d *descriptions) get(job string) (runner.Description, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.steps[job]
	return s, ok
}

func (d *descriptions) of(job string) string {
	s, _ := d.get(job)
	return s.Step
}

// newGraphHarness is a harness that serves graphs, with a source of descriptions.
func newGraphHarness(t *testing.T) (*harness, *descriptions) {
	d := &descriptions{steps: map[string]runner.Description{}}
	srv := httptest.NewServer(d)
	t.Cleanup(srv.Close)
	return newHarnessWith(t, "graphs = on\ngraphs.descriptions = "+srv.URL+"\ngraphs.pool.t.db = 2\n"), d
}

// tick sends a heartbeat, and lets a little time pass.
func (k *worker) tick() {
	k.heartbeat()
	k.h.clock.Advance(tuning.Tick / 5)
}

// api calls the API for the team t.
func (h *harness) api(method, path string, body any) (int, map[string]any) {
	sep := "?"
	if strings.Contains(path, "?") {
		sep = "&"
	}
	return h.call(method, airflow.PathAPI+path+sep+"team=t", body)
}

// want calls the API until the answer has a status: while nobody leads it is 503.
func (h *harness) want(method, path string, body any, want int) map[string]any {
	h.t.Helper()
	var status int
	var out map[string]any
	h.until(method+" "+path, func() bool {
		status, out = h.api(method, path, body)
		return status != http.StatusServiceUnavailable && status != 0
	})
	if status != want {
		h.t.Fatalf("%s %s: %d %v, want %d", method, path, status, out, want)
	}
	return out
}

func jobStep(id string, up ...string) map[string]any {
	return map[string]any{"task_id": id, "kind": "job", "upstream": up, "job": map[string]any{
		"class": "l", "cpus": 4, "memory_gb": 1, "image": "img", "image_gb": 1, "estimate_s": 10}}
}

// stateOf returns the state of a step of a run.
func (h *harness) stateOf(run, task string) any {
	_, out := h.api("GET", "/dags/g/dagRuns/"+run+"/taskInstances/"+task, nil)
	return out["state"]
}

func TestAGraphRunsFromRegistrationToItsEnd(t *testing.T) {
	h, d := newGraphHarness(t)
	flaky := jobStep("flaky", "first")
	flaky["retries"], flaky["pool"] = 1, "db"
	graph := map[string]any{"dag_id": "g", "description": "a graph", "tags": []string{"x"}, "tasks": []any{jobStep("first"), flaky, jobStep("last", "flaky")}}
	if out := h.want("PUT", "/dags/g", graph, 201); out["dag_id"] != "g" || out["is_paused"] != false {
		t.Errorf("registered as %v", out)
	}
	h.want("PUT", "/dags/g", graph, 200)
	out := h.want("POST", "/dags/g/dagRuns", map[string]any{"dag_run_id": "one", "conf": map[string]any{"day": 3}, "note": "by hand"}, 200)
	if out["dag_run_id"] != "one" || out["run_type"] != "manual" || out["note"] != "by hand" || fmt.Sprint(out["conf"]) != "map[day:3]" {
		t.Errorf("triggered: %v", out)
	}
	h.want("POST", "/dags/g/dagRuns", map[string]any{"dag_run_id": "one"}, 409)
	k := h.worker("n-000001", "a")
	runs := func(step string) func() bool {
		return func() bool {
			k.heartbeat()
			return len(k.hb.Tasks) == 1 && d.of(fakes.JobOf(k.hb.Tasks[0].Task)) == step && k.running() == 1
		}
	}
	h.until("the first step runs", runs("first"))
	h.until("that is shown", func() bool {
		k.heartbeat()
		h.clock.Advance(tuning.SubsystemTick)
		return h.stateOf("one", "first") == "running"
	})
	h.want("POST", "/dags/g/dagRuns/one/taskInstances/first/xcomEntries", map[string]any{"key": "return_value", "value": []int{1}}, 201)
	if out := h.want("GET", "/dags/g/dagRuns/one/taskInstances/first/xcomEntries/return_value", nil, 200); out["value"] != "[1]" {
		t.Errorf("its result: %v", out)
	}
	k.finish()
	h.until("the second step runs", runs("flaky"))
	if out := h.want("GET", "/pools/db", nil, 200); out["slots"] != 2.0 || out["occupied_slots"] != 1.0 {
		t.Errorf("the pool: %v", out)
	}
	k.finish()
	h.until("the third step runs", runs("last"))
	k.finish()
	h.until("the run is over", func() bool {
		k.heartbeat()
		_, out := h.api("GET", "/dags/g/dagRuns/one", nil)
		return out["state"] == "success"
	})
	// A clear is a new generation under new jobs, though the run was over.
	clearing := map[string]any{"dag_run_id": "one", "task_ids": []string{"flaky"}, "include_downstream": true, "only_failed": false}
	if out := h.want("POST", "/dags/g/clearTaskInstances", clearing, 200); len(out["task_instances"].([]any)) != 2 || h.stateOf("one", "flaky") != "success" {
		t.Errorf("a dry run of a clear: %v", out)
	}
	clearing["dry_run"] = false
	h.want("POST", "/dags/g/clearTaskInstances", clearing, 200)
	h.until("the second step runs again", runs("flaky"))
	h.want("PATCH", "/dags/g/dagRuns/one", map[string]any{"state": "failed"}, 200)
	h.until("the run has failed", func() bool {
		k.heartbeat()
		h.clock.Advance(tuning.SubsystemTick)
		_, out := h.api("GET", "/dags/g/dagRuns/one", nil)
		return out["state"] == "failed"
	})
	if h.stateOf("one", "first") != "success" || h.stateOf("one", "flaky") != "failed" {
		t.Error("the steps of the run that was cancelled")
	}
	// The run shows as failed at once; it is over when the job that was cancelled with it has ended and that is stored.
	h.until("the graph is deleted", func() bool {
		k.heartbeat()
		h.clock.Advance(tuning.SubsystemTick)
		status, out := h.api("DELETE", "/dags/g", nil)
		if status != http.StatusNoContent && status != http.StatusConflict && status != http.StatusServiceUnavailable {
			t.Fatalf("DELETE /dags/g: %d %v", status, out)
		}
		return status == http.StatusNoContent
	})
	h.want("GET", "/dags/g", nil, 404)
}

// What clients get wrong, and what they may not see, is answered in the API's own form.
func TestGraphErrorsHaveTheAPIsForm(t *testing.T) {
	h, _ := newGraphHarness(t)
	for i := range 5 {
		g := map[string]any{"dag_id": fmt.Sprint("g", i), "tasks": []any{map[string]any{"task_id": "a", "kind": "empty"}}}
		h.want("PUT", fmt.Sprint("/dags/g", i), g, 201)
	}
	h.want("PATCH", "/dags/g3", map[string]any{"is_paused": true}, 200)
	ids := func(path string) (out []string) {
		for _, v := range h.want("GET", path, nil, 200)["dags"].([]any) {
			out = append(out, v.(map[string]any)["dag_id"].(string))
		}
		return out
	}
	for path, want := range map[string]string{
		"/dags": "[g0 g1 g2 g3 g4]", "/dags?limit=2&offset=1": "[g1 g2]", "/dags?order_by=-dag_id&limit=1": "[g4]",
		"/dags?paused=true": "[g3]", "/dags?dag_id_pattern=2": "[g2]", "/dags?tags=none": "[]", "/dags?offset=9": "[]",
	} {
		if got := fmt.Sprint(ids(path)); got != want {
			t.Errorf("%s: %s, want %s", path, got, want)
		}
	}
	for i := range 3 {
		out := h.want("POST", "/dags/g0/dagRuns", map[string]any{"logical_date": fmt.Sprintf("2026-12-0%dT00:00:00Z", i+1)}, 200)
		if out["state"] != "success" || out["dag_run_id"] != fmt.Sprintf("manual__2026-12-0%dT00:00:00+00:00", i+1) {
			t.Errorf("a run of empty steps: %v", out)
		}
	}
	for path, want := range map[string]float64{"/dags/g0/dagRuns": 3, "/dags/~/dagRuns": 3, "/dags/g0/dagRuns?execution_date_gte=2026-12-02T00:00:00Z": 2, "/dags/g0/dagRuns?state=failed": 0} {
		if out := h.want("GET", path, nil, 200); out["total_entries"] != want {
			t.Errorf("%s: %v", path, out)
		}
	}
	for _, c := range []struct {
		method, path string
		body         any
		want         int
	}{
		{"GET", "/dags/none", nil, 404},
		{"GET", "/dags?limit=x", nil, 400},
		{"GET", "/dags?order_by=color", nil, 400},
		{"GET", "/dags/g0/dagRuns?start_date_gte=soon", nil, 400},
		{"GET", "/dags/g0/dagRuns/none", nil, 404},
		{"GET", "/dags/g0/tasks/b", nil, 404},
		{"GET", "/pools/none", nil, 404},
		{"PUT", "/dags/bad", map[string]any{"dag_id": "bad", "tasks": []any{map[string]any{"task_id": "a", "kind": "empty", "upstream": []string{"a"}}}}, 400},
		{"PUT", "/dags/bad", `{"dag_id": "bad", "color": 1}`, 400},
		{"PUT", "/dags/bad", "{", 400},
		{"PUT", "/dags/bad", strings.Repeat(" ", 70_000), 413},
		{"PUT", "/dags/g1", map[string]any{"dag_id": "g1", "team": "u", "tasks": []any{map[string]any{"task_id": "a", "kind": "empty"}}}, 403},
		{"PUT", "/dags/huge", map[string]any{"dag_id": "huge", "tasks": []any{func() any { s := jobStep("a"); s["job"].(map[string]any)["cpus"] = 99; return s }()}}, 400},
		{"PUT", "/definitions/xyz/0?of=1", "x", 400},
		{"PATCH", "/dags/g0", map[string]any{}, 400},
		{"POST", "/dags/g0/dagRuns", map[string]any{"conf": []int{1}}, 400},
		{"POST", "/dags/g0/dagRuns", map[string]any{"dag_run_id": "a/b"}, 400},
		{"PATCH", "/dags/g0/dagRuns/manual__2026-12-01T00:00:00+00:00", map[string]any{"state": "success"}, 400},
		{"POST", "/dags/g0/clearTaskInstances", map[string]any{"include_past": true, "dag_run_id": "x"}, 400},
		{"POST", "/backfills", map[string]any{"dag_id": "g0"}, 400},
	} {
		if out := h.want(c.method, c.path, c.body, c.want); out["status"] != float64(c.want) || out["title"] == "" || out["type"] != "about:blank" || strings.Contains(fmt.Sprint(out["detail"]), "\n") {
			t.Errorf("%s %s: %v", c.method, c.path, out)
		}
	}
	if status, out := h.call("GET", airflow.PathAPI+"/dags", nil); status != 401 || out["title"] != "Unauthorized" {
		t.Errorf("without a team: %d %v", status, out)
	}
	if status, out := h.call("GET", airflow.PathAPI+"/dags/g0?team=u", nil); status != 404 {
		t.Errorf("another team: %d %v", status, out)
	}
	if status, out := h.call("GET", airflow.PathAPI+"/health", nil); status != 200 || fmt.Sprint(out["scheduler"]) == "" || out["metadatabase"].(map[string]any)["status"] != "healthy" {
		t.Errorf("health: %d %v", status, out)
	}
	for _, path := range []string{"/version", "/schema"} {
		if status, out := h.call("GET", airflow.PathAPI+path, nil); status != 200 || len(out) == 0 {
			t.Errorf("%s: %d %v", path, status, out)
		}
	}
}

// Graphs and plain jobs of one class compete for one slot at a time: each starts in the
// order in which it came to wait, a step from when it was ready, and neither jumps ahead.
func TestGraphStepsAndPlainJobsStartInTheOrderOfTheirWaits(t *testing.T) {
	h, d := newGraphHarness(t)
	h.submit("job-1", 3) // it takes all that the team may have
	k := h.worker("n-000001", "a")
	h.until("the team is at its limit", func() bool { k.tick(); return k.running() == 3 })
	long := func(s map[string]any) map[string]any { s["job"].(map[string]any)["cpus"] = 12; return s }
	var want []string
	for i := range 4 {
		h.clock.Advance(tuning.Tick)
		id := fmt.Sprint("job-", 10+i)
		j := job(id, 1)
		j["cpus"] = 12.0
		h.until("accepted", func() bool { status, _ := h.call("POST", "/v2/runs", j); return status == 201 || status == 200 })
		want = append(want, id)
		h.clock.Advance(tuning.Tick)
		name := fmt.Sprint("g", i)
		h.want("PUT", "/dags/"+name, map[string]any{"dag_id": name, "tasks": []any{long(jobStep("s")), long(jobStep("t", "s"))}}, 201)
		h.want("POST", "/dags/"+name+"/dagRuns", map[string]any{"dag_run_id": "one"}, 200)
		h.until("its step waits", func() bool {
			k.heartbeat()
			_, out := h.api("GET", "/dags/"+name+"/dagRuns/one/taskInstances/s", nil)
			return out["state"] == "queued"
		})
		want = append(want, name+".s")
	}
	// The second steps wait from when the first ones end, one after the other.
	for i := range 4 {
		want = append(want, fmt.Sprintf("g%d.t", i))
	}
	var got []string
	k.finish()
	for len(got) < len(want) {
		h.until("the next one runs", func() bool { k.tick(); return k.running() == 1 })
		id := fakes.JobOf(k.hb.Tasks[len(k.hb.Tasks)-1].Task)
		if s, ok := d.get(id); ok {
			id = s.Graph + "." + s.Step
		}
		got = append(got, id)
		h.clock.Advance(tuning.Tick)
		k.finish()
		if strings.HasSuffix(id, ".s") {
			h.until("the step behind it waits", func() bool {
				k.tick()
				_, out := h.api("GET", "/dags/"+strings.TrimSuffix(id, ".s")+"/dagRuns/one/taskInstances/t", nil)
				return out["state"] == "queued" || out["state"] == "running"
			})
		}
	}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("started in the order\n%v, want\n%v", got, want)
	}
}

// The state service refuses everything for a minute while a step ends: nothing is lost, and
// commands are answered at once with when to come back.
func TestAGraphSurvivesAnOutageOfTheStateService(t *testing.T) {
	h, _ := newGraphHarness(t)
	h.want("PUT", "/dags/g", map[string]any{"dag_id": "g", "tasks": []any{jobStep("a"), jobStep("b", "a")}}, 201)
	h.want("POST", "/dags/g/dagRuns", map[string]any{"dag_run_id": "one"}, 200)
	k := h.worker("n-000001", "a")
	h.until("the first step runs", func() bool { k.tick(); return k.running() == 1 })
	h.state.Refuse(true)
	k.finish()
	for range 3 {
		k.tick()
	}
	if status, out := h.api("POST", "/dags/g/dagRuns", map[string]any{"dag_run_id": "two"}); status != 503 {
		t.Errorf("a trigger meanwhile: %d %v", status, out)
	}
	if status, out := h.api("GET", "/dags/g", nil); status != 503 {
		t.Errorf("a question meanwhile: %d %v", status, out)
	}
	for range 60 {
		h.clock.Advance(time.Second)
		k.heartbeat()
	}
	h.state.Refuse(false)
	// Its worker was out of reach for longer than its lease, so its machine was returned.
	again := h.worker("n-000002", "a")
	h.until("both runs are over", func() bool {
		again.tick()
		again.finish()
		_, one := h.api("GET", "/dags/g/dagRuns/one", nil)
		_, two := h.api("GET", "/dags/g/dagRuns/two", nil)
		return one["state"] == "success" && two["state"] == "success"
	})
	// The trigger without an answer has come about, and can be repeated.
	h.want("POST", "/dags/g/dagRuns", map[string]any{"dag_run_id": "two"}, 409)
	if len(k.starts) != 1 || len(again.starts) != 3 {
		t.Errorf("started %v and %v", k.starts, again.starts)
	}
}

// A budget runs out in the middle of a graph: the next step waits, and says for what.
func TestAStepWaitsWhenItsBudgetRunsOut(t *testing.T) {
	srv := httptest.NewServer(&descriptions{steps: map[string]runner.Description{}})
	defer srv.Close()
	h := newHarnessWith(t, "ledger = on\ngraphs = on\ngraphs.descriptions = "+srv.URL+"\nbudget.t.ever.core-hours = 0.012\n")
	h.want("PUT", "/dags/g", map[string]any{"dag_id": "g", "tasks": []any{jobStep("a"), jobStep("b", "a")}}, 201)
	h.want("POST", "/dags/g/dagRuns", map[string]any{"dag_run_id": "one"}, 200)
	k := h.worker("n-000001", "a")
	h.until("the first step runs", func() bool { k.tick(); return k.running() == 1 })
	for range 10 { // it takes 0.011 core-hours
		h.clock.Advance(time.Second)
		h.until("reported", func() bool { return k.heartbeat() == 200 })
	}
	k.finish()
	h.until("the second step waits for its budget", func() bool {
		k.tick()
		_, out := h.api("GET", "/dags/g/dagRuns/one/taskInstances/b", nil)
		id, _ := out["job"].(string)
		if out["state"] != "queued" {
			return false
		}
		_, why := h.call("GET", "/v2/runs/"+id+"/why", nil)
		return strings.Contains(fmt.Sprint(why["reasons"]), "budget")
	})
	if k.running() != 0 {
		t.Error("it runs beyond the budget")
	}
}
