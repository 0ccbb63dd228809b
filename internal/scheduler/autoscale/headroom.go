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

// Forecast gives the jobs to keep room for: those that will come, if the
// recent ones are any guide, before a machine rented now would be up. Each
// class is expected to go on as it did, in rate and in shape; promptness says
// for which classes room is kept, and how much of what is expected.
func Forecast(now time.Time, recent []Arrival, horizon time.Duration, promptness func(class string) float64) []*placement.PendingJob {
	byClass := map[string][]Arrival{}
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
	// A service that has just begun has seen less than a window; the jobs that
	// waited for its begin say little of those to come.
	seen := min(max(now.Sub(first), tuning.ArrivalWindowMin), tuning.ArrivalWindow)
	var items []*placement.PendingJob
	for _, class := range slices.Sorted(maps.Keys(byClass)) {
		of := byClass[class]
		expect := float64(len(of)) * horizon.Seconds() / seen.Seconds() * promptness(class)
		// Of many arrays that are expected, most find the room of those that end
		// meanwhile. Room is kept for what more may come than end: that grows
		// as the square root. Replicas stay.
		if of[0].Job.Kind == wire.KindArray {
			expect = min(expect, math.Sqrt(expect))
		}
		n := min(int(math.Ceil(expect)), len(of))
		for _, a := range of[len(of)-n:] {
			items = append(items, &placement.PendingJob{Job: a.Job, WaitingSince: now, Waiting: a.Job.Tasks, Zones: map[string]int{}})
		}
	}
	return items
}

// UnlimitedTeams are teams without limits, for work that has not come yet.
func UnlimitedTeams(items []*placement.PendingJob) map[string]*placement.Team {
	teams := map[string]*placement.Team{}
	for _, it := range items {
		teams[it.Job.Team] = &placement.Team{QuotaCPUs: math.Inf(1), QuotaGPUs: math.Inf(1)}
	}
	return teams
}
