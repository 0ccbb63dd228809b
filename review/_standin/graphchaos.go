package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"poppypass/internal/graphs/dag"
)

// graphWorld runs graphs in layers while controllers crash and the state service is out or slow at times. It checks that each
// accepted run ends in success, that no step starts before the steps upstream of it are done, and that no step starts
// again after it is done.
func graphWorld(rec *record, trouble bool) (bool, string) {
	const graphs, layers, width = 12, 4, 3
	w := newWorld(rec, ecuador())
	w.startAll()
	var mu sync.Mutex
	early, after := 0, 0
	type step struct {
		up   []string
		done bool
	}
	all := map[string]*step{}
	doneOf := func(id string) bool { return len(w.jobs[id].doneTasks) > 0 }
	stop := make(chan struct{})
	watch := func() { // compares starts with what is done, often
		last := map[string]int{}
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
			mu.Lock()
			w.mu.Lock()
			for id, s := range all {
				n := w.starts[id+"/0"]
				if n > last[id] {
					for _, u := range s.up {
						if !doneOf(u) {
							early++
							rec.log("RULE", "%s started before %s is done", id, u)
						}
					}
					if s.done {
						after++
						rec.log("RULE", "%s started again (%d) after it was done", id, n)
					}
				}
				last[id] = n
				s.done = doneOf(id)
			}
			w.mu.Unlock()
			mu.Unlock()
		}
	}
	go watch()
	if trouble {
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(3000+rand.IntN(6000)) * time.Millisecond):
				}
				n := w.node(w.state.leader())
				switch rand.IntN(3) {
				case 0:
					if n != nil && n.cmd != nil {
						rec.log("trouble", "%s, which leads, crashes", n.name)
						n.kill()
						time.Sleep(8 * time.Second)
						w.start(n)
					}
				case 1:
					rec.log("trouble", "the state service is out for 3 s")
					w.state.setOutage(true)
					time.Sleep(3 * time.Second)
					w.state.setOutage(false)
				case 2:
					rec.log("trouble", "the state service is slow for 6 s")
					w.state.mu.Lock()
					w.state.delay = func(string) time.Duration { return time.Duration(60+rand.IntN(90)) * time.Millisecond }
					w.state.mu.Unlock()
					time.Sleep(6 * time.Second)
					w.state.mu.Lock()
					w.state.delay = nil
					w.state.mu.Unlock()
				}
			}
		}()
	}
	patient := func(method, path string, body []byte) {
		for until := time.Now().Add(60 * time.Second); ; time.Sleep(700 * time.Millisecond) {
			n := w.anyNode()
			status, _ := w.ask(userClient, n, method, path, body)
			if status >= 200 && status < 300 || status == 409 {
				rec.log("user", "%s %s at %s: %d", method, path, n.name, status)
				return
			}
			if time.Now().After(until) {
				fatal(fmt.Errorf("%s %s is not carried out", method, path))
			}
		}
	}
	for k := range graphs {
		g := &dag.Graph{ID: fmt.Sprintf("g-%02d", k), Team: "fares-team", MaxTasks: 100}
		for l := range layers {
			for x := range width {
				s := dag.Step{ID: fmt.Sprintf("s-%d-%d", l, x), Kind: dag.KindJob, Job: &dag.Job{Class: "c", CPUs: 0.5, MemoryGB: 0.5, Image: "img-g", ImageGB: 0.1, EstimateS: 2}}
				for y := range width {
					if l > 0 {
						s.Upstream = append(s.Upstream, fmt.Sprintf("s-%d-%d", l-1, y))
					}
				}
				g.Steps = append(g.Steps, s)
			}
		}
		plan, err := dag.NewPlan(g)
		if err != nil {
			fatal(err)
		}
		run := dag.NewRun(plan, "night")
		id := func(l, x int) string { return run.JobID(dag.InstanceRef{Step: l*width + x}) }
		mu.Lock()
		w.mu.Lock()
		for l := range layers {
			for x := range width {
				s := &step{}
				for y := range width {
					if l > 0 {
						s.up = append(s.up, id(l-1, y))
					}
				}
				all[id(l, x)] = s
				w.jobs[id(l, x)] = &job{ID: id(l, x), Team: g.Team, Shape: "array", Seats: 1, CPUs: 0.5, MemGB: 0.5, Image: "img-g", ImageGB: 0.1, Run: 2 * time.Second, doneTasks: map[int]bool{}}
			}
		}
		w.mu.Unlock()
		mu.Unlock()
		raw, _ := json.Marshal(g)
		patient("PUT", "/api/v1/dags/"+g.ID+"?team=fares-team", raw)
		patient("POST", "/api/v1/dags/"+g.ID+"/dagRuns?team=fares-team", []byte(`{"dag_run_id":"night","described":true}`))
		time.Sleep(time.Duration(rand.IntN(3000)) * time.Millisecond)
	}
	left := map[string]string{}
	for until := time.Now().Add(90 * time.Second); time.Now().Before(until); time.Sleep(3 * time.Second) {
		clear(left)
		for k := range graphs {
			name := fmt.Sprintf("g-%02d", k)
			_, out := w.ask(userClient, w.anyNode(), "GET", "/api/v1/dags/"+name+"/dagRuns/night?team=fares-team", nil)
			if out["state"] != "success" {
				left[name] = fmt.Sprint(out["state"])
			}
		}
		if len(left) == 0 {
			break
		}
	}
	close(stop)
	time.Sleep(50 * time.Millisecond)
	w.copyLogs(os.Getenv("CASE_LOG_LEVEL") != "", 4000)
	return len(left) == 0 && early == 0 && after == 0 && w.ends == 0, fmt.Sprintf("runs not in success: %v; steps too early %d, again after done %d, ends %d", left, early, after, w.ends)
}

func init() { scenarios["graph-world"] = graphWorld }
