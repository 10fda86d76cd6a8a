package transport

import (
	"github.com/prometheus/client_golang/prometheus"

	"oriolerelay/wire"
)

// Stats counts messages and bytes by type and direction. A nil *Stats is valid
// and counts nothing.
type Stats struct {
	messages *prometheus.CounterVec
	bytes    *prometheus.CounterVec
}

// NewStats returns a Stats whose counters are registered with reg.
func NewStats(reg prometheus.Registerer) *Stats {
	s := &Stats{
		messages: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oriole_messages_total",
			Help: "Internal protocol messages by direction and type.",
		}, []string{"direction", "type"}),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oriole_message_bytes_total",
			Help: "Encoded size of messages in bytes by direction and type, without transport headers.",
		}, []string{"direction", "type"}),
	}
	reg.MustRegister(s.messages, s.bytes)
	return s
}

func (s *Stats) sent(t wire.Type, n int)     { s.count("sent", t, n) }
func (s *Stats) received(t wire.Type, n int) { s.count("received", t, n) }

func (s *Stats) count(direction string, t wire.Type, n int) {
	if s == nil {
		return
	}
	s.messages.WithLabelValues(direction, t.String()).Inc()
	s.bytes.WithLabelValues(direction, t.String()).Add(float64(n))
}
