package dag

import "slices"

// Rule is a trigger rule: it says which states of the upstream steps let a step start. The type's name
// appears in errors of ParseJSON, which users read, so it must not change.
type Rule string

// The trigger rules of Airflow 2. An empty Rule means AllSuccess.
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

// rules contains the names of all trigger rules.
var rules = []string{
	string(AllSuccess), string(AllFailed), string(AllDone), string(AllSkipped), string(OneSuccess), string(OneFailed), string(OneDone),
	string(NoneFailed), string(NoneFailedMinOneSuccess), string(NoneSkipped), string(Always),
}

// Rules returns the names of all trigger rules.
func Rules() []string { return slices.Clone(rules) }

// Known reports whether r is a trigger rule. The empty Rule counts as one.
func (r Rule) Known() bool { return r == "" || slices.Contains(rules, string(r)) }

// UpstreamCounts counts the instances of a step's directly upstream steps, by final state. A mapped step
// counts once for each element. A step without instances counts once.
type UpstreamCounts struct {
	Total          int // all instances, including those that have not ended
	Success        int
	Failed         int
	Skipped        int
	UpstreamFailed int
}

// Add adds n instances in a state, which need not be final.
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

// finish adds the final state of an instance that Total already includes.
func (c *UpstreamCounts) finish(s State) {
	c.Add(s, 1)
	c.Total--
}

// Finished returns the number of instances in a final state.
func (c *UpstreamCounts) Finished() int { return c.Success + c.Failed + c.Skipped + c.UpstreamFailed }

// failures returns the number of instances in the states Failed and UpstreamFailed.
func (c *UpstreamCounts) failures() int { return c.Failed + c.UpstreamFailed }

// Evaluate applies the rule to a step that has not started. It returns Scheduled if the step may start,
// Skipped or UpstreamFailed if it never will, and None if that is not decided yet. Once a rule lets a step
// start or excludes it, later ends of upstream instances do not change that. Whether an excluded step is
// Skipped or UpstreamFailed depends on which upstream instance ends first, as in Airflow.
func (r Rule) Evaluate(c UpstreamCounts) State {
	failures := c.failures()
	allEnded := c.Finished() == c.Total
	switch r {
	case AllFailed:
		return decide(failures == c.Total, false, c.Success+c.Skipped > 0)
	case AllDone:
		return decide(allEnded, false, false)
	case AllSkipped:
		return decide(c.Skipped == c.Total, false, c.Success+failures > 0)
	case OneSuccess, OneFailed, OneDone:
		return r.evaluateOne(c)
	case NoneFailed:
		return decide(allEnded, failures > 0, false)
	case NoneFailedMinOneSuccess:
		return decide(allEnded, failures > 0, allEnded && c.Total > 0 && c.Success == 0)
	case NoneSkipped:
		return decide(allEnded, false, c.Skipped > 0)
	case Always:
		return Scheduled
	default: // AllSuccess
		return decide(allEnded, failures > 0, c.Skipped > 0)
	}
}

// evaluateOne applies the rules OneSuccess, OneFailed and OneDone, which a single ended instance can satisfy.
func (r Rule) evaluateOne(c UpstreamCounts) State {
	allEnded := c.Finished() == c.Total
	switch {
	case r == OneSuccess && c.Success > 0,
		r == OneFailed && c.failures() > 0,
		r == OneDone && c.Success+c.Failed > 0:
		return Scheduled
	case r == OneSuccess:
		return decide(c.Total == 0, allEnded && c.Total > 0 && c.Skipped < c.Total, allEnded && c.Total > 0)
	}
	return decide(false, false, allEnded)
}

// decide returns the state that a rule's conditions lead to. A failure takes precedence over a skip, and both
// take precedence over readiness.
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
