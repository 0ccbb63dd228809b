package autoscale

import (
	"maps"
	"math"
	"slices"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/placement"
)

// Arrival is a job that was accepted not long ago.
type Arrival struct {
	At  time.Time
	Job *wire.Job
}

// Forecast returns the jobs to reserve room for: those that are expected, by the
// recent ones, before a machine that is rented now would be up (horizon). Each
// class is expected to go on as it did, in rate and in shape. reserveShare returns
// the share of a class's expected jobs that room is reserved for; 0: none.
func Forecast(now time.Time, recent []Arrival, horizon time.Duration, reserveShare func(class string) float64) []*placement.PendingJob {
	byClass, observed := arrivalsByClass(now, recent)
	var pending []*placement.PendingJob
	for _, class := range slices.Sorted(maps.Keys(byClass)) {
		arrivals := byClass[class]
		expected := float64(len(arrivals)) * horizon.Seconds() / observed.Seconds() * reserveShare(class)
		// Of many arrays that are expected, most find the room of those that end in
		// the meantime. Room is reserved for how many more may come than end: that
		// grows as the square root. Service replicas stay.
		if arrivals[0].Job.Kind == wire.KindArray {
			expected = min(expected, math.Sqrt(expected))
		}
		n := min(int(math.Ceil(expected)), len(arrivals))
		for _, a := range arrivals[len(arrivals)-n:] {
			pending = append(pending, &placement.PendingJob{Job: a.Job, WaitingSince: now, Waiting: a.Job.Tasks, Zones: map[string]int{}})
		}
	}
	return pending
}

// arrivalsByClass groups the arrivals within tuning.ArrivalWindow, and returns the
// time over which they are counted as a rate. A scheduler that has just started has
// observed less than a window; the jobs that waited for its start say little of
// those to come, so the time is at least tuning.ArrivalWindowMin.
func arrivalsByClass(now time.Time, recent []Arrival) (byClass map[string][]Arrival, observed time.Duration) {
	byClass = map[string][]Arrival{}
	var first time.Time
	for _, a := range recent {
		if now.Sub(a.At) > tuning.ArrivalWindow {
			continue
		}
		byClass[a.Job.Class] = append(byClass[a.Job.Class], a)
		if first.IsZero() || a.At.Before(first) {
			first = a.At
		}
	}
	return byClass, min(max(now.Sub(first), tuning.ArrivalWindowMin), tuning.ArrivalWindow)
}

// UnlimitedTeams returns the jobs' teams without quotas, for work that has not
// come yet.
func UnlimitedTeams(pending []*placement.PendingJob) map[string]*placement.Team {
	teams := map[string]*placement.Team{}
	for _, p := range pending {
		teams[p.Job.Team] = &placement.Team{QuotaCPUs: math.Inf(1), QuotaGPUs: math.Inf(1)}
	}
	return teams
}
