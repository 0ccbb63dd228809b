package airflow

import (
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"poppypass/internal/graphs/dag"
	"poppypass/internal/graphs/runner"
	"poppypass/internal/platform/httpjson"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// stamp is a time as the API has it; nil: none.
func stamp(t time.Time) *string {
	if t.IsZero() {
		return nil
	}
	s := t.UTC().Format("2006-01-02T15:04:05.999999-07:00")
	return &s
}

func stampOf(t *time.Time) *string {
	if t == nil {
		return nil
	}
	return stamp(*t)
}

// typed is a value with its type's name, as the API has schedules and durations.
type typed map[string]any

// delta is a duration as the API has it.
func delta(d time.Duration) typed {
	if d <= 0 {
		return nil
	}
	day := 24 * time.Hour
	return typed{"__type": "TimeDelta", "days": int(d / day), "seconds": int(d % day / time.Second), "microseconds": int(d % time.Second / time.Microsecond)}
}

type tag struct {
	Name string `json:"name"`
}

// dagView is a graph as the API has it.
type dagView struct {
	ID          string   `json:"dag_id"`
	Display     string   `json:"dag_display_name"`
	Paused      bool     `json:"is_paused"`
	Active      bool     `json:"is_active"`
	SubDAG      bool     `json:"is_subdag"`
	Owners      []string `json:"owners"`
	Description *string  `json:"description"`
	Schedule    typed    `json:"schedule_interval"`
	Timetable   *string  `json:"timetable_description"`
	Tags        []tag    `json:"tags"`
	MaxTasks    int      `json:"max_active_tasks"`
	MaxRuns     int      `json:"max_active_runs"`
	Broken      bool     `json:"has_import_errors"`
	Limits      bool     `json:"has_task_concurrency_limits"`
	NextFrom    *string  `json:"next_dagrun_data_interval_start"`
	NextTo      *string  `json:"next_dagrun_data_interval_end"`
	Next        *string  `json:"next_dagrun"`
	NextAt      *string  `json:"next_dagrun_create_after"`
}

func (d *Handler) viewDAG(g *runner.GraphRecord) dagView {
	v := dagView{
		ID: g.ID, Display: g.ID, Paused: g.Paused, Active: true, Owners: []string{g.Team}, MaxTasks: g.MaxTasks, MaxRuns: g.MaxRuns, Tags: []tag{},
	}
	if g.Description != "" {
		v.Description = &g.Description
	}
	for _, name := range g.Tags {
		v.Tags = append(v.Tags, tag{name})
	}
	s, err := dag.ParseSchedule(g.Schedule, g.Zone)
	if err != nil || s == nil {
		return v
	}
	v.Schedule = typed{"__type": "CronExpression", "value": g.Schedule}
	p := dag.Plan{Graph: dag.Graph{Start: g.Start, End: g.End, Catchup: g.Catchup}}
	var last time.Time
	if g.LastMS != 0 {
		last = time.UnixMilli(g.LastMS)
	}
	if next, ok := p.NextDue(s, last, d.Clock.Now()); ok && !g.Paused {
		v.NextFrom, v.NextTo, v.Next, v.NextAt = stamp(next.Begin), stamp(next.End), stamp(next.Begin), stamp(next.End)
	}
	return v
}

func (d *Handler) listDAGs(r *request) (any, error) {
	p, err := r.page()
	if err != nil {
		return nil, err
	}
	all, err := d.Reader.Graphs(r.Context(), r.team)
	if err != nil {
		return nil, err
	}
	views := []dagView{}
	for i := range all {
		if d.wanted(r, &all[i]) {
			views = append(views, d.viewDAG(&all[i]))
		}
	}
	if err := sorted(r, views, map[string]func(a, b dagView) int{
		"dag_id": func(a, b dagView) int { return cmp.Compare(a.ID, b.ID) },
	}, "dag_id"); err != nil {
		return nil, err
	}
	return map[string]any{"dags": cut(views, p), "total_entries": len(views)}, nil
}

// wanted reports whether a graph is among those that a list asks for.
func (d *Handler) wanted(r *request, g *runner.GraphRecord) bool {
	if text := r.query.Get("paused"); text != "" && strconv.FormatBool(g.Paused) != strings.ToLower(text) {
		return false
	}
	if pattern := r.query.Get("dag_id_pattern"); !strings.Contains(g.ID, strings.Trim(pattern, "%")) {
		return false
	}
	if len(r.query["tags"]) == 0 {
		return true
	}
	for _, name := range g.Tags {
		if r.among("tags", name) {
			return true
		}
	}
	return false
}

func (d *Handler) graph(r *request) (runner.GraphRecord, error) {
	return d.Reader.Graph(r.Context(), r.team, r.PathValue("dag"))
}

func (d *Handler) getDAG(r *request) (any, error) {
	g, err := d.graph(r)
	if err != nil {
		return nil, err
	}
	return d.viewDAG(&g), nil
}

func (d *Handler) plan(r *request) (runner.GraphRecord, *dag.Plan, error) {
	g, err := d.graph(r)
	if err != nil {
		return g, nil, err
	}
	p, err := d.Reader.Plan(r.Context(), g.Def)
	return g, p, err
}

func (d *Handler) getDetails(r *request) (any, error) {
	g, p, err := d.plan(r)
	if err != nil {
		return nil, err
	}
	return struct {
		dagView
		Catchup bool                       `json:"catchup"`
		Start   *string                    `json:"start_date"`
		End     *string                    `json:"end_date"`
		Zone    string                     `json:"timezone"`
		Params  map[string]json.RawMessage `json:"params"`
	}{d.viewDAG(&g), g.Catchup, stampOf(g.Start), stampOf(g.End), cmp.Or(g.Zone, "UTC"), p.Params}, nil
}

func (d *Handler) getDefinition(r *request) (any, error) {
	_, p, err := d.plan(r)
	if err != nil {
		return nil, err
	}
	return &p.Graph, nil
}

// getRunDefinition returns the graph as the run has it: it may be registered anew since.
func (d *Handler) getRunDefinition(r *request) (any, error) {
	v, err := d.run(r)
	if err != nil {
		return nil, err
	}
	return &v.Run.Plan.Graph, nil
}

// register is the body of a PUT: a graph, or the definition that was uploaded in parts.
type register struct {
	Definition string `json:"definition"`
	Parts      int    `json:"parts"`
	Paused     *bool  `json:"is_paused"`
}

// putDAG registers a graph. It is registered as it was before, paused or not, unless it says.
func (d *Handler) putDAG(r *request) (any, error) {
	raw, err := httpjson.ReadBody(r.Request, wire.MaxBody)
	if err != nil {
		return nil, fault(http.StatusRequestEntityTooLarge, "Payload Too Large", "%s; upload the graph in parts", httpjson.OneLine(err))
	}
	var body register
	if err := json.Unmarshal(raw, &body); err != nil {
		return nil, badRequest("%s", httpjson.OneLine(err))
	}
	if body.Definition == "" {
		g, err := dag.ParseJSON("graph", raw)
		if err == nil {
			if g.Team == "" {
				g.Team = r.team
			}
			_, err = dag.NewPlan(g)
		}
		if err != nil {
			return nil, badRequest("%s", httpjson.OneLine(err))
		}
		if body.Definition, body.Parts, err = d.Reader.Store(r.Context(), g); err != nil {
			return nil, err
		}
	}
	status, err := d.order(r, runner.DoPut, runner.Order{Graph: r.PathValue("dag"), Def: body.Definition, Parts: body.Parts, Paused: body.Paused}, nil)
	if err != nil {
		return nil, err
	}
	view, err := d.getDAG(r)
	if err != nil {
		return nil, err
	}
	return done{status, view}, nil
}

// putPart stores a part of a definition.
func (d *Handler) putPart(r *request) (any, error) {
	n, err := strconv.Atoi(r.PathValue("part"))
	of, err2 := strconv.Atoi(r.query.Get("of"))
	raw, err3 := io.ReadAll(io.LimitReader(r.Body, tuning.GraphPart+1))
	if err != nil || err2 != nil || err3 != nil {
		return nil, badRequest("that is no part of a graph")
	}
	switch err := d.Reader.StorePart(r.Context(), r.PathValue("hash"), n, of, raw); {
	case err == nil:
		return nil, nil
	case err == runner.ErrPart:
		return nil, badRequest("%s", err)
	default:
		return nil, err
	}
}

func (d *Handler) patchDAG(r *request) (any, error) {
	var body struct {
		Paused *bool `json:"is_paused"`
	}
	if err := r.read(&body); err != nil {
		return nil, err
	}
	if body.Paused == nil {
		return nil, badRequest("is_paused is missing: nothing else of a DAG can be changed by this")
	}
	if _, err := d.order(r, runner.DoPause, runner.Order{Graph: r.PathValue("dag"), Paused: body.Paused}, nil); err != nil {
		return nil, err
	}
	return d.getDAG(r)
}

func (d *Handler) deleteDAG(r *request) (any, error) {
	_, err := d.order(r, runner.DoRemove, runner.Order{Graph: r.PathValue("dag")}, nil)
	return nil, err
}

// taskView is a step as the API has it.
type taskView struct {
	ID         string         `json:"task_id"`
	Display    string         `json:"task_display_name"`
	Owner      string         `json:"owner"`
	Operator   string         `json:"operator_name"`
	Class      map[string]any `json:"class_ref"`
	Down       []string       `json:"downstream_task_ids"`
	Rule       string         `json:"trigger_rule"`
	Retries    int            `json:"retries"`
	Delay      typed          `json:"retry_delay"`
	Backoff    bool           `json:"retry_exponential_backoff"`
	Timeout    typed          `json:"execution_timeout"`
	Past       bool           `json:"depends_on_past"`
	Pool       string         `json:"pool"`
	Slots      int            `json:"pool_slots"`
	Weight     int            `json:"priority_weight"`
	Mapped     bool           `json:"is_mapped"`
	WaitDown   bool           `json:"wait_for_downstream"`
	EstimateS  float64        `json:"estimate_s"` // beside the API: the owner's
	Dependency []string       `json:"upstream_task_ids"`
}

var operators = map[dag.Kind]string{dag.KindJob: "JobOperator", dag.KindBranch: "BranchJobOperator", dag.KindEmpty: "EmptyOperator"}

func viewTask(p *dag.Plan, i int) taskView {
	s := &p.Steps[i]
	v := taskView{
		ID: s.ID, Display: s.ID, Owner: p.Team, Operator: operators[s.Kind], Class: map[string]any{"class_name": operators[s.Kind], "module_path": "poppypass"},
		Down: []string{}, Dependency: []string{}, Rule: string(cmp.Or(s.Rule, dag.AllSuccess)), Retries: s.Retries,
		Delay: delta(time.Duration(cmp.Or(s.Delay, dag.DefaultRetryDelay))), Backoff: s.Exponential, Timeout: delta(time.Duration(s.Timeout)),
		Past: s.DependsOnPast, Pool: cmp.Or(s.Pool, runner.DefaultPool), Slots: max(1, s.PoolSlots), Weight: max(1, s.Weight), Mapped: s.Map != nil,
	}
	for _, j := range p.Downstream[i] {
		v.Down = append(v.Down, p.Steps[j].ID)
	}
	for _, j := range p.Upstream[i] {
		v.Dependency = append(v.Dependency, p.Steps[j].ID)
	}
	if s.Job != nil {
		v.EstimateS = s.Job.EstimateS
	}
	return v
}

func (d *Handler) listTasks(r *request) (any, error) {
	_, p, err := d.plan(r)
	if err != nil {
		return nil, err
	}
	// Airflow has no pages here; the order is the plan's, so a client may ask for some.
	at, err := r.page()
	if err != nil {
		return nil, err
	}
	if r.query.Get("limit") == "" {
		at.limit = len(p.Steps)
	}
	views := []taskView{}
	for _, i := range cut(p.Order, at) {
		views = append(views, viewTask(p, i))
	}
	return map[string]any{"tasks": views, "total_entries": len(p.Steps)}, nil
}

func (d *Handler) getTask(r *request) (any, error) {
	_, p, err := d.plan(r)
	if err != nil {
		return nil, err
	}
	i, ok := p.Index[r.PathValue("task")]
	if !ok {
		return nil, runner.ErrNone
	}
	return viewTask(p, i), nil
}
