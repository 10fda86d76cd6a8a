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
	minRedialDelay = 100 * time.Millisecond
	maxRedialDelay = time.Second
	// peerRefresh is how often the wanted addresses are compared with the view.
	peerRefreshInterval = 500 * time.Millisecond
	// heartbeatInterval is the time between two heartbeats to a peer. It leaves
	// 3 s of the 4 s in which a ticket is in force everywhere.
	heartbeatInterval = time.Second
	// forgetAfter is how long an address that no view or setting names is dialled
	// without success.
	peerForgetTimeout = 30 * time.Second
	// maxPeers bounds the peers, twice the entries of the largest design.
	maxPeers = 48
)

// peers keeps one connection to every other entry. Each entry dials all the
// others, and uses only the connections that it dialled for its own calls. It is
// safe for concurrent use.
type peers struct {
	self      ids.Incarnation
	seeds     []string
	dial      func(ctx context.Context, address string) (*transport.Conn, error)
	members   Members
	heartbeat func() *wire.Heartbeat
	offerView func(wire.Hello) // takes the hello of a peer
	log       *event.Logger

	mu       sync.Mutex
	links    map[string]*peerLink // by address
	excluded map[string]bool      // addresses of this process itself or of no entry
	changed  chan struct{}        // closed and replaced when a link changes
	ctx      context.Context      // set by run
}

// peerLink is the state of the connection to one address.
type peerLink struct {
	address string
	node    ids.Incarnation // who answered last; zero before the first answer
	conn    *transport.Conn // nil while disconnected
	// failed is whether the newest dial failed. Then a caller does not wait.
	dialFailed  bool
	lastContact time.Time // time of the last contact, or of the first dial
}

func (p *peers) init() {
	p.links = make(map[string]*peerLink)
	p.excluded = make(map[string]bool)
	p.changed = make(chan struct{})
}

// run keeps the connections until ctx ends.
func (p *peers) run(ctx context.Context) error {
	p.mu.Lock()
	p.ctx = ctx
	p.mu.Unlock()
	ticker := time.NewTicker(peerRefreshInterval)
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
		p.ensureLink(a)
	}
	p.addEntries(p.members.Addresses())
}

// learn starts a link to each entry that is named by the view or by a peer.
func (p *peers) addEntries(list []wire.EntryAddress) {
	for _, e := range list {
		if e.Node.Name != p.self.Name {
			p.ensureLink(e.Address)
		}
	}
}

func (p *peers) ensureLink(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx == nil || p.ctx.Err() != nil || p.excluded[address] || p.links[address] != nil || len(p.links) >= maxPeers {
		return
	}
	l := &peerLink{address: address, lastContact: time.Now()}
	p.links[address] = l
	go p.maintain(p.ctx, l)
}

// maintain dials l until ctx ends or its address is forgotten.
func (p *peers) maintain(ctx context.Context, l *peerLink) {
	delay := minRedialDelay
	for ctx.Err() == nil {
		conn, err := p.dial(ctx, l.address)
		switch {
		case err != nil:
			if p.onDialFailed(l) {
				return
			}
		case conn.PeerHello.Node == p.self || conn.PeerHello.Role != wire.RoleEntry:
			conn.Close()
			p.exclude(l)
			return
		default:
			delay = minRedialDelay
			p.onConnected(l, conn)
			p.serveLink(ctx, conn)
			p.onDisconnected(l, conn)
		}
		select {
		case <-time.After(delay):
			delay = min(2*delay, maxRedialDelay)
		case <-ctx.Done():
		}
	}
}

// serveLink sends heartbeats until the connection ends.
func (p *peers) serveLink(ctx context.Context, conn *transport.Conn) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		_ = conn.Send(ctx, p.heartbeat()) // a failure ends the connection
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

func (p *peers) onConnected(l *peerLink, conn *transport.Conn) {
	p.log.Log(event.EntryPeerConnected, "peer", conn.PeerHello.Node, "address", l.address)
	p.mu.Lock()
	l.conn, l.node, l.dialFailed, l.lastContact = conn, conn.PeerHello.Node, false, time.Now()
	p.notifyChanged()
	p.mu.Unlock()
	p.offerView(conn.PeerHello)
	p.addEntries(conn.PeerHello.Entries)
}

func (p *peers) onDisconnected(l *peerLink, conn *transport.Conn) {
	p.log.Log(event.EntryPeerClosed, "peer", conn.PeerHello.Node, "address", l.address, "err", conn.Err())
	p.mu.Lock()
	defer p.mu.Unlock()
	l.conn, l.lastContact = nil, lastContactTime(conn.Err())
	p.notifyChanged()
}

// dialFailed reports whether the address is forgotten.
func (p *peers) onDialFailed(l *peerLink) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.dialFailed = true
	p.notifyChanged()
	if time.Since(l.lastContact) < peerForgetTimeout || p.isListed(l.address) {
		return false
	}
	delete(p.links, l.address)
	return true
}

// named reports whether the settings or the view name address.
func (p *peers) isListed(address string) bool {
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
func (p *peers) exclude(l *peerLink) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, l.address)
	p.excluded[l.address] = true
	p.notifyChanged()
}

// signal wakes the callers that wait for a change. mu is held.
func (p *peers) notifyChanged() {
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
func (p *peers) connTo(ctx context.Context, home ids.Incarnation) (*transport.Conn, error) {
	for _, e := range p.members.Addresses() {
		if e.Node.Name == home.Name {
			p.ensureLink(e.Address)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	for {
		conn, changed, pending := p.findConn(home)
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
	if p.members.Left(home) {
		return nil, errHomeLost(home)
	}
	return nil, errkind.New(errkind.HomeUnreachable, "this entry has no connection to the home %s", home)
}

// find returns an open connection to the entry of home's name, preferring the
// exact incarnation. pending is whether a dial may still lead to it.
func (p *peers) findConn(home ids.Incarnation) (conn *transport.Conn, changed <-chan struct{}, pending bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		open := l.conn != nil && l.conn.Err() == nil
		switch {
		case open && l.node == home:
			return l.conn, p.changed, false
		case open && l.node.Name == home.Name:
			conn = l.conn
		case !open && !l.dialFailed && (l.node.IsZero() || l.node.Name == home.Name):
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
