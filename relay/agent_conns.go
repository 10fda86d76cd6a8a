package relay

import (
	"context"
	"slices"
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
	// confirmTimeout is the age from which an unconfirmed end of a run is reported to all
	// placement entries. A working owner records an end with two store calls, which take a
	// few milliseconds each.
	confirmTimeout = 300 * time.Millisecond
	// retirePollInterval is the time between two checks whether a retired entry still has
	// runs here. It is longer than an order is in transit.
	retirePollInterval = 500 * time.Millisecond
)

// agentConns connects an agent to the entries that it serves.
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

// chooseEntries implements connOwner. It returns all placement entries while there are few
// entries, or while this agent holds unconfirmed ends, since any of these entries may be
// their new owner; otherwise placementEntriesPerAgent that are not down. Entries whose stored jobs
// need this endpoint are added.
func (ac *agentConns) chooseEntries(entries []policy.Entry, down map[string]bool) []string {
	candidates := policy.PlacementEntries(entries, ac.process.settings.Region, down)
	chosen := candidates
	if len(entries) > policy.SmallDeploymentEntries && !ac.executor.HasUnconfirmedEnds(confirmTimeout) {
		chosen = rendezvous.Choose(ac.process.settings.Node, candidates, down, placementEntriesPerAgent, len(candidates))
	}
	for _, e := range entries {
		if !slices.Contains(chosen, e.Address) && ac.executor.CanRunAny(e.Wanted) {
			chosen = append(chosen, e.Address)
		}
	}
	return chosen
}

// newHandler implements connOwner.
func (ac *agentConns) newHandler(c *transport.Conn) transport.Handler {
	h := &entryMessageHandler{owner: ac, incarnation: c.PeerHello.Node.String()}
	h.connection = ac.executor.Connected(h.incarnation, newSender(c))
	return h
}

// entrySuspectTimeout is the time without a message after which an entry that has runs here
// is suspect, and the agent serves another one as well. An entry with runs sends a message
// every 130 ms.
const entrySuspectTimeout = 300 * time.Millisecond

// isSuspect implements connOwner.
func (ac *agentConns) isSuspect(incarnation ids.Incarnation) bool {
	return ac.executor.IsSuspect(incarnation.String(), entrySuspectTimeout)
}

// retire implements connOwner. It tells the entry that no more of its runs are accepted,
// and returns when those that were ordered on the connection have ended.
func (ac *agentConns) retire(ctx context.Context, c *transport.Conn, _ transport.Handler) {
	incarnation := c.PeerHello.Node.String()
	for ac.executor.Retire(incarnation); ; {
		select {
		case <-time.After(retirePollInterval):
			if ac.executor.Outstanding(incarnation) == 0 {
				return
			}
		case <-c.Done():
			return
		case <-ctx.Done():
			return
		}
	}
}

// entryMessageHandler handles the messages of an entry.
type entryMessageHandler struct {
	owner       *agentConns
	incarnation string
	connection  uint64
}

// Handle implements transport.Handler.
func (h *entryMessageHandler) Handle(c *transport.Conn, f wire.Frame) {
	if _, ok := f.Body.(*wire.EntryDraining); ok {
		h.owner.conns.markDraining(c.PeerHello.Node)
		return
	}
	h.owner.executor.Handle(h.incarnation, h.connection, f.Body)
}

// Closed implements transport.Handler.
func (h *entryMessageHandler) Closed(_ *transport.Conn, err error) {
	h.owner.process.log.Log(event.EntryLost, "entry", h.incarnation, "error", err)
	h.owner.executor.Disconnected(h.incarnation, h.connection)
}
