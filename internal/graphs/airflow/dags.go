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

// dagView is a graph in the API's form.
type dagView struct {
	ID                string     `json:"dag_id"`
	DisplayName       string     `json:"dag_display_name"`
	Paused            bool       `json:"is_paused"`
	Active            bool       `json:"is_active"`
	SubDAG            bool       `json:"is_subdag"`
	Owners            []string   `json:"owners"`
	Description       *string    `json:"description"`
	Schedule          typedValue `json:"schedule_interval"`
	Timetable         *string    `json:"timetable_description"`
	Tags              []tag      `json:"tags"`
	MaxTasks          int        `json:"max_active_tasks"`
	MaxRuns           int        `json:"max_active_runs"`
	HasErrors         bool       `json:"has_import_errors"`
	HasLimits         bool       `json:"has_task_concurrency_limits"`
	NextIntervalStart *string    `json:"next_dagrun_data_interval_start"`
	NextIntervalEnd   *string    `json:"next_dagrun_data_interval_end"`
	NextLogical       *string    `json:"next_dagrun"`
	NextCreateAfter   *string    `json:"next_dagrun_create_after"`
}

type tag struct {
	Name string `json:"name"`
}

// detailsView is a graph with the settings of its definition, without its tasks.
type detailsView struct {
	dagView
	Catchup  bool                       `json:"catchup"`
	Start    *string                    `json:"start_date"`
	End      *string                    `json:"end_date"`
	Timezone string                     `json:"timezone"`
	Params   map[string]json.RawMessage `json:"params"`
}

func viewDAG(record *runner.GraphRecord, now time.Time) dagView {
	view := dagView{
		ID:          record.ID,
		DisplayName: record.ID,
		Paused:      record.Paused,
		Active:      true,
		Owners:      []string{record.Team},
		Tags:        []tag{},
		MaxTasks:    record.MaxTasks,
		MaxRuns:     record.MaxRuns,
	}
	if record.Description != "" {
		view.Description = &record.Description
	}
	for _, name := range record.Tags {
		view.Tags = append(view.Tags, tag{name})
	}
	if schedule, err := dag.ParseSchedule(record.Schedule, record.Zone); err == nil && schedule != nil {
		view.Schedule = cronExpression(record.Schedule)
		view.setNextRun(record, schedule, now)
	}
	return view
}

// setNextRun sets the interval of the next scheduled run and the time at which that run starts. A paused graph has no
// next run.
func (v *dagView) setNextRun(record *runner.GraphRecord, schedule *dag.Schedule, now time.Time) {
	if record.Paused {
		return
	}
	var last time.Time
	if record.LastMS != 0 {
		last = time.UnixMilli(record.LastMS)
	}
	plan := dag.Plan{Graph: dag.Graph{Start: record.Start, End: record.End, Catchup: record.Catchup}}
	next, ok := plan.NextDue(schedule, last, now)
	if !ok {
		return
	}
	v.NextIntervalStart, v.NextIntervalEnd = timestamp(next.Begin), timestamp(next.End)
	v.NextLogical, v.NextCreateAfter = timestamp(next.Begin), timestamp(next.End) // the logical date is the start of the interval; the run starts at its end
}

// graph returns the record of the graph that a request names.
func (h *Handler) graph(r *request) (runner.GraphRecord, error) {
	return h.Reader.Graph(r.Context(), r.team, r.dagID())
}

// plan returns the record of the graph that a request names, and the plan of its validated definition.
func (h *Handler) plan(r *request) (runner.GraphRecord, *dag.Plan, error) {
	record, err := h.graph(r)
	if err != nil {
		return record, nil, err
	}
	plan, err := h.Reader.Plan(r.Context(), record.Def)
	return record, plan, err
}

var dagSortFields = sortFields[dagView]{
	"dag_id": byText(func(v *dagView) string { return v.ID }),
}

func (h *Handler) listDAGs(r *request) (any, error) {
	page, err := r.page()
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
		if r.matchesGraph(&graphs[i]) {
			views = append(views, viewDAG(&graphs[i], now))
		}
	}
	return sortedPage(r, page, "dags", views, dagSortFields, "dag_id")
}

// matchesGraph reports whether a graph passes the filters of a list of graphs.
func (r *request) matchesGraph(record *runner.GraphRecord) bool {
	paused := r.query.Get("paused")
	if paused != "" && strconv.FormatBool(record.Paused) != strings.ToLower(paused) {
		return false
	}
	pattern := strings.Trim(r.query.Get("dag_id_pattern"), "%")
	return strings.Contains(record.ID, pattern) && r.matchesTags(record.Tags)
}

// matchesTags reports whether a graph has one of the tags that a request lists. A request without tags matches all graphs.
func (r *request) matchesTags(tags []string) bool {
	if len(r.query["tags"]) == 0 {
		return true
	}
	return slices.ContainsFunc(tags, func(name string) bool { return r.allows("tags", name) })
}

func (h *Handler) getDAG(r *request) (any, error) {
	record, err := h.graph(r)
	if err != nil {
		return nil, err
	}
	return viewDAG(&record, h.Clock.Now()), nil
}

func (h *Handler) getDetails(r *request) (any, error) {
	record, plan, err := h.plan(r)
	if err != nil {
		return nil, err
	}
	if record.Description != "" {
		record.Description = plan.Description // the record's copy may be shortened
	}
	return detailsView{
		dagView:  viewDAG(&record, h.Clock.Now()),
		Catchup:  record.Catchup,
		Start:    optionalTimestamp(record.Start),
		End:      optionalTimestamp(record.End),
		Timezone: cmp.Or(record.Zone, "UTC"),
		Params:   plan.Params,
	}, nil
}

func (h *Handler) getDefinition(r *request) (any, error) {
	_, plan, err := h.plan(r)
	if err != nil {
		return nil, err
	}
	return &plan.Graph, nil
}
