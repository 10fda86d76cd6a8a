package relay

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"oriolerelay/event"
	"oriolerelay/ids"
	"oriolerelay/platform"
	"oriolerelay/policy"
	"oriolerelay/transport"
	"oriolerelay/wire"
)

const (
	// redialPause and redialMax bound the pause between two attempts to reach an entry.
	redialPause = 100 * time.Millisecond
	redialMax   = 2 * time.Second
	// entryForgotten is how long an entry that is listed nowhere is dialled.
	entryForgotten = time.Minute
	// delistedKeep is how long an entry whose record was withdrawn still counts: longer than
	// a process needs to stop and start again, since those that place jobs change with the
	// number of entries.
	delistedKeep = 8 * time.Second
	// placersServed is the number of entries that an agent serves where only some of the
	// entries place jobs. One alone knows what is free at its endpoints; two that order
	// at the same endpoint take the same room.
	placersServed = 1
	// entryDown is when an entry that cannot be reached is replaced by another.
	entryDown = 150 * time.Millisecond
	// linkCheck is the time between two checks of the entries that are served.
	linkCheck = 100 * time.Millisecond
	// listWait is how long a process that starts waits for the list of entries before it
	// dials those of its settings, which may not be the ones that it is to serve.
	listWait = 100 * time.Millisecond
	// listPause and listUrgentPause are the times between two reads of the list of entries.
	listPause       = time.Second
	listUrgentPause = 50 * time.Millisecond
	// linkIdleTimeout is when a silent connection between entry and agent is given
	// up. Agents say something every 150 to 300 ms.
	linkIdleTimeout = 600 * time.Millisecond
	// maxUnwritten is the number of messages that may wait for a peer that does not
	// read; then the connection is given up.
	maxUnwritten = 512
)

// errBacklog ends a connection whose peer does not read.
var errBacklog = errors.New("the peer does not read")

// sender returns a function that queues messages on c and never blocks.
func sender(c *transport.Conn) func(m wire.Message) error {
	return func(m wire.Message) error {
		if c.Unwritten() > maxUnwritten {
			_ = c.Close()
			return errBacklog
		}
		return c.Send(context.Background(), m)
	}
}

// linkOwner is the part of a process that uses the connections to entries.
type linkOwner interface {
	// choose returns the addresses to connect to.
	choose(entries []policy.Entry, down map[string]bool) []string
	// attach returns the handler of a new connection.
	attach(c *transport.Conn) transport.Handler
	// isSilent reports whether a process that is connected should have been heard again.
	isSilent(process ids.Incarnation) bool
	// retire ends the use of a connection with its handler, and returns when it can be
	// closed.
	retire(ctx context.Context, c *transport.Conn, h transport.Handler)
}

// links keeps the connections of a process to entries.
type links struct {
	p     *process
	owner linkOwner
	role  wire.Role

	mu      sync.Mutex
	seeds   map[string]bool
	known   map[string]*link // by internal address
	changed chan struct{}    // wakes run
	listed  chan struct{}    // closed when the list of entries is read
	once    sync.Once
}

// link is one entry address.
type link struct {
	policy.Entry
	process ids.Incarnation // as recorded in the list of entries
	// listed is set while the list of entries has a record of it; delisted is when it was
	// withdrawn.
	listed   bool
	delisted time.Time
	// kept is set while a goroutine keeps a connection; retire then ends it.
	kept      bool
	retire    chan struct{}
	retiring  bool
	connected bool
	lost      time.Time // since when it is kept and not connected
	leaving   bool      // it has said that it will stop
	// started carries the news that a process of the entry has started.
	started chan struct{}
}

// isDown reports whether another entry should serve in the place of this one.
func (k *link) isDown(now time.Time) bool {
	return k.leaving || k.kept && !k.connected && now.Sub(k.lost) > entryDown
}

func newLinks(p *process, owner linkOwner, role wire.Role) *links {
	return &links{
		p: p, owner: owner, role: role, seeds: make(map[string]bool), known: make(map[string]*link),
		changed: make(chan struct{}, 1), listed: make(chan struct{}),
	}
}

// setSeeds replaces the addresses from the settings.
func (l *links) setSeeds(addresses []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seeds = make(map[string]bool)
	for _, a := range addresses {
		l.seeds[a] = true
		l.addLocked(a)
	}
}

// recorded takes changes of the list of entries.
func (l *links) recorded(changes []platform.EntryChange) {
	defer l.once.Do(func() { close(l.listed) })
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, ch := range changes {
		if !ch.Present {
			if k := l.known[ch.Entry.Address]; k != nil && k.listed {
				k.listed, k.delisted = false, time.Now()
				l.wake()
			}
			continue
		}
		known := l.known[ch.Entry.Address] != nil
		l.addLocked(ch.Entry.Address)
		k := l.known[ch.Entry.Address]
		if known && k.process != ch.Entry.Node {
			select {
			case k.started <- struct{}{}:
			default:
			}
		}
		if !k.listed {
			k.listed = true
			l.wake()
		}
		if k.process = ch.Entry.Node; k.Region != ch.Entry.Region || k.MilliCores != ch.Entry.MilliCores {
			k.Region, k.MilliCores = ch.Entry.Region, ch.Entry.MilliCores
			l.wake()
		}
	}
}

// addLocked takes an address that may be new.
func (l *links) addLocked(address string) {
	if l.known[address] != nil {
		return
	}
	l.known[address] = &link{
		Entry: policy.Entry{Address: address, Region: l.p.settings.Region}, started: make(chan struct{}, 1),
	}
	l.p.log.Log(event.EntryListChanged, "address", address, "known", len(l.known))
	l.wake()
}

func (l *links) wake() {
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// run keeps the connections until ctx ends.
func (l *links) run(ctx context.Context) {
	select {
	case <-l.listed:
	case <-time.After(listWait):
	case <-ctx.Done():
		return
	}
	check := time.NewTicker(linkCheck)
	defer check.Stop()
	for {
		l.settle(ctx, time.Now())
		select {
		case <-l.changed:
		case <-check.C:
		case <-ctx.Done():
			return
		}
	}
}

// settle begins and ends connections as the owner chooses.
func (l *links) settle(ctx context.Context, now time.Time) {
	l.mu.Lock()
	entries := make([]policy.Entry, 0, len(l.known))
	down := make(map[string]bool)
	open := make(map[string]ids.Incarnation)
	listed := l.isAnyListed()
	for address, k := range l.known {
		if listed && !k.counts(now) {
			continue
		}
		entries = append(entries, k.Entry)
		down[address] = k.isDown(now)
		if k.connected {
			open[address] = k.process
		}
	}
	l.mu.Unlock()
	for address, process := range open {
		down[address] = down[address] || l.owner.isSilent(process)
	}
	chosen := l.owner.choose(entries, down)
	l.mu.Lock()
	defer l.mu.Unlock()
	for address, k := range l.known {
		switch serve := slices.Contains(chosen, address); {
		case serve && !k.kept:
			k.kept, k.retiring, k.retire, k.lost = true, false, make(chan struct{}), now
			go l.keep(ctx, k)
		case !serve && k.kept && !k.retiring:
			k.retiring = true
			close(k.retire)
			l.p.log.Log(event.EntryRetired, "address", address, "known", len(l.known))
		}
	}
}

// isAnyListed reports whether the list of entries is known and has a record. l.mu is held.
func (l *links) isAnyListed() bool {
	for _, k := range l.known {
		if k.listed {
			return true
		}
	}
	return false
}

// counts reports whether k is one of the entries, where the list is known: it is listed, or
// was until now. The settings may name an entry that is gone for good.
func (k *link) counts(now time.Time) bool {
	return k.listed || !k.delisted.IsZero() && now.Sub(k.delisted) < delistedKeep
}

// listedEntries returns the addresses and processes of the entries that are listed, by
// address.
func (l *links) listedEntries() map[string]ids.Incarnation {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]ids.Incarnation)
	for address, k := range l.known {
		if k.listed {
			out[address] = k.process
		}
	}
	return out
}

// keep keeps a connection to one entry until it is retired.
func (l *links) keep(ctx context.Context, k *link) {
	defer l.released(k)
	pause := redialPause
	unreachable := false
	for ctx.Err() == nil {
		c, h, err := l.connectUntilStarted(ctx, k)
		if err != nil {
			if !unreachable && ctx.Err() == nil {
				unreachable = true
				l.p.log.Log(event.EntryUnreachable, "address", k.Address, "error", err)
			}
			if l.forget(k) {
				return
			}
		} else {
			unreachable, pause = false, redialPause
			l.setProcess(k, c.PeerHello.Node)
			l.setConnected(k, true)
			select {
			case <-c.Done():
			case <-k.retire:
				l.owner.retire(ctx, c, h)
				_ = c.Close()
				<-c.Done()
				return
			}
			l.setConnected(k, false)
		}
		select {
		case <-time.After(pause):
		case <-k.started:
			pause = redialPause
		case <-k.retire:
			return
		case <-ctx.Done():
		}
		pause = min(2*pause, redialMax)
	}
}

func (l *links) setConnected(k *link, connected bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k.connected, k.lost = connected, time.Now()
	if connected {
		k.leaving = false
	} else {
		time.AfterFunc(entryDown+time.Millisecond, l.wake)
	}
}

// setProcess takes note of the process that answers at the address of k.
func (l *links) setProcess(k *link, process ids.Incarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k.process = process
}

// left takes note that the entry with the given process will stop.
func (l *links) left(process ids.Incarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range l.known {
		if k.connected && k.process == process {
			k.leaving = true
			l.p.log.Log(event.EntryLeaving, "entry", process, "address", k.Address)
			l.wake()
		}
	}
}

// isSettled reports whether all connections that are kept are open.
func (l *links) isSettled() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range l.known {
		if k.kept && !k.connected {
			return false
		}
	}
	return true
}

// released takes note that k is not kept any more.
func (l *links) released(k *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k.kept, k.connected = false, false
	l.wake()
}

// connectUntilStarted makes one attempt to connect. The attempt is given up when a
// new process of the entry has started, which did not see its first packets.
func (l *links) connectUntilStarted(ctx context.Context, k *link) (*transport.Conn, transport.Handler, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-k.started:
			k.started <- struct{}{} // ends the pause after the attempt as well
			cancel()
		case <-ctx.Done():
		}
	}()
	return l.connect(ctx, k)
}

// forget drops an entry that could not be reached for long and is no seed.
func (l *links) forget(k *link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seeds[k.Address] || time.Since(k.lost) < entryForgotten {
		return false
	}
	delete(l.known, k.Address)
	l.p.log.Log(event.EntryListChanged, "address", k.Address, "forgotten", true)
	return true
}

func (l *links) connect(ctx context.Context, k *link) (c *transport.Conn, h transport.Handler, err error) {
	opts := transport.Options{IdleTimeout: linkIdleTimeout, Hello: l.p.hello(l.role), Stats: l.p.stats, Log: l.p.log}
	c, err = transport.Dial(ctx, k.Address, opts, func(c *transport.Conn) transport.Handler {
		h = l.owner.attach(c)
		return h
	})
	if err != nil {
		return nil, nil, fmt.Errorf("entry: %w", err)
	}
	l.p.log.Log(event.EntryConnected, "entry", c.PeerHello.Node, "address", k.Address)
	return c, h, nil
}

// pace returns the pause between two reads of the list of entries: short while a change
// can tell where to connect, long otherwise, since each change is read by all processes.
func (l *links) pace() time.Duration {
	if l.isSettled() {
		return listPause
	}
	return listUrgentPause
}

// hello returns the first message of this process on a connection.
func (p *process) hello(role wire.Role) func() wire.Hello {
	return func() wire.Hello {
		return wire.Hello{Node: p.node, Role: role, Region: p.settings.Region, DataCentre: p.settings.DataCentre}
	}
}
