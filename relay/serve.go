package relay

import (
	"context"
	"time"

	"oriolerelay/event"
	"oriolerelay/executor"
	"oriolerelay/ids"
	"oriolerelay/internal/rendezvous"
	"oriolerelay/policy"
	"oriolerelay/transport"
	"oriolerelay/wire"
)

const (
	// endsNotedWithin is when an end that is not recorded is offered to all entries that
	// place jobs. An owner that works records within two calls to the store of some ms.
	endsNotedWithin = 300 * time.Millisecond
	// retireCheck is the time between two checks for the end of the last run of an
	// entry that is not served any more. It is longer than orders are under way.
	retireCheck = 500 * time.Millisecond
)

// servedEntries connects an agent to the entries that it serves.
type servedEntries struct {
	p     *process
	x     *executor.Executor
	links *links
}

func newServedEntries(p *process, x *executor.Executor) *servedEntries {
	s := &servedEntries{p: p, x: x}
	s.links = newLinks(p, s, wire.RoleAgent)
	return s
}

// choose implements linkOwner: all entries that place jobs while these are few, or while
// this agent holds ends that no entry has recorded, since their new owner may be any;
// otherwise placersServed that are not down.
func (s *servedEntries) choose(entries []policy.Entry, down map[string]bool) []string {
	placers := policy.PlacementEntries(entries, s.p.settings.Region, down)
	if len(entries) <= policy.SmallDeploymentEntries || s.x.HoldsEnds(endsNotedWithin) {
		return placers
	}
	return rendezvous.Choose(s.p.settings.Node, placers, down, placersServed, len(placers))
}

// attach implements linkOwner.
func (s *servedEntries) attach(c *transport.Conn) transport.Handler {
	h := &servedEntry{s: s, node: c.PeerHello.Node.String()}
	s.x.Connected(h.node, sender(c))
	return h
}

// entryDoubt is when another entry is served beside one that has runs here and is silent:
// such an entry says something every 130 ms.
const entryDoubt = 300 * time.Millisecond

// isSilent implements linkOwner.
func (s *servedEntries) isSilent(process ids.Incarnation) bool {
	return s.x.IsSilent(process.String(), entryDoubt)
}

// retire implements linkOwner: the entry is told that it gets no more runs, and the
// connection is used until those that came by it have ended.
func (s *servedEntries) retire(ctx context.Context, c *transport.Conn, _ transport.Handler) {
	node := c.PeerHello.Node.String()
	for s.x.Retire(node); ; {
		select {
		case <-time.After(retireCheck):
			if s.x.Served(node) == 0 {
				return
			}
		case <-c.Done():
			return
		case <-ctx.Done():
			return
		}
	}
}

// servedEntry takes the messages of an entry.
type servedEntry struct {
	s    *servedEntries
	node string
}

// Handle implements transport.Handler.
func (h *servedEntry) Handle(c *transport.Conn, f wire.Frame) {
	if _, ok := f.Body.(*wire.Leaving); ok {
		h.s.links.left(c.PeerHello.Node)
		return
	}
	h.s.x.Handle(h.node, f.Body)
}

// Closed implements transport.Handler.
func (h *servedEntry) Closed(_ *transport.Conn, err error) {
	h.s.p.log.Log(event.EntryLost, "entry", h.node, "error", err)
	h.s.x.Disconnected(h.node)
}
