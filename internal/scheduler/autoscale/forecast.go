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

// Arrival is a job that arrived recently, and the time of its arrival.
type Arrival struct {
	At  time.Time
	Job *wire.Job
}

// Forecast returns the jobs to reserve room for: those that are expected to arrive within the horizon, which is the time
// until a machine that is rented now can be used. Jobs of each class are expected at the rate and with the resources of
// its recent arrivals. reserveShare returns the share of a class's expected jobs for which room is reserved; it is 0 if
// no room is reserved for the class.
func Forecast(now time.Time, recent []Arrival, horizon time.Duration, reserveShare func(class string) float64) []*placement.PendingJob {
	byClass, observed := arrivalsByClass(now, recent)
	var pending []*placement.PendingJob
	for _, class := range slices.Sorted(maps.Keys(byClass)) {
		arrivals := byClass[class]
		expected := float64(len(arrivals)) * horizon.Seconds() / observed.Seconds() * reserveShare(class)
		// If many arrays are expected, most of them can use the room of arrays that end in the meantime. So room is
		// reserved only for the number by which arrivals may exceed ends, which grows as the square root of the
		// number of arrivals. Services do not end, so room is reserved for all that are expected.
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

// arrivalsByClass groups the arrivals within tuning.ArrivalWindow by class. observed is the time over which the rate of
// arrivals is computed: the time since the first of these arrivals, which is shorter than the window if, for example, the
// scheduler has just started. It is at least tuning.ArrivalWindowMin. Otherwise the jobs that had waited for the
// scheduler to start would give a high rate, although they predict little about future jobs.
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

// UnlimitedTeams returns the teams of the jobs, each with infinite quotas, for planning work that has not arrived yet.
func UnlimitedTeams(pending []*placement.PendingJob) map[string]*placement.Team {
	teams := map[string]*placement.Team{}
	for _, p := range pending {
		teams[p.Job.Team] = &placement.Team{QuotaCPUs: math.Inf(1), QuotaGPUs: math.Inf(1)}
	}
	return teams
}
