package ledger

import (
	"bytes"
	"encoding/csv"
	"net/http"
	"strconv"
	"time"
)

// writeCSV answers a request with rows as CSV.
func writeCSV(w http.ResponseWriter, rows [][]string) {
	var b bytes.Buffer
	_ = csv.NewWriter(&b).WriteAll(rows) // writing to a buffer does not fail
	w.Header().Set("Content-Type", "text/csv; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(b.Len()))
	_, _ = w.Write(b.Bytes()) // fails only if the client has disconnected
}

// formatDecimal formats a number with six decimal places.
func formatDecimal(v float64) string { return strconv.FormatFloat(v, 'f', 6, 64) }

// TotalsCSV returns totals as the rows of a CSV file. The first row is the header.
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

// ChargesCSV returns charges as the rows of a CSV file. The first row is the header.
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
