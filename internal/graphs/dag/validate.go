package dag

import (
	"errors"
	"fmt"
	"strings"
)

// errorf returns an *Error about the step with the given ID, or about the graph as a whole if step is empty.
func (g *Graph) errorf(step, format string, args ...any) error {
	return &Error{Graph: g.ID, Step: step, Text: fmt.Sprintf(format, args...)}
}

// validate checks the graph's own fields and the number of its steps; Step.validate checks each step. The
// error is an *Error.
func (g *Graph) validate() error {
	switch {
	case !ValidName(g.ID):
		return g.errorf("", "dag_id is not a name of letters, digits, dashes, dots and underscores")
	case g.Team == "" || len(g.Team) > MaxNameBytes:
		return g.errorf("", "the team is missing")
	case len(g.Steps) == 0 || len(g.Steps) > MaxSteps:
		return g.errorf("", "it has %d steps; 1 to %d are allowed", len(g.Steps), MaxSteps)
	case g.MaxRuns < 0 || g.MaxTasks < 0:
		return g.errorf("", "max_active_runs or max_active_tasks is negative")
	case g.Start != nil && g.End != nil && g.End.Before(*g.Start):
		return g.errorf("", "it ends before it starts")
	}
	if _, err := ParseSchedule(g.Schedule, g.Timezone); err != nil {
		return g.errorf("", "%v", err)
	}
	return nil
}

// validate checks what can be checked without knowing the other steps of the graph.
func (s *Step) validate() error {
	if err := s.validateKind(); err != nil {
		return err
	}
	switch {
	case s.Job != nil && s.Job.Kind != "" && s.Job.Kind != "array":
		return errors.New("its job is not an array: nothing else comes to an end")
	case s.Kind == KindBranch && s.Map != nil:
		return errors.New("a branch is not mapped")
	case !s.Rule.Known():
		return fmt.Errorf("trigger_rule %q is unknown; it can be %s", s.Rule, strings.Join(Rules(), ", "))
	case s.Retries < 0 || s.Retries > maxRetries:
		return fmt.Errorf("retries is %d; 0 to %d are allowed", s.Retries, maxRetries)
	case s.PoolSlots < 0 || s.Weight < 0:
		return errors.New("pool_slots or priority_weight is negative")
	case s.Map != nil && (s.Map.Over != "") == (s.Map.List != nil):
		return errors.New("expand takes either a list or a step")
	case s.Map != nil && len(s.Map.List) > MaxMappedInstances:
		return fmt.Errorf("it is mapped over %d elements; up to %d are allowed", len(s.Map.List), MaxMappedInstances)
	}
	return nil
}

// validateKind checks that the step's kind is known, and that the step has the fields that its kind requires
// and none that its kind excludes.
func (s *Step) validateKind() error {
	switch s.Kind {
	case KindJob, KindBranch:
		if s.Job == nil {
			return errors.New("its job is missing")
		}
	case KindEmpty:
		if s.Job != nil {
			return errors.New("an empty step has no job")
		}
		if s.Map != nil {
			return errors.New("an empty step is not mapped")
		}
	default:
		return fmt.Errorf("kind %q is unknown; it can be job, branch or empty", s.Kind)
	}
	return nil
}

// ValidName reports whether s is a valid name of a graph or step: 1 to MaxNameBytes ASCII letters, digits,
// dashes, dots and underscores.
func ValidName(s string) bool {
	if s == "" || len(s) > MaxNameBytes {
		return false
	}
	for i := range len(s) {
		c := s[i]
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '_' || c == '-' || c == '.') {
			return false
		}
	}
	return true
}
