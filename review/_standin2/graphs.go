package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"poppypass/internal/graphs/dag"
)

const stepTeam = "payouts-team"

// graphPath returns a path of the interface for graphs.
func graphPath(path string) string { return "/api/v1" + path + "?team=" + stepTeam }

// step returns a step of a graph that runs a job of one task.
func step(id string, more object) object {
	s := object{"task_id": id, "kind": "job", "retries": 2, "retry_delay": 2,
		"job": object{"class": "settlement", "cpus": 1, "memory_gb": 1, "image": "img-settle", "image_gb": 0.25, "estimate_s": 5}}
	for k, v := range more {
		s[k] = v
	}
	return s
}

// stepJobs returns the ids of the jobs of a run's steps, as the service computes them, by job id.
func stepJobs(graph []byte, run string) (map[string]string, error) {
	g, err := dag.ParseJSON("graph", graph)
	if err != nil {
		return nil, err
	}
	g.Team = stepTeam
	plan, err := dag.NewPlan(g)
	if err != nil {
		return nil, err
	}
	jobs, r := map[string]string{}, dag.NewRun(plan, run)
	for i, s := range plan.Steps {
		n := 1
		if s.Map != nil {
			n = len(s.Map.List)
		}
		for k := range n {
			name := s.ID
			if s.Map != nil {
				name = fmt.Sprintf("%s/%d", s.ID, k)
			}
			jobs[r.JobID(dag.InstanceRef{Step: i, Index: k})] = name
		}
	}
	return jobs, nil
}

// runState returns the state of a run as the service tells it; it is empty if no controller answers with 200.
func (c *Cluster) runState(graph, run string) string {
	for _, n := range c.Nodes {
		status, raw, err := c.send(n, 4*time.Second, http.MethodGet, graphPath("/dags/"+graph+"/dagRuns/"+run), nil)
		var answer struct{ State string }
		if err == nil && status == http.StatusOK && json.Unmarshal(raw, &answer) == nil {
			c.Record.Log("run %s of %s is %s", run, graph, answer.State)
			return answer.State
		}
	}
	return ""
}
