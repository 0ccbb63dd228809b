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

// newHarnessWith returns a harness whose controller has these operators' properties.
func newHarnessWith(t *testing.T, properties string) *harness {
	h := newHarness(t)
	h.stop()
	h.clock.Advance(2 * tuning.LeaderLeaseTTL)
	h.state.Expire()
	h.properties = testutil.TempFile(t, "own.properties", properties)
	h.boot()
	return h
}

// asInt64 returns a JSON number of an answer as an integer.
func asInt64(v any) int64 { return int64(v.(float64)) }

func TestAJobIsChargedToItsTeamAndAccount(t *testing.T) {
	metrics := testutil.FreeAddr(t)
	h := newHarnessWith(t, "ledger = on\nmetrics.addr = "+metrics+"\n")
	j := job("job-1", 2)
	j["account"] = "a coach owner"
	h.until("the job is accepted", func() bool { status, _ := h.call("POST", "/v2/runs", j); return status < 300 && status > 0 })
	worker := h.worker("n-000001", "a")
	h.until("both run", func() bool { worker.heartbeat(); return worker.running() == 2 })
	h.until("the job is reported as running", func() bool { worker.heartbeat(); return h.jobState("job-1") == "running" })
	// With one more task the team reaches its limit of 12 CPUs, and the explanation of the next job says so.
	h.submit("job-2", 4)
	h.until("a third task runs", func() bool { worker.heartbeat(); return worker.running() == 3 })
	h.until("the explanation names the team's limit", func() bool {
		status, out := h.call("GET", "/v2/runs/job-2/why", nil)
		return status == 200 && strings.Contains(fmt.Sprint(out["reasons"]), "team's limit")
	})
	for range 4 { // time passes while the worker sends heartbeats
		h.clock.Advance(2 * time.Second)
		h.until("a heartbeat is answered", func() bool { return worker.heartbeat() == 200 })
	}
	h.until("done", func() bool {
		worker.finish()
		worker.heartbeat()
		return h.jobState("job-1") == "done" && h.jobState("job-2") == "done"
	})
	h.until("all attempts are charged", func() bool {
		_, out := h.call("GET", ledger.PathTotals+"?team=t&by=account", nil)
		rows, _ := out["rows"].([]any)
		if len(rows) != 2 {
			return false
		}
		none, owner := rows[0].(map[string]any), rows[1].(map[string]any)
		return owner["account"] == "a coach owner" && asInt64(owner["attempts"]) == 2 && asInt64(none["attempts"]) == 4 &&
			asInt64(owner["run_ms"]) >= 16_000 && asInt64(owner["core_us"]) == 4000*asInt64(owner["run_ms"])
	})
	status, out := h.call("GET", "/v2/runs/job-1/charges", nil)
	if charges, _ := out["charges"].([]any); status != 200 || len(charges) != 2 || charges[0].(map[string]any)["how"] != "done" {
		t.Errorf("the job's charges: %d %v", status, out)
	}
	if status, out := h.call("GET", "/v2/runs/job-1/why", nil); status != 200 || out["status"] != "done" {
		t.Errorf("explanation of a job that is over: %d %v", status, out)
	}
	for path, want := range map[string]int{
		ledger.PathTotals: 400, ledger.PathTotals + "?team=t&by=owner": 400, ledger.PathTotals + "?team=t&from=yesterday": 400,
		"/v2/runs/job-9/why": 404, "/v2/runs/x/charges": 404, ledger.PathBudgets: 200, ledger.PathStats: 200,
	} {
		if status, out := h.call("GET", path, nil); status != want {
			t.Errorf("%s: %d %v, want %d", path, status, out, want)
		}
	}
	if text := h.bodyOf("http://" + h.addr + ledger.PathTotals + "?team=t&format=csv"); !strings.HasPrefix(text, "day,team,account") || strings.Count(text, "\n") != 3 {
		t.Errorf("totals as CSV: %q", text)
	}
	if text := h.bodyOf("http://" + metrics + "/metrics"); !strings.Contains(text, `poppypass_ends_total{class="l",how="done"} 6`) || !strings.Contains(text, "poppypass_leading 1") ||
		!strings.Contains(text, `poppypass_charges_total{how="done",team="t"} 6`) {
		t.Errorf("metrics: %s", text)
	}
	// An account must be a string.
	j["ref"], j["account"] = "job-3", 3
	if status, _ := h.call("POST", "/v2/runs", j); status != 400 {
		t.Errorf("a submission whose account is a number: %d", status)
	}
}

// bodyOf returns the body at a URL, or the text of the error.
func (h *harness) bodyOf(url string) string {
	resp, err := http.Get(url)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	raw, _ := io.ReadAll(resp.Body) // if a part of the body could not be read, the caller's check of the body fails
	return string(raw)
}

// Guards against effects of a ledger that is off: an account in a submission is ignored, as the protocol demands for
// unknown fields, and no record or field of the ledger is written.
func TestWithoutALedgerNothingMoreIsWritten(t *testing.T) {
	h := newHarness(t)
	j := job("job-1", 1)
	j["account"] = 3
	h.until("the job is accepted", func() bool { status, _ := h.call("POST", "/v2/runs", j); return status == 201 || status == 200 })
	worker := h.worker("n-000001", "a")
	h.until("done", func() bool { worker.heartbeat(); worker.finish(); return h.jobState("job-1") == "done" })
	for _, txn := range h.state.Applied() {
		for _, c := range txn.Then {
			if strings.HasPrefix(c.Put, "ledger/") || strings.HasPrefix(c.Put, jobs.PrefixDetached) || strings.Contains(string(c.Value), `"c":`) {
				t.Errorf("%s is written without a ledger: %s", c.Put, c.Value)
			}
		}
	}
	if status, _ := h.call("GET", ledger.PathTotals+"?team=t", nil); status != 404 {
		t.Errorf("totals without a ledger: status %d, want 404", status)
	}
}

// Guards against jobs that run although their team's budget is used up, or are refused for it: such a job is accepted
// and waits, and its explanation names the budget. Production jobs run all the same.
func TestAJobWaitsForItsBudget(t *testing.T) {
	h := newHarnessWith(t, "ledger = on\nbudget.t.ever.core-hours = 0\n")
	h.submit("job-1", 1)
	worker := h.worker("n-000001", "a")
	h.until("the explanation names the budget", func() bool {
		worker.heartbeat()
		_, out := h.call("GET", "/v2/runs/job-1/why", nil)
		return strings.Contains(fmt.Sprint(out["reasons"]), "budget")
	})
	productionJob := job("job-2", 1)
	productionJob["shape"], productionJob["urgency"], productionJob["ride_s"] = wire.KindService, wire.PriorityProduction, 0
	h.until("the production job is accepted", func() bool {
		status, _ := h.call("POST", "/v2/runs", productionJob)
		return status == 201 || status == 200
	})
	h.until("the production job runs", func() bool { worker.heartbeat(); return worker.running() == 1 })
	if worker.starts["job-1/0"] != 0 || h.jobState("job-1") != "pending" {
		t.Error("job-1 did not wait for its budget")
	}
}

// Guards against attempts that are charged twice, not at all, or with a wrong cause of their end. The attempts of one
// task end by a drain with a saved checkpoint, a drain without one, a lost incarnation, a failure, and at last a
// completion.
func TestEachAttemptIsChargedOnceWithTheCauseOfItsEnd(t *testing.T) {
	h := newHarnessWith(t, "ledger = on\n")
	j := job("job-1", 1)
	j["stub_s"], j["stamp_s"] = 5.0, 2.0
	h.until("the job is accepted", func() bool { status, _ := h.call("POST", "/v2/runs", j); return status == 201 || status == 200 })
	notice := 60.0
	ends := []struct {
		how             string
		savesCheckpoint bool
		end             func(w *worker)
	}{
		{"drained", true, func(w *worker) { w.hb.NoticeS = &notice }},
		{"drained", false, func(w *worker) { w.hb.NoticeS = &notice }},
		{"lost", false, func(w *worker) { w.hb.Incarnation++; w.hb.Seq, w.hb.Tasks, w.hb.NoticeS = 0, nil, &notice }},
		{"failed", false, func(w *worker) {
			w.hb.Tasks[0].State, w.hb.Tasks[0].Reason = wire.TaskExited, wire.ExitError
			w.hb.NoticeS = &notice
		}},
		{"done", false, func(w *worker) { w.finish() }},
	}
	for i, e := range ends {
		worker := h.worker(fmt.Sprintf("n-9%05d", i), "a")
		worker.savesCheckpoint = e.savesCheckpoint
		h.until("the attempt runs", func() bool { worker.heartbeat(); h.clock.Advance(tuning.Tick); return worker.running() == 1 })
		h.until("the job is reported as running", func() bool { worker.heartbeat(); return h.jobState("job-1") == "running" })
		h.clock.Advance(3 * time.Second)
		e.end(worker)
		h.until("the ended attempt is charged", func() bool {
			worker.heartbeat()
			_, out := h.call("GET", ledger.PathTotals+"?team=t", nil)
			sum, _ := out["sum"].(map[string]any)
			return sum != nil && asInt64(sum["attempts"]) == int64(i+1)
		})
	}
	h.until("done", func() bool { return h.jobState("job-1") == "done" })
	h.until("the job's charges list all attempts", func() bool {
		status, out := h.call("GET", "/v2/runs/job-1/charges", nil)
		charges, _ := out["charges"].([]any)
		if status != 200 || len(charges) != len(ends) {
			return false
		}
		for i, e := range ends {
			c := charges[i].(map[string]any)
			if saved := c["saved"] == true; c["how"] != e.how || saved != e.savesCheckpoint || c["attempt"] != float64(i+1) || c["core_s"].(float64) < 12 {
				t.Errorf("attempt %d, want %s: %v", i+1, e.how, c)
			}
		}
		return true
	})
}
