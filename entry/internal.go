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

// ServeInternal accepts the connections of agents and peer entries until ctx
// ends, and then closes them.
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
	return &agentConn{server: s, inner: s.disp.AgentHandler(c)}
}

// dialPeer returns the function with which peers are dialled.
func (s *Server) dialPeer(o transport.Options) func(context.Context, string) (*transport.Conn, error) {
	return func(ctx context.Context, address string) (*transport.Conn, error) {
		return transport.Dial(ctx, address, o, func(*transport.Conn) transport.Handler { return &peerConn{server: s} })
	}
}

// agentConn passes the messages of an agent to the dispatcher.
type agentConn struct {
	server *Server
	inner  transport.Handler
}

func (a *agentConn) Handle(c *transport.Conn, f wire.Frame) { a.inner.Handle(c, f) }

func (a *agentConn) Closed(c *transport.Conn, err error) {
	a.server.conns.remove(c)
	a.server.log.Log(event.EntryAgentClosed, "agent", c.PeerHello.Node, "err", err)
	a.inner.Closed(c, err)
}

// peerConn serves the messages of a peer entry on either side of a connection.
type peerConn struct{ server *Server }

func (p *peerConn) Handle(c *transport.Conn, f wire.Frame) {
	s := p.server
	switch m := f.Body.(type) {
	case *wire.Forward:
		s.serveCall(c, f.CallID, func() *wire.Forwarded { return s.serveForward(m) })
	case *wire.Fetch:
		s.serveCall(c, f.CallID, func() *wire.Forwarded { return s.serveFetch(m) })
	case *wire.Heartbeat:
		s.stated(c, m)
		s.peerTicket(c, m.Ticket)
	case *wire.Sponsor:
		s.serveSponsor(c, f.CallID, m)
	case *wire.State:
		s.offerState(c, m)
	case *wire.Hello:
		s.peers.learn(m.Entries)
	default:
		s.log.Log(event.EntryUnexpectedMessage, "peer", c.PeerHello.Node, "type", f.Body.MessageType())
	}
}

func (p *peerConn) Closed(c *transport.Conn, _ error) { p.server.conns.remove(c) }

// serveCall answers a call of a peer on a goroutine of its own.
func (s *Server) serveCall(c *transport.Conn, callID uint64, answer func() *wire.Forwarded) {
	s.forwards.begin()
	go func() {
		defer s.forwards.end()
		s.sendForwarded(c, callID, answer())
	}()
}

// hello describes this entry and the entries that it knows.
func (s *Server) hello() wire.Hello {
	h := s.place
	h.Ticket = s.tickets.Load().Number
	s.describeView(&h)
	h.Entries = s.members.Addresses()
	h.ViewSize = len(h.Entries)
	if a := s.address.Load(); a != nil && !slices.ContainsFunc(h.Entries, func(e wire.EntryAddress) bool { return e.Node == s.self }) {
		h.Entries = append(slices.Clone(h.Entries), wire.EntryAddress{Node: s.self, Address: *a, Region: s.place.Region})
	}
	return h
}

// setAddress makes the internal address of this entry known to agents and
// peers before it is a member.
func (s *Server) setAddress(address string) { s.address.Store(&address) }

func (s *Server) heartbeat() *wire.Heartbeat {
	return &wire.Heartbeat{Ticket: s.tickets.Load().Number, Members: s.statement()}
}

// peerTicket sends the configuration to a peer whose ticket number is lower.
func (s *Server) peerTicket(c *transport.Conn, number uint64) {
	if number >= s.tickets.Load().Number {
		return
	}
	m, err := s.stateMessage()
	if err != nil {
		s.log.Log(event.EntryStateInvalid, "err", err)
		return
	}
	go s.sendSoon(c, m)
}

func (s *Server) stateMessage() (*wire.State, error) {
	number, state, err := s.tickets.Encoded()
	if err != nil {
		return nil, err
	}
	return &wire.State{Ticket: number, JSON: state}, nil
}

func (s *Server) offerState(c *transport.Conn, m *wire.State) {
	if m.Ticket <= s.tickets.Load().Number {
		return
	}
	if err := s.tickets.Offer(m.JSON); err != nil {
		s.log.Log(event.EntryStateInvalid, "peer", c.PeerHello.Node, "err", err)
		return
	}
	s.log.Log(event.EntryStateFromPeer, "peer", c.PeerHello.Node, "ticket", m.Ticket)
}

// sendTimeout bounds a one-way message to a connection whose queue is full.
const sendTimeout = time.Second

func (s *Server) sendSoon(c *transport.Conn, m wire.Message) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	_ = c.Send(ctx, m) // the peer asks again with its next heartbeat
}

// pushStates passes each newer configuration to the agents until ctx ends.
func (s *Server) pushStates(ctx context.Context) error {
	for {
		changed := s.tickets.Changed()
		if s.tickets.Load().Number > 0 {
			m, err := s.stateMessage()
			if err != nil {
				return err
			}
			s.disp.PushState(*m)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// openConns are the accepted connections. It is safe for concurrent use.
type openConns struct {
	mu     sync.Mutex
	conns  map[*transport.Conn]struct{}
	closed bool
}

func (o *openConns) add(c *transport.Conn) {
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

func (o *openConns) remove(c *transport.Conn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.conns, c)
}

// close closes all connections and each later one. A closed listener alone
// would leave them open.
func (o *openConns) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	for c := range o.conns {
		_ = c.Close()
	}
}

// agents returns the connections of agents.
func (o *openConns) agents() []*transport.Conn {
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
