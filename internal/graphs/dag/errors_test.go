package dag

import (
	"encoding/json"
	"errors"
	"testing"
)

// Callers distinguish the errors of a run by their types.
func TestErrorsOfRunsHaveTypes(t *testing.T) {
	r := NewRun(newTestPlan(t, step("a"), changed(step("pick"), func(s *Step) { s.Kind = KindBranch })), "run")
	var result *ResultError
	if err := r.SetResult(0, json.RawMessage(`1`)); !errors.As(err, &result) || result.Step != "a" {
		t.Errorf("SetResult of a step that is not running: error %v, want a ResultError of step a", err)
	}
	r.runReady(noon)
	if err := r.JobDone(r.ref("pick")); !errors.As(err, &result) || result.Step != "pick" {
		t.Errorf("JobDone of a branch without a result: error %v, want a ResultError of step pick", err)
	}
	var unknown *UnknownStepError
	if _, err := r.StepsToClear([]string{"b"}, false, false); !errors.As(err, &unknown) || unknown.Step != "b" {
		t.Errorf("StepsToClear of an unknown step: error %v, want an UnknownStepError of step b", err)
	}
	for name, raw := range map[string][]byte{"malformed": []byte("x"), "of another graph": NewRun(newTestPlan(t, step("a")), "other").Encode()} {
		if _, err := DecodeRun(r.Plan, raw); !errors.Is(err, ErrStoredRun) {
			t.Errorf("DecodeRun of a stored run that is %s: error %v, want ErrStoredRun", name, err)
		}
	}
}
