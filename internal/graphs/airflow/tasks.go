package airflow

import (
	"cmp"
	"time"

	"poppypass/internal/graphs/dag"
	"poppypass/internal/graphs/runner"
)

// taskView is a step in the API's form.
type taskView struct {
	ID                string         `json:"task_id"`
	DisplayName       string         `json:"task_display_name"`
	Owner             string         `json:"owner"`
	Operator          string         `json:"operator_name"`
	Class             map[string]any `json:"class_ref"`
	Downstream        []string       `json:"downstream_task_ids"`
	Rule              string         `json:"trigger_rule"`
	Retries           int            `json:"retries"`
	RetryDelay        typedValue     `json:"retry_delay"`
	Exponential       bool           `json:"retry_exponential_backoff"`
	Timeout           typedValue     `json:"execution_timeout"`
	DependsOnPast     bool           `json:"depends_on_past"`
	Pool              string         `json:"pool"`
	PoolSlots         int            `json:"pool_slots"`
	Weight            int            `json:"priority_weight"`
	Mapped            bool           `json:"is_mapped"`
	WaitForDownstream bool           `json:"wait_for_downstream"`
	EstimateS         float64        `json:"estimate_s"` // not in Airflow's API: the owner's estimate of the job's duration, in seconds
	Upstream          []string       `json:"upstream_task_ids"`
}

// operators maps each kind of step to an operator's name in Airflow's manner.
var operators = map[dag.Kind]string{dag.KindJob: "JobOperator", dag.KindBranch: "BranchJobOperator", dag.KindEmpty: "EmptyOperator"}

func viewTask(plan *dag.Plan, step int) taskView {
	definition := &plan.Steps[step]
	pool, slots, weight := poolClaim(definition)
	view := taskView{
		ID:            definition.ID,
		DisplayName:   definition.ID,
		Owner:         plan.Team,
		Operator:      operators[definition.Kind],
		Class:         map[string]any{"class_name": operators[definition.Kind], "module_path": "poppypass"},
		Downstream:    stepIDs(plan, plan.Downstream[step]),
		Rule:          string(cmp.Or(definition.Rule, dag.AllSuccess)),
		Retries:       definition.Retries,
		RetryDelay:    timeDelta(time.Duration(cmp.Or(definition.Delay, dag.DefaultRetryDelay))),
		Exponential:   definition.Exponential,
		Timeout:       timeDelta(time.Duration(definition.Timeout)),
		DependsOnPast: definition.DependsOnPast,
		Pool:          pool,
		PoolSlots:     slots,
		Weight:        weight,
		Mapped:        definition.Map != nil,
		Upstream:      stepIDs(plan, plan.Upstream[step]),
	}
	if definition.Job != nil {
		view.EstimateS = definition.Job.EstimateS
	}
	return view
}

// poolClaim returns the pool whose slots a step occupies, the number of slots, and the step's weight among the steps
// that wait for slots.
func poolClaim(s *dag.Step) (pool string, slots, weight int) {
	return cmp.Or(s.Pool, runner.DefaultPool), max(1, s.PoolSlots), max(1, s.Weight)
}

// stepIDs returns the ids of steps, given as indices into the plan. The result is never nil, so that its JSON is a list.
func stepIDs(plan *dag.Plan, steps []int) []string {
	ids := []string{}
	for _, i := range steps {
		ids = append(ids, plan.Steps[i].ID)
	}
	return ids
}

// listTasks returns a graph's steps in the plan's order. Airflow does not page this list, so all steps are listed unless
// the client sets a limit.
func (h *Handler) listTasks(r *request) (any, error) {
	_, plan, err := h.plan(r)
	if err != nil {
		return nil, err
	}
	page, err := r.page()
	if err != nil {
		return nil, err
	}
	if r.query.Get("limit") == "" {
		page.limit = len(plan.Steps)
	}
	views := []taskView{}
	for _, i := range itemsOf(page, plan.Order) {
		views = append(views, viewTask(plan, i))
	}
	return listBody("tasks", views, len(plan.Steps)), nil
}

func (h *Handler) getTask(r *request) (any, error) {
	_, plan, err := h.plan(r)
	if err != nil {
		return nil, err
	}
	step, ok := plan.Index[r.taskID()]
	if !ok {
		return nil, runner.ErrNotFound
	}
	return viewTask(plan, step), nil
}
