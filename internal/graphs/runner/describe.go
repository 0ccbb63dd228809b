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

// DescriptionSource makes the descriptions of steps' jobs available to workers before the jobs are submitted. In the
// protocol the submitter of a job uploads what a worker is to run for it. The same step may be described more than
// once, for example by a new leader if the previous one failed before it submitted the step's job. An implementation
// must accept that.
type DescriptionSource interface {
	// Describe describes jobs. An error that wraps ErrRefused means that at least one of them can never be
	// described. After any other error the call is retried.
	Describe(ctx context.Context, steps []Description) error
}

// ErrRefused means that a DescriptionSource will never describe a step.
var ErrRefused = errors.New("the step cannot be described")

// Description is everything that is known about a step's job before the job is submitted.
type Description struct {
	Job        string                     `json:"job"` // the job's ID
	Team       string                     `json:"team"`
	Graph      string                     `json:"dag_id"`
	Run        string                     `json:"dag_run_id"`
	Step       string                     `json:"task_id"`
	Index      int                        `json:"map_index"` // -1 if the step is not mapped
	Element    json.RawMessage            `json:"element,omitempty"`
	Generation int                        `json:"generation"` // number of times that the step was cleared
	Image      string                     `json:"image"`
	Logical    time.Time                  `json:"logical_date"`
	From       *time.Time                 `json:"data_interval_start,omitempty"`
	To         *time.Time                 `json:"data_interval_end,omitempty"`
	Params     map[string]json.RawMessage `json:"params,omitempty"`  // the graph's, overridden by the run's conf
	Results    map[string]json.RawMessage `json:"results,omitempty"` // of the steps directly upstream, by step ID
}

// DescriptionsBeforeStart returns those descriptions of a run's first generation that are known before the run starts. These are all
// except the descriptions of steps that are mapped over the result of another step.
func DescriptionsBeforeStart(p *dag.Plan, id string, conf json.RawMessage, logical time.Time) (out []Description) {
	run, meta := dag.NewRun(p, id), &runMeta{LogicalMS: logical.UnixMilli(), Conf: conf}
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
			out = append(out, describe(run, meta, dag.InstanceRef{Step: i, Index: k}))
		}
	}
	return out
}

// describe returns the description of an instance's job.
func describe(run *dag.Run, meta *runMeta, ref dag.InstanceRef) Description {
	s := &run.Plan.Steps[ref.Step]
	d := Description{
		Job: run.JobID(ref), Team: run.Plan.Team, Graph: run.Plan.ID, Run: run.ID, Step: s.ID, Index: -1, Generation: run.Generation(ref.Step),
		Image: s.Job.Image, Logical: timeOf(meta.LogicalMS), Params: map[string]json.RawMessage{}, Results: map[string]json.RawMessage{},
	}
	if s.Map != nil {
		d.Index, d.Element = ref.Index, run.Element(ref)
	}
	if meta.ToMS != 0 {
		from, to := timeOf(meta.FromMS), timeOf(meta.ToMS)
		d.From, d.To = &from, &to
	}
	maps.Copy(d.Params, run.Plan.Params)
	var conf map[string]json.RawMessage
	if len(meta.Conf) > 0 && json.Unmarshal(meta.Conf, &conf) == nil {
		maps.Copy(d.Params, conf)
	}
	for _, j := range run.Plan.Upstream[ref.Step] {
		if result := run.Result(j); result != nil {
			d.Results[run.Plan.Steps[j].ID] = result
		}
	}
	return d
}

// describeQueue is the queue of steps to describe. One call is in flight at a time.
type describeQueue struct {
	steps    []pickedStep
	inFlight bool          // whether a call is in flight
	pause    time.Duration // before the next call; 0 unless the last one failed
}

// describe starts a call for the next steps of the queue, if none is in flight.
func (g *Graphs) describe() {
	queue := &g.describeQueue
	if queue.inFlight || len(queue.steps) == 0 {
		return
	}
	var batch []pickedStep
	var descriptions []Description
	for len(queue.steps) > 0 && len(batch) < tuning.DescribeBatchSteps {
		picked := queue.steps[0]
		queue.steps = queue.steps[1:]
		if !picked.run.run.IsReadyWithJob(picked.ref, picked.jobID) {
			g.releaseSlots(picked.run, picked.ref.Step) // the step was cleared or cancelled in the meantime
			continue
		}
		batch, descriptions = append(batch, picked), append(descriptions, describe(picked.run.run, &picked.run.meta, picked.ref))
	}
	if len(batch) == 0 {
		return
	}
	queue.inFlight = true
	pause := queue.pause
	go func() {
		if pause > 0 {
			select {
			case <-g.cfg.Clock.After(pause):
			case <-g.termCtx.Done():
				return
			}
		}
		refused, err := describeAll(g.termCtx, g.cfg.DescriptionSource, descriptions)
		_ = g.runOnLoop(func() { g.described(batch, refused, err) }) // fails only when the leadership has ended
	}()
}

// describeAll describes steps, and returns the errors of those that were refused, by index. A refused batch is
// halved until the refused steps are identified.
func describeAll(ctx context.Context, source DescriptionSource, descriptions []Description) (refused map[int]error, err error) {
	refused = map[int]error{}
	var describeRange func(from, to int) error
	describeRange = func(from, to int) error {
		callCtx, cancel := context.WithTimeout(ctx, tuning.DescribeTimeout)
		err := source.Describe(callCtx, descriptions[from:to])
		cancel()
		switch {
		case !errors.Is(err, ErrRefused):
			return err
		case to-from == 1:
			refused[from] = err
			return nil
		}
		middle := (from + to) / 2
		if err := describeRange(from, middle); err != nil {
			return err
		}
		return describeRange(middle, to)
	}
	return refused, describeRange(0, len(descriptions))
}

// described handles the result of describeAll.
func (g *Graphs) described(batch []pickedStep, refused map[int]error, err error) {
	queue := &g.describeQueue
	queue.inFlight = false
	if err != nil {
		queue.pause = min(max(2*queue.pause, tuning.DescribeRetryPause), tuning.DescribeRetryPauseMax)
		queue.steps = append(batch, queue.steps...)
		g.log.Warn("describing steps failed; retrying after a pause", "steps", len(batch), "again_in", queue.pause, "err", err)
		g.describe()
		return
	}
	queue.pause = 0
	for i, picked := range batch {
		if refusal := refused[i]; refusal != nil {
			g.log.Error("description of a step was refused; marking the step failed", "graph", picked.run.graph.rec.ID, "run", picked.run.run.ID, "step", picked.run.run.Plan.Steps[picked.ref.Step].ID, "err", refusal)
			g.releaseSlots(picked.run, picked.ref.Step)
			if picked.run.run.IsReadyWithJob(picked.ref, picked.jobID) {
				picked.run.run.JobCancelled(picked.ref)
				g.markDirty(picked.run)
			}
			continue
		}
		picked.run.picked = append(picked.run.picked, picked)
		g.enqueueRun(picked.run)
	}
	g.describe()
}

// HTTPDescriptionSource describes steps by a POST of a JSON array to a URL that the operator provides. Status 2xx means that the
// descriptions are available to workers. Status 4xx, except for 408 and 429, means that at least one of them is
// refused.
type HTTPDescriptionSource struct {
	URL    string
	Client *http.Client
}

// Describe implements DescriptionSource.
func (s *HTTPDescriptionSource) Describe(ctx context.Context, steps []Description) error {
	status, err := httpjson.Call(ctx, s.Client, http.MethodPost, s.URL, steps, func(int) any { return nil })
	switch {
	case err != nil:
		return err
	case status < http.StatusMultipleChoices:
		return nil
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests:
		return fmt.Errorf("%w: the source of descriptions answered with status %d", ErrRefused, status)
	}
	return fmt.Errorf("the source of descriptions answered with status %d", status)
}
