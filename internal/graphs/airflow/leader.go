package airflow

import (
	"encoding/json"
	"net/http"
	"net/url"

	"poppypass/internal/graphs/runner"
	"poppypass/internal/platform/httpjson"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/leader"
)

// leaderResponse is the leader's answer to a command that it carried out. Its status is below 400.
type leaderResponse struct {
	status int
	body   json.RawMessage
}

// execute has the leader carry out a command of the request's team. If the leader refuses, the error is a problem with
// the leader's status and reason.
func (h *Handler) execute(r *request, verb string, order runner.Command) (leaderResponse, error) {
	order.Team = r.team
	raw, err := json.Marshal(order)
	if err != nil {
		return leaderResponse{}, badRequest("%s", httpjson.OneLine(err))
	}
	status, body := h.SendCommand(r.Context(), leader.Command{URI: runner.PathCommands + verb, Body: raw})
	if status >= http.StatusBadRequest {
		var leaderError wire.Error
		_ = json.Unmarshal(body, &leaderError) // if the body has no reason, the problem still has the status
		return leaderResponse{}, newProblem(status, http.StatusText(status), "%s", leaderError.Error)
	}
	return leaderResponse{status, body}, nil
}

// askPools queries the leader for the pools of the request's team.
func (h *Handler) askPools(r *request) ([]runner.PoolView, error) {
	status, body := h.SendQuery(r.Context(), runner.PathPools+"?team="+url.QueryEscape(r.team))
	var pools []runner.PoolView
	if status != http.StatusOK || json.Unmarshal(body, &pools) != nil {
		return nil, unavailable("the leader cannot be asked now; ask again")
	}
	return pools, nil
}
