package coordinator

import (
	"math"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"oriolerelay/event"
	"oriolerelay/job"
	"oriolerelay/policy"
)

const (
	// marginInterval is the time between two updates of the margin of a queue.
	marginInterval = 50 * time.Millisecond
	// forecastExpiry is the time after which the forecast state of an unused queue is dropped. Its
	// outcomes have lost their weight long before.
	forecastExpiry = time.Minute
)

// queueForecast is what a Coordinator has learned about the forecasts for the jobs of a queue.
type queueForecast struct {
	service     string
	priority    int
	flow        policy.Flow
	calibration policy.Calibration
	margin      policy.Margin
	marginAt    time.Time // when margin was last updated
	usedAt      time.Time
}

// jobForecast is what was predicted for a waiting job.
type jobForecast struct {
	judged bool
	// waitShare is the greatest wait share that was predicted. With a smaller margin the job would
	// have been refused early.
	waitShare float64
	// sampleWeight is positive if the job was admitted as a sample: it is the number of jobs that
	// the sample stands for.
	sampleWeight float64
}

// forecastView is the forecast of a placement pass for the jobs of a service.
type forecastView struct {
	forecast    policy.Forecast
	hasForecast bool
	// overtaking are the queues whose future jobs precede those of overtakenPriority.
	overtaking        []policy.Overtaking
	overtakenPriority int
	hasOvertaking     bool
}

// forecastMetrics are the metrics of early refusal, by queue.
type forecastMetrics struct {
	refusedEarly, sampled, sampledInTime, refusedLate, answeredLate *prometheus.CounterVec
}

func newForecastMetrics(reg prometheus.Registerer) forecastMetrics {
	counter := func(name, help string) *prometheus.CounterVec {
		m := prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, []string{"queue"})
		reg.MustRegister(m)
		return m
	}
	return forecastMetrics{
		refusedEarly:  counter("oriole_jobs_refused_early_total", "Jobs that were refused because of the forecast."),
		sampled:       counter("oriole_forecast_samples_total", "Jobs that were admitted against the forecast to check it."),
		sampledInTime: counter("oriole_forecast_samples_in_time_total", "Jobs admitted against the forecast that got their capacity in time."),
		refusedLate:   counter("oriole_jobs_refused_late_total", "Jobs that were refused after they had waited for capacity."),
		answeredLate:  counter("oriole_jobs_answered_late_total", "Jobs that were answered after their objective."),
	}
}

// forecastOf returns the state of the queue of j.
func (c *Coordinator) forecastOf(j *activeJob, now time.Time) *queueForecast {
	q := &j.spec.Queue
	f := c.forecasts[q.Name]
	if f == nil {
		f = &queueForecast{margin: policy.Margin{WaitShare: math.Inf(1)}}
		c.forecasts[q.Name] = f
	}
	f.service, f.priority, f.usedAt = q.Service, q.Priority, now
	return f
}

// observeOrder counts the capacity that a task of a queue gets.
func (c *Coordinator) observeOrder(t *task, now time.Time) {
	if c.cfg.Policy.Uses(policy.EarlyRefusal) {
		f := c.forecastOf(t.job, now)
		f.flow = f.flow.Add(float64(t.step.Size.MilliCores)/1000, t.expectedRunTime, now)
	}
}

// updateOvertaking sets the queues whose future jobs get capacity before those of q.
func (c *Coordinator) updateOvertaking(v *serviceView, q *job.Queue, now time.Time) {
	if v.hasOvertaking && v.overtakenPriority == q.Priority {
		return
	}
	v.overtaking, v.overtakenPriority, v.hasOvertaking = v.overtaking[:0], q.Priority, true
	for _, f := range c.forecasts {
		if f.service == q.Service && f.priority < q.Priority {
			v.overtaking = append(v.overtaking, f.flow.Overtaking(now))
		}
	}
}

// reuseForecastBuffer keeps the memory of the forecast of a placement pass for the next one.
func (c *Coordinator) reuseForecastBuffer(views map[string]*serviceView) {
	for _, v := range views {
		if v.hasForecast {
			c.forecastBuffer = v.forecast.Buffer()
		}
	}
}

// currentMargin returns the margin of a queue and logs when early refusals begin or end.
func (c *Coordinator) currentMargin(f *queueForecast, queue string, now time.Time) policy.Margin {
	if now.Sub(f.marginAt) < marginInterval {
		return f.margin
	}
	enabled := f.margin.Enabled()
	f.margin, f.marginAt = f.calibration.Margin(now), now
	if f.margin.Enabled() != enabled {
		c.cfg.Log.Log(event.EarlyRefusalChanged, "queue", queue, "enabled", !enabled, "wait_share", f.margin.WaitShare,
			"outcomes", f.margin.Jobs, "wrong_share", f.margin.WrongShare)
	}
	return f.margin
}

// observeOutcome calibrates the forecast of a queue by the outcome of a job that was judged.
func (c *Coordinator) observeOutcome(j *activeJob, inTime bool, now time.Time) {
	if !j.forecast.judged {
		return
	}
	j.forecast.judged = false
	f, queue := c.forecastOf(j, now), j.spec.Queue.Name
	f.calibration = f.calibration.Add(j.forecast.waitShare, max(j.forecast.sampleWeight, 1), inTime, now)
	if j.forecast.sampleWeight == 0 {
		return
	}
	c.cfg.Log.Log(event.SampledJobDecided, "job", j.spec.ID, "queue", queue, "in_time", inTime, "wait_share", j.forecast.waitShare)
	c.cfg.Metrics.sampled.WithLabelValues(queue).Inc()
	if inTime {
		c.cfg.Metrics.sampledInTime.WithLabelValues(queue).Inc()
	}
}

// observePlacement records the outcome of a job that was judged, once all its waiting tasks are
// ordered.
func (c *Coordinator) observePlacement(j *activeJob, now time.Time) {
	if j.forecast.judged && !j.hasWaitingTask() {
		c.observeOutcome(j, c.queuedJob(j).GotCapacityInTime(now), now)
	}
}

// expireForecasts drops the state of queues that are not used any more.
func (c *Coordinator) expireForecasts(now time.Time) {
	for name, f := range c.forecasts {
		if now.Sub(f.usedAt) > forecastExpiry {
			delete(c.forecasts, name)
		}
	}
}
