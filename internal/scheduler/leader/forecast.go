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

// arrivalLog records the jobs that arrived recently. The forecast of future jobs is based on them.
type arrivalLog struct {
	recent []autoscale.Arrival // arrivals within tuning.ArrivalWindow
	count  int                 // number of all jobs added in this term
}

// add adds a job. Of the jobs of an initial backlog only one in tuning.InitialBacklogDivisor counts as an arrival.
func (a *arrivalLog) add(j *jobs.Job, initialBacklog bool) {
	a.count++
	if !initialBacklog || a.count%tuning.InitialBacklogDivisor == 0 {
		a.recent = append(a.recent, autoscale.Arrival{At: j.WaitingSince, Job: &j.Job})
	}
}

// dropOld drops the arrivals that are too old for the forecast.
func (a *arrivalLog) dropOld(now time.Time) {
	a.recent = slices.DeleteFunc(a.recent, func(a autoscale.Arrival) bool { return now.Sub(a.At) > tuning.ArrivalWindow })
}

// inInitialBacklog reports whether jobs that arrive now belong to the initial backlog: the jobs that waited for the start
// of the very first leader. They do not predict future jobs. For example, if 70 services of the backlog counted as usual
// arrivals, room would be reserved for 49 more services: a third of the machines for two minutes.
func (l *Loop) inInitialBacklog(now time.Time) bool {
	return l.leadership.Term == 1 && now.Sub(l.startedAt) < tuning.InitialBacklogWindow
}

// recentArrivals returns the jobs that arrived recently, without those on probation.
func (l *Loop) recentArrivals(now time.Time) []autoscale.Arrival {
	out := make([]autoscale.Arrival, 0, len(l.arrivals.recent))
	for _, a := range l.arrivals.recent {
		if j := l.jobs.Jobs[a.Job.ID]; j == nil || !l.onProbation(j, now) {
			out = append(out, a)
		}
	}
	return out
}

// forecast returns the jobs that are expected to arrive within the horizon and for which room is reserved.
func (l *Loop) forecast(now time.Time, horizon time.Duration) []*placement.PendingJob {
	return autoscale.Forecast(now, l.recentArrivals(now), horizon, func(class string) float64 {
		share, _ := l.forecastShare(class)
		return share
	})
}

// expectedJobs returns the jobs to reserve room for: those expected to arrive before a machine that is rented now can
// be used.
func (l *Loop) expectedJobs(now time.Time) []*placement.PendingJob {
	return l.forecast(now, l.provisioningTime())
}

// placeholders returns placeholders for jobs that are expected within tuning.ForecastReserveHorizon and must start
// promptly. The placeholders reserve room against jobs of lower priority, which would otherwise get the last room and
// soon be preempted.
func (l *Loop) placeholders(now time.Time) []*placement.PendingJob {
	expected := l.forecast(now, min(tuning.ForecastReserveHorizon, l.provisioningTime()))
	for _, p := range expected {
		p.Placeholder = true
	}
	return expected
}

// forecastShare returns the share of a class's expected jobs for which room is reserved. The share depends on the
// objectives that demand a start sooner than a machine boots. latencySensitive is true if the class has such an objective
// of its own.
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

// provisioningTime returns how long it takes until a machine that is rented now can be used, for the type that boots
// fastest. It is 0 while no machine types are known.
func (l *Loop) provisioningTime() time.Duration {
	bootS := math.Inf(1)
	for _, t := range l.env.MachineTypes() {
		bootS = min(bootS, t.BootS)
	}
	if math.IsInf(bootS, 1) {
		return 0
	}
	return seconds(bootS) + tuning.ForecastBootExtra
}
