package airflow

import (
	"time"

	"poppypass/internal/graphs/dag"
	"poppypass/internal/graphs/runner"
)

// TryView is one try of an instance in a run's list of tries. Airflow's API has no such list.
type TryView struct {
	Task       string  `json:"task_id"`
	Index      int     `json:"map_index"`
	Generation int     `json:"generation"` // how often the step was cleared before this try
	Start      *string `json:"start_date"`
	End        *string `json:"end_date"`
	State      string  `json:"state"`
}

// newestTries returns the newest try of each instance of a run, among the tries that are still stored.
func newestTries(run *runner.RunView) map[dag.InstanceRef]*runner.Try {
	newest := map[dag.InstanceRef]*runner.Try{}
	for i := range run.Tries {
		t := &run.Tries[i]
		newest[dag.InstanceRef{Step: t.Step, Index: t.Index}] = t
	}
	return newest
}

// tryTimes returns the start and end of a try; the end is zero while the try is running.
func tryTimes(run *runner.RunView, try *runner.Try) (begin, end time.Time) {
	begin = run.Queued.Add(time.Duration(try.BeginMS) * time.Millisecond)
	if try.EndMS > 0 {
		end = run.Queued.Add(time.Duration(try.EndMS) * time.Millisecond)
	}
	return begin, end
}

// listTries returns the tries of a step that are still stored, oldest first. The tries of each instance are numbered
// from 1.
func (h *Handler) listTries(r *request) (any, error) {
	run, step, err := h.step(r)
	if err != nil {
		return nil, err
	}
	views := []instanceView{}
	numbers := map[int]int{} // the number of the latest try listed, by the instance's index
	for i := range run.Tries {
		try := &run.Tries[i]
		if try.Step != step {
			continue
		}
		numbers[try.Index]++
		view := viewInstance(run, dag.InstanceRef{Step: step, Index: try.Index}, try.State)
		view.Try = numbers[try.Index]
		view.setTimes(tryTimes(run, try))
		views = append(views, view)
	}
	return listBody("task_instances", views, len(views)), nil
}

// listRunTries returns the tries of all steps of a run that are still stored, in the order in which they started.
func (h *Handler) listRunTries(r *request) (any, error) {
	page, err := r.page()
	if err != nil {
		return nil, err
	}
	run, err := h.run(r)
	if err != nil {
		return nil, err
	}
	views := []TryView{}
	for _, try := range itemsOf(page, run.Tries) {
		views = append(views, viewTry(run, &try))
	}
	return listBody("tries", views, len(run.Tries)), nil
}

func viewTry(run *runner.RunView, try *runner.Try) TryView {
	step := &run.Run.Plan.Steps[try.Step]
	begin, end := tryTimes(run, try)
	return TryView{
		Task:       step.ID,
		Index:      mapIndex(step, try.Index),
		Generation: try.Generation,
		Start:      timestamp(begin),
		End:        timestamp(end),
		State:      try.State.String(),
	}
}
