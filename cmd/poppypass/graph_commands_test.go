package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/graphs/runner"
	"poppypass/internal/platform/config"
	"poppypass/internal/platform/wire"
	"poppypass/internal/sim/fakes"
	"poppypass/internal/sim/testutil"
)

// serveGraphs runs a controller with a fake state service and a fake cloud, and returns its address.
func serveGraphs(t *testing.T, properties string) string {
	t.Helper()
	clock := clockwork.NewRealClock()
	store := fakes.NewStore(clock)
	cloud := fakes.NewCloud(10, wire.MachineType{Name: "g8", CPUs: 16, MemoryGB: 64, Price: 1, SpotPrice: 0.4, BootS: 30, Zones: []string{"a"}})
	settings := &config.Settings{
		Member: "m0", Bind: testutil.FreeAddr(t), PeerAddr: testutil.FreeAddr(t), External: config.ExternalAddresses{Cloud: cloud.Addr(), State: store.Addr()},
		Cluster: config.Cluster{
			Teams: []config.Team{{Name: "t", CPUs: 8, CPUsMax: 12}}, Workers: config.Workers{HeartbeatS: 1, LeaseS: 10, CancelS: 30},
			State: config.StateLimits{RPS: 1e6, WriteRPS: 1e6, MaxValueKiB: 16, MaxTxnOps: 12}, Cloud: config.CloudLimits{RPS: 1e6},
		},
	}
	startController(t, settings, testutil.TempFile(t, "own.properties", properties), store, cloud)
	return settings.Bind
}

// runGraphCommand runs a graph command and returns its result. It retries for up to a minute while no controller
// listens (connection refused) or no member is the leader (status 503).
func runGraphCommand(t *testing.T, addr string, args ...string) (string, error) {
	t.Helper()
	args = append(append([]string{"graph"}, args...), "--addr", addr, "--team", "t")
	for deadline := time.Now().Add(time.Minute); ; {
		out, err := runCommand(args...)
		if err == nil || !strings.Contains(err.Error(), "503") && !strings.Contains(err.Error(), "refused") || time.Now().After(deadline) {
			return out, err
		}
	}
}

func TestGraphCommandsAgainstAController(t *testing.T) {
	var describedSteps atomic.Int32
	descriptionServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var steps []runner.Description
		if err := json.NewDecoder(r.Body).Decode(&steps); err != nil || r.URL.Path == "/none" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		describedSteps.Add(int32(len(steps)))
	}))
	defer descriptionServer.Close()
	addr := serveGraphs(t, "graphs = on\n")
	file := testutil.TempFile(t, "g.star", `
DAG("g", default_args = {"cpus": 1, "memory_gb": 1, "image": "i", "job_class": "c"}, tags = ["x"])
EmptyOperator(task_id = "begin") >> JobOperator(task_id = "work", estimate_s = 60) >> JobOperator(task_id = "end", estimate_s = 30)
`)
	for _, c := range []struct {
		args []string
		want string // expected in the output or, after "!", in the error
	}{
		{[]string{"submit", file}, "g of t: registered, 3 steps"},
		{[]string{"list"}, "g    false"},
		{[]string{"trigger", "g", "--run", "one"}, "!graphs.descriptions"},
		{[]string{"trigger", "g", "--run", "one", "--descriptions", descriptionServer.URL + "/none"}, "!cannot be described"},
		{[]string{"trigger", "g", "--run", "one", "--conf", "{"}, "!--conf is not JSON"},
		{[]string{"trigger", "g", "--run", "one", "--conf", `{"a":1}`, "--descriptions", descriptionServer.URL}, "one of g: "},
		{[]string{"trigger", "g", "--run", "one", "--described"}, "!exists already"},
		{[]string{"list", "g"}, "manual"},
		{[]string{"show", "g", "one"}, "work"},
		{[]string{"show", "g", "one", "--all"}, "begin"},
		{[]string{"show", "g", "one", "--output", "json"}, `"task_id": "work"`},
		{[]string{"show", "g", "one", "--output", "dot"}, `"begin" -> "work";`},
		{[]string{"show", "g", "one", "--output", "html"}, "<svg id=\"graph\""},
		{[]string{"show", "g", "one", "--output", "png"}, "!--output"},
		{[]string{"show", "g", "none"}, "!404"},
		{[]string{"clear", "g", "one", "work", "--dry-run"}, "work\nend\n"},
		{[]string{"retry", "g", "one"}, "!graphs.descriptions"},
		{[]string{"backfill", "g", "--from", "2026-11-01", "--to", "2026-11-02"}, "!graphs.descriptions"},
		{[]string{"backfill", "g", "--from", "soon", "--to", "2026-11-02"}, "!is not a date or time"},
		{[]string{"pause", "g"}, ""},
		{[]string{"list"}, "g    true"},
		{[]string{"unpause", "g"}, ""},
		{[]string{"delete", "g"}, "!cancel them first"},
		{[]string{"cancel", "g", "one"}, ""},
		{[]string{"list", "--output", "csv"}, "!--output"},
	} {
		out, err := runGraphCommand(t, addr, c.args...)
		if want, wantError := strings.CutPrefix(c.want, "!"); wantError {
			if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%v should fail; printed %q, error %v", c.args, out, err)
			}
		} else if err != nil || !strings.Contains(out, want) {
			t.Errorf("%v printed %q, error %v", c.args, out, err)
		}
	}
	if describedSteps.Load() != 2 {
		t.Errorf("got descriptions of %d steps, want 2", describedSteps.Load())
	}
	for deadline := time.Now().Add(time.Minute); ; {
		if _, err := runGraphCommand(t, addr, "delete", "g"); err == nil {
			break
		} else if time.Now().After(deadline) {
			t.Fatal(err)
		}
	}
	if _, err := runCommand("graph", "list", "--addr", addr); err == nil || !strings.Contains(err.Error(), "--team") {
		t.Errorf("list without a team returned error %v", err)
	}
}

// The end of a backfill that is given as a date includes that whole day: a week from Monday to Sunday has seven days.
func TestBackfillEndDateIncludesTheWholeDay(t *testing.T) {
	for _, c := range []struct {
		text string
		end  bool
		want string
	}{
		{"2026-11-23", false, "2026-11-23T00:00:00Z"}, {"2026-11-29", true, "2026-11-29T23:59:59Z"}, {"2026-11-29T06:00:00Z", true, "2026-11-29T06:00:00Z"},
	} {
		if at, err := parseDayOrTime(c.text, c.end); err != nil || at.Format(time.RFC3339) != c.want {
			t.Errorf("%s is parsed as %v, error %v", c.text, at, err)
		}
	}
}

// A graph that exceeds the size of a request is uploaded in several parts.
func TestTheLargestGraphIsSubmitted(t *testing.T) {
	addr := serveGraphs(t, "graphs = on\n")
	var b strings.Builder
	b.WriteString(`{"dag_id":"large","tasks":[`)
	for i := range 10_000 {
		if i > 0 {
			b.WriteString(",")
		}
		fmt.Fprintf(&b, `{"task_id":"a-step-with-a-name-%d","kind":"job","job":{"class":"c","cpus":1,"memory_gb":1,"image":"i","estimate_s":%d}}`, i*7919%10_000, 1+i*31%977)
	}
	b.WriteString("]}")
	file := testutil.TempFile(t, "large.json", b.String())
	if out, err := runGraphCommand(t, addr, "submit", file); err != nil || !strings.Contains(out, "10000 steps") {
		t.Fatalf("submit printed %q, error %v", out, err)
	}
	if out, err := runGraphCommand(t, addr, "trigger", "large", "--described", "--run", "one"); err != nil {
		t.Fatalf("trigger printed %q, error %v", out, err)
	}
	if out, err := runGraphCommand(t, addr, "show", "large", "one"); err != nil || !strings.Contains(out, "scheduled") || strings.Count(out, "\n") < 9_000 {
		t.Errorf("show printed %.300q, error %v", out, err)
	}
}
