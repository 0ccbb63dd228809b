package airflow

import (
	"encoding/json"
	"fmt"
	"time"

	"poppypass/internal/graphs/runner"
)

// postBackfill starts the runs of past intervals. The body has the form of Airflow 3.
func (h *Handler) postBackfill(r *request) (any, error) {
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
	answer, err := h.execute(r, runner.CommandBackfill, runner.Command{Graph: body.DAG, From: body.From, To: body.To})
	if err != nil {
		return nil, err
	}
	var begun runner.BackfillResult
	if err := json.Unmarshal(answer.body, &begun); err != nil {
		return nil, fmt.Errorf("decode the leader's answer to a backfill: %w", err)
	}
	return begun, nil
}
