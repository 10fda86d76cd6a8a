package agent

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"oriolerelay/errkind"
	"oriolerelay/wire"
)

// metrics holds the Prometheus metrics of one agent.
type metrics struct {
	tasks     *prometheus.CounterVec
	refusals  *prometheus.CounterVec
	queueTime prometheus.Histogram
	runTime   prometheus.Histogram
	resends   prometheus.Counter
}

// timeBuckets covers 0.5 ms to 16 s in powers of two; most tasks take 50 ms to 1 s.
var timeBuckets = prometheus.ExponentialBuckets(0.0005, 2, 16)

// newMetrics returns the metrics of c, registered with reg unless reg is nil.
func newMetrics(reg prometheus.Registerer, c *core) *metrics {
	m := &metrics{
		tasks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oriole_agent_tasks_total",
			Help: "Tasks sent to the endpoint, by outcome and error kind.",
		}, []string{"outcome", "kind"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oriole_agent_refused_total",
			Help: "Tasks that were refused and never run, by error kind.",
		}, []string{"kind"}),
		queueTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "oriole_agent_queue_seconds", Help: "Time that tasks waited in the queue for a slot.", Buckets: timeBuckets,
		}),
		runTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "oriole_agent_run_seconds", Help: "Duration of endpoint calls.", Buckets: timeBuckets,
		}),
		resends: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "oriole_agent_resent_total", Help: "Task results and refusals sent again after a connection was lost.",
		}),
	}
	if reg == nil {
		return m
	}
	reg.MustRegister(m.tasks, m.refusals, m.queueTime, m.runTime, m.resends)
	for _, g := range c.gauges() {
		reg.MustRegister(g)
	}
	return m
}

// gauges returns the gauges, which read the state of c when they are collected.
func (c *core) gauges() []prometheus.Collector {
	gauge := func(name, help string, read func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 {
			c.mu.Lock()
			defer c.mu.Unlock()
			return read()
		})
	}
	return []prometheus.Collector{
		gauge("oriole_agent_running", "Running tasks.", func() float64 { return float64(c.running) }),
		gauge("oriole_agent_queued", "Tasks queued for a slot.", func() float64 { return float64(c.queue.len()) }),
		gauge("oriole_agent_slots", "Task slots announced to entries.", func() float64 { return float64(c.buildAnnounce().Slots) }),
		gauge("oriole_agent_records", "Task records of admitted tasks.", func() float64 { return float64(c.records.admitted) }),
		gauge("oriole_agent_tombstones", "Task records of refused tasks that were never admitted.", func() float64 { return float64(c.records.tombstones) }),
		gauge("oriole_agent_result_bytes", "Bytes of answers kept until they are delivered.", func() float64 { return float64(c.records.bytes) }),
		gauge("oriole_agent_connections", "Connections to entries.", func() float64 { return float64(len(c.links)) }),
		gauge("oriole_agent_ticket", "Number of the ticket whose configuration is in force.", func() float64 { return float64(c.rules.ticket) }),
		gauge("oriole_agent_draining", "1 while the agent is draining, else 0.", func() float64 { return boolToFloat(c.draining) }),
		gauge("oriole_agent_lease_held", "0 while another process holds the worker's lease, else 1.", func() float64 { return boolToFloat(c.leaseValid) }),
	}
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func (m *metrics) countRefused(kind errkind.Kind) { m.refusals.WithLabelValues(string(kind)).Inc() }

func (m *metrics) countResent(n int) { m.resends.Add(float64(n)) }

func (m *metrics) observeFinished(r *wire.TaskResult) {
	m.tasks.WithLabelValues(string(r.Outcome), string(r.Kind)).Inc()
	m.queueTime.Observe((time.Duration(r.QueueMicros) * time.Microsecond).Seconds())
	m.runTime.Observe((time.Duration(r.RunMicros) * time.Microsecond).Seconds())
}
