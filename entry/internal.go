package entry

import (
	"context"

	"oriolerelay/event"
	"oriolerelay/transport"
	"oriolerelay/wire"
)

// ServeInternal accepts the connections of agents and peer entries until ctx ends.
func (s *Server) ServeInternal(ctx context.Context, l *transport.Listener) error {
	return l.Serve(ctx, s.acceptInternal)
}

func (s *Server) acceptInternal(c *transport.Conn) transport.Handler {
	if c.PeerHello.Role == wire.RoleAgent {
		s.log.Log(event.EntryAgentConnected, "agent", c.PeerHello.Node, "address", c.RemoteAddr())
		return &agentConn{inner: s.disp.AgentHandler(c), log: s.log}
	}
	return &peerConn{server: s}
}

// agentConn passes the messages of an agent to the dispatcher.
type agentConn struct {
	inner transport.Handler
	log   *event.Logger
}

func (a *agentConn) Handle(c *transport.Conn, f wire.Frame) { a.inner.Handle(c, f) }

func (a *agentConn) Closed(c *transport.Conn, err error) {
	a.log.Log(event.EntryAgentClosed, "agent", c.PeerHello.Node, "err", err)
	a.inner.Closed(c, err)
}

// peerConn serves the messages of a peer entry.
type peerConn struct{ server *Server }

func (p *peerConn) Handle(c *transport.Conn, f wire.Frame) {
	p.server.log.Log(event.EntryUnexpected, "peer", c.PeerHello.Node, "type", f.Body.MessageType())
}

func (p *peerConn) Closed(*transport.Conn, error) {}
