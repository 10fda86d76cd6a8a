package agent

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"oriolerelay/event"
	"oriolerelay/transport"
	"oriolerelay/wire"
)

const (
	// maxEntries bounds the connections of an agent.
	maxEntries = 8
	// minRedial and maxRedial bound the delay between attempts to one entry.
	minRedial = 100 * time.Millisecond
	maxRedial = 2 * time.Second
	// closeTimeout bounds the delivery of the last messages when an agent stops.
	closeTimeout = 2 * time.Second
)

// entries keeps connections to the entries that rendezvous hashing chooses from
// the seeds and the members lists of connected entries.
type entries struct {
	cfg  Config
	core *core

	mu      sync.Mutex
	learned map[string][]wire.EntryAddress // by the address of the entry that sent the list
	conns   map[*transport.Conn]struct{}
	changed chan struct{}
}

func newEntries(cfg Config, c *core) *entries {
	return &entries{
		cfg: cfg, core: c,
		learned: make(map[string][]wire.EntryAddress),
		conns:   make(map[*transport.Conn]struct{}),
		changed: make(chan struct{}, 1),
	}
}

// run keeps the connections until ctx ends.
func (e *entries) run(ctx context.Context) {
	dialing := make(map[string]context.CancelFunc)
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		want := e.targets()
		for address, stop := range dialing {
			if !slices.Contains(want, address) {
				stop()
				delete(dialing, address)
			}
		}
		for _, address := range want {
			if dialing[address] == nil {
				kept, stop := context.WithCancel(ctx)
				dialing[address] = stop
				wg.Go(func() { e.keep(kept, address) })
			}
		}
		select {
		case <-e.changed:
		case <-ctx.Done():
			for _, stop := range dialing {
				stop()
			}
			return
		}
	}
}

// targets returns the addresses to connect to, at most maxEntries.
func (e *entries) targets() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := slices.Clone(e.cfg.Seeds)
	for _, list := range e.learned {
		for _, a := range list {
			all = append(all, a.Address)
		}
	}
	return chooseEntries(e.cfg.Node.Name, all)
}

// chooseEntries returns the maxEntries addresses with the highest hash with node.
func chooseEntries(node string, all []string) []string {
	slices.Sort(all)
	all = slices.Compact(all)
	score := func(address string) uint64 { return xxhash.Sum64String(node + "|" + address) }
	slices.SortStableFunc(all, func(a, b string) int {
		if sa, sb := score(a), score(b); sa > sb {
			return -1
		} else if sa < sb {
			return 1
		}
		return 0
	})
	return all[:min(len(all), maxEntries)]
}

// keep connects to address again and again until ctx ends.
func (e *entries) keep(ctx context.Context, address string) {
	delay := minRedial
	for ctx.Err() == nil {
		conn, err := e.dial(ctx, address)
		if err != nil {
			e.cfg.Log.Log(event.EntryUnreachable, "address", address, "error", err)
		} else {
			delay = minRedial
			select {
			case <-conn.Done():
				e.cfg.Log.Log(event.EntryLost, "entry", conn.PeerHello.Node, "address", address, "error", conn.Err())
			case <-ctx.Done():
				_ = conn.Close()
			}
			e.forget(conn)
		}
		sleep(ctx, jitter(delay))
		delay = min(2*delay, maxRedial)
	}
}

func (e *entries) dial(ctx context.Context, address string) (*transport.Conn, error) {
	opts := transport.Options{TLS: e.cfg.TLS, Hello: e.hello, Stats: e.cfg.Stats}
	var l *link
	conn, err := transport.Dial(ctx, address, opts, func(c *transport.Conn) transport.Handler {
		l = e.core.attach(c, c.PeerHello)
		return &peer{link: l, entries: e, address: address}
	})
	if err != nil {
		return nil, err
	}
	e.cfg.Log.Log(event.EntryConnected, "entry", conn.PeerHello.Node, "address", address)
	e.learn(address, conn.PeerHello.Entries)
	e.mu.Lock()
	e.conns[conn] = struct{}{}
	e.mu.Unlock()
	go l.run()
	return conn, nil
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
	e.mu.Lock()
	e.learned[address] = list
	e.mu.Unlock()
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

func (e *entries) forget(conn *transport.Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.conns, conn)
}

// close ends the connections after their queued messages were delivered.
func (e *entries) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	e.mu.Lock()
	conns := make([]*transport.Conn, 0, len(e.conns))
	for c := range e.conns {
		conns = append(conns, c)
	}
	e.mu.Unlock()
	e.core.flushed(ctx)
	var wg sync.WaitGroup
	for _, c := range conns {
		wg.Go(func() { _ = c.Finish(ctx) })
	}
	wg.Wait()
}

// peer handles the messages of one connection.
type peer struct {
	link    *link
	entries *entries
	address string
}

// Handle implements transport.Handler.
func (p *peer) Handle(c *transport.Conn, f wire.Frame) {
	if m, ok := f.Body.(*wire.Hello); ok {
		p.entries.learn(p.address, m.Entries)
		return
	}
	p.link.Handle(c, f)
}

// Closed implements transport.Handler.
func (p *peer) Closed(c *transport.Conn, err error) { p.link.Closed(c, err) }

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
