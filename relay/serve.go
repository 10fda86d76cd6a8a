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
	confirmTimeout = 300 * time.Millisecond
	// retireCheck is the time between two checks for the end of the last run of an
	// entry that is not served any more. It is longer than orders are under way.
	retirePollInterval = 500 * time.Millisecond
)

// servedEntries connects an agent to the entries that it serves.
type agentConns struct {
	process  *process
	executor *executor.Executor
	conns    *entryConns
}

func newAgentConns(p *process, exec *executor.Executor) *agentConns {
	ac := &agentConns{process: p, executor: exec}
	ac.conns = newEntryConns(p, ac, wire.RoleAgent)
	return ac
}

// choose implements linkOwner: all entries that place jobs while these are few, or while
// this agent holds ends that no entry has recorded, since their new owner may be any;
// otherwise placersServed that are not down.
func (ac *agentConns) chooseEntries(entries []policy.Entry, down map[string]bool) []string {
	placers := policy.Placers(entries, ac.process.settings.Region, down)
	if len(entries) <= policy.FewEntries || ac.executor.HoldsEnds(confirmTimeout) {
		return placers
	}
	return rendezvous.Choose(ac.process.settings.Node, placers, down, placementEntriesPerAgent, len(placers))
}

// attach implements linkOwner.
func (ac *agentConns) newHandler(c *transport.Conn) transport.Handler {
	h := &entryMessageHandler{owner: ac, node: c.PeerHello.Node.String()}
	ac.executor.Connected(h.node, newSender(c))
	return h
}

// entryDoubt is when another entry is served beside one that has runs here and is silent:
// such an entry says something every 130 ms.
const entrySuspectTimeout = 300 * time.Millisecond

// isSilent implements linkOwner.
func (ac *agentConns) isSuspect(incarnation ids.Incarnation) bool {
	return ac.executor.IsSilent(incarnation.String(), entrySuspectTimeout)
}

// retire implements linkOwner: the entry is told that it gets no more runs, and the
// connection is used until those that came by it have ended.
func (ac *agentConns) retire(ctx context.Context, c *transport.Conn, _ transport.Handler) {
	node := c.PeerHello.Node.String()
	for ac.executor.Retire(node); ; {
		select {
		case <-time.After(retirePollInterval):
			if ac.executor.Served(node) == 0 {
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
type entryMessageHandler struct {
	owner *agentConns
	node  string
}

// Handle implements transport.Handler.
func (h *entryMessageHandler) Handle(c *transport.Conn, f wire.Frame) {
	if _, ok := f.Body.(*wire.Leaving); ok {
		h.owner.conns.markDraining(c.PeerHello.Node)
		return
	}
	h.owner.executor.Handle(h.node, f.Body)
}

// Closed implements transport.Handler.
func (h *entryMessageHandler) Closed(_ *transport.Conn, err error) {
	h.owner.process.log.Log(event.EntryLost, "entry", h.node, "error", err)
	h.owner.executor.Disconnected(h.node)
}
