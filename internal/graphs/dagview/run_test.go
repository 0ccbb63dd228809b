package dagview

import (
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"poppypass/internal/graphs/dag"
)

// nightly is a run with a step of each look.
func nightly(t *testing.T) *Run {
	t.Helper()
	job := &dag.Job{Class: "c", CPUs: 1, MemoryGB: 1, Image: "i", EstimateS: 60}
	p, err := dag.NewPlan(&dag.Graph{ID: "nightly", Team: "a <team>", Steps: []dag.Step{
		{ID: "begin", Kind: dag.KindEmpty}, {ID: "fetch", Kind: dag.KindJob, Job: job, Upstream: []string{"begin"}},
		{ID: "score", Kind: dag.KindJob, Job: job, Upstream: []string{"fetch"}, Map: &dag.Map{Over: "fetch"}},
		{ID: "settle", Kind: dag.KindJob, Job: job, Upstream: []string{"score"}}, {ID: "report", Kind: dag.KindJob, Job: job, Upstream: []string{"settle"}, Rule: dag.AllDone},
	}})
	if err != nil {
		t.Fatal(err)
	}
	at := time.Date(2026, 12, 1, 2, 0, 0, 0, time.UTC)
	try := func(step, index int, from, to int, state string) Try {
		x := Try{Step: step, Index: index, Begin: at.Add(time.Duration(from) * time.Second), State: state}
		if to > 0 {
			x.End = at.Add(time.Duration(to) * time.Second)
		}
		return x
	}
	return &Run{
		Plan: p, ID: "scheduled__2026-12-01T00:00:00+00:00", State: "running", Start: at, Now: at.Add(5 * time.Minute),
		Instances: []Instance{
			{0, -1, "success", 0, ""}, {1, -1, "success", 2, "job-1"}, {2, 0, "success", 1, "job-2"}, {2, 1, "failed", 1, "job-3"},
			{3, -1, "upstream_failed", 0, ""}, {4, -1, "running", 1, "job-4"},
		},
		Tries: []Try{
			try(1, -1, 2, 40, "failed"), try(1, -1, 70, 130, "success"), try(2, 0, 131, 200, "success"), try(2, 1, 131, 180, "failed"), try(4, -1, 205, 0, "running"),
		},
	}
}

func TestTheViewsOfARun(t *testing.T) {
	r := nightly(t)
	var html, text, dot strings.Builder
	if err := errors.Join(RunHTML(&html, r), RunText(&text, r, false), RunDot(&dot, r)); err != nil {
		t.Fatal(err)
	}
	// The drawing is well formed, with a box for each step, an edge for each dependency and
	// a bar for each try.
	seen := map[string]int{}
	svg := ""
	for d := xml.NewDecoder(strings.NewReader(html.String()[strings.Index(html.String(), "<html"):])); ; {
		d.Strict, d.AutoClose, d.Entity = false, xml.HTMLAutoClose, xml.HTMLEntity
		token, err := d.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		if e, ok := token.(xml.StartElement); ok {
			for _, a := range e.Attr {
				if e.Name.Local == "svg" && a.Name.Local == "id" {
					svg = a.Value
				}
			}
			seen[svg+" "+e.Name.Local]++
		}
	}
	if seen["graph rect"] != 5 || seen["graph path"] != 4 || seen["gantt rect"] != 5 {
		t.Errorf("drawn are %v", seen)
	}
	if strings.Contains(html.String(), "a <team>") || strings.Contains(html.String(), "http://") {
		t.Error("a name is not escaped, or the page needs something else")
	}
	if s := text.String(); !strings.Contains(s, "3 success, 1 running, 1 failed, 1 upstream_failed") || !strings.Contains(s, "score[1]") || strings.Contains(s, "score[0]") || !strings.Contains(s, "1m35s") {
		t.Errorf("as text %s", s)
	}
	if s := dot.String(); !strings.Contains(s, `"score" [peripheries=2, style="rounded,filled", fillcolor="#e0311f"];`) {
		t.Errorf("as DOT %s", s)
	}
}

// A page of the largest graph is drawn in part, and says so.
func TestThePageOfTheLargestGraph(t *testing.T) {
	g := &dag.Graph{ID: "g", Team: "t"}
	for i := range dag.MaxSteps {
		s := dag.Step{ID: fmt.Sprint("s", i), Kind: dag.KindEmpty}
		if i > 0 {
			s.Upstream = []string{fmt.Sprint("s", (i-1)/2)}
		}
		g.Steps = append(g.Steps, s)
	}
	p, err := dag.NewPlan(g)
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	if err := RunHTML(&b, &Run{Plan: p, ID: "one"}); err != nil || !strings.Contains(b.String(), "The first 600 of 10000 steps") || b.Len() > 1<<20 {
		t.Errorf("%d bytes, %v", b.Len(), err)
	}
}
