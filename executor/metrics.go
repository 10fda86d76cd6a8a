package executor

import (
	"github.com/prometheus/client_golang/prometheus"

	"oriolerelay/wire"
)

// Metrics holds the metrics of an Executor. Create it with NewMetrics.
type Metrics struct {
	runEnds          *prometheus.CounterVec
	unansweredStarts prometheus.Counter
	observations     prometheus.Counter
	running          prometheus.Gauge
	usedMilliCores   prometheus.Gauge
	crashes          prometheus.Counter
}

// NewMetrics registers the metrics of an Executor with reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		runEnds: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oriole_runs_total", Help: "Runs of tasks by final state and reject reason.",
		}, []string{"state", "reason"}),
		unansweredStarts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "oriole_starts_unanswered_total", Help: "Starts without a reply from the endpoint.",
		}),
		observations: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "oriole_observations_total", Help: "Calls that extend the lease and read the runs.",
		}),
		running: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "oriole_runs", Help: "Runs at the endpoint.",
		}),
		usedMilliCores: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "oriole_used_millicores", Help: "Processor capacity in use at the endpoint, in thousandths of a core.",
		}),
		crashes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "oriole_endpoint_crashes_total", Help: "Crashes of the endpoint while it had runs.",
		}),
	}
	reg.MustRegister(m.runEnds, m.unansweredStarts, m.observations, m.running, m.usedMilliCores, m.crashes)
	return m
}

func (m *Metrics) countEnd(s wire.RunState, r wire.RejectReason) {
	m.runEnds.WithLabelValues(s.String(), r.String()).Inc()
}

func (m *Metrics) update(x *Executor) {
	m.running.Set(float64(len(x.runs)))
	m.usedMilliCores.Set(float64(x.used.MilliCores))
}
