package job

import (
	"strings"
	"time"
)

// Config is the whole configuration in force.
type Config struct {
	Version  uint64
	Queues   []Queue
	Services []Service
	Limits   Limits
}

// Queue is a route of jobs to the endpoints of a service.
type Queue struct {
	Name          string
	Host          string // of the callers' request
	PathPrefix    string
	Service       string
	Timeout       time.Duration
	TargetLatency time.Duration
	// Priority orders the queues; 0 comes first.
	Priority int
	// Attempts is how often a task may fail before its job has failed.
	Attempts int
	// Stretch is the factor by which a job may exceed its longest chain of work.
	Stretch float64
	// Advised queues run a step only where an external policy allows it.
	Advised bool
}

// Objective returns the time in which a job with the given longest chain of
// work should be answered.
func (q *Queue) Objective(chain time.Duration) time.Duration {
	stretch := q.Stretch
	if stretch <= 0 {
		stretch = 1
	}
	return time.Duration(stretch*float64(chain)) + q.TargetLatency
}

// Service is a group of endpoints.
type Service struct {
	Name string
	// EnforcesCapacity is set when the endpoints refuse what exceeds their room.
	EnforcesCapacity bool
	// Spare services have their hosts switched off.
	Spare bool
}

// Limits bound the callers' requests.
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

// Match finds the queue with the longest prefix of path on host and returns it
// with the rest of the path.
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
