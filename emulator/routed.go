package emulator

import (
	"context"
	"fmt"
	"io"
	"slices"

	"github.com/prometheus/client_golang/prometheus"

	"oriolerelay/internal/rendezvous"
	"oriolerelay/policy"
	"oriolerelay/router"
	"oriolerelay/wire"
)

// NewPartialSystem returns a system in which each agent serves some of the entries, chosen
// by hash. Every entry places the jobs of its own callers.
func NewPartialSystem(ctx context.Context, endpoints []*Endpoint, entries, served int, log io.Writer) *System {
	s := &System{Endpoints: endpoints, ctx: ctx, Log: log}
	s.start(entries)
	s.connectChosen(s.entryNames(), served)
	return s
}

// NewRoutedSystem returns a system of entries with the given processor shares. Those that
// package router chooses place the jobs of all, and each agent serves one of them.
func NewRoutedSystem(ctx context.Context, endpoints []*Endpoint, milliCores []uint32, log io.Writer) *System {
	s := &System{Endpoints: endpoints, ctx: ctx, Log: log}
	s.startRouted(milliCores)
	return s
}

// NewPolicySystem returns a system whose processes follow a policy: each entry with few of
// them, and those that package policy chooses where there are many, place the jobs of all.
func NewPolicySystem(ctx context.Context, endpoints []*Endpoint, milliCores []uint32, p policy.Policy, log io.Writer) *System {
	s := &System{Endpoints: endpoints, ctx: ctx, Log: log, Policy: p}
	if len(milliCores) > policy.SmallDeploymentEntries {
		s.startRouted(milliCores)
		return s
	}
	s.start(len(milliCores))
	s.connectAll()
	return s
}

// startRouted starts entries with the given processor shares, of which some place jobs.
func (s *System) startRouted(milliCores []uint32) {
	s.start(len(milliCores))
	ctx := s.ctx
	var listed []policy.Entry
	for i, e := range s.entries {
		listed = append(listed, policy.Entry{Address: e.name, MilliCores: milliCores[i]})
	}
	placers := policy.PlacementEntries(listed, "", nil)
	s.connectChosen(placers, 1)
	for _, e := range s.entries {
		e.Router = router.New(router.Config{
			Local: e.Coordinator, Policy: s.Policy, Log: s.logger(e.name), Metrics: router.NewMetrics(prometheus.NewRegistry()),
		})
		e.Router.SetEnabled(len(milliCores) > policy.SmallDeploymentEntries)
		go e.Router.Run(ctx)
	}
	for _, from := range s.entries {
		for _, to := range s.entries {
			if from != to && slices.Contains(rendezvous.Choose(from.name, others(placers, from.name), nil, placersUsed, len(placers)), to.name) {
				s.connectEntries(from, to)
			}
		}
	}
}

// placersUsed is the number of entries that an entry passes jobs on to.
const placersUsed = 4

func (s *System) start(entries int) {
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

// connectChosen connects each agent with some of the named entries.
func (s *System) connectChosen(names []string, served int) {
	for i, a := range s.agents {
		chosen := rendezvous.Choose(a.name, names, nil, served, len(names))
		for n, e := range s.entries {
			if slices.Contains(chosen, e.name) {
				s.connect(n, i)
			}
		}
	}
}

// connectEntries lets an entry pass jobs on to another.
func (s *System) connectEntries(from, to *Entry) {
	toward, back := newLink(s.ctx), newLink(s.ctx)
	send := func(l *link) router.Sender {
		return func(m wire.Message) error {
			l.send(m)
			return nil
		}
	}
	placer := from.Router.Connected(fmt.Sprintf("%s.%d", to.name, to.incarnation), "", send(toward))
	forwarder := to.Router.ForwarderConnected(fmt.Sprintf("%s.%d", from.name, from.incarnation), send(back))
	open := func() bool { return true }
	go toward.deliver(open, func(m wire.Message) { to.Router.HandleForwarder(forwarder, m) })
	go back.deliver(open, func(m wire.Message) { from.Router.Handle(placer, m) })
}

// Router returns the router of an entry of a routed system, nil in another one.
func (s *System) Router(i int) *router.Router {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[i].Router
}

// others returns names without the given one.
func others(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
}
