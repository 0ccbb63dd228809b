package leader

import (
	"math"
	"slices"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/scheduler/autoscale"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/placement"
)

// arrivalLog is the jobs that arrived of late, as a guide to those to come.
type arrivalLog struct {
	recent []autoscale.Arrival // within tuning.ArrivalWindow
	count  int                 // of all jobs that came into memory in this term
}

// add adds a job. Of those of an initial backlog only a share counts.
func (a *arrivalLog) add(j *jobs.Job, initialBacklog bool) {
	a.count++
	if !initialBacklog || a.count%tuning.FirstStartRushShare == 0 {
		a.recent = append(a.recent, autoscale.Arrival{At: j.WaitingSince, Job: &j.Job})
	}
}

// dropOld drops the arrivals that are too long ago to tell anything.
func (a *arrivalLog) dropOld(now time.Time) {
	a.recent = slices.DeleteFunc(a.recent, func(a autoscale.Arrival) bool { return now.Sub(a.At) > tuning.ArrivalWindow })
}

// inInitialBacklog reports whether the very first leader has just begun. The jobs that waited
// for that say nothing of those to come: 70 services at once had room kept for 49
// more, a third of the machines for two minutes.
func (l *Loop) inInitialBacklog(now time.Time) bool {
	return l.leadership.Term == 1 && now.Sub(l.startedAt) < tuning.FirstStartRush
}

// recentArrivals are the jobs that arrived of late, but for those on probation.
func (l *Loop) recentArrivals(now time.Time) []autoscale.Arrival {
	out := make([]autoscale.Arrival, 0, len(l.arrivals.recent))
	for _, a := range l.arrivals.recent {
		if j := l.jobs.Jobs[a.Job.ID]; j == nil || !l.onProbation(j, now) {
			out = append(out, a)
		}
	}
	return out
}

// forecast is the jobs that are expected within a time, as far as room is kept for their class.
func (l *Loop) forecast(now time.Time, horizon time.Duration) []*placement.PendingJob {
	return autoscale.Forecast(now, l.recentArrivals(now), horizon, func(class string) float64 {
		share, _ := l.forecastShare(class)
		return share
	})
}

// expectedJobs are the jobs to keep room for: those that come before a machine that is rented now can be used.
func (l *Loop) expectedJobs(now time.Time) []*placement.PendingJob {
	return l.forecast(now, l.provisioningTime())
}

// placeholders stand in for the jobs that come within moments and must start
// promptly: jobs of lower priority do not get the last room before them, only
// to be stopped for them.
func (l *Loop) placeholders(now time.Time) []*placement.PendingJob {
	pending := l.forecast(now, min(tuning.ForecastReserveHorizon, l.provisioningTime()))
	for _, p := range pending {
		p.Placeholder = true
	}
	return pending
}

// forecastShare is the share of a class's expected jobs that room is kept for: it
// depends on what the objectives ask for sooner than a machine boots. latencySensitive is
// true when the class has an objective of its own on that.
func (l *Loop) forecastShare(class string) (share float64, latencySensitive bool) {
	provisioning := l.provisioningTime()
	for _, o := range l.env.Settings.Cluster.Objectives {
		switch {
		case seconds(o.WithinS) >= provisioning:
		case o.Kind == "wait" && o.Class == class:
			return tuning.ForecastShareLatencySensitive, true
		case o.Kind == "guarantee":
			share = tuning.ForecastShareGuaranteed
		}
	}
	return share, false
}

// provisioningTime is how long it takes until a machine that is rented now can be used.
func (l *Loop) provisioningTime() time.Duration {
	bootS := math.Inf(1)
	for _, t := range l.env.Types() {
		bootS = min(bootS, t.BootS)
	}
	if math.IsInf(bootS, 1) {
		return 0
	}
	return seconds(bootS) + tuning.ForecastBootExtra
}
