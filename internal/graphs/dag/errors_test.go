package dag

import (
	"encoding/json"
	"errors"
	"testing"
)

// Callers tell errors apart by type.
func TestErrorsOfRunsHaveTypes(t *testing.T) {
	r := NewRun(newTestPlan(t, step("a"), changed(step("pick"), func(s *Step) { s.Kind = KindBranch })), "run")
	var result *ResultError
	if err := r.SetResult(0, json.RawMessage(`1`)); !errors.As(err, &result) || result.Step != "a" {
		t.Errorf("a result of a step that does not run: %v", err)
	}
	r.runReady(noon)
	if err := r.JobDone(r.ref("pick")); !errors.As(err, &result) || result.Step != "pick" {
		t.Errorf("a branch without a result: %v", err)
	}
	var unknown *UnknownStepError
	if _, err := r.StepsToClear([]string{"b"}, false, false); !errors.As(err, &unknown) || unknown.Step != "b" {
		t.Errorf("a clear of an unknown step: %v", err)
	}
	for name, raw := range map[string][]byte{"malformed": []byte("x"), "of another graph": NewRun(newTestPlan(t, step("a")), "other").Encode()} {
		if _, err := DecodeRun(r.Plan, raw); !errors.Is(err, ErrStoredRun) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
