package controller

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"poppypass/internal/accounting/ledger"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/sim/testutil"
)

// newHarnessWith is a harness whose controller has operators' properties.
func newHarnessWith(t *testing.T, properties string) *harness {
	h := newHarness(t)
	h.stop()
	h.clock.Advance(2 * tuning.LeaseTTL)
	h.state.Expire()
	h.properties = testutil.File(t, "own.properties", properties)
	h.boot()
	return h
}

// ms reads an integer of an answer.
func ms(v any) int64 { return int64(v.(float64)) }

func TestAJobIsChargedToItsTeamAndAccount(t *testing.T) {
	metrics := testutil.FreeAddr(t)
	h := newHarnessWith(t, "ledger = on\nmetrics.addr = "+metrics+"\n")
	j := job("job-1", 2)
	j["account"] = "a coach owner"
	h.until("accepted", func() bool { status, _ := h.call("POST", "/v2/runs", j); return status < 300 && status > 0 })
	k := h.worker("n-000001", "a")
	h.until("both run", func() bool { k.heartbeat(); return k.running() == 2 })
	h.until("that is seen", func() bool { k.heartbeat(); return h.jobState("job-1") == "running" })
	// The team is at its limit of 12 CPUs with one more, and the next job says so.
	h.submit("job-2", 4)
	h.until("a third runs", func() bool { k.heartbeat(); return k.running() == 3 })
	h.until("the reason is told", func() bool {
		status, out := h.call("GET", "/v2/runs/job-2/why", nil)
		return status == 200 && strings.Contains(fmt.Sprint(out["reasons"]), "team's limit")
	})
	for range 4 { // time passes while the worker sends heartbeats
		h.clock.Advance(2 * time.Second)
		h.until("reported", func() bool { return k.heartbeat() == 200 })
	}
	h.until("done", func() bool {
		k.finish()
		k.heartbeat()
		return h.jobState("job-1") == "done" && h.jobState("job-2") == "done"
	})
	h.until("all is charged", func() bool {
		_, out := h.call("GET", ledger.PathTotals+"?team=t&by=account", nil)
		rows, _ := out["rows"].([]any)
		if len(rows) != 2 {
			return false
		}
		none, owner := rows[0].(map[string]any), rows[1].(map[string]any)
		return owner["account"] == "a coach owner" && ms(owner["attempts"]) == 2 && ms(none["attempts"]) == 4 &&
			ms(owner["run_ms"]) >= 16_000 && ms(owner["core_us"]) == 4000*ms(owner["run_ms"])
	})
	status, out := h.call("GET", "/v2/runs/job-1/charges", nil)
	if charges, _ := out["charges"].([]any); status != 200 || len(charges) != 2 || charges[0].(map[string]any)["how"] != "done" {
		t.Errorf("the job's charges: %d %v", status, out)
	}
	if status, out := h.call("GET", "/v2/runs/job-1/why", nil); status != 200 || out["status"] != "done" {
		t.Errorf("a job that is over: %d %v", status, out)
	}
	for path, want := range map[string]int{
		ledger.PathTotals: 400, ledger.PathTotals + "?team=t&by=owner": 400, ledger.PathTotals + "?team=t&from=yesterday": 400,
		"/v2/runs/job-9/why": 404, "/v2/runs/x/charges": 404, ledger.PathBudgets: 200, ledger.PathStats: 200,
	} {
		if status, out := h.call("GET", path, nil); status != want {
			t.Errorf("%s: %d %v, want %d", path, status, out, want)
		}
	}
	if text := h.text("http://" + h.addr + ledger.PathTotals + "?team=t&format=csv"); !strings.HasPrefix(text, "day,team,account") || strings.Count(text, "\n") != 3 {
		t.Errorf("as CSV: %q", text)
	}
	if text := h.text("http://" + metrics + "/metrics"); !strings.Contains(text, `poppypass_ends_total{class="l",how="done"} 6`) || !strings.Contains(text, "poppypass_leading 1") ||
		!strings.Contains(text, `poppypass_charges_total{how="done",team="t"} 6`) {
		t.Errorf("metrics: %s", text)
	}
	// Accounts are names.
	j["ref"], j["account"] = "job-3", 3
	if status, _ := h.call("POST", "/v2/runs", j); status != 400 {
		t.Errorf("an account that is no name: %d", status)
	}
}

// text reads a page.
func (h *harness) text(url string) string {
	resp, err := http.Get(url)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	raw, _ := io.ReadAll(resp.Body) // what is missing, the caller notices
	return string(raw)
}

// Without a ledger a job's unknown fields are ignored, as the protocol wants, and
// nothing more is written than before.
func TestWithoutALedgerNothingMoreIsWritten(t *testing.T) {
	h := newHarness(t)
	j := job("job-1", 1)
	j["account"] = 3
	h.until("accepted", func() bool { status, _ := h.call("POST", "/v2/runs", j); return status == 201 || status == 200 })
	k := h.worker("n-000001", "a")
	h.until("done", func() bool { k.heartbeat(); k.finish(); return h.jobState("job-1") == "done" })
	for _, txn := range h.state.Applied() {
		for _, c := range txn.Then {
			if strings.HasPrefix(c.Put, "ledger/") || strings.HasPrefix(c.Put, jobs.PrefixDetached) || strings.Contains(string(c.Value), `"c":`) {
				t.Errorf("%s is written: %s", c.Put, c.Value)
			}
		}
	}
	if status, _ := h.call("GET", ledger.PathTotals+"?team=t", nil); status != 404 {
		t.Errorf("totals: %d", status)
	}
}

// A job that its team's budget does not allow is accepted and waits, and says why.
func TestAJobWaitsForItsBudget(t *testing.T) {
	h := newHarnessWith(t, "ledger = on\nbudget.t.ever.core-hours = 0\n")
	h.submit("job-1", 1)
	k := h.worker("n-000001", "a")
	h.until("the reason is told", func() bool {
		k.heartbeat()
		_, out := h.call("GET", "/v2/runs/job-1/why", nil)
		return strings.Contains(fmt.Sprint(out["reasons"]), "budget")
	})
	replica := job("job-2", 1)
	replica["shape"], replica["urgency"], replica["ride_s"] = wire.KindService, wire.PriorityProduction, 0
	h.until("production is accepted", func() bool { status, _ := h.call("POST", "/v2/runs", replica); return status == 201 || status == 200 })
	h.until("production runs", func() bool { k.heartbeat(); return k.running() == 1 })
	if k.starts["job-1/0"] != 0 || h.jobState("job-1") != "pending" {
		t.Error("the job did not wait for its budget")
	}
}

// Attempts end in all the ways that machines make them end, and each is charged once
// and says how: a drain partway that saves, one that does not, an incarnation that ends, and
// the attempt that at last completes.
func TestEachAttemptIsChargedOnceAndSaysHow(t *testing.T) {
	h := newHarnessWith(t, "ledger = on\n")
	j := job("job-1", 1)
	j["stub_s"], j["stamp_s"] = 5.0, 2.0
	h.until("accepted", func() bool { status, _ := h.call("POST", "/v2/runs", j); return status == 201 || status == 200 })
	notice := 60.0
	ends := []struct {
		how   string
		saves bool
		end   func(k *worker)
	}{
		{"drained", true, func(k *worker) { k.hb.NoticeS = &notice }},
		{"drained", false, func(k *worker) { k.hb.NoticeS = &notice }},
		{"lost", false, func(k *worker) { k.hb.Incarnation++; k.hb.Seq, k.hb.Tasks, k.hb.NoticeS = 0, nil, &notice }},
		{"failed", false, func(k *worker) {
			k.hb.Tasks[0].State, k.hb.Tasks[0].Reason = wire.TaskExited, wire.ExitError
			k.hb.NoticeS = &notice
		}},
		{"done", false, func(k *worker) { k.finish() }},
	}
	for i, e := range ends {
		k := h.worker(fmt.Sprintf("n-9%05d", i), "a")
		k.saves = e.saves
		h.until("it runs", func() bool { k.heartbeat(); h.clock.Advance(tuning.Tick); return k.running() == 1 })
		h.until("that is seen", func() bool { k.heartbeat(); return h.jobState("job-1") == "running" })
		h.clock.Advance(3 * time.Second)
		e.end(k)
		h.until("its end is charged", func() bool {
			k.heartbeat()
			_, out := h.call("GET", ledger.PathTotals+"?team=t", nil)
			sum, _ := out["sum"].(map[string]any)
			return sum != nil && ms(sum["attempts"]) == int64(i+1)
		})
	}
	h.until("done", func() bool { return h.jobState("job-1") == "done" })
	h.until("all charges are told", func() bool {
		status, out := h.call("GET", "/v2/runs/job-1/charges", nil)
		charges, _ := out["charges"].([]any)
		if status != 200 || len(charges) != len(ends) {
			return false
		}
		for i, e := range ends {
			c := charges[i].(map[string]any)
			if saved := c["saved"] == true; c["how"] != e.how || saved != e.saves || c["attempt"] != float64(i+1) || c["core_s"].(float64) < 12 {
				t.Errorf("attempt %d, want %s: %v", i+1, e.how, c)
			}
		}
		return true
	})
}
