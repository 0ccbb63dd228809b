package dag

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"
)

func TestNewPlanSaysInOneLineWhatIsWrong(t *testing.T) {
	good := func() *Graph {
		return &Graph{ID: "g", Team: "t", Steps: []Step{step("a"), step("b", "a"), step("c", "b")}}
	}
	if _, err := NewPlan(good()); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name   string
		change func(*Graph)
		want   string
	}{
		{"graph name", func(g *Graph) { g.ID = "a b" }, "dag_id"},
		{"no team", func(g *Graph) { g.Team = "" }, "team"},
		{"no steps", func(g *Graph) { g.Steps = nil }, "0 steps"},
		{"name twice", func(g *Graph) { g.Steps[1].ID = "a" }, "step a: the name is used twice"},
		{"step name", func(g *Graph) { g.Steps[1].ID = "a/b" }, "task_id"},
		{"unknown upstream step", func(g *Graph) { g.Steps[1].Upstream = []string{"job-7"} }, `step b: it follows "job-7", which is no step`},
		{"cycle", func(g *Graph) { g.Steps[0].Upstream = []string{"c"} }, "in a circle: "},
		{"cycle of one step", func(g *Graph) { g.Steps[0].Upstream = []string{"a"} }, "a -> a"},
		{"unknown rule", func(g *Graph) { g.Steps[0].Rule = "most" }, "trigger_rule"},
		{"unknown kind", func(g *Graph) { g.Steps[0].Kind = "python" }, "kind"},
		{"job without a job description", func(g *Graph) { g.Steps[0].Job = nil }, "job is missing"},
		{"empty step with a job", func(g *Graph) { g.Steps[0].Kind = KindEmpty }, "no job"},
		{"negative retries", func(g *Graph) { g.Steps[0].Retries = -1 }, "retries"},
		{"map over nothing", func(g *Graph) { g.Steps[0].Map = &Map{} }, "either"},
		{"map over an unknown step", func(g *Graph) { g.Steps[1].Map = &Map{Over: "x"} }, `follows "x"`},
		{"map over a mapped step", func(g *Graph) { g.Steps[1].Map, g.Steps[2].Map = &Map{Over: "a"}, &Map{Over: "b"} }, "mapped itself"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := good()
			c.change(g)
			_, err := NewPlan(g)
			if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("want an error with %q and without line breaks: %v", c.want, err)
			}
			var graphErr *Error
			if !errors.As(err, &graphErr) {
				t.Errorf("the error is a %T, want an *Error", err)
			}
		})
	}
}

func TestCriticalPathIsTheLongestByEstimate(t *testing.T) {
	long := step("long", "a")
	long.Job.EstimateS = 100
	p, err := NewPlan(&Graph{ID: "g", Team: "t", Steps: []Step{step("z", "short", "long"), step("short", "a"), long, step("a")}})
	if err != nil {
		t.Fatal(err)
	}
	if path, length := p.CriticalPath(); strings.Join(path, " ") != "a long z" || length != 2*time.Minute {
		t.Errorf("critical path %v takes %v, want a, long, z and 2 minutes", path, length)
	}
}

// The largest graph, a chain of steps with one more step downstream of all of them, is sorted without
// recursion. A cycle through it gives an error of limited length.
func TestTheLargestGraphIsSortedAndItsCycleShortened(t *testing.T) {
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
		t.Errorf("cycle of all steps: %v, want an error of up to 200 bytes", err)
	}
}
