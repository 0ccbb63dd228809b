package userapi

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// Guards against a job that is refused, changed or forgotten after it was accepted. Its submission is repeated with
// other content, after the machine types changed, and after the job's end. Also guards against a cancellation that
// changes the state of a job that is over, and against answers other than 404 for unknown and malformed IDs.
func TestAJobThatWasAcceptedIsNeitherRefusedNorChanged(t *testing.T) {
	h, state := newHandlerWithStore(t)
	do := func(serve http.HandlerFunc, id string, raw []byte) (int, wire.JobStatus) {
		w := httptest.NewRecorder()
		r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, wire.PathJobs, strings.NewReader(string(raw)))
		r.SetPathValue("id", id)
		serve(w, r)
		var s wire.JobStatus
		_ = json.Unmarshal(w.Body.Bytes(), &s) // if the body is no job status, the HTTP status shows it
		return w.Code, s
	}
	if status, _ := do(h.ServeSubmit, "", submissionWith(t, "job-1", nil)); status != http.StatusCreated {
		t.Fatalf("first submission: %d, want 201", status)
	}
	before, _ := state.Value(jobs.KeyJob("job-1"))
	for name, fields := range map[string]map[string]any{"the same": nil, "other content": {"seats": 9, "urgency": "low"}, "more than any machine has": {"cpus": 64}, "an unknown team": {"desk": "nobody"}} {
		if status, s := do(h.ServeSubmit, "", submissionWith(t, "job-1", fields)); status != http.StatusOK || s.State != wire.StateQueued {
			t.Errorf("submission repeated with %s: %d %s", name, status, s.State)
		}
	}
	machineTypes := h.machineTypes
	h.machineTypes = func() []wire.MachineType {
		return []wire.MachineType{{Name: "tiny", CPUs: 1, MemoryGB: 1, Zones: []string{"a"}}}
	}
	if status, _ := do(h.ServeSubmit, "", submissionWith(t, "job-1", nil)); status != http.StatusOK {
		t.Errorf("submission repeated when the job fits no machine type any more: %d", status)
	}
	h.machineTypes = machineTypes
	if after, _ := state.Value(jobs.KeyJob("job-1")); string(after.Value) != string(before.Value) {
		t.Error("the stored job was changed")
	}
	for name, serve := range map[string]http.HandlerFunc{"polled": h.ServeStatus, "cancelled": h.ServeCancel} {
		for _, id := range []string{"job-", "job-x", "7", "", "job-1/0", strings.Repeat("1", 300)} {
			if status, _ := do(serve, id, nil); status != http.StatusNotFound {
				t.Errorf("malformed ID %q %s: %d", id, name, status)
			}
		}
	}
	if status, _ := do(h.ServeStatus, "job-99", nil); status != http.StatusNotFound {
		t.Errorf("poll of a job that nobody submitted: %d", status)
	}
	for id, final := range map[string]wire.JobState{"job-5": wire.StateDone, "job-6": wire.StateCancelled} {
		h.finalStates.Add(wire.JobStatus{ID: id, State: final, Done: 1})
		for name, serve := range map[string]http.HandlerFunc{"polled": h.ServeStatus, "cancelled": h.ServeCancel, "submitted": h.ServeSubmit} {
			if status, s := do(serve, id, submissionWith(t, id, map[string]any{"seats": 3})); status != http.StatusOK || s.State != final {
				t.Errorf("%s, %s again: %d %s", id, name, status, s.State)
			}
		}
	}
}
