package metrics

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// Operators' dashboards and alarms depend on the names, labels and help texts, so these must not change, even where the code uses
// other terms.

// loopMetrics are the metrics of the leader's loop.
type loopMetrics struct {
	leading        prometheus.Gauge
	failover       prometheus.Histogram
	cycleDuration  prometheus.Histogram
	changesWritten prometheus.Counter
}

func newLoopMetrics(f promauto.Factory, writeRPS float64) loopMetrics {
	gauge(f, "poppypass_state_changes_limit", "Changes a second that the state service allows.").Set(writeRPS)
	return loopMetrics{
		leading: gauge(f, "poppypass_leading", "1 while this controller leads."),
		failover: histogram(f, "poppypass_takeover_seconds", "From the begin of a tenure until the records are loaded.",
			prometheus.ExponentialBuckets(0.01, 2, 12)),
		cycleDuration: histogram(f, "poppypass_pass_seconds", "How long a pass over the waiting tasks takes.",
			prometheus.ExponentialBuckets(0.0001, 2, 16)),
		changesWritten: f.NewCounter(prometheus.CounterOpts{Name: "poppypass_state_changes_total", Help: "Changes that the leader wrote to the state service."}),
	}
}

// jobMetrics are the metrics of jobs, their tasks and attempts.
type jobMetrics struct {
	liveJobs     prometheus.Gauge
	missingFound prometheus.Counter
	waitingTasks *prometheus.GaugeVec
	oldestWait   *prometheus.GaugeVec
	allocated    *prometheus.CounterVec
	ended        *prometheus.CounterVec
	accepted     *prometheus.CounterVec
	begun        *prometheus.CounterVec
	startWait    *prometheus.HistogramVec
}

func newJobMetrics(f promauto.Factory) jobMetrics {
	return jobMetrics{
		liveJobs:     gauge(f, "poppypass_jobs", "Jobs that are not over."),
		missingFound: f.NewCounter(prometheus.CounterOpts{Name: "poppypass_jobs_found_total", Help: "Stored jobs that the leader did not know."}),
		waitingTasks: gauges(f, "poppypass_queue_tasks", "Tasks that wait to be placed.", "class"),
		oldestWait:   gauges(f, "poppypass_oldest_unbegun_seconds", "For how long the oldest job waits to begin.", "class"),
		allocated:    counters(f, "poppypass_starts_total", "Attempts that were placed.", "class"),
		ended:        counters(f, "poppypass_ends_total", "Attempts that are proven over.", "class", "how"),
		accepted:     counters(f, "poppypass_jobs_accepted_total", "Jobs that came; size is largest for the largest tenth of the class's last ones.", "class", "team", "size"),
		begun:        counters(f, "poppypass_jobs_begun_total", "Jobs of which a first task ran.", "class", "team", "size"),
		startWait: f.NewHistogramVec(prometheus.HistogramOpts{
			Name: "poppypass_begin_seconds", Help: "From a job's acceptance until its first task ran.", Buckets: prometheus.ExponentialBuckets(0.5, 2, 11),
		}, []string{"class", "size"}),
	}
}

// machineMetrics are the metrics of machines and their heartbeats.
type machineMetrics struct {
	known          prometheus.Gauge
	unreachable    prometheus.Gauge
	unacknowledged prometheus.Gauge
	heartbeatWait  prometheus.Histogram
	rejected       *prometheus.CounterVec
	tokenRaises    prometheus.Gauge
	retained       *prometheus.GaugeVec
}

func newMachineMetrics(f promauto.Factory) machineMetrics {
	return machineMetrics{
		known:          gauge(f, "poppypass_machines", "Machines that the leader knows."),
		unreachable:    gauge(f, "poppypass_machines_deaf", "Machines that report but do not hear the leader."),
		unacknowledged: gauge(f, "poppypass_machines_unproven", "Machines that report and have not yet proved to hear this leader."),
		heartbeatWait: histogram(f, "poppypass_report_seconds", "How long a worker's report waits for the leader's answer.",
			prometheus.ExponentialBuckets(0.0001, 2, 16)),
		rejected: counters(f, "poppypass_reports_set_aside_total",
			"Workers' reports that changed nothing: older than one before, of a returned machine, or contradicting what is known of it.", "why"),
		tokenRaises: gauge(f, "poppypass_token_raises", "How often this leader took a higher fencing token for a machine."),
		retained:    gauges(f, "poppypass_retained_exit_bytes", "Bytes in heartbeats of ended attempts that wait for a higher fencing token.", "of"),
	}
}

// chargeMetrics are the metrics of the ledger.
type chargeMetrics struct {
	total       *prometheus.CounterVec
	coreSeconds *prometheus.CounterVec
	money       *prometheus.CounterVec
}

func newChargeMetrics(f promauto.Factory) chargeMetrics {
	return chargeMetrics{
		total:       counters(f, "poppypass_charges_total", "Charges that this controller made.", "team", "how"),
		coreSeconds: counters(f, "poppypass_charged_core_seconds_total", "Core time that this controller charged.", "team"),
		money:       counters(f, "poppypass_charged_money_total", "Money that this controller charged, in the currency of the cloud's prices.", "team"),
	}
}

func gauge(f promauto.Factory, name, help string) prometheus.Gauge {
	return f.NewGauge(prometheus.GaugeOpts{Name: name, Help: help})
}

func gauges(f promauto.Factory, name, help string, labels ...string) *prometheus.GaugeVec {
	return f.NewGaugeVec(prometheus.GaugeOpts{Name: name, Help: help}, labels)
}

func counters(f promauto.Factory, name, help string, labels ...string) *prometheus.CounterVec {
	return f.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

func histogram(f promauto.Factory, name, help string, buckets []float64) prometheus.Histogram {
	return f.NewHistogram(prometheus.HistogramOpts{Name: name, Help: help, Buckets: buckets})
}
