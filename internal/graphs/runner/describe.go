package runner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"time"

	"poppypass/internal/graphs/dag"
	"poppypass/internal/platform/httpjson"
	"poppypass/internal/platform/tuning"
)

// Source makes the descriptions of steps' jobs known to workers, before the jobs are
// submitted: in the protocol whoever submits a job uploads what a worker is to run for it.
// It is asked again for a step whose submission is not known to have come about, and must take that.
type Source interface {
	// Describe describes jobs. ErrRefused tells that one of them never can be; after any other
	// error it is asked again.
	Describe(ctx context.Context, steps []Description) error
}

// ErrRefused is the error of a Source for what it will never describe.
var ErrRefused = errors.New("the step cannot be described")

// Description is what there is to know of a step whose job is to be described.
type Description struct {
	Job        string                     `json:"job"` // its id
	Team       string                     `json:"team"`
	Graph      string                     `json:"dag_id"`
	Run        string                     `json:"dag_run_id"`
	Step       string                     `json:"task_id"`
	Index      int                        `json:"map_index"` // -1: the step is not mapped
	Element    json.RawMessage            `json:"element,omitempty"`
	Generation int                        `json:"generation"` // how often it was cleared
	Image      string                     `json:"image"`
	Logical    time.Time                  `json:"logical_date"`
	From       *time.Time                 `json:"data_interval_start,omitempty"`
	To         *time.Time                 `json:"data_interval_end,omitempty"`
	Params     map[string]json.RawMessage `json:"params,omitempty"`  // the graph's, with the run's conf over them
	Results    map[string]json.RawMessage `json:"results,omitempty"` // of the steps that it follows
}

// Foreseen returns the descriptions of a run's first generation, as far as they can be named
// before it begins: not those of steps that are mapped over what another step leaves.
func Foreseen(p *dag.Plan, id string, conf json.RawMessage, logical time.Time) (out []Description) {
	r, m := dag.NewRun(p, id), &meta{LogicalMS: logical.UnixMilli(), Conf: conf}
	for i := range p.Steps {
		s := &p.Steps[i]
		if s.Job == nil || mappedAtRunTime(p, i) {
			continue
		}
		n := 1
		if s.Map != nil {
			n = len(s.Map.List)
		}
		for k := range n {
			out = append(out, describe(r, m, dag.InstanceRef{Step: i, Index: k}))
		}
	}
	return out
}

// describe makes the description of an instance's job.
func describe(r *dag.Run, m *meta, at dag.InstanceRef) Description {
	s := &r.Plan.Steps[at.Step]
	d := Description{
		Job: r.JobID(at), Team: r.Plan.Team, Graph: r.Plan.ID, Run: r.ID, Step: s.ID, Index: -1, Generation: r.Generation(at.Step),
		Image: s.Job.Image, Logical: timeOf(m.LogicalMS), Params: map[string]json.RawMessage{}, Results: map[string]json.RawMessage{},
	}
	if s.Map != nil {
		d.Index, d.Element = at.Index, r.Element(at)
	}
	if m.ToMS != 0 {
		from, to := timeOf(m.FromMS), timeOf(m.ToMS)
		d.From, d.To = &from, &to
	}
	maps.Copy(d.Params, r.Plan.Params)
	var conf map[string]json.RawMessage
	if len(m.Conf) > 0 && json.Unmarshal(m.Conf, &conf) == nil {
		maps.Copy(d.Params, conf)
	}
	for _, j := range r.Plan.Upstream[at.Step] {
		if result := r.Result(j); result != nil {
			d.Results[r.Plan.Steps[j].ID] = result
		}
	}
	return d
}

// describer has steps described, one call at a time.
type describer struct {
	queue []pickedStep
	busy  bool
	pause time.Duration // after a call that failed
}

// describe has the next steps described.
func (g *Graphs) describe() {
	d := &g.source
	if d.busy || len(d.queue) == 0 {
		return
	}
	var batch []pickedStep
	var texts []Description
	for len(d.queue) > 0 && len(batch) < tuning.DescribeBatchSteps {
		p := d.queue[0]
		d.queue = d.queue[1:]
		if !p.run.run.IsReadyWithJob(p.at, p.id) {
			g.releaseSlots(p.run, p.at.Step) // cleared or cancelled meanwhile
			continue
		}
		batch, texts = append(batch, p), append(texts, describe(p.run.run, &p.run.meta, p.at))
	}
	if len(batch) == 0 {
		return
	}
	d.busy = true
	pause := d.pause
	go func() {
		if pause > 0 {
			select {
			case <-g.cfg.Clock.After(pause):
			case <-g.ended.Done():
				return
			}
		}
		refused, err := describeAll(g.ended, g.cfg.Source, texts)
		_ = g.ask(func() { g.described(batch, refused, err) }) // fails when the leadership is over
	}()
}

// describeAll describes steps, and returns those that were refused, by index: a batch that
// is refused is halved until it is known which.
func describeAll(ctx context.Context, s Source, texts []Description) (refused map[int]error, err error) {
	refused = map[int]error{}
	var try func(from, to int) error
	try = func(from, to int) error {
		call, cancel := context.WithTimeout(ctx, tuning.DescribeTimeout)
		err := s.Describe(call, texts[from:to])
		cancel()
		switch {
		case !errors.Is(err, ErrRefused):
			return err
		case to-from == 1:
			refused[from] = err
			return nil
		}
		middle := (from + to) / 2
		if err := try(from, middle); err != nil {
			return err
		}
		return try(middle, to)
	}
	return refused, try(0, len(texts))
}

// described handles the result of a call.
func (g *Graphs) described(batch []pickedStep, refused map[int]error, err error) {
	d := &g.source
	d.busy = false
	if err != nil {
		d.pause = min(max(2*d.pause, tuning.DescribeRetryPause), tuning.DescribeRetryPauseMax)
		d.queue = append(batch, d.queue...)
		g.log.Warn("steps cannot be described now", "steps", len(batch), "again_in", d.pause, "err", err)
		g.describe()
		return
	}
	d.pause = 0
	for i, p := range batch {
		if why := refused[i]; why != nil {
			g.log.Error("a step has failed", "graph", p.run.graph.rec.ID, "run", p.run.run.ID, "step", p.run.run.Plan.Steps[p.at.Step].ID, "err", why)
			g.releaseSlots(p.run, p.at.Step)
			if p.run.run.IsReadyWithJob(p.at, p.id) {
				p.run.run.JobCancelled(p.at)
				g.markDirty(p.run)
			}
			continue
		}
		p.run.picked = append(p.run.picked, p)
		g.enqueueRun(p.run)
	}
	g.describe()
}

// HTTPSource describes steps by a POST of a JSON array to an operator's URL: 2xx says that
// workers find them, 4xx but 408 and 429 that they never will.
type HTTPSource struct {
	URL    string
	Client *http.Client
}

// Describe implements Source.
func (s *HTTPSource) Describe(ctx context.Context, steps []Description) error {
	status, err := httpjson.Call(ctx, s.Client, http.MethodPost, s.URL, steps, func(int) any { return nil })
	switch {
	case err != nil:
		return err
	case status < http.StatusMultipleChoices:
		return nil
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests:
		return fmt.Errorf("%w: the source answered %d", ErrRefused, status)
	}
	return fmt.Errorf("the source answered %d", status)
}
