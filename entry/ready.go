package entry

import (
	"sync/atomic"
	"time"

	"oriolerelay/errkind"
)

// agentWaitLimit bounds how long a new entry reports that it is not ready
// because a service has no endpoint. Agents dial a restarted entry again within
// their backoff; a service that has no endpoint anywhere must not keep the
// entry out of the load balancer for longer.
const agentWaitTimeout = 10 * time.Second

// agentWait holds back the readiness of a new entry until its agents have
// connected. It ends once: agents that are lost later leave the entry ready, since
// its peers have most likely lost them too.
type agentReadiness struct {
	since atomic.Pointer[time.Time]
	done  atomic.Bool
}

func (w *agentReadiness) notReady(s *Server) error {
	if w.done.Load() {
		return nil
	}
	now := s.now()
	w.since.CompareAndSwap(nil, &now)
	service := s.unservedService()
	if service != "" && now.Sub(*w.since.Load()) < agentWaitTimeout {
		return errkind.New(errkind.NoEndpoint, "no endpoint of service %s has connected yet", service)
	}
	w.done.Store(true)
	return nil
}

// unservedService returns a configured service without an endpoint at this
// entry, or an empty string.
func (s *Server) unservedService() string {
	served := map[string]bool{}
	for _, e := range s.dispatcher.Endpoints() {
		served[e.Service] = served[e.Service] || !e.Draining
	}
	for name := range s.tickets.Load().Services {
		if !served[name] {
			return name
		}
	}
	return ""
}
