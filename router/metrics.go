package router

import "github.com/prometheus/client_golang/prometheus"

// Metrics holds the counters of a Router. Create it with NewMetrics.
type Metrics struct {
	forwarded, received, lost prometheus.Counter
}

// NewMetrics registers the metrics of a Router with reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		forwarded: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "oriole_jobs_passed_total", Help: "Jobs that were forwarded to another entry.",
		}),
		received: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "oriole_jobs_taken_total", Help: "Forwarded jobs of other entries that were accepted.",
		}),
		lost: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "oriole_jobs_passed_lost_total", Help: "Forwarded jobs whose outcome was lost with the entry that placed them.",
		}),
	}
	reg.MustRegister(m.forwarded, m.received, m.lost)
	return m
}
