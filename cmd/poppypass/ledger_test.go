package main

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/accounting/ledger"
	"poppypass/internal/platform/httpjson"
)

func TestChargesOfAJobAreShown(t *testing.T) {
	view := ledger.ChargeView{Outcome: charge.Failed}
	view.Task, view.Attempt, view.Type, view.Start, view.End = "job-1/0", 1, "g8", time.Unix(0, 0), time.Unix(10, 0)
	controller := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, ledger.ChargesPage{Charges: []ledger.ChargeView{view}})
	}))
	t.Cleanup(controller.Close)
	for _, format := range []string{"table", "json", "csv"} {
		t.Run(format, func(t *testing.T) {
			out, err := runCommand("ledger", "show", "--job", "job-1", "--output", format, "--addr", strings.TrimPrefix(controller.URL, "http://"))
			if err != nil || !strings.Contains(out, "job-1/0") || !strings.Contains(out, charge.Failed.String()) {
				t.Errorf("printed %q, error %v", out, err)
			}
		})
	}
}
