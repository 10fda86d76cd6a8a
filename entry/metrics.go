package entry

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics holds the metrics of the entry itself. Package transport counts messages.
type metrics struct {
	forwardsLost  prometheus.Counter
	answers       *prometheus.CounterVec
	answerSeconds *prometheus.HistogramVec
}

func newMetrics(s *Server) *metrics {
	m := &metrics{
		forwardsLost: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "oriole_forwards_lost_total",
			Help: "Forwards to a home without a reply.",
		}),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oriole_http_answers_total",
			Help: "HTTP responses by path and status.",
		}, []string{"path", "status"}),
		answerSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "oriole_http_answer_seconds",
			Help:    "Time from receiving the headers of an HTTP request to its response, by path.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 16), // 1 ms to 33 s
		}, []string{"path"}),
	}
	tableGauge := func(value func(entries int, bytes int64) float64) func() float64 {
		return func() float64 { return value(s.submissionTable.Size()) }
	}
	s.registry.MustRegister(m.forwardsLost, m.answers, m.answerSeconds,
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "oriole_record_submissions",
			Help: "Submissions in the submission table of this home.",
		}, tableGauge(func(n int, _ int64) float64 { return float64(n) })),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "oriole_record_bytes",
			Help: "Bytes accounted to the submission table of this home.",
		}, tableGauge(func(_ int, b int64) float64 { return float64(b) })),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "oriole_peers_connected",
			Help: "Peer entries with an open connection from this entry.",
		}, func() float64 { return float64(len(s.peers.connectedTo())) }))
	return m
}

func (m *metrics) observe(path string, status int, d time.Duration) {
	m.answers.WithLabelValues(path, strconv.Itoa(status)).Inc()
	m.answerSeconds.WithLabelValues(path).Observe(d.Seconds())
}
