package airflow

import "poppypass/internal/graphs/runner"

// clearing is the body of a request to clear steps of a run, so that they run again. The type's name is part of the
// answer to a malformed body (request.read), so it must not change.
type clearing struct {
	DryRun      *bool    `json:"dry_run"` // default: true
	Run         string   `json:"dag_run_id"`
	Steps       []string `json:"task_ids"`     // empty: all steps
	OnlyFailed  *bool    `json:"only_failed"`  // default: true
	OnlyRunning *bool    `json:"only_running"` // default: false
	Downstream  bool     `json:"include_downstream"`
	Upstream    bool     `json:"include_upstream"`
	Future      bool     `json:"include_future"`
	Past        bool     `json:"include_past"`
}

func (c *clearing) isDryRun() bool      { return c.DryRun == nil || *c.DryRun }
func (c *clearing) isOnlyFailed() bool  { return c.OnlyFailed == nil || *c.OnlyFailed }
func (c *clearing) isOnlyRunning() bool { return c.OnlyRunning != nil && *c.OnlyRunning }

// checkSupported returns a problem if the request uses options that Airflow has and this API does not support.
func (c *clearing) checkSupported() error {
	switch {
	case c.Run == "":
		return badRequest("dag_run_id is missing: steps are cleared in one run at a time")
	case c.Upstream || c.Future || c.Past:
		return badRequest("include_upstream, include_future and include_past are not offered: name the steps, in one run")
	case c.isOnlyRunning():
		return badRequest("only_running is not offered: name the steps")
	}
	return nil
}

// clearRun clears all steps of a run, so that they run again. A dry run only lists them.
func (h *Handler) clearRun(r *request) (any, error) {
	var body clearing
	if err := r.read(&body); err != nil {
		return nil, err
	}
	onlyFailed := false
	c := clearing{DryRun: body.DryRun, Run: r.runID(), OnlyFailed: &onlyFailed, Downstream: true}
	cleared, err := h.clear(r, &c)
	if err != nil || c.isDryRun() {
		return cleared, err
	}
	return h.getRun(r)
}

// clearInstances clears steps of a run, so that they run again. A dry run only lists them.
func (h *Handler) clearInstances(r *request) (any, error) {
	var c clearing
	if err := r.read(&c); err != nil {
		return nil, err
	}
	if err := c.checkSupported(); err != nil {
		return nil, err
	}
	return h.clear(r, &c)
}

// clear lists the steps that a request selects and, unless it is a dry run, has the leader clear them.
func (h *Handler) clear(r *request, c *clearing) (any, error) {
	run, err := h.runNamed(r, c.Run)
	if err != nil {
		return nil, err
	}
	steps, err := run.Run.StepsToClear(c.Steps, c.Downstream, c.isOnlyFailed())
	if err != nil {
		return nil, badRequest("%s", err)
	}
	if !c.isDryRun() {
		order := runner.Command{Graph: r.dagID(), Run: c.Run, Steps: c.Steps, Downstream: c.Downstream, OnlyFailed: c.isOnlyFailed()}
		if _, err := h.execute(r, runner.CommandClear, order); err != nil {
			return nil, err
		}
	}
	return map[string]any{"task_instances": stepReferences(run, steps)}, nil
}

// stepReference names a step of a run in the answer to a request to clear steps.
type stepReference struct {
	DAG       string  `json:"dag_id"`
	Run       string  `json:"dag_run_id"`
	Execution *string `json:"execution_date"`
	Task      string  `json:"task_id"`
}

func stepReferences(run *runner.RunView, steps []int) []stepReference {
	references := []stepReference{}
	for _, i := range steps {
		references = append(references, stepReference{DAG: run.Graph, Run: run.ID, Execution: timestamp(run.Logical), Task: run.Run.Plan.Steps[i].ID})
	}
	return references
}
