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

// Handler serves the HTTP queries of users and operators for charges, totals and budgets. It answers in JSON; charges
// and totals are sent as CSV if the query has format=csv. It is safe for concurrent use.
type Handler struct {
	// QueryLeader sends a path with a query string to the leader and returns its answer.
	QueryLeader func(ctx context.Context, uri string) (status int, body json.RawMessage)
	// Reader reads the charges of jobs. Nothing else may use it, since it is not safe for concurrent use.
	Reader *Reader

	// readerMu is locked while Reader is in use. A query for charges reads some hundred KB, so only one is answered at a
	// time.
	readerMu sync.Mutex
}

// RegisterRoutes registers the handler's paths with mux.
func (h *Handler) RegisterRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET "+PathTotals, h.serveTotals)
	mux.HandleFunc("GET "+PathBudgets, h.relayToLeader)
	mux.HandleFunc("GET "+PathStats, h.relayToLeader)
	mux.HandleFunc("GET "+wire.PathJobs+"/{id}/"+wire.PathEndCharges, h.serveCharges)
}

// relayToLeader serves a request with the leader's answer.
func (h *Handler) relayToLeader(w http.ResponseWriter, r *http.Request) {
	status, body := h.QueryLeader(r.Context(), r.URL.RequestURI())
	httpjson.WriteRaw(w, status, body)
}

// serveTotals serves the totals of one team. The parameter team is required, so that a team's tools receive only its own
// charges.
func (h *Handler) serveTotals(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("team") == "" {
		httpjson.WriteError(w, http.StatusBadRequest, "the parameter team is missing")
		return
	}
	status, body := h.QueryLeader(r.Context(), r.URL.RequestURI())
	var totals Totals
	if r.URL.Query().Get("format") != "csv" || status != http.StatusOK || json.Unmarshal(body, &totals) != nil {
		httpjson.WriteRaw(w, status, body)
		return
	}
	writeCSV(w, TotalsCSV(totals))
}

// serveCharges serves the charges of one job. It reads the stored records, so it works without a leader.
func (h *Handler) serveCharges(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if !wire.ValidJobID(id) {
		httpjson.WriteError(w, http.StatusNotFound, "no such job")
		return
	}
	if !h.readerMu.TryLock() {
		httpjson.WriteUnavailable(w, "another question for charges is being answered")
		return
	}
	defer h.readerMu.Unlock()
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
	encoded, err := json.MarshalIndent(page, "", " ")
	if err != nil {
		httpjson.WriteError(w, http.StatusInternalServerError, "the answer cannot be written")
		return
	}
	httpjson.WriteRaw(w, http.StatusOK, encoded)
}
