package relay

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"oriolerelay/event"
	"oriolerelay/job"
	"oriolerelay/platform"
)

const (
	// configOverdue is the age of the last answered read of the operator's records from which the
	// configuration may be older than the bound that operators are given.
	configOverdue = 2 * time.Second
	// configCheckInterval is the time between two checks of that age.
	configCheckInterval = 250 * time.Millisecond
)

// configReads tells how old the knowledge of the configuration is.
type configReads struct {
	answeredAt atomic.Int64 // in time of boottime; 0 before the first read
}

func (r *configReads) markAnswered() { r.answeredAt.Store(int64(boottime())) }

// age returns the time since the last answered read, or 0 before the first one.
func (r *configReads) age() time.Duration {
	if at := r.answeredAt.Load(); at != 0 {
		return boottime() - time.Duration(at)
	}
	return 0
}

// ConfigOverdue implements platform.JobBackend.
func (e *entry) ConfigOverdue() bool { return e.configReads.age() > configOverdue }

// findQueue returns the queue with the given name of the current configuration, and its version.
func (e *entry) findQueue(name string) (q job.Queue, version uint64, ok bool) {
	cfg := e.config.Load()
	if cfg == nil {
		return job.Queue{}, 0, false
	}
	for _, q := range cfg.Queues {
		if q.Name == name {
			return q, cfg.Version, true
		}
	}
	return job.Queue{}, cfg.Version, false
}

// watchOperator applies the operator's records until ctx ends.
func (e *entry) watchOperator(ctx context.Context) {
	e.store.WatchOperator(ctx, e.process.log, platform.OperatorHandler{
		Config: e.applyConfig, Evacuated: e.router.SetEvacuated, Answered: e.configReads.markAnswered,
	})
}

// registerConfigMetrics registers the metrics of the configuration.
func (e *entry) registerConfigMetrics() {
	e.process.registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "oriole_config_version", Help: "Version of the configuration in force; 0 without one.",
		}, func() float64 {
			if cfg := e.config.Load(); cfg != nil {
				return float64(cfg.Version)
			}
			return 0
		}),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "oriole_config_read_age_seconds", Help: "Time since the last answered read of the operator's records.",
		}, func() float64 { return e.configReads.age().Seconds() }),
	)
}

// logConfigAge logs when the configuration has not been read for configOverdue, and when it is read
// again, until ctx ends.
func (e *entry) logConfigAge(ctx context.Context) {
	check := time.NewTicker(configCheckInterval)
	defer check.Stop()
	var longest time.Duration // age while it is overdue
	for {
		age := e.configReads.age()
		if overdue := age > configOverdue; overdue != (longest > 0) {
			version := uint64(0)
			if cfg := e.config.Load(); cfg != nil {
				version = cfg.Version
			}
			e.process.log.Log(event.ConfigReadOverdue, "overdue", overdue, "version", version, "age_ms", max(age, longest).Milliseconds())
		}
		longest = 0
		if age > configOverdue {
			longest = age
		}
		select {
		case <-check.C:
		case <-ctx.Done():
			return
		}
	}
}
