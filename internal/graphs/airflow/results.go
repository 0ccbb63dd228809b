package airflow

import (
	"encoding/json"
	"net/http"

	"poppypass/internal/graphs/runner"
)

// resultKey is the only key that results have. It is Airflow's key for the value that a task returns.
const resultKey = "return_value"

func (h *Handler) listResults(r *request) (any, error) {
	run, step, err := h.step(r)
	if err != nil {
		return nil, err
	}
	result, err := h.Reader.Result(r.Context(), run, step)
	if err != nil {
		return nil, err
	}
	entries := []map[string]any{}
	if result != nil {
		entries = append(entries, viewResult(run, step, result))
	}
	return listBody("xcom_entries", entries, len(entries)), nil
}

func (h *Handler) getResult(r *request) (any, error) {
	run, step, err := h.step(r)
	if err != nil {
		return nil, err
	}
	if r.PathValue("key") != resultKey {
		return nil, runner.ErrNotFound
	}
	result, err := h.Reader.Result(r.Context(), run, step)
	switch {
	case err != nil:
		return nil, err
	case result == nil:
		return nil, runner.ErrNotFound
	}
	return viewResult(run, step, result), nil
}

// viewResult returns a step's result in the API's form, where the value is a string that contains JSON.
func viewResult(run *runner.RunView, step int, result json.RawMessage) map[string]any {
	return map[string]any{
		"key":            resultKey,
		"timestamp":      timestamp(run.Queued),
		"execution_date": timestamp(run.Logical),
		"task_id":        run.Run.Plan.Steps[step].ID,
		"dag_id":         run.Graph,
		"map_index":      unmapped,
		"value":          string(result),
	}
}

// postResult stores a step's result, which the step's job sends for the steps downstream. The body has the form of
// Airflow 3.
func (h *Handler) postResult(r *request) (any, error) {
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
	order := runner.Command{Graph: r.dagID(), Run: r.runID(), Step: r.taskID(), Result: body.Value}
	if _, err := h.execute(r, runner.CommandSetResult, order); err != nil {
		return nil, err
	}
	return response{http.StatusCreated, map[string]any{"key": resultKey, "value": body.Value}}, nil
}
