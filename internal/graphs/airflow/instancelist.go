package airflow

import (
	"cmp"
	"net/http"
	"slices"
	"strconv"

	"poppypass/internal/graphs/runner"
)

// step returns the run and the index of the step that a request names.
func (h *Handler) step(r *request) (run *runner.RunView, step int, err error) {
	if run, err = h.run(r); err != nil {
		return nil, 0, err
	}
	step, ok := run.Run.Plan.Index[r.taskID()]
	if !ok {
		return nil, 0, runner.ErrNotFound
	}
	return run, step, nil
}

var instanceSortFields = sortFields[instanceView]{
	"task_id": func(a, b instanceView) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.MapIndex, b.MapIndex))
	},
	"map_index":  func(a, b instanceView) int { return cmp.Compare(a.MapIndex, b.MapIndex) },
	"start_date": byTimestamp(func(x *instanceView) *string { return x.Start }),
	"end_date":   byTimestamp(func(x *instanceView) *string { return x.End }),
	"state":      byText((*instanceView).stateName),
}

// listInstances returns the instances of all steps of a run.
func (h *Handler) listInstances(r *request) (any, error) {
	run, err := h.run(r)
	if err != nil {
		return nil, err
	}
	return r.instancePage(instancesOf(run))
}

// listMapped returns the instances of a mapped step.
func (h *Handler) listMapped(r *request) (any, error) {
	run, step, err := h.step(r)
	if err != nil {
		return nil, err
	}
	id := run.Run.Plan.Steps[step].ID
	others := func(x instanceView) bool { return x.Task != id || x.MapIndex < 0 }
	return r.instancePage(slices.DeleteFunc(instancesOf(run), others))
}

// instancePage returns one page of the instances that pass a request's filters. Without order_by, the
// order of the instances does not change.
func (r *request) instancePage(all []instanceView) (any, error) {
	page, err := r.page()
	if err != nil {
		return nil, err
	}
	wanted := slices.DeleteFunc(all, func(x instanceView) bool {
		return !r.allows("state", cmp.Or(x.stateName(), "none")) || !r.allows("pool", x.Pool)
	})
	return sortedPage(r, page, "task_instances", wanted, instanceSortFields, "")
}

// getInstance returns the instance of a step that is not mapped, or the one at an index of a mapped step.
func (h *Handler) getInstance(r *request) (any, error) {
	run, step, err := h.step(r)
	if err != nil {
		return nil, err
	}
	index, err := r.mapIndex()
	if err != nil {
		return nil, err
	}
	for _, instance := range instancesOf(run) {
		if instance.Task == run.Run.Plan.Steps[step].ID && instance.MapIndex == index {
			return instance, nil
		}
	}
	if index < 0 {
		return nil, newProblem(http.StatusNotFound, "Task instance is mapped", "the step is mapped; name a map_index")
	}
	return nil, runner.ErrNotFound
}

// mapIndex returns the map index in the path; unmapped if there is none.
func (r *request) mapIndex() (int, error) {
	text := r.PathValue("index")
	if text == "" {
		return unmapped, nil
	}
	index, err := strconv.Atoi(text)
	if err != nil {
		return 0, runner.ErrNotFound
	}
	return index, nil
}
