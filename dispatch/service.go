package dispatch

import (
	"time"

	"oriolerelay/balance"
	"oriolerelay/errkind"
	"oriolerelay/limit"
	"oriolerelay/ticket"
)

// unservedGrace is how long queued tasks wait after the last endpoint of their
// service has gone. New jobs are refused at once.
const unservedGrace = time.Second

// service is the queue and the endpoints of one service. The dispatcher's lock
// guards it.
type service struct {
	name          string
	agents        []*agent // with an announced endpoint, connected or not
	kinds         map[string]*kind
	queue         *limit.FairQueue[*job]
	queued        int // tasks that wait here
	health        *limit.HealthGroup
	retries       limit.RetryBudget
	unservedSince time.Time
	view          view                 // reused by the scheduler
	places        []limit.EndpointLoad // reused by prospect
}

// kind is one kind of request of a service.
type kind struct {
	name   string
	index  int // in agent.times
	times  balance.KindRunTimes
	queued int
}

func (d *Dispatcher) serviceOf(name string) *service {
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

func (s *service) kindOf(name string) *kind {
	k := s.kinds[name]
	if k == nil {
		k = &kind{name: name, index: len(s.kinds)}
		s.kinds[name] = k
	}
	return k
}

// served reports whether an agent can be given tasks.
func (s *service) served() bool {
	for _, a := range s.agents {
		if a.live() {
			return true
		}
	}
	return false
}

// checkUnserved gives up the queued jobs of a service without endpoints.
func (d *Dispatcher) checkUnserved(s *service, now time.Time) {
	if s.queue.Len() == 0 || s.served() || now.Sub(s.unservedSince) < unservedGrace {
		return
	}
	var jobs []*job
	s.queue.Each(func(j *job) { jobs = append(jobs, j) })
	for _, j := range jobs {
		d.giveUp(j, errkind.New(errkind.NoEndpoint, "the last endpoint of %s has gone", s.name), nil)
	}
}

func (d *Dispatcher) endpointRules(service string) ticket.EndpointRules {
	st := d.cfg.State()
	if st == nil {
		return ticket.EndpointRules{}
	}
	return st.Services[service].Endpoints
}
