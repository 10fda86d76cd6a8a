package emulator

import (
	"context"
	"io"
	"slices"

	"github.com/prometheus/client_golang/prometheus"

	"oriolerelay/internal/rendezvous"
	"oriolerelay/policy"
	"oriolerelay/router"
	"oriolerelay/wire"
)

// NewPartialSystem returns a system in which each agent serves entriesPerAgent entries, selected
// by hash. Each entry places the jobs of its own callers.
func NewPartialSystem(ctx context.Context, endpoints []*Endpoint, entries, entriesPerAgent int, log io.Writer) *System {
	s := &System{Endpoints: endpoints, ctx: ctx, Log: log}
	s.startProcesses(entries)
	s.connectSelected(s.entryNames(), entriesPerAgent)
	return s
}

// NewRoutedSystem returns a system of entries with the given processor shares. The placement
// entries that package policy selects place all jobs, and each agent serves one of them.
func NewRoutedSystem(ctx context.Context, endpoints []*Endpoint, milliCores []uint32, log io.Writer) *System {
	s := &System{Endpoints: endpoints, ctx: ctx, Log: log}
	s.startRouted(milliCores)
	return s
}

// NewPolicySystem returns a system whose processes follow a policy. With few entries, all of them
// place jobs at all endpoints; with more than policy.SmallDeploymentEntries, the placement entries
// that package policy selects place all jobs.
func NewPolicySystem(ctx context.Context, endpoints []*Endpoint, milliCores []uint32, p policy.Policy, log io.Writer) *System {
	s := &System{Endpoints: endpoints, ctx: ctx, Log: log, Policy: p}
	s.startRouted(milliCores)
	return s
}

// startRouted starts entries with the given processor shares and connects each agent and each
// entry with placement entries.
func (s *System) startRouted(milliCores []uint32) {
	s.startProcesses(len(milliCores))
	ctx := s.ctx
	var listed []policy.Entry
	for i, e := range s.entries {
		listed = append(listed, policy.Entry{Address: e.name, MilliCores: milliCores[i]})
	}
	placementEntries := policy.PlacementEntries(listed, "", nil)
	shared := len(milliCores) <= policy.SmallDeploymentEntries
	if shared {
		s.connectAll()
	} else {
		s.connectSelected(placementEntries, 1)
	}
	for _, e := range s.entries {
		cfg := router.Config{
			Local: e.Coordinator, Self: e.incarnation(), Policy: s.Policy, Log: s.logger(e.name), Metrics: router.NewMetrics(prometheus.NewRegistry()),
		}
		if s.Policy.Uses(policy.FairShare) {
			cfg.Shares = e.Coordinator
		}
		e.Router = router.New(cfg)
		e.Router.SetSharedAgents(shared)
		e.Router.SetEnabled(len(milliCores) > 1)
		go e.Router.Run(ctx)
	}
	for _, from := range s.entries {
		for _, to := range s.entries {
			if from != to && slices.Contains(rendezvous.Choose(from.name, others(placementEntries, from.name), nil, forwardTargets, len(placementEntries)), to.name) {
				s.connectEntries(from, to)
			}
		}
	}
}

// forwardTargets is the number of placement entries to which an entry forwards jobs.
const forwardTargets = 4

func (s *System) startProcesses(entries int) {
	for i := range s.Endpoints {
		s.agents = append(s.agents, s.newAgent(i))
	}
	for i := range entries {
		s.entries = append(s.entries, s.newEntry(i, 1))
	}
}

func (s *System) entryNames() (names []string) {
	for _, e := range s.entries {
		names = append(names, e.name)
	}
	return names
}

// connectSelected connects each agent with entriesPerAgent of the named entries, selected by hash.
func (s *System) connectSelected(names []string, entriesPerAgent int) {
	for i, a := range s.agents {
		selected := rendezvous.Choose(a.name, names, nil, entriesPerAgent, len(names))
		for n, e := range s.entries {
			if slices.Contains(selected, e.name) {
				s.connect(n, i)
			}
		}
	}
}

// connectEntries connects two entries. The entry from can then forward jobs to the other one.
func (s *System) connectEntries(from, to *Entry) {
	forward, backward := newLink(s.ctx), newLink(s.ctx)
	send := func(l *link) router.Sender {
		return func(m wire.Message) error {
			l.send(m)
			return nil
		}
	}
	target := from.Router.Connected(to.incarnation(), "", send(forward))
	forwarder := to.Router.ForwarderConnected(from.incarnation(), send(backward))
	isOpen := func() bool { return true }
	number := s.timeline.newConnection()
	go forward.deliver(isOpen, func(m wire.Message) {
		s.timeline.addMessage(number, from.incarnation(), to.incarnation(), m)
		to.Router.HandleForwarder(forwarder, m)
	})
	go backward.deliver(isOpen, func(m wire.Message) {
		s.timeline.addMessage(number, to.incarnation(), from.incarnation(), m)
		from.Router.Handle(target, m)
	})
}

// Router returns the router of an entry, nil if the system is not routed.
func (s *System) Router(i int) *router.Router {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[i].Router
}

// others returns names without name.
func others(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
}
