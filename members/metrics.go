package members

import "github.com/prometheus/client_golang/prometheus"

func newAppendCounter() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "oriole_member_appends_total",
		Help: "Membership records appended by this process, by type and result.",
	}, []string{"type", "result"})
}

// Collectors returns the metrics of the follower for a registry.
func (f *Follower) Collectors() []prometheus.Collector {
	count := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "oriole_members", Help: "Members of the newest view.",
	}, func() float64 { return float64(len(f.Addresses())) })
	return append(f.records.Collectors(), count, f.appendCounter)
}
