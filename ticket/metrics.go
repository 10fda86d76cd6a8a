package ticket

import "github.com/prometheus/client_golang/prometheus"

func newAnswerCounter() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "oriole_ticket_answers_total",
		Help: "Answers to submitted tickets: accepted, or the error kind.",
	}, []string{"answer"})
}

// Collectors returns the metrics of the follower for a registry.
func (f *Follower) Collectors() []prometheus.Collector {
	number := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "oriole_ticket_number", Help: "Number of the newest ticket in force.",
	}, func() float64 { return float64(f.Load().Number) })
	return append(f.records.Collectors(), number, f.answerCounter)
}
