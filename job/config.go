package job

import (
	"strings"
	"time"
)

// Config is the active configuration.
type Config struct {
	Version  uint64
	Queues   []Queue
	Services []Service
	Limits   Limits
}

// Queue routes jobs to the endpoints of a service. In a Submission it is encoded under the Go
// names of its fields.
type Queue struct {
	Name          string
	Host          string // of the caller's request
	PathPrefix    string
	Service       string
	Timeout       time.Duration
	TargetLatency time.Duration
	// Priority orders the queues; 0 is the most urgent.
	Priority int
	// Attempts is how often a task may fail before its job fails.
	Attempts int
	// Stretch is the factor by which a job may exceed its critical path.
	Stretch float64
	// Advised is set for a queue whose steps start only where an external policy allows it.
	Advised bool
	// CapacityUnenforced is set if the endpoints of the service start tasks beyond their capacity.
	CapacityUnenforced bool `cbor:",omitempty"`
}

// Objective returns the time within which a job with the given critical path should be
// answered.
func (q *Queue) Objective(criticalPath time.Duration) time.Duration {
	stretch := q.Stretch
	if stretch <= 0 {
		stretch = 1
	}
	return time.Duration(stretch*float64(criticalPath)) + q.TargetLatency
}

// Service is a group of endpoints.
type Service struct {
	Name string
	// EnforcesCapacity is set when the endpoints reject tasks that exceed their capacity.
	EnforcesCapacity bool
	// Spare is set when the hosts of the service are switched off.
	Spare bool
}

// Limits bounds the requests of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Service returns the service with the given name.
func (c *Config) Service(name string) (Service, bool) {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return c.Services[i], true
		}
	}
	return Service{}, false
}

// Match returns the queue with the longest path prefix that matches path on host, and the rest
// of the path.
func (c *Config) Match(host, path string) (Queue, string, bool) {
	best := -1
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host != host || !strings.HasPrefix(path, q.PathPrefix) {
			continue
		}
		if best < 0 || len(q.PathPrefix) > len(c.Queues[best].PathPrefix) {
			best = i
		}
	}
	if best < 0 {
		return Queue{}, "", false
	}
	return c.Queues[best], path[len(c.Queues[best].PathPrefix):], true
}
