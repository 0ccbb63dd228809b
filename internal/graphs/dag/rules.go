package dag

import "slices"

// State is the state of a step, or of one instance of a mapped one, in a run.
type State uint8

// The states, by Airflow's names.
const (
	None           State = iota // it waits for the steps that it follows
	Scheduled                   // it is ready; what bounds the run lets it wait
	Queued                      // its job is submitted and no task runs
	Running                     // its job runs
	UpForRetry                  // it rests before its next try
	Success                     // done
	Failed                      // its tries are used up
	Skipped                     // it is not needed
	UpstreamFailed              // it cannot run, since one that it follows failed
	stateCount     = iota
)

var stateNames = [stateCount]string{"none", "scheduled", "queued", "running", "up_for_retry", "success", "failed", "skipped", "upstream_failed"}

// String returns the state's name.
func (s State) String() string {
	if s < stateCount {
		return stateNames[s]
	}
	return "unknown"
}

// MarshalText returns the state's name.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Final reports whether a step in this state stays in it, unless it is cleared.
func (s State) Final() bool { return s >= Success && s < stateCount }

// TriggerRule says which ends of the steps before it let a step begin.
type TriggerRule string

// The trigger rules of Airflow 2. The empty rule is AllSuccess.
const (
	AllSuccess              TriggerRule = "all_success"
	AllFailed               TriggerRule = "all_failed"
	AllDone                 TriggerRule = "all_done"
	AllSkipped              TriggerRule = "all_skipped"
	OneSuccess              TriggerRule = "one_success"
	OneFailed               TriggerRule = "one_failed"
	OneDone                 TriggerRule = "one_done"
	NoneFailed              TriggerRule = "none_failed"
	NoneFailedMinOneSuccess TriggerRule = "none_failed_min_one_success"
	NoneSkipped             TriggerRule = "none_skipped"
	Always                  TriggerRule = "always"
)

var triggerRules = []string{
	string(AllSuccess), string(AllFailed), string(AllDone), string(AllSkipped), string(OneSuccess), string(OneFailed), string(OneDone),
	string(NoneFailed), string(NoneFailedMinOneSuccess), string(NoneSkipped), string(Always),
}

// TriggerRules names the trigger rules.
func TriggerRules() []string { return slices.Clone(triggerRules) }

// Known reports whether it is a rule.
func (r TriggerRule) Known() bool { return r == "" || slices.Contains(triggerRules, string(r)) }

// UpstreamCounts counts how the steps before a step ended, by instance: a mapped step counts once
// for each element.
type UpstreamCounts struct {
	Total          int // there are
	Success        int
	Failed         int
	Skipped        int
	UpstreamFailed int
}

// Add counts one more state.
func (e *UpstreamCounts) Add(s State, n int) {
	e.Total += n
	switch s {
	case Success:
		e.Success += n
	case Failed:
		e.Failed += n
	case Skipped:
		e.Skipped += n
	case UpstreamFailed:
		e.UpstreamFailed += n
	}
}

// Finished is how many have ended.
func (e *UpstreamCounts) Finished() int { return e.Success + e.Failed + e.Skipped + e.UpstreamFailed }

// Evaluate says what the ends so far mean for a step that has not begun: Scheduled, it may
// begin; Skipped or UpstreamFailed, it never will; None, that is still open. Once it
// says that a step may begin, or never will, further ends do not change that. Which
// of the two ways of not beginning it is depends on which end comes first, as in Airflow.
func (r TriggerRule) Evaluate(e UpstreamCounts) State {
	bad := e.Failed + e.UpstreamFailed
	over := e.Finished() == e.Total
	verdict := func(ready, failed, skipped bool) State {
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
	switch r {
	case AllFailed:
		return verdict(bad == e.Total, false, e.Success+e.Skipped > 0)
	case AllDone:
		return verdict(over, false, false)
	case AllSkipped:
		return verdict(e.Skipped == e.Total, false, e.Success+bad > 0)
	case OneSuccess:
		if e.Success > 0 {
			return Scheduled
		}
		return verdict(e.Total == 0, over && e.Total > 0 && e.Skipped < e.Total, over && e.Total > 0)
	case OneFailed:
		if bad > 0 {
			return Scheduled
		}
		return verdict(false, false, over)
	case OneDone:
		if e.Success+e.Failed > 0 {
			return Scheduled
		}
		return verdict(false, false, over)
	case NoneFailed:
		return verdict(over, bad > 0, false)
	case NoneFailedMinOneSuccess:
		return verdict(over, bad > 0, over && e.Total > 0 && e.Success == 0)
	case NoneSkipped:
		return verdict(over, false, e.Skipped > 0)
	case Always:
		return Scheduled
	}
	return verdict(over, bad > 0, e.Skipped > 0)
}
