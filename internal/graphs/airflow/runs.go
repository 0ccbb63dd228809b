package airflow

import (
	"cmp"
	"encoding/json"
	"strings"
	"time"

	"poppypass/internal/graphs/runner"
)

// runView is a run as the API has it.
type runView struct {
	ID        string          `json:"dag_run_id"`
	DAG       string          `json:"dag_id"`
	Logical   *string         `json:"logical_date"`
	Execution *string         `json:"execution_date"`
	Start     *string         `json:"start_date"`
	End       *string         `json:"end_date"`
	From      *string         `json:"data_interval_start"`
	To        *string         `json:"data_interval_end"`
	State     string          `json:"state"`
	Type      string          `json:"run_type"`
	External  bool            `json:"external_trigger"`
	Conf      json.RawMessage `json:"conf"`
	Note      *string         `json:"note"`
}

func viewRun(i *runner.RunInfo) runView {
	v := runView{
		ID: i.ID, DAG: i.Graph, Logical: stamp(i.Logical), Execution: stamp(i.Logical), Start: stamp(i.Start), End: stamp(i.End),
		From: stamp(i.From), To: stamp(i.To), State: i.State, Type: i.Type, External: i.Type == runner.Manual, Conf: i.Conf,
	}
	if len(v.Conf) == 0 {
		v.Conf = json.RawMessage("{}")
	}
	if i.Note != "" {
		v.Note = &i.Note
	}
	return v
}

// within reports whether a time is within what the parameters NAME_gte and NAME_lte allow.
func (r *request) within(name string, t time.Time) (bool, error) {
	for suffix, wrong := range map[string]func(bound time.Time) bool{
		"_gte": func(b time.Time) bool { return t.IsZero() || t.Before(b) },
		"_lte": func(b time.Time) bool { return t.IsZero() || t.After(b) },
	} {
		text := r.query.Get(name + suffix)
		if text == "" {
			continue
		}
		bound, err := parseTime(text)
		if err != nil {
			return false, badRequest("%s is %q, which is no time such as 2026-12-01T00:00:00Z", name+suffix, text)
		}
		if wrong(bound) {
			return false, nil
		}
	}
	return true, nil
}

// parseTime reads a time. In a query a plus that was not escaped has come as a space.
func parseTime(text string) (time.Time, error) {
	return time.Parse(time.RFC3339, strings.Replace(text, " ", "+", 1))
}

func (d *Handler) listRuns(r *request) (any, error) {
	p, err := r.page()
	if err != nil {
		return nil, err
	}
	id := r.PathValue("dag")
	if id == "~" { // all graphs
		id = ""
	} else if _, err := d.graph(r); err != nil {
		return nil, err
	}
	all, err := d.Reader.Runs(r.Context(), r.team, id)
	if err != nil {
		return nil, err
	}
	views := []runView{}
	for i := range all {
		in := r.among("state", all[i].State) && r.among("run_type", all[i].Type)
		for name, t := range map[string]time.Time{"execution_date": all[i].Logical, "logical_date": all[i].Logical, "start_date": all[i].Start, "end_date": all[i].End} {
			ok, err := r.within(name, t)
			if err != nil {
				return nil, err
			}
			in = in && ok
		}
		if in {
			views = append(views, viewRun(&all[i]))
		}
	}
	times := func(of func(*runView) *string) func(a, b runView) int {
		return func(a, b runView) int { return compareStamps(of(&a), of(&b)) }
	}
	if err := sorted(r, views, map[string]func(a, b runView) int{
		"id":             func(a, b runView) int { return cmp.Compare(a.ID, b.ID) },
		"dag_run_id":     func(a, b runView) int { return cmp.Compare(a.ID, b.ID) },
		"run_id":         func(a, b runView) int { return cmp.Compare(a.ID, b.ID) },
		"dag_id":         func(a, b runView) int { return cmp.Compare(a.DAG, b.DAG) },
		"state":          func(a, b runView) int { return cmp.Compare(a.State, b.State) },
		"run_type":       func(a, b runView) int { return cmp.Compare(a.Type, b.Type) },
		"execution_date": times(func(v *runView) *string { return v.Execution }),
		"logical_date":   times(func(v *runView) *string { return v.Logical }),
		"start_date":     times(func(v *runView) *string { return v.Start }),
		"end_date":       times(func(v *runView) *string { return v.End }),
	}, "logical_date"); err != nil {
		return nil, err
	}
	return map[string]any{"dag_runs": cut(views, p), "total_entries": len(views)}, nil
}

// compareStamps orders times; what has none comes first. All of them are in UTC.
func compareStamps(a, b *string) int {
	switch {
	case a == nil && b == nil:
		return 0
	case a == nil:
		return -1
	case b == nil:
		return 1
	}
	x, errX := time.Parse(time.RFC3339, *a)
	y, errY := time.Parse(time.RFC3339, *b)
	if errX != nil || errY != nil {
		return cmp.Compare(*a, *b)
	}
	return x.Compare(y)
}

func (d *Handler) postRun(r *request) (any, error) {
	var body struct {
		ID        string          `json:"dag_run_id"`
		Logical   *time.Time      `json:"logical_date"`
		Execution *time.Time      `json:"execution_date"` // its older name
		Conf      json.RawMessage `json:"conf"`
		Note      string          `json:"note"`
		Described bool            `json:"described"` // beside the API: whoever triggers it uploaded the steps' descriptions
	}
	if err := r.read(&body); err != nil {
		return nil, err
	}
	logical := d.Clock.Now()
	for _, t := range []*time.Time{body.Logical, body.Execution} {
		if t != nil {
			logical = *t
		}
	}
	o := runner.Order{
		Graph: r.PathValue("dag"), Run: cmp.Or(body.ID, runner.RunName(runner.Manual, logical)), LogicalMS: logical.UnixMilli(), Note: body.Note, Described: body.Described,
	}
	if string(body.Conf) != "null" {
		o.Conf = body.Conf
	}
	if _, err := d.order(r, runner.DoTrigger, o, nil); err != nil {
		return nil, err
	}
	return d.viewOf(r, o.Run)
}

func (d *Handler) viewOf(r *request, run string) (any, error) {
	v, err := d.Reader.Run(r.Context(), r.team, r.PathValue("dag"), run)
	if err != nil {
		return nil, err
	}
	return viewRun(&v.RunInfo), nil
}

func (d *Handler) getRun(r *request) (any, error) { return d.viewOf(r, r.PathValue("run")) }

// patchRun ends a run, or has all of it go again.
func (d *Handler) patchRun(r *request) (any, error) {
	var body struct {
		State string `json:"state"`
	}
	if err := r.read(&body); err != nil {
		return nil, err
	}
	o := runner.Order{Graph: r.PathValue("dag"), Run: r.PathValue("run"), Below: true}
	verb := ""
	switch body.State {
	case "failed":
		verb = runner.DoCancel
	case "queued":
		verb = runner.DoClear
	default:
		return nil, badRequest("state is %q; it can be failed, which ends the run, or queued, which has it go again: what jobs did is not rewritten", body.State)
	}
	if _, err := d.order(r, verb, o, nil); err != nil {
		return nil, err
	}
	return d.getRun(r)
}

func (d *Handler) deleteRun(r *request) (any, error) {
	_, err := d.order(r, runner.DoForget, runner.Order{Graph: r.PathValue("dag"), Run: r.PathValue("run")}, nil)
	return nil, err
}

// clearing is what a clear names.
type clearing struct {
	DryRun     *bool    `json:"dry_run"`
	Run        string   `json:"dag_run_id"`
	Steps      []string `json:"task_ids"`
	OnlyFailed *bool    `json:"only_failed"`
	Running    *bool    `json:"only_running"`
	Down       bool     `json:"include_downstream"`
	Up         bool     `json:"include_upstream"`
	Future     bool     `json:"include_future"`
	Past       bool     `json:"include_past"`
}

func (d *Handler) clearRun(r *request) (any, error) {
	c := clearing{}
	if err := r.read(&c); err != nil {
		return nil, err
	}
	no := false
	c.Run, c.OnlyFailed, c.Down, c.Steps = r.PathValue("run"), &no, true, nil
	if c.DryRun == nil || *c.DryRun {
		return d.clear(r, &c)
	}
	if _, err := d.clear(r, &c); err != nil {
		return nil, err
	}
	return d.getRun(r)
}

func (d *Handler) clearInstances(r *request) (any, error) {
	var c clearing
	if err := r.read(&c); err != nil {
		return nil, err
	}
	switch {
	case c.Run == "":
		return nil, badRequest("dag_run_id is missing: steps are cleared in one run at a time")
	case c.Up || c.Future || c.Past:
		return nil, badRequest("include_upstream, include_future and include_past are not offered: name the steps, in one run")
	case c.Running != nil && *c.Running:
		return nil, badRequest("only_running is not offered: name the steps")
	}
	return d.clear(r, &c)
}

// clear has steps go again, or tells which would.
func (d *Handler) clear(r *request, c *clearing) (any, error) {
	v, err := d.Reader.Run(r.Context(), r.team, r.PathValue("dag"), c.Run)
	if err != nil {
		return nil, err
	}
	onlyFailed := c.OnlyFailed == nil || *c.OnlyFailed
	chosen, err := v.Run.StepsToClear(c.Steps, c.Down, onlyFailed)
	if err != nil {
		return nil, badRequest("%s", err)
	}
	if c.DryRun != nil && !*c.DryRun {
		o := runner.Order{Graph: r.PathValue("dag"), Run: c.Run, Steps: c.Steps, Below: c.Down, OnlyFailed: onlyFailed}
		if _, err := d.order(r, runner.DoClear, o, nil); err != nil {
			return nil, err
		}
	}
	type reference struct {
		DAG       string  `json:"dag_id"`
		Run       string  `json:"dag_run_id"`
		Execution *string `json:"execution_date"`
		Task      string  `json:"task_id"`
	}
	out := []reference{}
	for _, i := range chosen {
		out = append(out, reference{v.Graph, v.ID, stamp(v.Logical), v.Run.Plan.Steps[i].ID})
	}
	return map[string]any{"task_instances": out}, nil
}

// postBackfill begins the runs of past intervals, in the form of Airflow 3.
func (d *Handler) postBackfill(r *request) (any, error) {
	var body struct {
		DAG  string    `json:"dag_id"`
		From time.Time `json:"from_date"`
		To   time.Time `json:"to_date"`
	}
	if err := r.read(&body); err != nil {
		return nil, err
	}
	if body.From.IsZero() || body.To.Before(body.From) {
		return nil, badRequest("from_date is missing, or behind to_date")
	}
	var out runner.Backfilled
	if _, err := d.order(r, runner.DoBackfill, runner.Order{Graph: body.DAG, From: body.From, To: body.To}, &out); err != nil {
		return nil, err
	}
	return out, nil
}
