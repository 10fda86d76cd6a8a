package dispatch

import (
	"time"

	"oriolerelay/balance"
	"oriolerelay/errkind"
	"oriolerelay/limit"
	"oriolerelay/ticket"
)

// unavailableTimeout is how long queued tasks wait for an endpoint after their
// service has lost the last one. New jobs are refused immediately.
const unavailableTimeout = time.Second

// service holds the queue and the endpoints of one service. It is guarded by
// Dispatcher.mu.
type service struct {
	name             string
	agents           []*agent // agents that announced an endpoint, connected or not
	kinds            map[string]*kind
	queue            *limit.FairQueue[*job]
	queued           int // tasks in the queue
	health           *limit.HealthGroup
	retries          limit.RetryBudget
	unavailableSince time.Time
	snapshot         snapshot             // buffer reused by the scheduler
	endpointLoads    []limit.EndpointLoad // buffer reused by estimateJob
}

// kind holds the queue length and run time statistics of one kind of request.
type kind struct {
	name     string
	index    int // index in agent.runTimes
	runTimes balance.KindRunTimes
	queued   int
}

func (d *Dispatcher) getOrCreateService(name string) *service {
	s := d.services[name]
	if s == nil {
		s = &service{
			name:   name,
			kinds:  make(map[string]*kind),
			queue:  limit.NewFairQueue[*job](),
			health: limit.NewHealthGroup(),
		}
		d.services[name] = s
	}
	return s
}

func (s *service) getOrCreateKind(name string) *kind {
	k := s.kinds[name]
	if k == nil {
		k = &kind{name: name, index: len(s.kinds)}
		s.kinds[name] = k
	}
	return k
}

// available reports whether an agent of the service can be given tasks.
func (s *service) available() bool {
	for _, a := range s.agents {
		if a.available() {
			return true
		}
	}
	return false
}

// abortIfUnavailable aborts the queued jobs of a service that has had no endpoint
// for unavailableTimeout.
func (d *Dispatcher) abortIfUnavailable(s *service, now time.Time) {
	if s.queue.Len() == 0 || s.available() || now.Sub(s.unavailableSince) < unavailableTimeout {
		return
	}
	var jobs []*job
	s.queue.Each(func(j *job) { jobs = append(jobs, j) })
	for _, j := range jobs {
		d.abortJob(j, errkind.New(errkind.NoEndpoint, "no endpoint of service %s is available", s.name), nil)
	}
}

func (d *Dispatcher) endpointRules(service string) ticket.EndpointRules {
	config := d.cfg.CurrentConfig()
	if config == nil {
		return ticket.EndpointRules{}
	}
	return config.Services[service].Endpoints
}
