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
	// maxEntries bounds the entries that an agent keeps connections to; of those that
	// are down as many are tried again.
	maxEntries = 8
	// minRedial and maxRedial bound the delay between attempts to one entry.
	minRedial = 100 * time.Millisecond
	maxRedial = 2 * time.Second
	// downAfter is the number of failed attempts after which another entry is
	// used in the place of one that cannot be reached.
	downAfter = 3
	// retireTimeout bounds the wait for the tasks of an entry that another one
	// replaces; their results are then kept for its next connection.
	retireTimeout = 30 * time.Second
)

// entries keeps connections to the entries that rendezvous hashing chooses from
// the seeds and the members lists of connected entries.
type entries struct {
	cfg  Config
	core *core

	mu      sync.Mutex
	learned map[string][]wire.EntryAddress // by the address of the entry that sent the list
	down    map[string]bool                // by address
	changed chan struct{}

	stopping chan struct{} // closed by close
	stopped  chan struct{} // closed when all connections have ended
}

func newEntries(cfg Config, c *core) *entries {
	return &entries{
		cfg: cfg, core: c,
		learned:  make(map[string][]wire.EntryAddress),
		down:     make(map[string]bool),
		changed:  make(chan struct{}, 1),
		stopping: make(chan struct{}),
		stopped:  make(chan struct{}),
	}
}

// run keeps the connections until close is called or ctx ends.
func (e *entries) run(ctx context.Context) {
	defer close(e.stopped)
	kept := make(map[string]context.CancelFunc)
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		want := e.targets()
		for address, stop := range kept {
			if !slices.Contains(want, address) {
				stop()
				delete(kept, address)
			}
		}
		for _, address := range want {
			if kept[address] == nil {
				keep, stop := context.WithCancel(ctx)
				kept[address] = stop
				wg.Go(func() { e.keep(keep, address) })
			}
		}
		select {
		case <-e.changed:
			continue
		case <-e.stopping:
		case <-ctx.Done():
		}
		for _, stop := range kept {
			stop()
		}
		return
	}
}

// close ends the connections after their last messages were delivered.
func (e *entries) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	e.core.delivered(ctx)
	close(e.stopping)
	<-e.stopped
}

// targets returns the addresses to connect to.
func (e *entries) targets() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := slices.Clone(e.cfg.Seeds)
	for _, list := range e.learned {
		for _, a := range list {
			all = append(all, a.Address)
		}
	}
	return rendezvous.Choose(e.cfg.Node.Name, all, e.down, maxEntries, 2*maxEntries)
}

// keep connects to address again and again until ctx ends.
func (e *entries) keep(ctx context.Context, address string) {
	delay, failures := minRedial, 0
	for ctx.Err() == nil {
		conn, l, err := e.dial(ctx, address)
		switch {
		case err == nil:
			delay, failures = minRedial, 0
			e.setDown(address, false)
			e.serve(ctx, conn, l, address)
		case ctx.Err() == nil:
			if failures++; failures == 1 {
				e.logUnreachable(address, err)
			}
			e.setDown(address, failures >= downAfter)
		}
		sleep(ctx, jitter(delay))
		delay = min(2*delay, maxRedial)
	}
	e.setDown(address, false)
}

// serve waits for the end of a connection; when ctx ends it is retired.
func (e *entries) serve(ctx context.Context, conn *transport.Conn, l *link, address string) {
	select {
	case <-conn.Done():
		e.cfg.Log.Log(event.EntryLost, "entry", conn.PeerHello.Node, "address", address, "error", conn.Err())
	case <-ctx.Done():
		wait, cancel := context.WithTimeout(context.Background(), retireTimeout)
		defer cancel()
		e.core.retire(wait, l)
		last, done := context.WithTimeout(context.Background(), closeTimeout)
		defer done()
		_ = conn.Shutdown(last) // a peer that does not answer has lost the connection
	}
	e.unlearn(address)
}

func (e *entries) dial(ctx context.Context, address string) (*transport.Conn, *link, error) {
	opts := transport.Options{TLS: e.cfg.TLS, Hello: e.hello, Stats: e.cfg.Stats, Log: e.cfg.Log}
	var l *link
	conn, err := transport.Dial(ctx, address, opts, func(c *transport.Conn) transport.Handler {
		l = e.core.attach(c, c.PeerHello)
		return &peer{link: l, entries: e, address: address}
	})
	if err != nil {
		return nil, nil, err
	}
	if role := conn.PeerHello.Role; role != wire.RoleEntry {
		_ = conn.Close()
		return nil, nil, fmt.Errorf("process at %s is of role %q, not an entry", address, role)
	}
	e.cfg.Log.Log(event.EntryConnected, "entry", conn.PeerHello.Node, "address", address)
	e.learn(address, conn.PeerHello.Entries)
	go l.run()
	return conn, l, nil
}

// logUnreachable tells a refused certificate from an entry that is not there.
func (e *entries) logUnreachable(address string, err error) {
	var verify *tls.CertificateVerificationError
	var quicErr *quic.TransportError
	if errors.As(err, &verify) || errors.As(err, &quicErr) && quicErr.ErrorCode.IsCryptoError() {
		e.cfg.Log.Log(event.EntryRefused, "address", address, "error", err)
		return
	}
	e.cfg.Log.Log(event.EntryUnreachable, "address", address, "error", err)
}

func (e *entries) hello() wire.Hello {
	return wire.Hello{
		Node: e.cfg.Node, Role: wire.RoleAgent, Region: e.cfg.Region,
		DataCentre: e.cfg.DataCentre, Rack: e.cfg.Rack, Worker: e.cfg.Worker,
		Ticket: e.core.heartbeat().Ticket,
	}
}

// learn replaces the members list that the entry at address has sent.
func (e *entries) learn(address string, list []wire.EntryAddress) {
	if len(list) == 0 {
		return
	}
	e.mu.Lock()
	e.learned[address] = list
	e.mu.Unlock()
	e.signal()
}

// unlearn drops the members list of an entry whose connection has ended, unless
// it is the only one: after a loss of all connections it leads back.
func (e *entries) unlearn(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.learned) > 1 {
		delete(e.learned, address)
		e.signal()
	}
}

func (e *entries) setDown(address string, down bool) {
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

func (e *entries) signal() {
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

// peer handles the messages of one connection.
type peer struct {
	link    *link
	entries *entries
	address string
}

// Handle implements transport.Handler.
func (p *peer) Handle(_ *transport.Conn, f wire.Frame) {
	if m, ok := f.Body.(*wire.Hello); ok {
		p.entries.learn(p.address, m.Entries)
		return
	}
	p.link.handle(f)
}

// Closed implements transport.Handler.
func (p *peer) Closed(*transport.Conn, error) { p.link.core.detach(p.link) }

// jitter returns a random time from half of d to d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
