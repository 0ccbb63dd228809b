// Package metrics serves what the controller does as Prometheus metrics, at an
// address of its own. It is set up only when an address is given.
package metrics

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/tuning"
)

// Metrics counts what a controller does. It implements leader.Observer and is safe for
// concurrent use. Names follow the Prometheus conventions: seconds, and totals that
// only grow while the process lives.
type Metrics struct {
	registry    *prometheus.Registry
	leading     prometheus.Gauge
	takeOver    prometheus.Histogram
	cycle       prometheus.Histogram
	heartbeat   prometheus.Histogram
	queue       *prometheus.GaugeVec
	started     *prometheus.CounterVec
	ended       *prometheus.CounterVec
	written     prometheus.Counter
	machines    prometheus.Gauge
	jobs        prometheus.Gauge
	rejected    *prometheus.CounterVec
	unreachable prometheus.Gauge
	unconfirmed prometheus.Gauge
	oldest      *prometheus.GaugeVec
	accepted    *prometheus.CounterVec
	begun       *prometheus.CounterVec
	waited      *prometheus.HistogramVec
	found       prometheus.Counter

	charges     *prometheus.CounterVec
	coreSeconds *prometheus.CounterVec
	money       *prometheus.CounterVec
}

// New makes the metrics of a controller. writeRPS is the state service's limit on
// changes a second.
func New(writeRPS float64) *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		leading:  prometheus.NewGauge(prometheus.GaugeOpts{Name: "poppypass_leading", Help: "1 while this controller leads."}),
		takeOver: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "poppypass_takeover_seconds", Help: "From the begin of a tenure until the records are loaded.", Buckets: prometheus.ExponentialBuckets(0.01, 2, 12),
		}),
		cycle: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "poppypass_pass_seconds", Help: "How long a pass over the waiting tasks takes.", Buckets: prometheus.ExponentialBuckets(0.0001, 2, 16),
		}),
		heartbeat: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "poppypass_report_seconds", Help: "How long a worker's report waits for the leader's answer.", Buckets: prometheus.ExponentialBuckets(0.0001, 2, 16),
		}),
		queue:       prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "poppypass_queue_tasks", Help: "Tasks that wait to be placed."}, []string{"class"}),
		started:     prometheus.NewCounterVec(prometheus.CounterOpts{Name: "poppypass_starts_total", Help: "Attempts that were placed."}, []string{"class"}),
		ended:       prometheus.NewCounterVec(prometheus.CounterOpts{Name: "poppypass_ends_total", Help: "Attempts that are proven over."}, []string{"class", "how"}),
		written:     prometheus.NewCounter(prometheus.CounterOpts{Name: "poppypass_state_changes_total", Help: "Changes that the leader wrote to the state service."}),
		machines:    prometheus.NewGauge(prometheus.GaugeOpts{Name: "poppypass_machines", Help: "Machines that the leader knows."}),
		jobs:        prometheus.NewGauge(prometheus.GaugeOpts{Name: "poppypass_jobs", Help: "Jobs that are not over."}),
		rejected:    prometheus.NewCounterVec(prometheus.CounterOpts{Name: "poppypass_reports_set_aside_total", Help: "Workers' reports that changed nothing: older than one before, of a returned machine, or contradicting what is known of it."}, []string{"why"}),
		unreachable: prometheus.NewGauge(prometheus.GaugeOpts{Name: "poppypass_machines_deaf", Help: "Machines that report but do not hear the leader."}),
		unconfirmed: prometheus.NewGauge(prometheus.GaugeOpts{Name: "poppypass_machines_unproven", Help: "Machines that report and have not yet proved to hear this leader."}),
		oldest:      prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "poppypass_oldest_unbegun_seconds", Help: "For how long the oldest job waits to begin."}, []string{"class"}),
		accepted:    prometheus.NewCounterVec(prometheus.CounterOpts{Name: "poppypass_jobs_accepted_total", Help: "Jobs that came; size is largest for the largest tenth of the class's last ones."}, []string{"class", "team", "size"}),
		begun:       prometheus.NewCounterVec(prometheus.CounterOpts{Name: "poppypass_jobs_begun_total", Help: "Jobs of which a first task ran."}, []string{"class", "team", "size"}),
		waited: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "poppypass_begin_seconds", Help: "From a job's acceptance until its first task ran.", Buckets: prometheus.ExponentialBuckets(0.5, 2, 11),
		}, []string{"class", "size"}),
		found:       prometheus.NewCounter(prometheus.CounterOpts{Name: "poppypass_jobs_found_total", Help: "Stored jobs that the leader did not know."}),
		charges:     prometheus.NewCounterVec(prometheus.CounterOpts{Name: "poppypass_charges_total", Help: "Charges that this controller made."}, []string{"team", "how"}),
		coreSeconds: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "poppypass_charged_core_seconds_total", Help: "Core time that this controller charged."}, []string{"team"}),
		money:       prometheus.NewCounterVec(prometheus.CounterOpts{Name: "poppypass_charged_money_total", Help: "Money that this controller charged, in the currency of the cloud's prices."}, []string{"team"}),
	}
	limit := prometheus.NewGauge(prometheus.GaugeOpts{Name: "poppypass_state_changes_limit", Help: "Changes a second that the state service allows."})
	limit.Set(writeRPS)
	m.registry.MustRegister(m.leading, m.takeOver, m.cycle, m.heartbeat, m.queue, m.started, m.ended, m.written, m.machines, m.jobs, m.rejected, m.oldest, m.accepted, m.begun, m.waited, m.found, m.unreachable, m.unconfirmed, limit, m.charges, m.coreSeconds, m.money,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// SetLeading tells whether this controller leads.
func (m *Metrics) SetLeading(leads bool) {
	if leads {
		m.leading.Set(1)
		return
	}
	m.leading.Set(0)
	m.queue.Reset()
	m.oldest.Reset()
	m.machines.Set(0)
	m.jobs.Set(0)
	m.Reachability(0, 0)
}

// FailoverDone records how long a new leader took to load the records.
func (m *Metrics) FailoverDone(took time.Duration) { m.takeOver.Observe(took.Seconds()) }

// CycleDone records the length of a scheduling cycle.
func (m *Metrics) CycleDone(took time.Duration) { m.cycle.Observe(took.Seconds()) }

// HeartbeatHandled records how long a heartbeat waited to be processed.
func (m *Metrics) HeartbeatHandled(took time.Duration) { m.heartbeat.Observe(took.Seconds()) }

// TaskStarted counts an attempt that was placed.
func (m *Metrics) TaskStarted(class string) { m.started.WithLabelValues(class).Inc() }

// AttemptEnded counts an attempt that is over, by how it ended.
func (m *Metrics) AttemptEnded(class, how string) { m.ended.WithLabelValues(class, how).Inc() }

// RecordsWritten counts changes written to the state service.
func (m *Metrics) RecordsWritten(changes int) { m.written.Add(float64(changes)) }

// JobArrived counts an accepted job.
func (m *Metrics) JobArrived(class, team, size string) {
	m.accepted.WithLabelValues(class, team, size).Inc()
}

// JobBegan counts a job whose first task runs, and records how long it waited.
func (m *Metrics) JobBegan(class, team, size string, waited time.Duration) {
	m.begun.WithLabelValues(class, team, size).Inc()
	m.waited.WithLabelValues(class, size).Observe(waited.Seconds())
}

// MissingJobsFound counts stored jobs that the leader did not know.
func (m *Metrics) MissingJobsFound(jobs int) { m.found.Add(float64(jobs)) }

// StateSize sets what the leader holds: jobs, machines, and by class the waiting tasks and the seconds for which the
// oldest job has waited to begin.
func (m *Metrics) StateSize(jobs, machines int, waiting map[string]int, oldest map[string]float64) {
	m.oldest.Reset()
	for class, s := range oldest {
		m.oldest.WithLabelValues(class).Set(s)
	}
	m.jobs.Set(float64(jobs))
	m.machines.Set(float64(machines))
	m.queue.Reset()
	for class, n := range waiting {
		m.queue.WithLabelValues(class).Set(float64(n))
	}
}

// HeartbeatRejected counts a heartbeat that was not applied, by reason.
func (m *Metrics) HeartbeatRejected(why string) { m.rejected.WithLabelValues(why).Inc() }

// Reachability sets how many machines send heartbeats but do not receive the leader's answers, and how many have not yet
// acknowledged one.
func (m *Metrics) Reachability(deaf, unproven int) {
	m.unreachable.Set(float64(deaf))
	m.unconfirmed.Set(float64(unproven))
}

// Charged takes in a charge of the ledger.
func (m *Metrics) Charged(team, how string, sum charge.Amounts) {
	m.charges.WithLabelValues(team, how).Inc()
	m.coreSeconds.WithLabelValues(team).Add(float64(sum.Core) / 1e6)
	m.money.WithLabelValues(team).Add(float64(sum.Money) / 1e6)
}

// Serve serves the metrics at /metrics until ctx ends.
func (m *Metrics) Serve(ctx context.Context, addr string, log *slog.Logger) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("metrics.addr: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{MaxRequestsInFlight: 2}))
	srv := &http.Server{
		Handler: mux, ReadHeaderTimeout: tuning.HeaderTimeout, WriteTimeout: tuning.AnswerTimeout, IdleTimeout: tuning.IdleTimeout,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	stop := context.AfterFunc(ctx, func() { srv.Close() })
	defer stop()
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
