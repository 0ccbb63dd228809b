package main

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"sync"

	"poppypass/internal/graphs/runner"
)

// resultCheck has steps leave results, and checks that each accepted result is in the descriptions of the steps after it.
type resultCheck struct {
	bytes int // size of a result; 0: no results
	send  func(ctx context.Context, step runner.Description, result string) bool

	mu       sync.Mutex
	upstream map[string][]string           // by step; the same in all graphs
	steps    map[string]runner.Description // by job ID
	accepted map[string]bool               // by graph and step: its result was accepted
	missing  int                           // accepted results that a description lacks
}

func newResultCheck(bytes int, send func(context.Context, runner.Description, string) bool) *resultCheck {
	return &resultCheck{bytes: bytes, send: send, upstream: map[string][]string{}, steps: map[string]runner.Description{}, accepted: map[string]bool{}}
}

// resultKey identifies the result of a step. Each graph has one run.
func resultKey(graph, step string) string { return graph + "/" + step }

// follows sets the steps directly upstream of a step.
func (c *resultCheck) follows(step string, upstream []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.upstream[step] = upstream
}

// described receives descriptions of steps.
func (c *resultCheck) described(steps []runner.Description) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range steps {
		c.steps[s.Job] = s
		for _, name := range c.upstream[s.Step] {
			if _, received := s.Results[name]; c.accepted[resultKey(s.Graph, name)] && !received {
				c.missing++
			}
		}
	}
}

// begun has the step of a job leave its result. Jobs of no step leave none.
func (c *resultCheck) begun(ctx context.Context, job string) {
	c.mu.Lock()
	step, isStep := c.steps[job]
	c.mu.Unlock()
	if c.bytes == 0 || !isStep {
		return
	}
	go func() {
		raw := make([]byte, c.bytes)
		_, _ = rand.Read(raw) // never fails
		result := base64.StdEncoding.EncodeToString(raw)[:c.bytes-len(`""`)]
		if c.send(ctx, step, result) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.accepted[resultKey(step.Graph, step.Step)] = true
		}
	}()
}

// counts returns how many results were accepted, and how many of them a description lacked.
func (c *resultCheck) counts() (accepted, missing int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.accepted), c.missing
}
