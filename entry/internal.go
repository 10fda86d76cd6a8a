package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"oriolerelay/event"
	"oriolerelay/transport"
	"oriolerelay/wire"
)

// ServeInternal accepts connections of agents and peer entries until ctx ends, and
// then closes them.
func (s *Server) ServeInternal(ctx context.Context, l *transport.Listener) error {
	defer s.conns.close()
	return l.Serve(ctx, s.acceptInternal)
}

func (s *Server) acceptInternal(c *transport.Conn) transport.Handler {
	s.conns.add(c)
	s.offerView(c.PeerHello)
	if c.PeerHello.Role != wire.RoleAgent {
		return &peerConn{server: s}
	}
	s.log.Log(event.EntryAgentConnected, "agent", c.PeerHello.Node, "address", c.RemoteAddr())
	return &agentConn{server: s, handler: s.dispatcher.AgentHandler(c)}
}

// dialPeer returns the function that dials a peer.
func (s *Server) dialPeer(o transport.Options) func(context.Context, string) (*transport.Conn, error) {
	return func(ctx context.Context, address string) (*transport.Conn, error) {
		return transport.Dial(ctx, address, o, func(*transport.Conn) transport.Handler { return &peerConn{server: s} })
	}
}

// agentConn handles the connection of an agent by forwarding its messages to the
// dispatcher.
type agentConn struct {
	server  *Server
	handler transport.Handler
}

func (a *agentConn) Handle(c *transport.Conn, f wire.Frame) { a.handler.Handle(c, f) }

func (a *agentConn) Closed(c *transport.Conn, err error) {
	a.server.conns.remove(c)
	a.server.log.Log(event.EntryAgentClosed, "agent", c.PeerHello.Node, "err", err)
	a.handler.Closed(c, err)
}

// peerConn handles the messages of a peer entry on accepted and dialled
// connections.
type peerConn struct{ server *Server }

func (p *peerConn) Handle(c *transport.Conn, f wire.Frame) {
	s := p.server
	switch m := f.Body.(type) {
	case *wire.Forward:
		s.serveCall(c, f.CallID, func() *wire.Forwarded { return s.serveForward(m) })
	case *wire.Fetch:
		s.serveCall(c, f.CallID, func() *wire.Forwarded { return s.serveFetch(m) })
	case *wire.Heartbeat:
		s.receiveStatement(c, m)
		s.sendNewerState(c, m.Ticket)
	case *wire.Sponsor:
		s.serveSponsor(c, f.CallID, m)
	case *wire.State:
		s.offerState(c, m)
	case *wire.Hello:
		s.peers.addEntries(m.Entries)
	default:
		s.log.Log(event.EntryUnexpectedMessage, "peer", c.PeerHello.Node, "type", f.Body.MessageType())
	}
}

func (p *peerConn) Closed(c *transport.Conn, _ error) { p.server.conns.remove(c) }

// serveCall replies to a call of a peer from a new goroutine.
func (s *Server) serveCall(c *transport.Conn, callID uint64, answer func() *wire.Forwarded) {
	s.pendingReplies.begin()
	go func() {
		defer s.pendingReplies.end()
		s.sendForwarded(c, callID, answer())
	}()
}

// hello returns the message that describes this entry and the entries it knows.
func (s *Server) hello() wire.Hello {
	h := s.baseHello
	h.Ticket = s.tickets.Load().Number
	s.addView(&h)
	h.Entries = s.members.Addresses()
	h.ViewSize = len(h.Entries)
	if a := s.internalAddress.Load(); a != nil && !slices.ContainsFunc(h.Entries, func(e wire.EntryAddress) bool { return e.Node == s.self }) {
		h.Entries = append(slices.Clone(h.Entries), wire.EntryAddress{Node: s.self, Address: *a, Region: s.baseHello.Region})
	}
	return h
}

// setInternalAddress sets the address that this entry announces to agents and
// peers before it has become a member.
func (s *Server) setInternalAddress(address string) { s.internalAddress.Store(&address) }

func (s *Server) heartbeat() *wire.Heartbeat {
	return &wire.Heartbeat{Ticket: s.tickets.Load().Number, Members: s.statement()}
}

// sendNewerState sends the configuration to a peer whose ticket number is lower.
func (s *Server) sendNewerState(c *transport.Conn, number uint64) {
	if number >= s.tickets.Load().Number {
		return
	}
	m, err := s.stateMessage()
	if err != nil {
		s.log.Log(event.EntryStateInvalid, "err", err)
		return
	}
	go s.sendWithTimeout(c, m)
}

func (s *Server) stateMessage() (*wire.State, error) {
	number, state, err := s.tickets.ExportConfig()
	if err != nil {
		return nil, err
	}
	return &wire.State{Ticket: number, JSON: state}, nil
}

func (s *Server) offerState(c *transport.Conn, m *wire.State) {
	if m.Ticket <= s.tickets.Load().Number {
		return
	}
	if err := s.tickets.ImportConfig(m.JSON); err != nil {
		s.log.Log(event.EntryStateInvalid, "peer", c.PeerHello.Node, "err", err)
		return
	}
	s.log.Log(event.EntryStateFromPeer, "peer", c.PeerHello.Node, "ticket", m.Ticket)
}

// sendTimeout bounds the wait for room in the send queue of a connection.
const sendTimeout = time.Second

func (s *Server) sendWithTimeout(c *transport.Conn, m wire.Message) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	_ = c.Send(ctx, m) // the peer's next heartbeat triggers another send
}

// pushStateChanges sends each newer configuration to the agents until ctx ends.
func (s *Server) pushStateChanges(ctx context.Context) error {
	for {
		changed := s.tickets.Changed()
		if s.tickets.Load().Number > 0 {
			m, err := s.stateMessage()
			if err != nil {
				return err
			}
			s.dispatcher.PushState(*m)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// acceptedConns is the set of accepted connections. It is safe for concurrent use.
type acceptedConns struct {
	mu     sync.Mutex
	conns  map[*transport.Conn]struct{}
	closed bool
}

func (o *acceptedConns) add(c *transport.Conn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		_ = c.Close()
		return
	}
	if o.conns == nil {
		o.conns = make(map[*transport.Conn]struct{})
	}
	o.conns[c] = struct{}{}
}

func (o *acceptedConns) remove(c *transport.Conn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.conns, c)
}

// close closes all connections and each one that is added later. Closing the
// listener alone would leave them open.
func (o *acceptedConns) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	for c := range o.conns {
		_ = c.Close()
	}
}

// agents returns the connections whose peers are agents.
func (o *acceptedConns) agents() []*transport.Conn {
	o.mu.Lock()
	defer o.mu.Unlock()
	var list []*transport.Conn
	for c := range o.conns {
		if c.PeerHello.Role == wire.RoleAgent {
			list = append(list, c)
		}
	}
	return list
}
