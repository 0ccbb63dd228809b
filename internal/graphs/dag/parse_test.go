package dag

import "testing"

// Users read these errors, so they say where the input is wrong and why.
func TestParseJSONSaysWhereAndWhy(t *testing.T) {
	for _, c := range []struct{ name, graph, want string }{
		{"syntax", "{\n\"dag_id\": }", "g.json:2:12: invalid character '}' looking for beginning of value"},
		{"unknown field", "{\"dag_id\": \"g\",\n \"tasks\": [{\"task_id\": \"a\", \"rule\": 1}]}", "g.json:2:41: unknown field \"rule\""},
		{"rule of the wrong type", `{"tasks": [{"trigger_rule": 3}]}`, "g.json:1:30: cannot unmarshal number into Go struct field Step.tasks.trigger_rule of type dag.Rule"},
		{"kind of the wrong type", `{"tasks": [{"kind": 3}]}`, "g.json:1:22: cannot unmarshal number into Go struct field Step.tasks.kind of type dag.Kind"},
		{"number of the wrong type", `{"tasks": [{"job": {"cpus": "two"}}]}`, "g.json:1:34: cannot unmarshal string into Go struct field Job.tasks.job.cpus of type float64"},
		{"duration", `{"tasks": [{"execution_timeout": -1}]}`, "g.json:1:39: -1 s is not a duration from 0 to 8784h0m0s"},
		{"two graphs", "{}{}", "g.json: something follows the graph"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, err := ParseJSON("g.json", []byte(c.graph)); err == nil || err.Error() != c.want {
				t.Errorf("error %v, want %s", err, c.want)
			}
		})
	}
}
