package airflow

import (
	"time"

	"poppypass/internal/graphs/dag"
	"poppypass/internal/graphs/runner"
)

// TryView is one try of an instance, as a run's list of tries has it (beside the API).
type TryView struct {
	Task       string  `json:"task_id"`
	Index      int     `json:"map_index"`
	Generation int     `json:"generation"` // how often the step was cleared before
	Start      *string `json:"start_date"`
	End        *string `json:"end_date"`
	State      string  `json:"state"`
}

// newestTries returns the newest try of each instance of a run, of those that are kept.
func newestTries(run *runner.RunView) map[dag.InstanceRef]*runner.Try {
	newest := map[dag.InstanceRef]*runner.Try{}
	for i := range run.Tries {
		t := &run.Tries[i]
		newest[dag.InstanceRef{Step: t.Step, Index: t.Index}] = t
	}
	return newest
}

// tryTimes returns when a try began and ended; the zero end: it runs.
func tryTimes(run *runner.RunView, try *runner.Try) (begin, end time.Time) {
	begin = run.Queued.Add(time.Duration(try.BeginMS) * time.Millisecond)
	if try.EndMS > 0 {
		end = run.Queued.Add(time.Duration(try.EndMS) * time.Millisecond)
	}
	return begin, end
}

// listTries returns the tries of a step that are kept, oldest first. Each instance's are numbered from 1.
func (h *Handler) listTries(r *request) (any, error) {
	run, step, err := h.step(r)
	if err != nil {
		return nil, err
	}
	views := []instanceView{}
	numbers := map[int]int{} // by index of the instance
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

// listRunTries returns the tries of all steps of a run that are kept, in the order in which they began.
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
