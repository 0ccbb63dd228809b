package dag

import "slices"

// Rule is a trigger rule: it says which states of the steps before it let a step start. The
// name of the type stands in errors of ParseJSON, which users read.
type Rule string

// The trigger rules of Airflow 2. The empty rule is AllSuccess.
const (
	AllSuccess              Rule = "all_success"
	AllFailed               Rule = "all_failed"
	AllDone                 Rule = "all_done"
	AllSkipped              Rule = "all_skipped"
	OneSuccess              Rule = "one_success"
	OneFailed               Rule = "one_failed"
	OneDone                 Rule = "one_done"
	NoneFailed              Rule = "none_failed"
	NoneFailedMinOneSuccess Rule = "none_failed_min_one_success"
	NoneSkipped             Rule = "none_skipped"
	Always                  Rule = "always"
)

// rules are the names of all trigger rules.
var rules = []string{
	string(AllSuccess), string(AllFailed), string(AllDone), string(AllSkipped), string(OneSuccess), string(OneFailed), string(OneDone),
	string(NoneFailed), string(NoneFailedMinOneSuccess), string(NoneSkipped), string(Always),
}

// Rules returns the names of all trigger rules.
func Rules() []string { return slices.Clone(rules) }

// Known reports whether a text is a trigger rule; the empty one is.
func (r Rule) Known() bool { return r == "" || slices.Contains(rules, string(r)) }

// UpstreamCounts counts the instances of the steps that a step follows, by final state. A
// mapped step counts once for each element.
type UpstreamCounts struct {
	Total          int // with those that have not ended
	Success        int
	Failed         int
	Skipped        int
	UpstreamFailed int
}

// Add counts n more instances in a state, final or not.
func (c *UpstreamCounts) Add(s State, n int) {
	c.Total += n
	switch s {
	case Success:
		c.Success += n
	case Failed:
		c.Failed += n
	case Skipped:
		c.Skipped += n
	case UpstreamFailed:
		c.UpstreamFailed += n
	}
}

// finish counts the final state of an instance that is in Total already.
func (c *UpstreamCounts) finish(s State) {
	c.Add(s, 1)
	c.Total--
}

// Finished returns how many instances have ended.
func (c *UpstreamCounts) Finished() int { return c.Success + c.Failed + c.Skipped + c.UpstreamFailed }

// failures returns how many instances did not run to their end.
func (c *UpstreamCounts) failures() int { return c.Failed + c.UpstreamFailed }

// Evaluate applies a rule for a step that has not started: Scheduled, it may start; Skipped
// or UpstreamFailed, it never will; None, that is still open. Once a rule lets a step start,
// or rules it out, further ends do not change that. Which of the two ways of not starting
// applies depends on which end comes first, as in Airflow.
func (r Rule) Evaluate(c UpstreamCounts) State {
	failures := c.failures()
	over := c.Finished() == c.Total
	switch r {
	case AllFailed:
		return decide(failures == c.Total, false, c.Success+c.Skipped > 0)
	case AllDone:
		return decide(over, false, false)
	case AllSkipped:
		return decide(c.Skipped == c.Total, false, c.Success+failures > 0)
	case OneSuccess, OneFailed, OneDone:
		return r.evaluateOne(c)
	case NoneFailed:
		return decide(over, failures > 0, false)
	case NoneFailedMinOneSuccess:
		return decide(over, failures > 0, over && c.Total > 0 && c.Success == 0)
	case NoneSkipped:
		return decide(over, false, c.Skipped > 0)
	case Always:
		return Scheduled
	default: // AllSuccess
		return decide(over, failures > 0, c.Skipped > 0)
	}
}

// evaluateOne applies the rules that one end satisfies, whatever the others are.
func (r Rule) evaluateOne(c UpstreamCounts) State {
	over := c.Finished() == c.Total
	switch {
	case r == OneSuccess && c.Success > 0,
		r == OneFailed && c.failures() > 0,
		r == OneDone && c.Success+c.Failed > 0:
		return Scheduled
	case r == OneSuccess:
		return decide(c.Total == 0, over && c.Total > 0 && c.Skipped < c.Total, over && c.Total > 0)
	}
	return decide(false, false, over)
}

// decide returns the state for what a rule found. A failure counts before a skip, and both
// before readiness.
func decide(ready, failed, skipped bool) State {
	switch {
	case failed:
		return UpstreamFailed
	case skipped:
		return Skipped
	case ready:
		return Scheduled
	}
	return None
}
