package logstore

import (
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics holds the metrics of a Client. The results are "ok", "held" (another
// holder has the lease), "not_applied" and "unknown".
type metrics struct {
	calls    *prometheus.CounterVec
	duration *prometheus.HistogramVec
}

func newMetrics() metrics {
	return metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oriole_platform_calls_total", Help: "Platform calls by operation and result.",
		}, []string{"op", "result"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "oriole_platform_call_seconds", Help: "Duration of platform calls by operation.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 12), // 1 ms to 2 s, the default timeout
		}, []string{"op"}),
	}
}

func (m metrics) observe(op string, start time.Time, err error) {
	m.duration.WithLabelValues(op).Observe(time.Since(start).Seconds())
	m.calls.WithLabelValues(op, resultLabel(err)).Inc()
}

func resultLabel(err error) string {
	var held *LeaseHeldError
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &held):
		return "held"
	case IsNotApplied(err):
		return string(NotApplied)
	}
	return string(Unknown)
}

// Collectors returns the metrics of the client for registration.
func (c *Client) Collectors() []prometheus.Collector {
	return []prometheus.Collector{c.metrics.calls, c.metrics.duration}
}
