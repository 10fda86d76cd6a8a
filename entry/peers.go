package entry

import (
	"context"
	"sync"
	"time"

	"oriolerelay/errkind"
	"oriolerelay/event"
	"oriolerelay/ids"
	"oriolerelay/transport"
	"oriolerelay/wire"
)

const (
	// minRedial and maxRedial bound the pause between two dials of a peer.
	minRedial = 100 * time.Millisecond
	maxRedial = time.Second
	// peerRefresh is how often the wanted addresses are compared with the view.
	peerRefresh = 500 * time.Millisecond
	// heartbeatInterval is the time between two heartbeats to a peer. It leaves
	// 3 s of the 4 s in which a ticket is in force everywhere.
	heartbeatInterval = time.Second
	// forgetAfter is how long an address that no view or setting names is dialled
	// without success.
	forgetAfter = 30 * time.Second
	// maxPeers bounds the peers, twice the entries of the largest design.
	maxPeers = 48
)

// peers keeps one connection to every other entry. Each entry dials all the
// others, and uses only the connections that it dialled for its own calls. It is
// safe for concurrent use.
type peers struct {
	self    ids.Incarnation
	seeds   []string
	dial    func(ctx context.Context, address string) (*transport.Conn, error)
	members Members
	beat    func() *wire.Heartbeat
	offer   func(wire.Hello) // takes the hello of a peer
	log     *event.Logger

	mu      sync.Mutex
	links   map[string]*peerLink // by address
	skipped map[string]bool      // addresses of this process itself or of no entry
	changed chan struct{}        // closed and replaced when a link changes
	ctx     context.Context      // set by run
}

// peerLink is the state of the connection to one address.
type peerLink struct {
	address string
	node    ids.Incarnation // who answered last; zero before the first answer
	conn    *transport.Conn // nil while disconnected
	// failed is whether the newest dial failed. Then a caller does not wait.
	failed bool
	since  time.Time // time of the last contact, or of the first dial
}

func (p *peers) init() {
	p.links = make(map[string]*peerLink)
	p.skipped = make(map[string]bool)
	p.changed = make(chan struct{})
}

// run keeps the connections until ctx ends.
func (p *peers) run(ctx context.Context) error {
	p.mu.Lock()
	p.ctx = ctx
	p.mu.Unlock()
	ticker := time.NewTicker(peerRefresh)
	defer ticker.Stop()
	for {
		p.refresh()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			p.closeAll()
			return nil
		}
	}
}

// refresh starts a link to each seed and to each entry of the view.
func (p *peers) refresh() {
	for _, a := range p.seeds {
		p.want(a)
	}
	p.learn(p.members.Addresses())
}

// learn starts a link to each entry that is named by the view or by a peer.
func (p *peers) learn(list []wire.EntryAddress) {
	for _, e := range list {
		if e.Node.Name != p.self.Name {
			p.want(e.Address)
		}
	}
}

func (p *peers) want(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx == nil || p.ctx.Err() != nil || p.skipped[address] || p.links[address] != nil || len(p.links) >= maxPeers {
		return
	}
	l := &peerLink{address: address, since: time.Now()}
	p.links[address] = l
	go p.maintain(p.ctx, l)
}

// maintain dials l until ctx ends or its address is forgotten.
func (p *peers) maintain(ctx context.Context, l *peerLink) {
	pause := minRedial
	for ctx.Err() == nil {
		conn, err := p.dial(ctx, l.address)
		switch {
		case err != nil:
			if p.dialFailed(l) {
				return
			}
		case conn.PeerHello.Node == p.self || conn.PeerHello.Role != wire.RoleEntry:
			conn.Close()
			p.skip(l)
			return
		default:
			pause = minRedial
			p.connected(l, conn)
			p.serveLink(ctx, conn)
			p.disconnected(l, conn)
		}
		select {
		case <-time.After(pause):
			pause = min(2*pause, maxRedial)
		case <-ctx.Done():
		}
	}
}

// serveLink sends heartbeats until the connection ends.
func (p *peers) serveLink(ctx context.Context, conn *transport.Conn) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		_ = conn.Send(ctx, p.beat()) // a failure ends the connection
		select {
		case <-ticker.C:
		case <-conn.Done():
			return
		case <-ctx.Done():
			conn.Close()
			return
		}
	}
}

func (p *peers) connected(l *peerLink, conn *transport.Conn) {
	p.log.Log(event.EntryPeerConnected, "peer", conn.PeerHello.Node, "address", l.address)
	p.mu.Lock()
	l.conn, l.node, l.failed, l.since = conn, conn.PeerHello.Node, false, time.Now()
	p.signal()
	p.mu.Unlock()
	p.offer(conn.PeerHello)
	p.learn(conn.PeerHello.Entries)
}

func (p *peers) disconnected(l *peerLink, conn *transport.Conn) {
	p.log.Log(event.EntryPeerClosed, "peer", conn.PeerHello.Node, "address", l.address, "err", conn.Err())
	p.mu.Lock()
	defer p.mu.Unlock()
	l.conn, l.since = nil, lastContact(conn.Err())
	p.signal()
}

// dialFailed reports whether the address is forgotten.
func (p *peers) dialFailed(l *peerLink) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.failed = true
	p.signal()
	if time.Since(l.since) < forgetAfter || p.named(l.address) {
		return false
	}
	delete(p.links, l.address)
	return true
}

// named reports whether the settings or the view name address.
func (p *peers) named(address string) bool {
	for _, a := range p.seeds {
		if a == address {
			return true
		}
	}
	for _, e := range p.members.Addresses() {
		if e.Address == address {
			return true
		}
	}
	return false
}

// skip removes a link that does not lead to another entry.
func (p *peers) skip(l *peerLink) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, l.address)
	p.skipped[l.address] = true
	p.signal()
}

// signal wakes the callers that wait for a change. mu is held.
func (p *peers) signal() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *peers) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		if l.conn != nil {
			l.conn.Close()
		}
	}
}

// get returns a connection to the entry that runs under home's name; that entry
// itself knows whether it is home. It waits for a dial that is under way, but
// not when the last one failed. The errors are of kind HomeLost, when the log
// shows that home is gone, and HomeUnreachable.
func (p *peers) get(ctx context.Context, home ids.Incarnation) (*transport.Conn, error) {
	for _, e := range p.members.Addresses() {
		if e.Node.Name == home.Name {
			p.want(e.Address)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	for {
		conn, changed, pending := p.find(home)
		if conn != nil {
			return conn, nil
		}
		if !pending {
			break
		}
		select {
		case <-changed:
			continue
		case <-ctx.Done():
		}
		break
	}
	if p.members.HasLeft(home) {
		return nil, errHomeLost(home)
	}
	return nil, errkind.New(errkind.HomeUnreachable, "this entry has no connection to the home %s", home)
}

// find returns an open connection to the entry of home's name, preferring the
// exact incarnation. pending is whether a dial may still lead to it.
func (p *peers) find(home ids.Incarnation) (conn *transport.Conn, changed <-chan struct{}, pending bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		open := l.conn != nil && l.conn.Err() == nil
		switch {
		case open && l.node == home:
			return l.conn, p.changed, false
		case open && l.node.Name == home.Name:
			conn = l.conn
		case !open && !l.failed && (l.node.IsZero() || l.node.Name == home.Name):
			pending = true
		}
	}
	return conn, p.changed, pending
}

// connectedTo lists the entries with an open connection.
func (p *peers) connectedTo() []ids.Incarnation {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []ids.Incarnation
	for _, l := range p.links {
		if l.conn != nil && l.conn.Err() == nil {
			list = append(list, l.node)
		}
	}
	return list
}
