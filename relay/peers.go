package relay

import (
	"context"
	"slices"
	"sync/atomic"

	"oriolerelay/event"
	"oriolerelay/ids"
	"oriolerelay/internal/rendezvous"
	"oriolerelay/policy"
	"oriolerelay/router"
	"oriolerelay/transport"
	"oriolerelay/wire"
)

// placementEntriesPerRegion is the number of placement entries in each region that an entry
// forwards jobs to. A choice between two of four balances the jobs nearly as well as between
// two of all, and what a placement entry sends to the others does not grow with the number
// of entries.
const placementEntriesPerRegion = 4

// peerConns connects an entry to the placement entries to which it forwards its callers' jobs.
type peerConns struct {
	process     *process
	router      *router.Router
	conns       *entryConns
	selfAddress string       // internal address of this entry
	entries     atomic.Int64 // number of entries, with this one
}

func newPeerConns(p *process, r *router.Router) *peerConns {
	pc := &peerConns{process: p, router: r, selfAddress: p.settings.internalAddress(p.settings.Address)}
	pc.conns = newEntryConns(p, pc, wire.RoleEntry)
	return pc
}

// chooseEntries implements connOwner. It returns placement entries of each region, which are all
// entries of a small deployment. An unlisted entry, which the agents do not know, forwards all its
// jobs; a single one forwards none.
func (pc *peerConns) chooseEntries(entries []policy.Entry, down map[string]bool) (chosen []string) {
	isSelf := func(entry policy.Entry) bool { return entry.Address == pc.selfAddress }
	forwards := len(entries) > 1 || !slices.ContainsFunc(entries, isSelf)
	n := len(entries)
	if !slices.ContainsFunc(entries, isSelf) {
		n++
	}
	pc.entries.Store(int64(n))
	pc.router.SetSharedAgents(len(entries) <= policy.SmallDeploymentEntries)
	pc.router.SetEnabled(forwards)
	if !forwards {
		return nil
	}
	for _, region := range regionsOf(entries) {
		candidates := slices.DeleteFunc(policy.PlacementEntries(entries, region, down), func(a string) bool { return a == pc.selfAddress })
		chosen = append(chosen, rendezvous.Choose(pc.selfAddress, candidates, down, placementEntriesPerRegion, len(candidates))...)
	}
	return chosen
}

// regionsOf returns the regions of the entries, each once.
func regionsOf(entries []policy.Entry) (names []string) {
	for _, e := range entries {
		if !slices.Contains(names, e.Region) {
			names = append(names, e.Region)
		}
	}
	return names
}

// newHandler implements connOwner.
func (pc *peerConns) newHandler(c *transport.Conn) transport.Handler {
	h := &placementMessageHandler{owner: pc}
	h.connection = pc.router.Connected(c.PeerHello.Node.String(), c.PeerHello.Region, newSender(c))
	return h
}

// isSuspect implements connOwner. It returns false because the router avoids suspect entries
// by itself, and there are others to choose from.
func (pc *peerConns) isSuspect(ids.Incarnation) bool { return false }

// retire implements connOwner. Closing the connection ends the jobs forwarded to the peer, so
// the connection stays open until they have an outcome.
func (pc *peerConns) retire(ctx context.Context, _ *transport.Conn, h transport.Handler) {
	if peer, ok := h.(*placementMessageHandler); ok {
		pc.router.Retire(ctx, peer.connection)
	}
}

// placementMessageHandler handles the messages of a placement entry.
type placementMessageHandler struct {
	owner      *peerConns
	connection uint64
}

// Handle implements transport.Handler.
func (h *placementMessageHandler) Handle(c *transport.Conn, f wire.Frame) {
	if m, ok := f.Body.(*wire.PlacementStatus); ok && (m.Draining || m.Closed) {
		h.owner.conns.markDraining(c.PeerHello.Node)
	}
	if !h.owner.router.Handle(h.connection, f.Body) {
		_ = c.Close()
	}
}

// Closed implements transport.Handler.
func (h *placementMessageHandler) Closed(_ *transport.Conn, err error) {
	h.owner.process.log.Log(event.PlacementEntryClosed, "connection", h.connection, "error", err)
	h.owner.router.Disconnected(h.connection)
}

// forwarderMessageHandler handles the messages of an entry that forwards jobs to this one.
type forwarderMessageHandler struct {
	router     *router.Router
	connection uint64
}

func newForwarderMessageHandler(c *transport.Conn, r *router.Router) transport.Handler {
	return &forwarderMessageHandler{router: r, connection: r.ForwarderConnected(c.PeerHello.Node.String(), newSender(c))}
}

// Handle implements transport.Handler.
func (h *forwarderMessageHandler) Handle(c *transport.Conn, f wire.Frame) {
	if !h.router.HandleForwarder(h.connection, f.Body) {
		_ = c.Close()
	}
}

// Closed implements transport.Handler.
func (h *forwarderMessageHandler) Closed(*transport.Conn, error) {
	h.router.ForwarderDisconnected(h.connection)
}
