package airflow

import (
	"cmp"
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"poppypass/internal/graphs/dag"
	"poppypass/internal/graphs/runner"
)

// instanceView is an instance of a step as the API has it.
type instanceView struct {
	Task      string         `json:"task_id"`
	Display   string         `json:"task_display_name"`
	DAG       string         `json:"dag_id"`
	Run       string         `json:"dag_run_id"`
	Execution *string        `json:"execution_date"`
	Start     *string        `json:"start_date"`
	End       *string        `json:"end_date"`
	Duration  *float64       `json:"duration"`
	State     *string        `json:"state"`
	Try       int            `json:"try_number"`
	Index     int            `json:"map_index"`
	MaxTries  int            `json:"max_tries"`
	Host      string         `json:"hostname"`
	Unix      string         `json:"unixname"`
	Pool      string         `json:"pool"`
	Slots     int            `json:"pool_slots"`
	Queue     string         `json:"queue"`
	Weight    int            `json:"priority_weight"`
	Operator  string         `json:"operator"`
	Queued    *string        `json:"queued_when"`
	PID       *int           `json:"pid"`
	Config    string         `json:"executor_config"`
	Note      *string        `json:"note"`
	Rendered  map[string]any `json:"rendered_fields"`
	Job       *string        `json:"job"` // beside the API: the job that the step is
}

// instances returns those of a run's steps, in the plan's order. A step whose instances are not
// known yet, or that never had any, has one.
func instances(v *runner.RunView) []instanceView {
	out := []instanceView{}
	newest := map[dag.Ref]*runner.Try{}
	for i := range v.Tries {
		t := &v.Tries[i]
		newest[dag.Ref{Step: t.Step, Index: t.Index}] = t
	}
	for _, i := range v.Run.Plan.Order {
		s := &v.Run.Plan.Steps[i]
		state, all := v.Run.StepState(i)
		if len(all) == 0 {
			x := viewInstance(v, i, -1, state, 0, nil)
			out = append(out, x)
			continue
		}
		for k := range all {
			at := dag.Ref{Step: i, Index: k}
			x := viewInstance(v, i, k, all[k].State, all[k].Failures, newest[at])
			if s.Map == nil {
				x.Index = -1
			}
			id := v.Run.JobID(at)
			x.Job = &id
			out = append(out, x)
		}
	}
	return out
}

func viewInstance(v *runner.RunView, step, index int, state dag.State, failures int, t *runner.Try) instanceView {
	s := &v.Run.Plan.Steps[step]
	x := instanceView{
		Task: s.ID, Display: s.ID, DAG: v.Graph, Run: v.ID, Execution: stamp(v.Logical), Index: index, MaxTries: s.Retries, Pool: cmp.Or(s.Pool, runner.DefaultPool),
		Slots: max(1, s.PoolSlots), Queue: "default", Weight: max(1, s.Weight), Operator: operators[s.Kind], Config: "{}", Rendered: map[string]any{},
	}
	if state != dag.None {
		name := state.String()
		x.State = &name
	}
	if state > dag.Scheduled && s.Kind != dag.KindEmpty && state != dag.Skipped && state != dag.UpstreamFailed {
		x.Try = failures + 1
		if state == dag.Failed && failures > 0 {
			x.Try = failures
		}
	}
	if t != nil {
		begin, end := tryTimes(v, t)
		x.Start, x.End, x.Duration = stamp(begin), stamp(end), length(begin, end)
	}
	return x
}

// tryTimes returns when a try began and ended; zero: it runs.
func tryTimes(v *runner.RunView, t *runner.Try) (begin, end time.Time) {
	begin = v.Queued.Add(time.Duration(t.BeginMS) * time.Millisecond)
	if t.EndMS > 0 {
		end = v.Queued.Add(time.Duration(t.EndMS) * time.Millisecond)
	}
	return begin, end
}

func length(begin, end time.Time) *float64 {
	if end.IsZero() {
		return nil
	}
	s := end.Sub(begin).Seconds()
	return &s
}

func (d *Handler) run(r *request) (*runner.RunView, error) {
	return d.Reader.Run(r.Context(), r.team, r.PathValue("dag"), r.PathValue("run"))
}

func (d *Handler) listInstances(r *request) (any, error) {
	v, err := d.run(r)
	if err != nil {
		return nil, err
	}
	return r.instances(instances(v))
}

// instances returns the page of instances that a request asks for.
func (r *request) instances(all []instanceView) (any, error) {
	p, err := r.page()
	if err != nil {
		return nil, err
	}
	all = slices.DeleteFunc(all, func(x instanceView) bool {
		state := "none"
		if x.State != nil {
			state = *x.State
		}
		return !r.among("state", state) || !r.among("pool", x.Pool)
	})
	if r.query.Get("order_by") != "" { // otherwise the plan's order
		if err := sorted(r, all, map[string]func(a, b instanceView) int{
			"task_id":    func(a, b instanceView) int { return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Index, b.Index)) },
			"map_index":  func(a, b instanceView) int { return cmp.Compare(a.Index, b.Index) },
			"start_date": func(a, b instanceView) int { return compareStamps(a.Start, b.Start) },
			"end_date":   func(a, b instanceView) int { return compareStamps(a.End, b.End) },
			"state": func(a, b instanceView) int {
				return cmp.Compare(deref(a.State), deref(b.State))
			},
		}, ""); err != nil {
			return nil, err
		}
	}
	return map[string]any{"task_instances": cut(all, p), "total_entries": len(all)}, nil
}

func deref(s *string) string {
	if s == nil {
		return ""
	}
	return *s
}

// step returns the step that a request names.
func (d *Handler) step(r *request) (v *runner.RunView, step int, err error) {
	if v, err = d.run(r); err != nil {
		return nil, 0, err
	}
	step, ok := v.Run.Plan.Index[r.PathValue("task")]
	if !ok {
		return nil, 0, runner.ErrNone
	}
	return v, step, nil
}

func (d *Handler) getInstance(r *request) (any, error) {
	v, step, err := d.step(r)
	if err != nil {
		return nil, err
	}
	index := -1
	if text := r.PathValue("index"); text != "" {
		if index, err = strconv.Atoi(text); err != nil {
			return nil, runner.ErrNone
		}
	}
	for _, x := range instances(v) {
		if x.Task == v.Run.Plan.Steps[step].ID && x.Index == index {
			return x, nil
		}
	}
	if index < 0 {
		return nil, fault(http.StatusNotFound, "Task instance is mapped", "the step is mapped; name a map_index")
	}
	return nil, runner.ErrNone
}

func (d *Handler) listMapped(r *request) (any, error) {
	v, step, err := d.step(r)
	if err != nil {
		return nil, err
	}
	name := v.Run.Plan.Steps[step].ID
	return r.instances(slices.DeleteFunc(instances(v), func(x instanceView) bool { return x.Task != name || x.Index < 0 }))
}

// listTries returns the tries of a step that are kept, oldest first.
func (d *Handler) listTries(r *request) (any, error) {
	v, step, err := d.step(r)
	if err != nil {
		return nil, err
	}
	out := []instanceView{}
	tries := map[int]int{}
	for i := range v.Tries {
		t := &v.Tries[i]
		if t.Step != step {
			continue
		}
		tries[t.Index]++
		x := viewInstance(v, step, t.Index, t.State, tries[t.Index]-1, t)
		x.Try = tries[t.Index]
		if v.Run.Plan.Steps[step].Map == nil {
			x.Index = -1
		}
		out = append(out, x)
	}
	return map[string]any{"task_instances": out, "total_entries": len(out)}, nil
}

// TryView is one try of an instance, as a run's list of tries has it (beside the API).
type TryView struct {
	Task       string  `json:"task_id"`
	Index      int     `json:"map_index"`
	Generation int     `json:"generation"` // how often the step was cleared before
	Start      *string `json:"start_date"`
	End        *string `json:"end_date"`
	State      string  `json:"state"`
}

// listRunTries returns the tries of all steps of a run that are kept, in the order in which
// they began.
func (d *Handler) listRunTries(r *request) (any, error) {
	p, err := r.page()
	if err != nil {
		return nil, err
	}
	v, err := d.run(r)
	if err != nil {
		return nil, err
	}
	out := []TryView{}
	for _, t := range cut(v.Tries, p) {
		begin, end := tryTimes(v, &t)
		x := TryView{Task: v.Run.Plan.Steps[t.Step].ID, Index: t.Index, Generation: t.Generation, Start: stamp(begin), End: stamp(end), State: t.State.String()}
		if v.Run.Plan.Steps[t.Step].Map == nil {
			x.Index = -1
		}
		out = append(out, x)
	}
	return map[string]any{"tries": out, "total_entries": len(v.Tries)}, nil
}

// resultKey is the only key of a result, as Airflow names what a task returns.
const resultKey = "return_value"

func (d *Handler) listResults(r *request) (any, error) {
	v, step, err := d.step(r)
	if err != nil {
		return nil, err
	}
	entries := []map[string]any{}
	if v.Run.Result(step) != nil {
		entries = append(entries, resultOf(v, step))
	}
	return map[string]any{"xcom_entries": entries, "total_entries": len(entries)}, nil
}

func resultOf(v *runner.RunView, step int) map[string]any {
	return map[string]any{
		"key": resultKey, "timestamp": stamp(v.Queued), "execution_date": stamp(v.Logical), "task_id": v.Run.Plan.Steps[step].ID, "dag_id": v.Graph,
		"map_index": -1, "value": string(v.Run.Result(step)),
	}
}

func (d *Handler) getResult(r *request) (any, error) {
	v, step, err := d.step(r)
	if err != nil {
		return nil, err
	}
	if r.PathValue("key") != resultKey || v.Run.Result(step) == nil {
		return nil, runner.ErrNone
	}
	return resultOf(v, step), nil
}

// postResult records what a step leaves for those that follow, from its job, in the form
// of Airflow 3.
func (d *Handler) postResult(r *request) (any, error) {
	var body struct {
		Key   string          `json:"key"`
		Value json.RawMessage `json:"value"`
	}
	if err := r.read(&body); err != nil {
		return nil, err
	}
	if body.Key != resultKey || len(body.Value) == 0 {
		return nil, badRequest("key is %q and has to be %s, and value is what the step leaves", body.Key, resultKey)
	}
	o := runner.Order{Graph: r.PathValue("dag"), Run: r.PathValue("run"), Step: r.PathValue("task"), Result: body.Value}
	if _, err := d.order(r, runner.DoPush, o, nil); err != nil {
		return nil, err
	}
	return done{http.StatusCreated, map[string]any{"key": resultKey, "value": body.Value}}, nil
}

// poolView is a pool as the API has it.
type poolView struct {
	Name        string  `json:"name"`
	Slots       int     `json:"slots"`
	Occupied    int     `json:"occupied_slots"`
	Used        int     `json:"used_slots"`
	Queued      int     `json:"queued_slots"`
	Running     int     `json:"running_slots"`
	Open        int     `json:"open_slots"`
	Scheduled   int     `json:"scheduled_slots"`
	Deferred    int     `json:"deferred_slots"`
	Description *string `json:"description"`
}

func (d *Handler) pools(r *request) ([]poolView, error) {
	status, body := d.Ask(r.Context(), runner.PathPools+"?team="+url.QueryEscape(r.team))
	var got []runner.PoolView
	if status != http.StatusOK || json.Unmarshal(body, &got) != nil {
		return nil, fault(http.StatusServiceUnavailable, "Service Unavailable", "the leader cannot be asked now; ask again")
	}
	views := []poolView{}
	for _, p := range got {
		views = append(views, poolView{Name: p.Name, Slots: p.Slots, Occupied: p.Used, Used: p.Used, Queued: p.Used, Open: max(0, p.Slots-p.Used), Scheduled: p.Waits})
	}
	return views, nil
}

func (d *Handler) listPools(r *request) (any, error) {
	p, err := r.page()
	if err != nil {
		return nil, err
	}
	views, err := d.pools(r)
	if err != nil {
		return nil, err
	}
	if err := sorted(r, views, map[string]func(a, b poolView) int{
		"name": func(a, b poolView) int { return cmp.Compare(a.Name, b.Name) },
	}, "name"); err != nil {
		return nil, err
	}
	return map[string]any{"pools": cut(views, p), "total_entries": len(views)}, nil
}

func (d *Handler) getPool(r *request) (any, error) {
	views, err := d.pools(r)
	if err != nil {
		return nil, err
	}
	for _, v := range views {
		if v.Name == r.PathValue("pool") {
			return v, nil
		}
	}
	return nil, runner.ErrNone
}
