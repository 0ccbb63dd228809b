package airflow

import (
	"context"
	"net/http"

	"poppypass/internal/graphs/runner"
	"poppypass/internal/platform/tuning"
)

func serveVersion(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, map[string]any{"version": AirflowVersion, "git_version": "poppypass"})
}

func serveSchema(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/schema+json")
	_, _ = w.Write(schema) // the client may have disconnected; there is nothing to do about it
}

// componentHealth is the health of the state service or the leader, in the API's form.
type componentHealth struct {
	Status        string  `json:"status"`
	LastHeartbeat *string `json:"latest_scheduler_heartbeat,omitempty"`
}

const (
	healthy   = "healthy"
	unhealthy = "unhealthy"
)

// serveHealth reports whether the state service can be read and whether the leader answers. It requires no team.
func (h *Handler) serveHealth(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), tuning.PollTimeout)
	defer cancel()
	state := h.stateHealth(ctx)
	scheduler := h.leaderHealth(ctx)
	writeJSON(w, http.StatusOK, map[string]componentHealth{"metadatabase": state, "scheduler": scheduler})
}

func (h *Handler) stateHealth(ctx context.Context) componentHealth {
	if _, err := h.Reader.Graphs(ctx, ""); err != nil {
		return componentHealth{Status: unhealthy}
	}
	return componentHealth{Status: healthy}
}

func (h *Handler) leaderHealth(ctx context.Context) componentHealth {
	if status, _ := h.SendQuery(ctx, runner.PathPools); status != http.StatusOK {
		return componentHealth{Status: unhealthy}
	}
	return componentHealth{Status: healthy, LastHeartbeat: timestamp(h.Clock.Now())}
}
