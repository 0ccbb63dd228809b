package userapi

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/sim/fakes"
)

// submissionWith returns a valid submission with this job ID and some fields changed; nil removes a field.
func submissionWith(t *testing.T, id string, fields map[string]any) []byte {
	t.Helper()
	var m map[string]any
	if err := json.Unmarshal(submissionBody, &m); err != nil {
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

// jsonNull is the value of a field that is present and null.
var jsonNull = json.RawMessage("null")

// submissionCase is a valid submission with some fields changed, and the answer to it.
type submissionCase struct {
	name          string
	fields        map[string]any
	status        int
	errorMentions string // what the error text must contain
}

// submissionCases returns submissions with one field missing, null, of a wrong type or out of range, ones that no
// machine or limit allows, and unusual valid ones.
func submissionCases() []submissionCase {
	var cases []submissionCase
	wrong := map[string][]any{ // by field: values of a wrong type or out of range
		"ref": {7, "", "7", "job-", "job-x", "job-1/0", "JOB-1", "job-" + strings.Repeat("1", 33)}, "lane": {1, "", strings.Repeat("x", 201)}, "desk": {1, "", []string{"t"}},
		"shape": {1, "", "group", "Array"}, "urgency": {2, "", "high"}, "seats": {0, -1, 1.5, "1", 100_001, true}, "cpus": {-1, "4", true}, "gpus": {-1, "0"},
		"mem_gb": {-0.1, "1"}, "bundle": {1, ""}, "image_gb": {-1, "1"}, "same_place": {0, "no"}, "apart": {1, "yes"}, "standby": {1, "yes"},
		"ride_s": {-1, "10"}, "stub_s": {-1, "0"}, "stamp_s": {-1, "0"}, "departure_s": {-1, "900"}, "builds": {"g8", 1, []any{1}, []any{nil}}, "yard": {1, "", []string{"a"}},
	}
	for field, values := range wrong {
		for _, v := range values {
			cases = append(cases, submissionCase{fmt.Sprintf("%s = %v", field, v), map[string]any{field: v}, http.StatusBadRequest, field})
		}
		nullable := field == "builds" || field == "yard" || field == "departure_s"
		status := http.StatusBadRequest
		if nullable {
			status = http.StatusCreated
		}
		cases = append(cases, submissionCase{field + " is missing", map[string]any{field: nil}, status, field}, submissionCase{field + " is null", map[string]any{field: jsonNull}, status, field})
	}
	cases = append(cases,
		submissionCase{"unknown team", map[string]any{"desk": "nobody"}, http.StatusUnprocessableEntity, "team"},
		submissionCase{"unknown type", map[string]any{"builds": []string{"h9"}}, http.StatusUnprocessableEntity, "type"},
		submissionCase{"no type", map[string]any{"builds": []string{}}, http.StatusUnprocessableEntity, "type"},
		submissionCase{"unknown zone", map[string]any{"yard": "z"}, http.StatusUnprocessableEntity, "type"},
		submissionCase{"a zone without the type", map[string]any{"yard": "b", "builds": []string{"g8"}}, http.StatusUnprocessableEntity, "type"},
		submissionCase{"too many CPUs for any machine", map[string]any{"cpus": 17}, http.StatusUnprocessableEntity, "type"},
		submissionCase{"too much memory", map[string]any{"mem_gb": 65}, http.StatusUnprocessableEntity, "type"},
		submissionCase{"GPUs that no machine has", map[string]any{"gpus": 1, "cpus": 1}, http.StatusUnprocessableEntity, ""},
		submissionCase{"a task beyond the team's limit", map[string]any{"cpus": 101}, http.StatusUnprocessableEntity, "limit"},
		submissionCase{"a service beyond the team's limit", map[string]any{"shape": "service", "seats": 26}, http.StatusUnprocessableEntity, "limit"},
		submissionCase{"an array whose tasks together exceed the team's limit", map[string]any{"seats": 26}, http.StatusCreated, ""},
		submissionCase{"a service at the limit", map[string]any{"shape": "service", "seats": 25}, http.StatusCreated, ""},
		// Such a job is accepted though only half of its tasks can run at a time: the protocol does not name that as a
		// reason for 422.
		submissionCase{"same_place and apart", map[string]any{"same_place": true, "apart": true, "seats": 4}, http.StatusCreated, ""},
		submissionCase{"apart in one zone", map[string]any{"yard": "a", "apart": true, "seats": 4}, http.StatusCreated, ""},
		submissionCase{"a record longer than a value", map[string]any{"builds": append(slices.Repeat([]string{strings.Repeat("x", 199)}, 100), "g8")}, http.StatusBadRequest, "16384 are allowed"},
		submissionCase{"a field that nobody knows", map[string]any{"colour": "red"}, http.StatusCreated, ""},
		submissionCase{"numbers as the protocol writes them", map[string]any{"cpus": json.RawMessage("4.0"), "ride_s": json.RawMessage("1e2")}, http.StatusCreated, ""},
	)
	return cases
}

// Guards against jobs that are accepted although they lack a field or can never run, and against valid ones that are
// refused: every field missing, null, of a wrong type and out of range, unknown names, and jobs that fit no machine
// type or limit. The answer is one line that names the field, nothing is stored, and each member gives the same
// answer.
func TestSubmissionsAreValidated(t *testing.T) {
	state := fakes.NewStore(clockwork.NewFakeClock())
	t.Cleanup(state.Close)
	members := []*Handler{}
	for range 2 {
		h, _ := newHandler(t, state.Addr())
		members = append(members, h)
	}
	submit := func(h *Handler, raw []byte) (int, string) {
		w := httptest.NewRecorder()
		h.ServeSubmit(w, httptest.NewRequestWithContext(t.Context(), http.MethodPost, wire.PathJobs, strings.NewReader(string(raw))))
		var out wire.Error
		_ = json.Unmarshal(w.Body.Bytes(), &out) // the answer to an accepted job has no error text
		return w.Code, out.Error
	}
	for i, c := range submissionCases() {
		id := fmt.Sprintf("job-%d", 1000+i)
		raw := submissionWith(t, id, c.fields)
		for n, h := range members {
			want := c.status
			if n > 0 && want == http.StatusCreated {
				want = http.StatusOK // the first member has stored it
			}
			status, text := submit(h, raw)
			if status != want || strings.Contains(text, "\n") || status >= 400 && (text == "" || !strings.Contains(text, c.errorMentions)) {
				t.Errorf("%s: member %d answers %d %q, want %d", c.name, n, status, text, want)
			}
		}
		if _, stored := state.Value(jobs.KeyJob(id)); stored != (c.status == http.StatusCreated) {
			t.Errorf("%s: stored is %v, want the opposite", c.name, stored)
		}
	}
	for _, raw := range []string{"", "null", "[]", "7", `"x"`, "{", `{"ref":"job-1"`, "\x00", strings.Repeat("x", wire.MaxBody+1)} {
		if status, text := submit(members[0], []byte(raw)); status != http.StatusBadRequest || text == "" || strings.Contains(text, "\n") {
			t.Errorf("body %.20q: status %d, error %q, want 400 and one line", raw, status, text)
		}
	}
}
