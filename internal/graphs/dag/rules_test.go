package dag

import (
	"testing"

	"pgregory.net/rapid"
)

func TestTriggerRulesDecideByUpstreamStates(t *testing.T) {
	S, F, K, U, N := Success, Failed, Skipped, UpstreamFailed, None
	for _, c := range []struct {
		rule     Rule
		upstream []State
		want     State
	}{
		{"", []State{}, Scheduled}, {"", []State{S, S}, Scheduled}, {"", []State{S, N}, None}, {"", []State{F, N}, UpstreamFailed}, {"", []State{K, N}, Skipped}, {"", []State{U}, UpstreamFailed},
		{AllFailed, []State{F, U}, Scheduled}, {AllFailed, []State{S, N}, Skipped}, {AllFailed, []State{F, N}, None},
		{AllDone, []State{F, S, K, U}, Scheduled}, {AllDone, []State{F, N}, None},
		{AllSkipped, []State{K, K}, Scheduled}, {AllSkipped, []State{K, S}, Skipped},
		{OneSuccess, []State{S, N}, Scheduled}, {OneSuccess, []State{F, N}, None}, {OneSuccess, []State{F, K}, UpstreamFailed}, {OneSuccess, []State{K, K}, Skipped},
		{OneFailed, []State{F, N}, Scheduled}, {OneFailed, []State{U, N}, Scheduled}, {OneFailed, []State{S, S}, Skipped}, {OneFailed, []State{S, N}, None},
		{OneDone, []State{K, N}, None}, {OneDone, []State{F, N}, Scheduled}, {OneDone, []State{K, K}, Skipped},
		{NoneFailed, []State{S, K}, Scheduled}, {NoneFailed, []State{S, F}, UpstreamFailed}, {NoneFailed, []State{K, K}, Scheduled},
		{NoneFailedMinOneSuccess, []State{S, K}, Scheduled}, {NoneFailedMinOneSuccess, []State{K, K}, Skipped}, {NoneFailedMinOneSuccess, []State{S, U}, UpstreamFailed}, {NoneFailedMinOneSuccess, []State{S, N}, None},
		{NoneSkipped, []State{S, F}, Scheduled}, {NoneSkipped, []State{K, N}, Skipped}, {NoneSkipped, []State{S, N}, None},
		{Always, []State{N, N}, Scheduled},
	} {
		var counts UpstreamCounts
		for _, s := range c.upstream {
			counts.Add(s, 1)
		}
		if got := c.rule.Evaluate(counts); got != c.want {
			t.Errorf("rule %q after upstream states %v: %v, want %v", c.rule, c.upstream, got, c.want)
		}
	}
}

// In whatever order the upstream steps end, a rule has decided when the last one has ended. A decision
// to start the step is final. So is a decision against it, though it may still change between skipped
// and upstream_failed.
func TestTriggerRulesDecideOnceAndByTheLastUpstreamEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rule := Rule(rapid.SampledFrom(rules).Draw(t, "rule"))
		states := rapid.SliceOfN(rapid.SampledFrom([]State{Success, Failed, Skipped, UpstreamFailed}), 1, 6).Draw(t, "ends")
		counts := UpstreamCounts{Total: len(states)}
		previous := rule.Evaluate(counts)
		for _, s := range states {
			counts.Add(s, 1)
			counts.Total--
			got := rule.Evaluate(counts)
			if previous == Scheduled && got != Scheduled || previous != None && (got == None || got == Scheduled && previous != got) {
				t.Fatalf("rule %s decides %v, then %v after %v", rule, previous, got, counts)
			}
			previous = got
		}
		if previous == None {
			t.Fatalf("rule %s has not decided after all of %v", rule, states)
		}
	})
}
