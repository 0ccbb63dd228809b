package userapi

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/sim/fakes"
)

// changed is a good submission of a job with some fields changed; nil takes a field away.
func changed(t *testing.T, id string, fields map[string]any) []byte {
	t.Helper()
	var m map[string]any
	if err := json.Unmarshal(body, &m); err != nil {
		t.Fatal(err)
	}
	m["ref"] = id
	for name, v := range fields {
		if m[name] = v; v == nil {
			delete(m, name)
		}
	}
	raw, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// null is a field that is there and null.
var null = json.RawMessage("null")

// Guards against jobs that are accepted though they lack a field or can never run, and against good ones that are refused: every field
// missing, null, of a wrong type and out of range, what is unknown, and what fits nowhere. The answer is one line that names the
// field, nothing is stored, and each member says the same.
func TestOddSubmissions(t *testing.T) {
	state := fakes.NewStore(clockwork.NewFakeClock())
	t.Cleanup(state.Close)
	members := []*Handler{}
	for range 2 {
		d, _ := handlerWith(t, state.Addr())
		members = append(members, d)
	}
	submit := func(d *Handler, raw []byte) (int, string) {
		w := httptest.NewRecorder()
		d.ServeSubmit(w, httptest.NewRequestWithContext(t.Context(), http.MethodPost, wire.PathJobs, strings.NewReader(string(raw))))
		var out wire.Error
		_ = json.Unmarshal(w.Body.Bytes(), &out) // an accepted job's answer has no error
		return w.Code, out.Error
	}
	type odd struct {
		name   string
		fields map[string]any
		status int
		names  string // what the answer names
	}
	var cases []odd
	wrong := map[string][]any{ // of a wrong type, or out of range
		"ref": {7, "", "7", "job-", "job-x", "job-1/0", "JOB-1", "job-" + strings.Repeat("1", 33)}, "lane": {1, "", strings.Repeat("x", 201)}, "desk": {1, "", []string{"t"}},
		"shape": {1, "", "group", "Array"}, "urgency": {2, "", "high"}, "seats": {0, -1, 1.5, "1", 100_001, true}, "cpus": {-1, "4", true}, "gpus": {-1, "0"},
		"mem_gb": {-0.1, "1"}, "bundle": {1, ""}, "image_gb": {-1, "1"}, "same_place": {0, "no"}, "apart": {1, "yes"}, "standby": {1, "yes"},
		"ride_s": {-1, "10"}, "stub_s": {-1, "0"}, "stamp_s": {-1, "0"}, "departure_s": {-1, "900"}, "builds": {"g8", 1, []any{1}, []any{nil}}, "yard": {1, "", []string{"a"}},
	}
	for field, values := range wrong {
		for _, v := range values {
			cases = append(cases, odd{fmt.Sprintf("%s = %v", field, v), map[string]any{field: v}, http.StatusBadRequest, field})
		}
		nullable := field == "builds" || field == "yard" || field == "departure_s"
		status := http.StatusBadRequest
		if nullable {
			status = http.StatusCreated
		}
		cases = append(cases, odd{field + " is missing", map[string]any{field: nil}, status, field}, odd{field + " is null", map[string]any{field: null}, status, field})
	}
	cases = append(cases,
		odd{"unknown team", map[string]any{"desk": "nobody"}, http.StatusUnprocessableEntity, "team"},
		odd{"unknown type", map[string]any{"builds": []string{"h9"}}, http.StatusUnprocessableEntity, "type"},
		odd{"no type", map[string]any{"builds": []string{}}, http.StatusUnprocessableEntity, "type"},
		odd{"unknown zone", map[string]any{"yard": "z"}, http.StatusUnprocessableEntity, "type"},
		odd{"a zone in which the type is not", map[string]any{"yard": "b", "builds": []string{"g8"}}, http.StatusUnprocessableEntity, "type"},
		odd{"too many CPUs for any machine", map[string]any{"cpus": 17}, http.StatusUnprocessableEntity, "type"},
		odd{"too much memory", map[string]any{"mem_gb": 65}, http.StatusUnprocessableEntity, "type"},
		odd{"GPUs that no machine has", map[string]any{"gpus": 1, "cpus": 1}, http.StatusUnprocessableEntity, ""},
		odd{"a task beyond the team's limit", map[string]any{"cpus": 101}, http.StatusUnprocessableEntity, "limit"},
		odd{"a service beyond the team's limit", map[string]any{"shape": "service", "seats": 26}, http.StatusUnprocessableEntity, "limit"},
		odd{"an array whose tasks together are beyond it", map[string]any{"seats": 26}, http.StatusCreated, ""},
		odd{"a service at the limit", map[string]any{"shape": "service", "seats": 25}, http.StatusCreated, ""},
		// Half of its tasks may run at a time, which is not among the protocol's reasons for 422.
		odd{"same_place and apart", map[string]any{"same_place": true, "apart": true, "seats": 4}, http.StatusCreated, ""},
		odd{"apart in one zone", map[string]any{"yard": "a", "apart": true, "seats": 4}, http.StatusCreated, ""},
		odd{"a field that nobody knows", map[string]any{"colour": "red"}, http.StatusCreated, ""},
		odd{"numbers as the protocol writes them", map[string]any{"cpus": json.RawMessage("4.0"), "ride_s": json.RawMessage("1e2")}, http.StatusCreated, ""},
	)
	for i, c := range cases {
		id := fmt.Sprintf("job-%d", 1000+i)
		raw := changed(t, id, c.fields)
		for n, d := range members {
			want := c.status
			if n > 0 && want == http.StatusCreated {
				want = http.StatusOK // it is known
			}
			status, text := submit(d, raw)
			if status != want || strings.Contains(text, "\n") || status >= 400 && (text == "" || !strings.Contains(text, c.names)) {
				t.Errorf("%s: member %d answers %d %q, want %d", c.name, n, status, text, want)
			}
		}
		if _, stored := state.Value(jobs.KeyJob(id)); stored != (c.status == http.StatusCreated) {
			t.Errorf("%s: stored: %v", c.name, stored)
		}
	}
	for _, raw := range []string{"", "null", "[]", "7", `"x"`, "{", `{"ref":"job-1"`, "\x00", strings.Repeat("x", wire.MaxBody+1)} {
		if status, text := submit(members[0], []byte(raw)); status != http.StatusBadRequest || text == "" || strings.Contains(text, "\n") {
			t.Errorf("%.20q: %d %q", raw, status, text)
		}
	}
}

// Guards against a job that is refused, changed or forgotten once it was accepted: repeated with other content, after the machine
// types changed, after its end; and against cancelling what is done, and ids that nobody knows.
func TestOddRequestsForKnownJobs(t *testing.T) {
	state := fakes.NewStore(clockwork.NewFakeClock())
	t.Cleanup(state.Close)
	d, _ := handlerWith(t, state.Addr())
	do := func(serve http.HandlerFunc, id string, raw []byte) (int, wire.JobStatus) {
		w := httptest.NewRecorder()
		r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, wire.PathJobs, strings.NewReader(string(raw)))
		r.SetPathValue("id", id)
		serve(w, r)
		var s wire.JobStatus
		_ = json.Unmarshal(w.Body.Bytes(), &s) // what is not a job's state says so by its status
		return w.Code, s
	}
	if status, _ := do(d.ServeSubmit, "", changed(t, "job-1", nil)); status != http.StatusCreated {
		t.Fatalf("not accepted: %d", status)
	}
	before, _ := state.Value(jobs.KeyJob("job-1"))
	for name, fields := range map[string]map[string]any{"the same": nil, "other content": {"seats": 9, "urgency": "low"}, "more than any machine has": {"cpus": 64}, "an unknown team": {"desk": "nobody"}} {
		if status, s := do(d.ServeSubmit, "", changed(t, "job-1", fields)); status != http.StatusOK || s.State != wire.StateQueued {
			t.Errorf("repeated with %s: %d %s", name, status, s.State)
		}
	}
	types := d.types
	d.types = func() []wire.MachineType {
		return []wire.MachineType{{Name: "tiny", CPUs: 1, MemoryGB: 1, Zones: []string{"a"}}}
	}
	if status, _ := do(d.ServeSubmit, "", changed(t, "job-1", nil)); status != http.StatusOK {
		t.Errorf("repeated when it fits no machine any more: %d", status)
	}
	d.types = types
	if after, _ := state.Value(jobs.KeyJob("job-1")); string(after.Value) != string(before.Value) {
		t.Error("the stored job was changed")
	}
	for name, serve := range map[string]http.HandlerFunc{"asked": d.ServeStatus, "cancelled": d.ServeCancel} {
		for _, id := range []string{"job-", "job-x", "7", "", "job-1/0", strings.Repeat("1", 300)} {
			if status, _ := do(serve, id, nil); status != http.StatusNotFound {
				t.Errorf("%q %s: %d", id, name, status)
			}
		}
	}
	if status, _ := do(d.ServeStatus, "job-99", nil); status != http.StatusNotFound {
		t.Errorf("one that nobody submitted: %d", status)
	}
	for id, final := range map[string]wire.JobState{"job-5": wire.StateDone, "job-6": wire.StateCancelled} {
		d.finalStates.Add(wire.JobStatus{ID: id, State: final, Done: 1})
		for name, serve := range map[string]http.HandlerFunc{"asked": d.ServeStatus, "cancelled": d.ServeCancel, "submitted": d.ServeSubmit} {
			if status, s := do(serve, id, changed(t, id, map[string]any{"seats": 3})); status != http.StatusOK || s.State != final {
				t.Errorf("%s, %s again: %d %s", id, name, status, s.State)
			}
		}
	}
}
