package follow

import (
	"github.com/prometheus/client_golang/prometheus"

	"oriolerelay/logstore"
)

// metrics holds the metrics of a Follower. The stream is a constant label.
type metrics struct {
	records    prometheus.Counter
	lastRead   prometheus.Gauge
	knownTime  prometheus.Gauge
	hasState   prometheus.Gauge
	snapshots  prometheus.Counter
	mismatches prometheus.Counter
}

func newMetrics(stream string) metrics {
	labels := prometheus.Labels{"stream": stream}
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help, ConstLabels: labels})
	}
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Name: name, Help: help, ConstLabels: labels})
	}
	return metrics{
		records:    counter("oriole_log_records_read_total", "Records read from the log."),
		lastRead:   gauge("oriole_log_last_read_timestamp_seconds", "Local time of the last successful read."),
		knownTime:  gauge("oriole_log_known_timestamp_seconds", "Platform time before which all records are known."),
		hasState:   gauge("oriole_log_folding", "1 when all records up to the read position are applied, else 0."),
		snapshots:  counter("oriole_log_snapshots_written_total", "Snapshots written by this process."),
		mismatches: counter("oriole_log_snapshot_mismatches_total", "Snapshots that differ from the state of this process."),
	}
}

func (m metrics) observe(b logstore.Batch, hasState bool) {
	m.records.Add(float64(len(b.Records)))
	m.lastRead.SetToCurrentTime()
	m.hasState.Set(0)
	if hasState {
		m.hasState.Set(1)
		m.knownTime.Set(float64(b.NowMS) / 1000)
	}
}

// Collectors returns the metrics of the follower for registration.
func (f *Follower[S]) Collectors() []prometheus.Collector {
	m := f.metrics
	return []prometheus.Collector{m.records, m.lastRead, m.knownTime, m.hasState, m.snapshots, m.mismatches}
}
