package dispatch

import (
	"github.com/prometheus/client_golang/prometheus"

	"oriolerelay/errkind"
)

// metrics holds the Prometheus metrics of a dispatcher.
type metrics struct {
	tasks         *prometheus.CounterVec
	jobs          *prometheus.CounterVec
	refusals      *prometheus.CounterVec
	agentRefusals prometheus.Counter
	settles       prometheus.Counter
	unsettled     prometheus.Counter
	retries       prometheus.Counter
	ejections     prometheus.Counter
	queueWait     prometheus.Histogram
}

func newCounter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
}

func newMetrics(reg prometheus.Registerer, d *Dispatcher) *metrics {
	m := &metrics{
		tasks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oriole_tasks_total", Help: "Tasks of answered jobs, by service and outcome.",
		}, []string{"service", "outcome"}),
		jobs: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oriole_jobs_total", Help: "Answered jobs, by service and error kind; the kind is empty for complete jobs.",
		}, []string{"service", "kind"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oriole_refusals_total", Help: "Jobs refused on submission, by error kind.",
		}, []string{"kind"}),
		agentRefusals: newCounter("oriole_agent_refusals_total", "Tasks that an agent refused."),
		settles:       newCounter("oriole_settles_total", "Queries to agents for the state of a task without a reply."),
		unsettled:     newCounter("oriole_unsettled_total", "Tasks that failed because they could not be settled."),
		retries:       newCounter("oriole_retries_total", "Requests retried after an attempt that may have run."),
		ejections:     newCounter("oriole_ejections_total", "Ejections of endpoints."),
		queueWait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "oriole_queue_wait_seconds", Help: "Time from queueing a task to sending its Start message.",
			Buckets: prometheus.ExponentialBuckets(0.0001, 4, 9),
		}),
	}
	if reg != nil {
		reg.MustRegister(m.tasks, m.jobs, m.refusals, m.agentRefusals, m.settles, m.unsettled, m.retries,
			m.ejections, m.queueWait,
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{
				Name: "oriole_queued_tasks", Help: "Tasks queued at this home entry.",
			}, d.queuedTasks),
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{
				Name: "oriole_running_jobs", Help: "Admitted jobs that are not answered yet.",
			}, d.runningJobs))
	}
	return m
}

func (m *metrics) countRefusal(kind errkind.Kind) { m.refusals.WithLabelValues(string(kind)).Inc() }

func (m *metrics) countFinished(j *job) {
	kind := ""
	if j.answer.Err != nil {
		kind = string(j.answer.Err.Kind)
	}
	m.jobs.WithLabelValues(j.Service, kind).Inc()
	counts := map[errkind.Outcome]int{}
	for i := range j.answer.Tasks {
		counts[j.answer.Tasks[i].Outcome]++
	}
	for outcome, n := range counts {
		m.tasks.WithLabelValues(j.Service, string(outcome)).Add(float64(n))
	}
}

func (d *Dispatcher) queuedTasks() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, s := range d.services {
		n += s.queued
	}
	return float64(n)
}

func (d *Dispatcher) runningJobs() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return float64(len(d.jobs))
}
