// Package metrics serves what the controller does as Prometheus metrics, at an address of its own. It is set up only when an
// address is given.
package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"poppypass/internal/accounting/charge"
)

// Metrics counts what a controller does. It implements leader.Observer and is safe for concurrent use. Names follow the
// Prometheus conventions: seconds, and totals that only grow while the process lives.
type Metrics struct {
	registry *prometheus.Registry
	loop     loopMetrics
	jobs     jobMetrics
	machines machineMetrics
	charges  chargeMetrics
}

// New makes the metrics of a controller. writeRPS is the state service's limit on changes a second.
func New(writeRPS float64) *Metrics {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	f := promauto.With(r) // what it makes is registered
	return &Metrics{
		registry: r,
		loop:     newLoopMetrics(f, writeRPS),
		jobs:     newJobMetrics(f),
		machines: newMachineMetrics(f),
		charges:  newChargeMetrics(f),
	}
}

// SetLeading records whether this controller leads. One that does not shows none of what a leader holds.
func (m *Metrics) SetLeading(leads bool) {
	if leads {
		m.loop.leading.Set(1)
		return
	}
	m.loop.leading.Set(0)
	m.jobs.queue.Reset()
	m.jobs.oldest.Reset()
	m.machines.known.Set(0)
	m.jobs.live.Set(0)
	m.Reachability(0, 0)
}

// FailoverDone records how long a new leader took to load the records.
func (m *Metrics) FailoverDone(took time.Duration) { m.loop.failover.Observe(took.Seconds()) }

// CycleDone records the length of a scheduling cycle.
func (m *Metrics) CycleDone(took time.Duration) { m.loop.cycle.Observe(took.Seconds()) }

// HeartbeatHandled records how long a heartbeat waited to be processed.
func (m *Metrics) HeartbeatHandled(took time.Duration) { m.machines.heartbeat.Observe(took.Seconds()) }

// TaskStarted counts an attempt that was placed.
func (m *Metrics) TaskStarted(class string) { m.jobs.started.WithLabelValues(class).Inc() }

// AttemptEnded counts an attempt that is over, by how it ended.
func (m *Metrics) AttemptEnded(class, how string) { m.jobs.ended.WithLabelValues(class, how).Inc() }

// RecordsWritten counts changes written to the state service.
func (m *Metrics) RecordsWritten(changes int) { m.loop.written.Add(float64(changes)) }

// JobArrived counts an accepted job.
func (m *Metrics) JobArrived(class, team, size string) {
	m.jobs.accepted.WithLabelValues(class, team, size).Inc()
}

// JobBegan counts a job whose first task runs, and records how long it waited.
func (m *Metrics) JobBegan(class, team, size string, waited time.Duration) {
	m.jobs.begun.WithLabelValues(class, team, size).Inc()
	m.jobs.waited.WithLabelValues(class, size).Observe(waited.Seconds())
}

// MissingJobsFound counts stored jobs that the leader did not know.
func (m *Metrics) MissingJobsFound(jobs int) { m.jobs.found.Add(float64(jobs)) }

// StateSize sets what the leader holds: jobs, machines, and by class the waiting tasks and the seconds for which the
// oldest job has waited to begin.
func (m *Metrics) StateSize(jobs, machines int, waiting map[string]int, oldest map[string]float64) {
	m.jobs.oldest.Reset()
	for class, s := range oldest {
		m.jobs.oldest.WithLabelValues(class).Set(s)
	}
	m.jobs.live.Set(float64(jobs))
	m.machines.known.Set(float64(machines))
	m.jobs.queue.Reset()
	for class, n := range waiting {
		m.jobs.queue.WithLabelValues(class).Set(float64(n))
	}
}

// HeartbeatRejected counts a heartbeat that was not applied, by reason.
func (m *Metrics) HeartbeatRejected(why string) { m.machines.rejected.WithLabelValues(why).Inc() }

// Reachability sets how many machines send heartbeats but do not receive the leader's answers, and how many have not yet
// acknowledged one.
func (m *Metrics) Reachability(unreachable, unconfirmed int) {
	m.machines.unreachable.Set(float64(unreachable))
	m.machines.unconfirmed.Set(float64(unconfirmed))
}

// Charged counts a charge of the ledger, with its core time and money in millionths.
func (m *Metrics) Charged(team, how string, sum charge.Amounts) {
	m.charges.made.WithLabelValues(team, how).Inc()
	m.charges.coreSeconds.WithLabelValues(team).Add(float64(sum.Core) / 1e6)
	m.charges.money.WithLabelValues(team).Add(float64(sum.Money) / 1e6)
}
