// Package metrics serves Prometheus metrics of the controller at an address of their own. Metrics are optional: they exist only if
// an address is configured.
package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"poppypass/internal/accounting/charge"
)

// Metrics records the activity of a controller. It implements leader.Observer and is safe for concurrent use. The metrics follow
// the Prometheus conventions: times are in seconds, and totals only grow during the life of the process.
type Metrics struct {
	registry *prometheus.Registry
	loop     loopMetrics
	jobs     jobMetrics
	machines machineMetrics
	charges  chargeMetrics
}

// New returns the metrics of a controller. writeRPS is the state service's limit on changes per second.
func New(writeRPS float64) *Metrics {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	f := promauto.With(r) // registers every metric that it creates
	return &Metrics{
		registry: r,
		loop:     newLoopMetrics(f, writeRPS),
		jobs:     newJobMetrics(f),
		machines: newMachineMetrics(f),
		charges:  newChargeMetrics(f),
	}
}

// SetLeading records whether this controller is the leader. If it is not, the metrics of the leader's state are reset.
func (m *Metrics) SetLeading(leads bool) {
	if leads {
		m.loop.leading.Set(1)
		return
	}
	m.loop.leading.Set(0)
	m.jobs.waitingTasks.Reset()
	m.jobs.oldestWait.Reset()
	m.machines.known.Set(0)
	m.jobs.liveJobs.Set(0)
	m.Reachability(0, 0)
}

// FailoverDone records how long a new leader took to load the stored records.
func (m *Metrics) FailoverDone(duration time.Duration) { m.loop.failover.Observe(duration.Seconds()) }

// CycleDone records the duration of a scheduling cycle.
func (m *Metrics) CycleDone(duration time.Duration) { m.loop.cycleDuration.Observe(duration.Seconds()) }

// HeartbeatHandled records how long a heartbeat waited for the leader's answer.
func (m *Metrics) HeartbeatHandled(duration time.Duration) {
	m.machines.heartbeatWait.Observe(duration.Seconds())
}

// TaskAllocated counts an attempt that was placed.
func (m *Metrics) TaskAllocated(class string) { m.jobs.allocated.WithLabelValues(class).Inc() }

// AttemptEnded counts an attempt that has ended, by its outcome.
func (m *Metrics) AttemptEnded(class, outcome string) {
	m.jobs.ended.WithLabelValues(class, outcome).Inc()
}

// RecordsWritten counts changes written to the state service.
func (m *Metrics) RecordsWritten(changes int) { m.loop.changesWritten.Add(float64(changes)) }

// JobArrived counts an accepted job.
func (m *Metrics) JobArrived(class, team, size string) {
	m.jobs.accepted.WithLabelValues(class, team, size).Inc()
}

// JobBegan counts a job whose first task is running, and records how long the job waited for that task to run.
func (m *Metrics) JobBegan(class, team, size string, startWait time.Duration) {
	m.jobs.begun.WithLabelValues(class, team, size).Inc()
	m.jobs.startWait.WithLabelValues(class, size).Observe(startWait.Seconds())
}

// MissingJobsFound counts stored jobs that the leader had not loaded.
func (m *Metrics) MissingJobsFound(jobs int) { m.jobs.missingFound.Add(float64(jobs)) }

// StateSize sets the size of the leader's state: the number of jobs, the number of machines and, by class, the number of
// waiting tasks and the seconds for which the oldest job has waited to begin.
func (m *Metrics) StateSize(jobs, machines int, waiting map[string]int, oldestWait map[string]float64) {
	m.jobs.oldestWait.Reset()
	for class, s := range oldestWait {
		m.jobs.oldestWait.WithLabelValues(class).Set(s)
	}
	m.jobs.liveJobs.Set(float64(jobs))
	m.machines.known.Set(float64(machines))
	m.jobs.waitingTasks.Reset()
	for class, n := range waiting {
		m.jobs.waitingTasks.WithLabelValues(class).Set(float64(n))
	}
}

// HeartbeatRejected counts a heartbeat that was not applied, by reason.
func (m *Metrics) HeartbeatRejected(reason string) { m.machines.rejected.WithLabelValues(reason).Inc() }

// Reachability sets how many machines the leader's commands do not reach, and how many live ones have not yet acknowledged any
// message of this term.
func (m *Metrics) Reachability(unreachable, unacknowledged int) {
	m.machines.unreachable.Set(float64(unreachable))
	m.machines.unacknowledged.Set(float64(unacknowledged))
}

// TokenUse sets how often a machine's fencing token was raised in this term, and the bytes in heartbeats of exited attempts that
// wait for a higher token: those of all machines and those of the machine with most of them.
func (m *Metrics) TokenUse(raises uint64, retainedBytes, largestRetainedBytes int) {
	m.machines.tokenRaises.Set(float64(raises))
	m.machines.retained.WithLabelValues("all").Set(float64(retainedBytes))
	m.machines.retained.WithLabelValues("largest").Set(float64(largestRetainedBytes))
}

// Charged counts a charge of the ledger, by outcome, and adds its amounts. Core time is in millionths of a core second, money in
// millionths of the currency.
func (m *Metrics) Charged(team, outcome string, amounts charge.Amounts) {
	m.charges.total.WithLabelValues(team, outcome).Inc()
	m.charges.coreSeconds.WithLabelValues(team).Add(float64(amounts.Core) / 1e6)
	m.charges.money.WithLabelValues(team).Add(float64(amounts.Money) / 1e6)
}
