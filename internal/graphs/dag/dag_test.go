package dag

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func step(id string, up ...string) Step {
	return Step{ID: id, Kind: KindJob, Job: &Job{Class: "c", CPUs: 1, MemoryGB: 1, Image: "i", EstimateS: 10}, Upstream: up}
}

func TestCheckSaysWhatIsWrong(t *testing.T) {
	good := func() *Graph {
		return &Graph{ID: "g", Team: "t", Steps: []Step{step("a"), step("b", "a"), step("c", "b")}}
	}
	if _, err := NewPlan(good()); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		change func(*Graph)
		want   string
	}{
		{func(g *Graph) { g.ID = "a b" }, "dag_id"},
		{func(g *Graph) { g.Team = "" }, "team"},
		{func(g *Graph) { g.Steps = nil }, "0 steps"},
		{func(g *Graph) { g.Steps[1].ID = "a" }, "step a: the name is used twice"},
		{func(g *Graph) { g.Steps[1].ID = "a/b" }, "task_id"},
		{func(g *Graph) { g.Steps[1].Upstream = []string{"job-7"} }, `step b: it follows "job-7", which is no step`},
		{func(g *Graph) { g.Steps[0].Upstream = []string{"c"} }, "in a circle: "},
		{func(g *Graph) { g.Steps[0].Upstream = []string{"a"} }, "a -> a"},
		{func(g *Graph) { g.Steps[0].Rule = "most" }, "trigger_rule"},
		{func(g *Graph) { g.Steps[0].Kind = "python" }, "kind"},
		{func(g *Graph) { g.Steps[0].Job = nil }, "job is missing"},
		{func(g *Graph) { g.Steps[0].Kind = KindEmpty }, "no job"},
		{func(g *Graph) { g.Steps[0].Retries = -1 }, "retries"},
		{func(g *Graph) { g.Steps[0].Map = &Map{} }, "either"},
		{func(g *Graph) { g.Steps[1].Map = &Map{Over: "x"} }, `follows "x"`},
		{func(g *Graph) { g.Steps[1].Map, g.Steps[2].Map = &Map{Over: "a"}, &Map{Over: "b"} }, "mapped itself"},
	} {
		g := good()
		c.change(g)
		if _, err := NewPlan(g); err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("want %q: %v", c.want, err)
		}
	}
}

func TestCriticalPath(t *testing.T) {
	long := step("long", "a")
	long.Job.EstimateS = 100
	p, err := NewPlan(&Graph{ID: "g", Team: "t", Steps: []Step{step("z", "short", "long"), step("short", "a"), long, step("a")}})
	if err != nil {
		t.Fatal(err)
	}
	if path, length := p.CriticalPath(); strings.Join(path, " ") != "a long z" || length != 2*time.Minute {
		t.Errorf("%v takes %v", path, length)
	}
}

// A chain of 10,000 steps and one that each of them feeds are handled without recursion.
func TestTheLargestGraph(t *testing.T) {
	g := &Graph{ID: "g", Team: "t"}
	var all []string
	for i := range MaxSteps - 1 {
		s := step(fmt.Sprint("s", i))
		if i > 0 {
			s.Upstream = []string{fmt.Sprint("s", i-1)}
		}
		all = append(all, s.ID)
		g.Steps = append(g.Steps, s)
	}
	g.Steps = append(g.Steps, step("last", all...))
	p, err := NewPlan(g)
	if err != nil || p.Order[MaxSteps-1] != MaxSteps-1 {
		t.Fatal(err)
	}
	g.Steps[0].Upstream = []string{"last"}
	if _, err := NewPlan(g); err == nil || len(err.Error()) > 200 {
		t.Errorf("a circle of all: %v", err)
	}
}

func TestRules(t *testing.T) {
	S, F, K, U, N := Success, Failed, Skipped, UpstreamFailed, None
	for _, c := range []struct {
		rule TriggerRule
		ends []State
		want State
	}{
		{"", []State{}, Scheduled}, {"", []State{S, S}, Scheduled}, {"", []State{S, N}, None}, {"", []State{F, N}, UpstreamFailed}, {"", []State{K, N}, Skipped}, {"", []State{U}, UpstreamFailed},
		{AllFailed, []State{F, U}, Scheduled}, {AllFailed, []State{S, N}, Skipped}, {AllFailed, []State{F, N}, None},
		{AllDone, []State{F, S, K, U}, Scheduled}, {AllDone, []State{F, N}, None},
		{AllSkipped, []State{K, K}, Scheduled}, {AllSkipped, []State{K, S}, Skipped},
		{OneSuccess, []State{S, N}, Scheduled}, {OneSuccess, []State{F, N}, None}, {OneSuccess, []State{F, K}, UpstreamFailed}, {OneSuccess, []State{K, K}, Skipped},
		{OneFailed, []State{F, N}, Scheduled}, {OneFailed, []State{U, N}, Scheduled}, {OneFailed, []State{S, S}, Skipped}, {OneFailed, []State{S, N}, None},
		{OneDone, []State{K, N}, None}, {OneDone, []State{F, N}, Scheduled}, {OneDone, []State{K, K}, Skipped},
		{NoneFailed, []State{S, K}, Scheduled}, {NoneFailed, []State{S, F}, UpstreamFailed}, {NoneFailed, []State{K, K}, Scheduled},
		{NoneFailedMinOneSuccess, []State{S, K}, Scheduled}, {NoneFailedMinOneSuccess, []State{K, K}, Skipped}, {NoneFailedMinOneSuccess, []State{S, U}, UpstreamFailed}, {NoneFailedMinOneSuccess, []State{S, N}, None},
		{NoneSkipped, []State{S, F}, Scheduled}, {NoneSkipped, []State{K, N}, Skipped}, {NoneSkipped, []State{S, N}, None},
		{Always, []State{N, N}, Scheduled},
	} {
		var e UpstreamCounts
		for _, s := range c.ends {
			e.Add(s, 1)
		}
		if got := c.rule.Evaluate(e); got != c.want {
			t.Errorf("%q after %v: %v, want %v", c.rule, c.ends, got, c.want)
		}
	}
}

// Whatever the order of the ends, a rule gives an answer at the last one at the
// latest, and an answer that was given stays: what has begun or was passed over is
// never taken back.
func TestRulesAreMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rule := TriggerRule(rapid.SampledFrom(triggerRules).Draw(t, "rule"))
		ends := rapid.SliceOfN(rapid.SampledFrom([]State{Success, Failed, Skipped, UpstreamFailed}), 1, 6).Draw(t, "ends")
		e := UpstreamCounts{Total: len(ends)}
		given := rule.Evaluate(e)
		for _, s := range ends {
			e.Add(s, 1)
			e.Total--
			got := rule.Evaluate(e)
			if given == Scheduled && got != Scheduled || given != None && (got == None || got == Scheduled && given != got) {
				t.Fatalf("%s says %v, then %v after %v", rule, given, got, e)
			}
			given = got
		}
		if given == None {
			t.Fatalf("%s says nothing after all of %v", rule, ends)
		}
	})
}

func TestPauses(t *testing.T) {
	r := Retry{Delay: Duration(time.Minute), Exponential: true, MaxDelay: Duration(5 * time.Minute)}
	for try, want := range map[int]time.Duration{1: time.Minute, 2: 2 * time.Minute, 3: 4 * time.Minute, 4: 5 * time.Minute, 99: 5 * time.Minute} {
		if got := r.DelayBefore(try, 1); got != want {
			t.Errorf("before try %d: %v, want %v", try, got, want)
		}
		if got := r.DelayBefore(try, 0); got != want/2 {
			t.Errorf("before try %d, without jitter: %v", try, got)
		}
	}
	if got := (&Retry{}).DelayBefore(3, 0); got != 5*time.Minute {
		t.Errorf("unless given: %v", got)
	}
}
