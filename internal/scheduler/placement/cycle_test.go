package placement

import (
	"strings"
	"testing"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

func TestSchedule(t *testing.T) {
	onDemand := func(j *wire.Job) { j.Spot = false }
	spread := func(j *wire.Job) { j.Spread, j.Spot = true, false }
	oneZone := func(j *wire.Job) { j.OneZone = true }
	inZone := func(z string) func(*wire.Job) { return func(j *wire.Job) { j.Zone = z } }
	ofType := func(ts ...string) func(*wire.Job) { return func(j *wire.Job) { j.Types = ts } }
	type machineList = []*Machine
	for _, c := range []struct {
		name     string
		pending  []*PendingJob
		machines machineList
		quota    float64
		want     string
	}{
		{"priority goes before waiting",
			[]*PendingJob{pendingJob("b", wire.PriorityNormal, 9*time.Second, 1, 4), pendingJob("a", wire.PriorityHigh, 0, 1, 4)},
			machineList{machine("m", "a", false, 4)}, 100, "a:m"},
		{"the longest wait goes first",
			[]*PendingJob{pendingJob("a", wire.PriorityNormal, time.Second, 1, 4), pendingJob("b", wire.PriorityNormal, 2*time.Second, 1, 4)},
			machineList{machine("m", "a", false, 4)}, 100, "b:m"},
		{"after PriorityAgingAfter a job's priority rises by one level",
			[]*PendingJob{pendingJob("a", wire.PriorityHigh, 0, 1, 4), pendingJob("b", wire.PriorityNormal, tuning.PriorityAgingAfter, 1, 4)},
			machineList{machine("m", "a", false, 4)}, 100, "b:m"},
		{"most free room wins", []*PendingJob{pendingJob("a", wire.PriorityHigh, 0, 1, 4)},
			machineList{machine("m", "a", false, 8), machine("n", "a", false, 12)}, 100, "a:n"},
		{"full machines are skipped", []*PendingJob{pendingJob("a", wire.PriorityHigh, 0, 2, 4)},
			machineList{machine("m", "a", false, 3.9), machine("n", "a", false, 4)}, 100, "a:n"},
		{"never beyond the team's quota", []*PendingJob{pendingJob("a", wire.PriorityHigh, 0, 5, 4)},
			machineList{machine("m", "a", false, 16)}, 8, "a:m a:m"},
		{"a quota of 0 means none", []*PendingJob{pendingJob("a", wire.PriorityHigh, 0, 5, 4)}, machineList{machine("m", "a", false, 16)}, 0, ""},
		{"jobs behind a blocked one are tried in the same cycle",
			[]*PendingJob{pendingJob("a", wire.PriorityHigh, 0, 1, 8), pendingJob("b", wire.PriorityLow, 0, 1, 4)},
			machineList{machine("m", "a", false, 4)}, 100, "b:m"},
		{"a blocked job that has waited for long reserves a machine against jobs behind it",
			[]*PendingJob{pendingJob("a", wire.PriorityHigh, tuning.HeadReservationAfter, 1, 8), pendingJob("b", wire.PriorityLow, 0, 2, 4)},
			machineList{machine("m", "a", false, 6), machine("n", "a", false, 4)}, 100, "b:n"},
		{"no spot machine for a job that does not allow it", []*PendingJob{pendingJob("a", wire.PriorityHigh, 0, 1, 4, onDemand)},
			machineList{machine("m", "a", true, 16)}, 100, ""},
		{"spot first for a job that allows it", []*PendingJob{pendingJob("a", wire.PriorityHigh, 0, 1, 4)},
			machineList{machine("m", "a", false, 16), machine("n", "a", true, 8)}, 100, "a:n"},
		{"a spread job has at most half of its tasks, rounded up, in one zone", []*PendingJob{pendingJob("a", wire.PriorityHigh, 0, 5, 1, spread)},
			machineList{machine("m", "a", false, 16)}, 100, "a:m a:m a:m"},
		{"all tasks in one zone", []*PendingJob{pendingJob("a", wire.PriorityHigh, 0, 3, 4, oneZone)},
			machineList{machine("m", "a", false, 8), machine("n", "b", false, 4)}, 100, "a:m a:m"},
		{"only the allowed zone", []*PendingJob{pendingJob("a", wire.PriorityHigh, 0, 2, 4, inZone("b"))},
			machineList{machine("m", "a", false, 16), machine("n", "b", false, 4)}, 100, "a:n"},
		{"only the allowed types", []*PendingJob{pendingJob("a", wire.PriorityHigh, 0, 1, 4, ofType("h1"))},
			machineList{machine("m", "a", false, 16)}, 100, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := placements(c.pending, c.machines, c.quota); got != c.want {
				t.Errorf("placed %q, want %q", got, c.want)
			}
		})
	}
}

// Guards against room that is preempted from one borrowing team only to go to another borrower, because that
// one has waited longer. In one case over a thousand tasks were preempted in turn to place the same few.
func TestGuaranteedWorkGoesBeforeBorrowed(t *testing.T) {
	borrower, owner := pendingJob("b", wire.PriorityHigh, 9*time.Second, 3, 4), pendingJob("o", wire.PriorityHigh, 0, 3, 4)
	owner.Job.Team = "owner"
	teams := map[string]*Team{"t": {GuaranteedCPUs: 4, QuotaCPUs: 100}, "owner": {GuaranteedCPUs: 8, QuotaCPUs: 100}}
	var got []string
	for _, p := range Schedule(now, []*PendingJob{borrower, owner}, []*Machine{machine("m", "a", false, 16)}, teams) {
		got = append(got, p.Pending.Job.ID)
	}
	if strings.Join(got, " ") != "b o o b" {
		t.Errorf("placed tasks of %v, want one of b, two of o, one of b", got)
	}
}

// Guards against a cluster filled by other work, in which latency-sensitive work has to preempt tasks before
// it can start.
func TestPlaceholdersReserveRoomFromLowerPrioritiesOnly(t *testing.T) {
	placeholder := pendingJob("g", wire.PriorityHigh, 0, 1, 8)
	placeholder.Placeholder, placeholder.Job.Team = true, "of no team"
	for priority, want := range map[wire.Priority]string{
		wire.PriorityNormal: "a:m a:m", wire.PriorityHigh: "a:m a:m a:m a:m",
	} {
		placeholder.Waiting = 1
		if got := placements([]*PendingJob{placeholder, pendingJob("a", priority, time.Second, 5, 4)}, []*Machine{machine("m", "a", false, 16)}, 100); got != want {
			t.Errorf("work of priority %s: placed %q, want %q", priority, got, want)
		}
	}
}

// A job that prefers a kind of machine gets room there before jobs that do not. Room that no job prefers is
// used by any job.
func TestPreferredKindIsTriedFirstThenAnyKind(t *testing.T) {
	prefers := func(id string, kind MachineKindPreference, tasks int) *PendingJob {
		p := pendingJob(id, wire.PriorityNormal, time.Second, tasks, 4)
		p.Job.Spot, p.Preference = true, kind
		return p
	}
	for _, c := range []struct {
		name    string
		pending []*PendingJob
		want    string
	}{
		{"each job runs on its preferred kind", []*PendingJob{prefers("a", PreferSpot, 1), prefers("b", PreferOnDemand, 1)}, "a:s b:o"},
		{"the order of the jobs does not matter", []*PendingJob{prefers("a", PreferOnDemand, 1), prefers("b", PreferSpot, 1)}, "a:o b:s"},
		{"remaining tasks run on any kind", []*PendingJob{prefers("a", PreferOnDemand, 2)}, "a:o a:s"},
		{"remaining tasks run on on-demand machines too", []*PendingJob{prefers("a", PreferSpot, 2)}, "a:s a:o"},
		{"a job without a preference is placed in its order", []*PendingJob{prefers("a", AnyKind, 1), prefers("b", PreferSpot, 1)}, "a:s b:o"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := placements(c.pending, []*Machine{machine("s", "a", true, 4), machine("o", "a", false, 4)}, 100); got != c.want {
				t.Errorf("placed %q, want %q", got, c.want)
			}
		})
	}
}
