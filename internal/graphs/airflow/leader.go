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

// leaderAnswer is what the leader answers to an order that it carried out. Its status is below 400.
type leaderAnswer struct {
	status int
	body   json.RawMessage
}

// order has the leader carry out an order of the request's team. What the leader refuses is a problem with the leader's status and
// reason.
func (h *Handler) order(r *request, verb string, o runner.Order) (leaderAnswer, error) {
	o.Team = r.team
	raw, err := json.Marshal(o)
	if err != nil {
		return leaderAnswer{}, badRequest("%s", httpjson.OneLine(err))
	}
	status, body := h.Do(r.Context(), leader.Command{URI: runner.PathOrders + verb, Body: raw})
	if status >= http.StatusBadRequest {
		var refusal wire.Error
		_ = json.Unmarshal(body, &refusal) // without a reason the status says it
		return leaderAnswer{}, newProblem(status, http.StatusText(status), "%s", refusal.Error)
	}
	return leaderAnswer{status, body}, nil
}

// askPools has the leader list the pools of the request's team.
func (h *Handler) askPools(r *request) ([]runner.PoolView, error) {
	status, body := h.Ask(r.Context(), runner.PathPools+"?team="+url.QueryEscape(r.team))
	var pools []runner.PoolView
	if status != http.StatusOK || json.Unmarshal(body, &pools) != nil {
		return nil, unavailable("the leader cannot be asked now; ask again")
	}
	return pools, nil
}
