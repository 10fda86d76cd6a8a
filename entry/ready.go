package entry

import (
	"context"
	"time"

	"oriolerelay/errkind"
	"oriolerelay/event"
)

const (
	// readyLimit bounds the wait for agents after the start, so that a service
	// without endpoints does not keep an entry out of use. An agent redials within
	// 2 s and a dial that began before the start may take 2 s more.
	readyLimit = 5 * time.Second
	// readySettle is the time without a new endpoint after which the agents count
	// as connected.
	readySettle = 500 * time.Millisecond
	readyPoll   = 100 * time.Millisecond
)

// watchReadiness sets ready once, when the configuration is known and the agents
// have connected. An entry that is ready too early refuses submissions as
// no_endpoint although the endpoints are there.
func (s *Server) watchReadiness(ctx context.Context) error {
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	start := time.Now()
	known, changed := 0, start
	for {
		n, covered := s.endpoints()
		if now := time.Now(); n != known {
			known, changed = n, now
		} else if s.configured() && (covered && now.Sub(changed) >= readySettle || now.Sub(start) >= readyLimit) {
			s.ready.Store(true)
			s.log.Log(event.EntryReady, "endpoints", n)
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// endpoints returns the number of usable endpoints and whether each configured
// service has one.
func (s *Server) endpoints() (n int, covered bool) {
	services := make(map[string]bool)
	for _, e := range s.disp.Endpoints() {
		if e.Slots > 0 && !e.Draining {
			n++
			services[e.Service] = true
		}
	}
	for name := range s.tickets.Load().Services {
		if !services[name] {
			return n, false
		}
	}
	return n, true
}

// configured reports whether a configuration is known, which is empty before
// the first ticket.
func (s *Server) configured() bool {
	_, ok := s.tickets.Fold()
	return ok || s.tickets.Load().Number > 0
}

func (s *Server) notReady() error {
	switch {
	case s.draining.Load():
		return errDraining()
	case s.ready.Load():
		return nil
	case !s.configured():
		return errkind.New(errkind.NoConfiguration, "no configuration is known yet")
	}
	return errkind.New(errkind.NoEndpoint, "waiting for agents to connect, at most %s from the start", readyLimit)
}
