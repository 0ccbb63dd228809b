package wire

import (
	"encoding/json"
	"strings"
	"testing"
)

func validJob() map[string]any {
	return map[string]any{
		"ref": "job-000412", "lane": "train", "desk": "vision", "shape": "array", "urgency": "urgent", "seats": 16,
		"cpus": 8.0, "gpus": 1.0, "mem_gb": 64.0, "bundle": "img-07", "image_gb": 6.2,
		"builds": []string{"g8"}, "yard": nil, "same_place": true, "apart": false, "standby": true,
		"ride_s": 240.0, "stub_s": 30.0, "stamp_s": 4.0, "departure_s": 900.0, "new_field": map[string]int{"x": 1},
	}
}

func encode(t *testing.T, v any) []byte {
	t.Helper()
	raw, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func TestParseJobAcceptsAValidJob(t *testing.T) {
	j, err := ParseJob(encode(t, validJob()))
	if err != nil {
		t.Fatal(err)
	}
	if j.ID != "job-000412" || j.Tasks != 16 || j.Types[0] != "g8" || j.Zone != "" || *j.DeadlineS != 900 || !j.OneZone {
		t.Errorf("parsed as %+v", j)
	}
	// Fields that may be null may also be missing.
	fields := validJob()
	delete(fields, "builds")
	delete(fields, "yard")
	delete(fields, "departure_s")
	if j, err = ParseJob(encode(t, fields)); err != nil || j.Types != nil || j.DeadlineS != nil {
		t.Errorf("without the nullable fields: %+v, %v", j, err)
	}
}

func TestParseJobRefusesWhatIsMalformed(t *testing.T) {
	for _, c := range []struct {
		field string
		value any
	}{
		{"ref", "412"}, {"ref", "job-4a"}, {"ref", 412}, {"ref", "job-1/2"}, {"shape", "group"}, {"shape", ""}, {"urgency", "asap"},
		{"seats", 0}, {"seats", -1}, {"seats", 100_001}, {"seats", 1.5}, {"seats", "3"}, {"cpus", -0.5}, {"cpus", "4"},
		{"cpus", nil}, {"gpus", -1}, {"mem_gb", -1}, {"image_gb", -2}, {"ride_s", -1}, {"stub_s", -1}, {"stamp_s", -1},
		{"departure_s", -5}, {"builds", "g8"}, {"builds", []any{nil}}, {"yard", 3}, {"yard", ""}, {"same_place", "yes"}, {"apart", nil},
		{"desk", ""}, {"lane", strings.Repeat("x", 201)}, {"bundle", nil},
	} {
		fields := validJob()
		fields[c.field] = c.value
		if _, err := ParseJob(encode(t, fields)); err == nil {
			t.Errorf("%s = %v was accepted", c.field, c.value)
		} else if strings.Contains(err.Error(), "\n") {
			t.Errorf("%s = %v: the error has more than one line", c.field, c.value)
		}
	}
	for _, body := range []string{"", "null", "[]", `"x"`, "{", `{"cpus":NaN}`, `{"cpus":1e999}`} {
		if _, err := ParseJob([]byte(body)); err == nil {
			t.Errorf("%q was accepted", body)
		}
	}
	for field := range validJob() {
		fields := validJob()
		delete(fields, field)
		_, err := ParseJob(encode(t, fields))
		optional := field == "builds" || field == "yard" || field == "departure_s" || field == "new_field"
		if (err == nil) != optional {
			t.Errorf("without %s: %v", field, err)
		}
	}
}

func TestParseTaskID(t *testing.T) {
	if id, ok := ParseTaskID("job-000412/3"); !ok || id.Job != "job-000412" || id.Index != 3 || id.String() != "job-000412/3" {
		t.Errorf("parsed as %v, %v", id, ok)
	}
	for _, s := range []string{"", "job-1", "job-1/", "job-1/-1", "job-1/100000", "x/1", "job-1/2/3"} {
		if _, ok := ParseTaskID(s); ok {
			t.Errorf("%q was accepted", s)
		}
	}
}
