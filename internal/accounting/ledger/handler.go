package ledger

import (
	"bytes"
	"context"
	"encoding/csv"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"poppypass/internal/platform/httpjson"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// Handler answers users and operators about charges, totals and budgets, as JSON or,
// with format=csv, as CSV. It is safe for concurrent use.
type Handler struct {
	// QueryLeader has the leader answer a path and query.
	QueryLeader func(ctx context.Context, uri string) (status int, body json.RawMessage)

	mu     sync.Mutex // one question for a job's charges at a time: each reads some hundred KB
	Reader *Reader
}

// Routes registers the handler's paths.
func (h *Handler) Routes(mux *http.ServeMux) {
	mux.HandleFunc("GET "+PathTotals, h.serveTotals)
	mux.HandleFunc("GET "+PathBudgets, h.serveLeader)
	mux.HandleFunc("GET "+PathStats, h.serveLeader)
	mux.HandleFunc("GET "+wire.PathJobs+"/{id}/"+wire.EndCharges, h.serveCharges)
}

func (h *Handler) serveLeader(w http.ResponseWriter, r *http.Request) {
	status, body := h.QueryLeader(r.Context(), r.URL.RequestURI())
	httpjson.WriteRaw(w, status, body)
}

// serveTotals answers for one team: a team sees its own charges only.
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

func (h *Handler) serveCharges(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if !wire.ValidJobID(id) {
		httpjson.WriteError(w, http.StatusNotFound, "no such job")
		return
	}
	if !h.mu.TryLock() {
		httpjson.WriteUnavailable(w, "another question for charges is being answered")
		return
	}
	defer h.mu.Unlock()
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

func writeCSV(w http.ResponseWriter, rows [][]string) {
	var b bytes.Buffer
	_ = csv.NewWriter(&b).WriteAll(rows) // a buffer takes everything
	w.Header().Set("Content-Type", "text/csv; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(b.Len()))
	_, _ = w.Write(b.Bytes()) // a reader that has gone is its own affair
}

func formatDecimal(v float64) string { return strconv.FormatFloat(v, 'f', 6, 64) }

// TotalsCSV gives totals as the rows of a CSV file, the first with the names.
func TotalsCSV(t Totals) [][]string {
	rows := [][]string{{"day", "team", "account", "class", "type", "spot", "attempts", "core_hours", "gpu_hours", "memory_gb_hours", "money", "core_us", "money_u"}}
	for _, r := range t.Rows {
		spot := ""
		if r.Spot != nil {
			spot = strconv.FormatBool(*r.Spot)
		}
		rows = append(rows, []string{
			r.Day, r.Team, r.Account, r.Class, r.Type, spot, strconv.FormatInt(r.Attempts, 10), formatDecimal(r.CoreHours), formatDecimal(r.GPUHours),
			formatDecimal(r.MemoryGBH), formatDecimal(r.Money), strconv.FormatInt(r.CoreMicroS, 10), strconv.FormatInt(r.MoneyMicro, 10),
		})
	}
	return rows
}

// ChargesCSV gives charges as the rows of a CSV file, the first with the names.
func ChargesCSV(charges []ChargeView) [][]string {
	rows := [][]string{{"task", "attempt", "part", "team", "account", "class", "type", "zone", "spot", "start", "end", "core_s", "gpu_s", "memory_gb_s", "money", "how", "upper_bound", "saved"}}
	for _, c := range charges {
		rows = append(rows, []string{
			c.Task, strconv.FormatUint(c.Attempt, 10), strconv.Itoa(c.Part), c.Team, c.Account, c.Class, c.Type, c.Zone, strconv.FormatBool(c.Spot),
			c.Start.Format(time.RFC3339Nano), c.End.Format(time.RFC3339Nano), formatDecimal(c.CoreS), formatDecimal(c.GPUS), formatDecimal(c.MemoryGBS),
			formatDecimal(c.Money), c.Outcome.String(), strconv.FormatBool(c.UpperBound), strconv.FormatBool(c.ProgressSaved),
		})
	}
	return rows
}
