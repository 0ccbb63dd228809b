package airflow

import (
	"cmp"
	"encoding/json"
	"time"

	"poppypass/internal/graphs/runner"
)

// runView is a run in the API's form.
type runView struct {
	ID            string          `json:"dag_run_id"`
	DAG           string          `json:"dag_id"`
	Logical       *string         `json:"logical_date"`
	Execution     *string         `json:"execution_date"` // the older name of the logical date
	Start         *string         `json:"start_date"`
	End           *string         `json:"end_date"`
	IntervalStart *string         `json:"data_interval_start"`
	IntervalEnd   *string         `json:"data_interval_end"`
	State         string          `json:"state"`
	Type          string          `json:"run_type"`
	External      bool            `json:"external_trigger"`
	Conf          json.RawMessage `json:"conf"`
	Note          *string         `json:"note"`
}

func viewRun(info *runner.RunInfo) runView {
	view := runView{
		ID:            info.ID,
		DAG:           info.Graph,
		Logical:       timestamp(info.Logical),
		Execution:     timestamp(info.Logical),
		Start:         timestamp(info.Start),
		End:           timestamp(info.End),
		IntervalStart: timestamp(info.From),
		IntervalEnd:   timestamp(info.To),
		State:         info.State,
		Type:          info.Type,
		External:      info.Type == runner.RunTypeManual,
		Conf:          info.Conf,
	}
	if len(view.Conf) == 0 {
		view.Conf = json.RawMessage("{}")
	}
	if info.Note != "" {
		view.Note = &info.Note
	}
	return view
}

// run returns the run that a request's path names.
func (h *Handler) run(r *request) (*runner.RunView, error) { return h.runNamed(r, r.runID()) }

// runNamed returns the run with an id, of the graph that a request's path names.
func (h *Handler) runNamed(r *request, id string) (*runner.RunView, error) {
	return h.Reader.Run(r.Context(), r.team, r.dagID(), id)
}

// answerRun returns the run with an id in the API's form.
func (h *Handler) answerRun(r *request, id string) (any, error) {
	run, err := h.runNamed(r, id)
	if err != nil {
		return nil, err
	}
	return viewRun(&run.RunInfo), nil
}

func (h *Handler) getRun(r *request) (any, error) { return h.answerRun(r, r.runID()) }

// getRunDefinition returns the graph's definition that the run uses. It may differ from the current one, since the graph
// may have been registered again after the run started.
func (h *Handler) getRunDefinition(r *request) (any, error) {
	run, err := h.run(r)
	if err != nil {
		return nil, err
	}
	return &run.Run.Plan.Graph, nil
}

// postRun starts a run. The logical date defaults to the current time; execution_date takes precedence over logical_date.
func (h *Handler) postRun(r *request) (any, error) {
	var body struct {
		ID        string          `json:"dag_run_id"`
		Logical   *time.Time      `json:"logical_date"`
		Execution *time.Time      `json:"execution_date"` // the older name of the logical date
		Conf      json.RawMessage `json:"conf"`
		Note      string          `json:"note"`
		Described bool            `json:"described"` // not in Airflow's API: the client has uploaded the steps' descriptions
	}
	if err := r.read(&body); err != nil {
		return nil, err
	}
	logical := h.Clock.Now()
	if given := cmp.Or(body.Execution, body.Logical); given != nil {
		logical = *given
	}
	order := runner.Command{
		Graph:     r.dagID(),
		Run:       cmp.Or(body.ID, runner.DefaultRunID(runner.RunTypeManual, logical)),
		LogicalMS: logical.UnixMilli(),
		Note:      body.Note,
		Described: body.Described,
	}
	if string(body.Conf) != "null" {
		order.Conf = body.Conf
	}
	if _, err := h.execute(r, runner.CommandTrigger, order); err != nil {
		return nil, err
	}
	return h.answerRun(r, order.Run)
}

// patchRun cancels a run (state failed) or clears all its steps, so that they run again (state queued).
func (h *Handler) patchRun(r *request) (any, error) {
	var body struct {
		State string `json:"state"`
	}
	if err := r.read(&body); err != nil {
		return nil, err
	}
	var verb string
	switch body.State {
	case "failed":
		verb = runner.CommandCancelRun
	case "queued":
		verb = runner.CommandClear
	default:
		return nil, badRequest("state is %q; it can be failed, which ends the run, or queued, which has it go again: what jobs did is not rewritten", body.State)
	}
	if _, err := h.execute(r, verb, runner.Command{Graph: r.dagID(), Run: r.runID(), Downstream: true}); err != nil {
		return nil, err
	}
	return h.getRun(r)
}

// deleteRun deletes a run that has ended.
func (h *Handler) deleteRun(r *request) (any, error) {
	_, err := h.execute(r, runner.CommandDeleteRun, runner.Command{Graph: r.dagID(), Run: r.runID()})
	return nil, err
}
