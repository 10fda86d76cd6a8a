package entry

import (
	"sync/atomic"
	"time"

	"oriolerelay/errkind"
)

// agentWaitTimeout bounds how long a new entry reports that it is not ready
// because a service has no endpoint. Agents reconnect to a restarted entry within
// their backoff; a service that has no endpoint anywhere must not keep the entry
// out of the load balancer for longer.
const agentWaitTimeout = 10 * time.Second

// agentReadiness delays the readiness of a new entry until its agents have
// connected. It never reverts: the entry stays ready when it loses agents later,
// since its peers have most likely lost them too.
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

// unservedService returns the name of a configured service without an endpoint at
// this entry, or an empty string if there is none.
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
