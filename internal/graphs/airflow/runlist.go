package airflow

import "poppypass/internal/graphs/runner"

// allDAGs is the graph id in a path that means all graphs of the team.
const allDAGs = "~"

var compareRunIDs = byText(func(v *runView) string { return v.ID })

var runSortFields = sortFields[runView]{
	"id":             compareRunIDs,
	"dag_run_id":     compareRunIDs,
	"run_id":         compareRunIDs,
	"dag_id":         byText(func(v *runView) string { return v.DAG }),
	"state":          byText(func(v *runView) string { return v.State }),
	"run_type":       byText(func(v *runView) string { return v.Type }),
	"execution_date": byTimestamp(func(v *runView) *string { return v.Execution }),
	"logical_date":   byTimestamp(func(v *runView) *string { return v.Logical }),
	"start_date":     byTimestamp(func(v *runView) *string { return v.Start }),
	"end_date":       byTimestamp(func(v *runView) *string { return v.End }),
}

func (h *Handler) listRuns(r *request) (any, error) {
	page, err := r.page()
	if err != nil {
		return nil, err
	}
	runs, err := h.requestedRuns(r)
	if err != nil {
		return nil, err
	}
	views, err := r.filterRuns(runs)
	if err != nil {
		return nil, err
	}
	return sortedPage(r, page, "dag_runs", views, runSortFields, "logical_date")
}

// requestedRuns returns the runs of the graph that a request names, or of all graphs of the team for allDAGs.
func (h *Handler) requestedRuns(r *request) ([]runner.RunInfo, error) {
	id := r.dagID()
	if id == allDAGs {
		return h.Reader.Runs(r.Context(), r.team, "")
	}
	if _, err := h.graph(r); err != nil {
		return nil, err
	}
	return h.Reader.Runs(r.Context(), r.team, id)
}

// filterRuns returns the runs that pass a request's filters. A malformed filter is an error only if there are runs.
func (r *request) filterRuns(runs []runner.RunInfo) ([]runView, error) {
	views := []runView{}
	if len(runs) == 0 {
		return views, nil
	}
	windows, err := r.runWindows()
	if err != nil {
		return nil, err
	}
	for i := range runs {
		run := &runs[i]
		if r.allows("state", run.State) && r.allows("run_type", run.Type) && windows.contain(run) {
			views = append(views, viewRun(run))
		}
	}
	return views, nil
}

// runWindows are the ranges of times that a request's filters allow for runs.
type runWindows struct{ execution, logical, start, end timeWindow }

// runWindows reads the time filters of a list of runs.
func (r *request) runWindows() (runWindows, error) {
	var windows runWindows
	for _, param := range []struct {
		name   string
		window *timeWindow
	}{
		{"execution_date", &windows.execution},
		{"logical_date", &windows.logical},
		{"start_date", &windows.start},
		{"end_date", &windows.end},
	} {
		window, err := r.timeWindow(param.name)
		if err != nil {
			return runWindows{}, err
		}
		*param.window = window
	}
	return windows, nil
}

// contain reports whether all times of a run are in their windows. execution_date is the older name of logical_date.
func (w *runWindows) contain(run *runner.RunInfo) bool {
	return w.execution.contains(run.Logical) && w.logical.contains(run.Logical) && w.start.contains(run.Start) && w.end.contains(run.End)
}
