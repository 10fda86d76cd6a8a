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
	// minRedialDelay and maxRedialDelay bound the exponential delay between two dials
	// of a peer.
	minRedialDelay = 100 * time.Millisecond
	maxRedialDelay = time.Second
	// peerRefreshInterval is the interval at which links to new entries of the view
	// are started and suspect members are reported.
	peerRefreshInterval = 500 * time.Millisecond
	// heartbeatInterval is the time between two heartbeats to a peer. It leaves 3 s
	// of the 4 s within which a ticket must be in force at every entry.
	heartbeatInterval = time.Second
	// peerForgetTimeout is how long an address that neither the view nor the settings
	// list is dialled without success.
	peerForgetTimeout = 30 * time.Second
	// maxPeers bounds the links: twice the entries of the largest supported system.
	maxPeers = 48
)

// peers maintains one connection to every other entry. Each entry dials all the
// others and makes its own calls only on connections that it dialled. It is safe
// for concurrent use.
type peers struct {
	self      ids.Incarnation
	seeds     []string
	dial      func(ctx context.Context, address string) (*transport.Conn, error)
	members   Members
	heartbeat func() *wire.Heartbeat
	offerView func(wire.Hello) // processes the hello of a peer
	log       *event.Logger

	mu       sync.Mutex
	links    map[string]*peerLink // by address
	excluded map[string]bool      // addresses of this process or of a process that is not an entry
	changed  chan struct{}        // closed and replaced when a link changes
	ctx      context.Context      // set by run
}

// peerLink is the state of the connection to one address.
type peerLink struct {
	address string
	node    ids.Incarnation // the last node reached; zero before the first connection
	conn    *transport.Conn // nil while disconnected
	// dialFailed reports whether the last dial failed. If so, a caller does not wait.
	dialFailed  bool
	lastContact time.Time // time of the last contact, or of the first dial
}

func (p *peers) init() {
	p.links = make(map[string]*peerLink)
	p.excluded = make(map[string]bool)
	p.changed = make(chan struct{})
}

// run maintains the connections until ctx ends.
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

// addEntries starts a link to each entry of list, which comes from the view or
// from a peer.
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

// maintain keeps l connected until ctx ends or the link is removed.
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

// serveLink sends heartbeats until the connection is closed.
func (p *peers) serveLink(ctx context.Context, conn *transport.Conn) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		_ = conn.Send(ctx, p.heartbeat()) // an error closes the connection
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

// onDialFailed records a failed dial and reports whether it removed the link.
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

// isListed reports whether the settings or the view contain address.
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

// exclude removes a link that does not lead to another entry.
func (p *peers) exclude(l *peerLink) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, l.address)
	p.excluded[l.address] = true
	p.notifyChanged()
}

// notifyChanged wakes the callers that wait for a change. p.mu must be held.
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

// connTo returns a connection to the entry that runs under home's name; that entry
// decides whether it is the home. It waits for a dial in progress, but not if the
// last dial failed. The errors are of kind HomeLost if the log shows that home has
// ended, and HomeUnreachable otherwise.
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
	if p.members.HasLeft(home) {
		return nil, errHomeLost(home)
	}
	return nil, errkind.New(errkind.HomeUnreachable, "this entry has no connection to the home %s", home)
}

// findConn returns an open connection to the entry with home's name, preferring
// the exact incarnation. pending reports whether a dial in progress may reach it.
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

// connectedTo returns the entries with an open connection.
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
