package coordinator

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"oriolerelay/policy"
)

// Metrics holds the metrics of a Coordinator. Create it with NewMetrics.
type Metrics struct {
	admitted  prometheus.Counter
	refused   *prometheus.CounterVec
	answered  *prometheus.CounterVec
	latency   *prometheus.HistogramVec
	abandoned prometheus.Counter
	ordered   prometheus.Counter
	repeated  *prometheus.CounterVec
	moved     prometheus.Counter
	crashes   prometheus.Counter
	givenUp   prometheus.Counter
	inFlight  prometheus.Gauge
	queued    prometheus.Gauge
	shares    *prometheus.GaugeVec
	promoted  *prometheus.CounterVec

	reservations reservationMetrics
	// Tasks that have waited for a faster endpoint, and that were placed on a slow one.
	speedWaits, speedSlow prometheus.Counter
	forecastMetrics
	handedOver prometheus.Counter
}

// NewMetrics registers the metrics of a Coordinator with reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		admitted: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "oriole_jobs_admitted_total", Help: "Jobs that were admitted.",
		}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oriole_jobs_refused_total", Help: "Jobs that were refused and did not run, by error kind.",
		}, []string{"kind"}),
		answered: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oriole_jobs_answered_total", Help: "Jobs that were answered, by state and whether within the objective.",
		}, []string{"state", "in_time"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "oriole_job_seconds", Help: "Time from a job's arrival to its answer.",
			Buckets: prometheus.ExponentialBuckets(0.02, 1.6, 14),
		}, []string{"state"}),
		abandoned: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "oriole_jobs_abandoned_total", Help: "Jobs whose caller disconnected.",
		}),
		ordered: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "oriole_runs_ordered_total", Help: "Runs of tasks that were ordered from agents.",
		}),
		repeated: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oriole_runs_repeated_total", Help: "Tasks that had to run again, by cause.",
		}, []string{"cause"}),
		moved: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "oriole_runs_moved_total", Help: "Slow runs that were stopped and moved to another endpoint.",
		}),
		crashes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "oriole_reported_crashes_total", Help: "Crashes of endpoints that agents reported.",
		}),
		givenUp: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "oriole_tasks_given_up_total", Help: "Tasks that were given up because endpoints crash while they run.",
		}),
		inFlight: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "oriole_jobs", Help: "Jobs in progress.",
		}),
		queued: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "oriole_jobs_waiting", Help: "Jobs with tasks that wait for capacity.",
		}),
		shares: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "oriole_started_share", Help: "Share of the declared core-seconds of decided jobs that has started, by group of jobs.",
		}, []string{"service", "kind", "group"}),
		promoted: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oriole_jobs_promoted_total", Help: "Jobs that started before others because a group of theirs got less than its share.",
		}, []string{"queue"}),
	}
	speedMatched := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "oriole_tasks_speed_matched_total", Help: "Tasks that were placed on a slow endpoint, or waited for a fast one, because fast ones were scarce.",
	}, []string{"decision"})
	m.speedWaits, m.speedSlow = speedMatched.WithLabelValues("wait"), speedMatched.WithLabelValues("slow")
	m.handedOver = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "oriole_jobs_handed_over_total", Help: "Jobs that were returned unstarted to be placed at another placement entry.",
	})
	reg.MustRegister(speedMatched, m.handedOver)
	m.forecastMetrics = newForecastMetrics(reg)
	reg.MustRegister(m.admitted, m.refused, m.answered, m.latency, m.abandoned, m.ordered, m.repeated, m.moved, m.crashes, m.givenUp,
		m.inFlight, m.queued, m.shares, m.promoted)
	m.reservations = newReservationMetrics(reg)
	return m
}

func (m *Metrics) observeJobEnd(queue string, o outcome, took time.Duration, inTime bool) {
	state := string(o.state)
	if o.err != nil {
		state = string(o.err.Kind)
	}
	in := "no"
	if inTime {
		in = "yes"
	} else {
		m.answeredLate.WithLabelValues(queue).Inc()
	}
	m.answered.WithLabelValues(state, in).Inc()
	m.latency.WithLabelValues(state).Observe(took.Seconds())
}

func (m *Metrics) updateGauges(c *Coordinator) {
	m.inFlight.Set(float64(len(c.jobs)))
	m.queued.Set(float64(len(c.queued)))
}

func (m *Metrics) updateShares(service string, kind policy.GroupKind, groups []*shareGroup) {
	for _, g := range groups {
		m.shares.WithLabelValues(service, kind.String(), g.name).Set(g.Counts.Share())
	}
}

func (m *Metrics) removeShares(service string, kind policy.GroupKind, groups ...*shareGroup) {
	for _, g := range groups {
		m.shares.DeleteLabelValues(service, kind.String(), g.name)
	}
}
