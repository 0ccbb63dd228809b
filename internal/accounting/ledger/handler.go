package ledger

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"poppypass/internal/platform/httpjson"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// Handler answers users and operators about charges, totals and budgets, as JSON or,
// with format=csv, as CSV. It is safe for concurrent use.
type Handler struct {
	// QueryLeader has the leader answer a path and query.
	QueryLeader func(ctx context.Context, uri string) (status int, body json.RawMessage)
	// Reader reads the charges of jobs. Only the handler may use it.
	Reader *Reader

	reading sync.Mutex // held while Reader is used: a question for charges reads some hundred KB, so one at a time
}

// Routes registers the handler's paths.
func (h *Handler) Routes(mux *http.ServeMux) {
	mux.HandleFunc("GET "+PathTotals, h.serveTotals)
	mux.HandleFunc("GET "+PathBudgets, h.relayToLeader)
	mux.HandleFunc("GET "+PathStats, h.relayToLeader)
	mux.HandleFunc("GET "+wire.PathJobs+"/{id}/"+wire.EndCharges, h.serveCharges)
}

func (h *Handler) relayToLeader(w http.ResponseWriter, r *http.Request) {
	status, body := h.QueryLeader(r.Context(), r.URL.RequestURI())
	httpjson.WriteRaw(w, status, body)
}

// serveTotals answers for one team: a team's tools see its own charges only.
func (h *Handler) serveTotals(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("team") == "" {
		httpjson.WriteError(w, http.StatusBadRequest, "the parameter team is missing")
		return
	}
	status, body := h.QueryLeader(r.Context(), r.URL.RequestURI())
	var t Totals
	if r.URL.Query().Get("format") != "csv" || status != http.StatusOK || json.Unmarshal(body, &t) != nil {
		httpjson.WriteRaw(w, status, body)
		return
	}
	writeCSV(w, TotalsCSV(t))
}

// serveCharges answers for one job, from the stored records: no leader is needed.
func (h *Handler) serveCharges(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if !wire.ValidJobID(id) {
		httpjson.WriteError(w, http.StatusNotFound, "no such job")
		return
	}
	if !h.reading.TryLock() {
		httpjson.WriteUnavailable(w, "another question for charges is being answered")
		return
	}
	defer h.reading.Unlock()
	ctx, cancel := context.WithTimeout(r.Context(), tuning.ChargesTimeout)
	defer cancel()
	page, err := h.Reader.JobCharges(ctx, id, r.URL.Query().Get("after"))
	if err != nil {
		httpjson.WriteUnavailable(w, "the charges cannot be read now")
		return
	}
	if r.URL.Query().Get("format") == "csv" {
		writeCSV(w, ChargesCSV(page.Charges))
		return
	}
	raw, err := json.MarshalIndent(page, "", " ")
	if err != nil {
		httpjson.WriteError(w, http.StatusInternalServerError, "the answer cannot be written")
		return
	}
	httpjson.WriteRaw(w, http.StatusOK, raw)
}
