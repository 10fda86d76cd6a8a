package relay

import (
	"context"
	"slices"

	"oriolerelay/event"
	"oriolerelay/ids"
	"oriolerelay/internal/rendezvous"
	"oriolerelay/policy"
	"oriolerelay/router"
	"oriolerelay/transport"
	"oriolerelay/wire"
)

// placersUsed is the number of entries in each region that an entry passes jobs on to. A
// choice between two of four spreads the jobs nearly as well as between two of all, and
// what an entry that places jobs tells the others does not grow with all of them.
const placersUsed = 4

// peers connects an entry to the entries that place its callers' jobs.
type peers struct {
	p      *process
	router *router.Router
	links  *links
	self   string // internal address of this entry
}

func newPeers(p *process, r *router.Router) *peers {
	e := &peers{p: p, router: r, self: p.settings.internalAddress(p.settings.Address)}
	e.links = newLinks(p, e, wire.RoleEntry)
	return e
}

// choose implements linkOwner: the entries that place jobs, of each region. An entry that
// is not listed is not known to the agents and has to pass jobs on.
func (e *peers) choose(entries []policy.Entry, down map[string]bool) (chosen []string) {
	isSelf := func(r policy.Entry) bool { return r.Address == e.self }
	many := len(entries) > policy.FewEntries || !slices.ContainsFunc(entries, isSelf)
	e.router.SetEnabled(many)
	if !many {
		return nil
	}
	for _, region := range regions(entries) {
		placers := slices.DeleteFunc(policy.Placers(entries, region, down), func(a string) bool { return a == e.self })
		chosen = append(chosen, rendezvous.Choose(e.self, placers, down, placersUsed, len(placers))...)
	}
	return chosen
}

func regions(entries []policy.Entry) (out []string) {
	for _, e := range entries {
		if !slices.Contains(out, e.Region) {
			out = append(out, e.Region)
		}
	}
	return out
}

// attach implements linkOwner.
func (e *peers) attach(c *transport.Conn) transport.Handler {
	h := &placingPeer{e: e}
	h.connection = e.router.Connected(c.PeerHello.Node.String(), c.PeerHello.Region, sender(c))
	return h
}

// isSilent implements linkOwner: the router leaves silent entries out by itself, and there
// are others to choose from.
func (e *peers) isSilent(ids.Incarnation) bool { return false }

// retire implements linkOwner. The jobs that the peer has end with the connection, so it
// stays open until they are answered.
func (e *peers) retire(ctx context.Context, _ *transport.Conn, h transport.Handler) {
	if peer, ok := h.(*placingPeer); ok {
		e.router.Retire(ctx, peer.connection)
	}
}

// placingPeer takes the messages of an entry that places jobs.
type placingPeer struct {
	e          *peers
	connection uint64
}

// Handle implements transport.Handler.
func (h *placingPeer) Handle(c *transport.Conn, f wire.Frame) {
	if m, ok := f.Body.(*wire.Rooms); ok && (m.Leaving || m.Closed) {
		h.e.links.left(c.PeerHello.Node)
	}
	if !h.e.router.Handle(h.connection, f.Body) {
		_ = c.Close()
	}
}

// Closed implements transport.Handler.
func (h *placingPeer) Closed(_ *transport.Conn, err error) {
	h.e.p.log.Log(event.PeerClosed, "connection", h.connection, "error", err)
	h.e.router.Disconnected(h.connection)
}

// client takes the messages of an entry that passes jobs on to this one.
type client struct {
	router     *router.Router
	connection uint64
}

func newClient(c *transport.Conn, r *router.Router) transport.Handler {
	return &client{router: r, connection: r.ClientConnected(c.PeerHello.Node.String(), sender(c))}
}

// Handle implements transport.Handler.
func (h *client) Handle(c *transport.Conn, f wire.Frame) {
	if !h.router.HandleClient(h.connection, f.Body) {
		_ = c.Close()
	}
}

// Closed implements transport.Handler.
func (h *client) Closed(*transport.Conn, error) { h.router.ClientDisconnected(h.connection) }
