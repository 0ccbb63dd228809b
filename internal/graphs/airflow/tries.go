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
func newestTries(v *runner.RunView) map[dag.InstanceRef]*runner.Try {
	newest := map[dag.InstanceRef]*runner.Try{}
	for i := range v.Tries {
		t := &v.Tries[i]
		newest[dag.InstanceRef{Step: t.Step, Index: t.Index}] = t
	}
	return newest
}

// tryTimes returns when a try began and ended; the zero end: it runs.
func tryTimes(v *runner.RunView, t *runner.Try) (begin, end time.Time) {
	begin = v.Queued.Add(time.Duration(t.BeginMS) * time.Millisecond)
	if t.EndMS > 0 {
		end = v.Queued.Add(time.Duration(t.EndMS) * time.Millisecond)
	}
	return begin, end
}

// listTries returns the tries of a step that are kept, oldest first. Each instance's are numbered from 1.
func (h *Handler) listTries(r *request) (any, error) {
	v, step, err := h.step(r)
	if err != nil {
		return nil, err
	}
	views := []instanceView{}
	tries := map[int]int{} // by index of the instance
	for i := range v.Tries {
		t := &v.Tries[i]
		if t.Step != step {
			continue
		}
		tries[t.Index]++
		x := viewInstance(v, dag.InstanceRef{Step: step, Index: t.Index}, t.State)
		x.Try = tries[t.Index]
		x.setTimes(tryTimes(v, t))
		views = append(views, x)
	}
	return listBody("task_instances", views, len(views)), nil
}

// listRunTries returns the tries of all steps of a run that are kept, in the order in which they began.
func (h *Handler) listRunTries(r *request) (any, error) {
	p, err := r.page()
	if err != nil {
		return nil, err
	}
	v, err := h.run(r)
	if err != nil {
		return nil, err
	}
	views := []TryView{}
	for _, t := range itemsOf(p, v.Tries) {
		views = append(views, viewTry(v, &t))
	}
	return listBody("tries", views, len(v.Tries)), nil
}

func viewTry(v *runner.RunView, t *runner.Try) TryView {
	s := &v.Run.Plan.Steps[t.Step]
	begin, end := tryTimes(v, t)
	return TryView{
		Task:       s.ID,
		Index:      mapIndex(s, t.Index),
		Generation: t.Generation,
		Start:      timestamp(begin),
		End:        timestamp(end),
		State:      t.State.String(),
	}
}
