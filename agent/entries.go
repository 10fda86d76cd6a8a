package agent

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"oriolerelay/event"
	"oriolerelay/internal/rendezvous"
	"oriolerelay/transport"
	"oriolerelay/wire"
)

const (
	// maxEntries bounds the entries that an agent keeps connections to. As many
	// more that are down are dialed again.
	maxEntries = 8
	// minRedialDelay and maxRedialDelay bound the exponential delay between dials of
	// one entry.
	minRedialDelay = 100 * time.Millisecond
	maxRedialDelay = 2 * time.Second
	// downAfterFailures is the number of consecutive failed dials after which an
	// entry counts as down and another one replaces it.
	downAfterFailures = 3
	// retireTimeout bounds the wait for the tasks of a retired connection. Results
	// that come later are kept for the entry's next connection.
	retireTimeout = 30 * time.Second
)

// entryConns maintains connections to the entries that rendezvous hashing chooses from
// the seeds and the entry lists that connected entries send.
type entryConns struct {
	cfg  Config
	core *core

	mu         sync.Mutex
	entryLists map[string][]wire.EntryAddress // keyed by the address of the sending entry
	down       map[string]bool                // keyed by address
	changed    chan struct{}

	stopping chan struct{} // closed by close
	stopped  chan struct{} // closed when all connections have ended
}

func newEntryConns(cfg Config, c *core) *entryConns {
	return &entryConns{
		cfg: cfg, core: c,
		entryLists: make(map[string][]wire.EntryAddress),
		down:       make(map[string]bool),
		changed:    make(chan struct{}, 1),
		stopping:   make(chan struct{}),
		stopped:    make(chan struct{}),
	}
}

// run maintains the connections until close is called or ctx ends.
func (e *entryConns) run(ctx context.Context) {
	defer close(e.stopped)
	active := make(map[string]context.CancelFunc)
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		want := e.targets()
		for address, stop := range active {
			if !slices.Contains(want, address) {
				stop()
				delete(active, address)
			}
		}
		for _, address := range want {
			if active[address] == nil {
				connCtx, stop := context.WithCancel(ctx)
				active[address] = stop
				wg.Go(func() { e.maintain(connCtx, address) })
			}
		}
		select {
		case <-e.changed:
			continue
		case <-e.stopping:
		case <-ctx.Done():
		}
		for _, stop := range active {
			stop()
		}
		return
	}
}

// close waits up to closeTimeout for undelivered reports, then retires and closes all
// connections.
func (e *entryConns) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	e.core.awaitDelivery(ctx)
	close(e.stopping)
	<-e.stopped
}

// targets returns the addresses of the entries to connect to.
func (e *entryConns) targets() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := slices.Clone(e.cfg.Seeds)
	for _, list := range e.entryLists {
		for _, a := range list {
			all = append(all, a.Address)
		}
	}
	return rendezvous.Choose(e.cfg.Node.Name, all, e.down, maxEntries, 2*maxEntries)
}

// maintain keeps a connection to address open until ctx ends; it dials again with
// exponential backoff.
func (e *entryConns) maintain(ctx context.Context, address string) {
	delay, failures := minRedialDelay, 0
	for ctx.Err() == nil {
		conn, l, err := e.dial(ctx, address)
		switch {
		case err == nil:
			delay, failures = minRedialDelay, 0
			e.setDown(address, false)
			e.serve(ctx, conn, l, address)
		case ctx.Err() == nil:
			if failures++; failures == 1 {
				e.logUnreachable(address, err)
			}
			e.setDown(address, failures >= downAfterFailures)
		}
		sleep(ctx, jitter(delay))
		delay = min(2*delay, maxRedialDelay)
	}
	e.setDown(address, false)
}

// serve waits until the connection ends, or retires and closes it when ctx ends.
func (e *entryConns) serve(ctx context.Context, conn *transport.Conn, l *link, address string) {
	select {
	case <-conn.Done():
		e.cfg.Log.Log(event.EntryLost, "entry", conn.PeerHello.Node, "address", address, "error", conn.Err())
	case <-ctx.Done():
		wait, cancel := context.WithTimeout(context.Background(), retireTimeout)
		defer cancel()
		e.core.retire(wait, l)
		last, done := context.WithTimeout(context.Background(), closeTimeout)
		defer done()
		_ = conn.Shutdown(last) // if the peer does not answer, it has lost the connection
	}
	e.dropEntryList(address)
}

// dial connects to the entry at address and attaches a link to the connection.
func (e *entryConns) dial(ctx context.Context, address string) (*transport.Conn, *link, error) {
	opts := transport.Options{TLS: e.cfg.TLS, Hello: e.hello, Stats: e.cfg.Stats, Log: e.cfg.Log}
	var l *link
	conn, err := transport.Dial(ctx, address, opts, func(c *transport.Conn) transport.Handler {
		l = e.core.attach(c, c.PeerHello)
		return &peer{link: l, conns: e, address: address}
	})
	if err != nil {
		return nil, nil, err
	}
	if role := conn.PeerHello.Role; role != wire.RoleEntry {
		_ = conn.Close()
		return nil, nil, fmt.Errorf("process at %s has role %q and is not an entry", address, role)
	}
	e.cfg.Log.Log(event.EntryConnected, "entry", conn.PeerHello.Node, "address", address)
	e.setEntryList(address, conn.PeerHello.Entries)
	go l.run()
	return conn, l, nil
}

// logUnreachable logs a failed dial, with an event of its own for a TLS failure such as
// a rejected certificate.
func (e *entryConns) logUnreachable(address string, err error) {
	var verify *tls.CertificateVerificationError
	var quicErr *quic.TransportError
	if errors.As(err, &verify) || errors.As(err, &quicErr) && quicErr.ErrorCode.IsCryptoError() {
		e.cfg.Log.Log(event.EntryRefused, "address", address, "error", err)
		return
	}
	e.cfg.Log.Log(event.EntryUnreachable, "address", address, "error", err)
}

func (e *entryConns) hello() wire.Hello {
	return wire.Hello{
		Node: e.cfg.Node, Role: wire.RoleAgent, Region: e.cfg.Region,
		DataCentre: e.cfg.DataCentre, Rack: e.cfg.Rack, Worker: e.cfg.Worker,
		Ticket: e.core.heartbeat().Ticket,
	}
}

// setEntryList replaces the list of entries received from the entry at address.
func (e *entryConns) setEntryList(address string, list []wire.EntryAddress) {
	if len(list) == 0 {
		return
	}
	e.mu.Lock()
	e.entryLists[address] = list
	e.mu.Unlock()
	e.signal()
}

// dropEntryList drops the list received from an entry whose connection has ended. The
// last list is kept, so that the agent can reconnect after losing all connections.
func (e *entryConns) dropEntryList(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.entryLists) > 1 {
		delete(e.entryLists, address)
		e.signal()
	}
}

// setDown marks the entry at address as down or not, and recomputes the targets on a change.
func (e *entryConns) setDown(address string, down bool) {
	e.mu.Lock()
	changed := e.down[address] != down
	if down {
		e.down[address] = true
	} else {
		delete(e.down, address)
	}
	e.mu.Unlock()
	if changed {
		e.signal()
	}
}

// signal makes run recompute the targets, without blocking.
func (e *entryConns) signal() {
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

// peer is the transport.Handler of a connection to an entry.
type peer struct {
	link    *link
	conns   *entryConns
	address string
}

// Handle implements transport.Handler.
func (p *peer) Handle(_ *transport.Conn, f wire.Frame) {
	if m, ok := f.Body.(*wire.Hello); ok {
		p.conns.setEntryList(p.address, m.Entries)
		return
	}
	p.link.handle(f)
}

// Closed implements transport.Handler.
func (p *peer) Closed(*transport.Conn, error) { p.link.core.detach(p.link) }

// jitter returns a random duration between d/2 and d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
