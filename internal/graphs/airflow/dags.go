package airflow

import (
	"cmp"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"poppypass/internal/graphs/dag"
	"poppypass/internal/graphs/runner"
)

// dagView is a graph as the API has it.
type dagView struct {
	ID          string     `json:"dag_id"`
	DisplayName string     `json:"dag_display_name"`
	Paused      bool       `json:"is_paused"`
	Active      bool       `json:"is_active"`
	SubDAG      bool       `json:"is_subdag"`
	Owners      []string   `json:"owners"`
	Description *string    `json:"description"`
	Schedule    typedValue `json:"schedule_interval"`
	Timetable   *string    `json:"timetable_description"`
	Tags        []tag      `json:"tags"`
	MaxTasks    int        `json:"max_active_tasks"`
	MaxRuns     int        `json:"max_active_runs"`
	HasErrors   bool       `json:"has_import_errors"`
	HasLimits   bool       `json:"has_task_concurrency_limits"`
	NextFrom    *string    `json:"next_dagrun_data_interval_start"`
	NextTo      *string    `json:"next_dagrun_data_interval_end"`
	Next        *string    `json:"next_dagrun"`
	NextAt      *string    `json:"next_dagrun_create_after"`
}

type tag struct {
	Name string `json:"name"`
}

// detailsView is a graph with what its definition says beside its tasks.
type detailsView struct {
	dagView
	Catchup bool                       `json:"catchup"`
	Start   *string                    `json:"start_date"`
	End     *string                    `json:"end_date"`
	Zone    string                     `json:"timezone"`
	Params  map[string]json.RawMessage `json:"params"`
}

func viewDAG(g *runner.GraphRecord, now time.Time) dagView {
	v := dagView{
		ID:          g.ID,
		DisplayName: g.ID,
		Paused:      g.Paused,
		Active:      true,
		Owners:      []string{g.Team},
		Tags:        []tag{},
		MaxTasks:    g.MaxTasks,
		MaxRuns:     g.MaxRuns,
	}
	if g.Description != "" {
		v.Description = &g.Description
	}
	for _, name := range g.Tags {
		v.Tags = append(v.Tags, tag{name})
	}
	if schedule, err := dag.ParseSchedule(g.Schedule, g.Zone); err == nil && schedule != nil {
		v.Schedule = cronExpression(g.Schedule)
		v.setNextRun(g, schedule, now)
	}
	return v
}

// setNextRun sets the interval of the next run that the schedule begins, and when it does. A paused graph has none.
func (v *dagView) setNextRun(g *runner.GraphRecord, s *dag.Schedule, now time.Time) {
	if g.Paused {
		return
	}
	var last time.Time
	if g.LastMS != 0 {
		last = time.UnixMilli(g.LastMS)
	}
	p := dag.Plan{Graph: dag.Graph{Start: g.Start, End: g.End, Catchup: g.Catchup}}
	next, ok := p.NextDue(s, last, now)
	if !ok {
		return
	}
	v.NextFrom, v.NextTo = timestamp(next.Begin), timestamp(next.End)
	v.Next, v.NextAt = timestamp(next.Begin), timestamp(next.End) // a run is named for the begin of its interval, and begins at the end
}

// graph returns the record of the graph that a request names.
func (h *Handler) graph(r *request) (runner.GraphRecord, error) {
	return h.Reader.Graph(r.Context(), r.team, r.dagID())
}

// plan returns the graph that a request names, with its checked definition.
func (h *Handler) plan(r *request) (runner.GraphRecord, *dag.Plan, error) {
	g, err := h.graph(r)
	if err != nil {
		return g, nil, err
	}
	p, err := h.Reader.Plan(r.Context(), g.Def)
	return g, p, err
}

var dagOrders = orders[dagView]{
	"dag_id": byText(func(v *dagView) string { return v.ID }),
}

func (h *Handler) listDAGs(r *request) (any, error) {
	p, err := r.page()
	if err != nil {
		return nil, err
	}
	graphs, err := h.Reader.Graphs(r.Context(), r.team)
	if err != nil {
		return nil, err
	}
	now := h.Clock.Now()
	views := []dagView{}
	for i := range graphs {
		if r.wantsGraph(&graphs[i]) {
			views = append(views, viewDAG(&graphs[i], now))
		}
	}
	return sortedPage(r, p, "dags", views, dagOrders, "dag_id")
}

// wantsGraph reports whether a graph passes the filters of a list of graphs.
func (r *request) wantsGraph(g *runner.GraphRecord) bool {
	paused := r.query.Get("paused")
	if paused != "" && strconv.FormatBool(g.Paused) != strings.ToLower(paused) {
		return false
	}
	pattern := strings.Trim(r.query.Get("dag_id_pattern"), "%")
	return strings.Contains(g.ID, pattern) && r.wantsTags(g.Tags)
}

// wantsTags reports whether a graph has one of the tags that a request lists, if it lists any.
func (r *request) wantsTags(tags []string) bool {
	if len(r.query["tags"]) == 0 {
		return true
	}
	return slices.ContainsFunc(tags, func(name string) bool { return r.allows("tags", name) })
}

func (h *Handler) getDAG(r *request) (any, error) {
	g, err := h.graph(r)
	if err != nil {
		return nil, err
	}
	return viewDAG(&g, h.Clock.Now()), nil
}

func (h *Handler) getDetails(r *request) (any, error) {
	g, p, err := h.plan(r)
	if err != nil {
		return nil, err
	}
	return detailsView{
		dagView: viewDAG(&g, h.Clock.Now()),
		Catchup: g.Catchup,
		Start:   optionalTimestamp(g.Start),
		End:     optionalTimestamp(g.End),
		Zone:    cmp.Or(g.Zone, "UTC"),
		Params:  p.Params,
	}, nil
}

func (h *Handler) getDefinition(r *request) (any, error) {
	_, p, err := h.plan(r)
	if err != nil {
		return nil, err
	}
	return &p.Graph, nil
}
