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
	redialMinDelay = 100 * time.Millisecond
	redialMaxDelay = 2 * time.Second
	// entryForgotten is how long an entry that is listed nowhere is dialled.
	unlistedEntryTimeout = time.Minute
	// delistedKeep is how long an entry whose record was withdrawn still counts: longer than
	// a process needs to stop and start again, since those that place jobs change with the
	// number of entries.
	delistedEntryTimeout = 8 * time.Second
	// placersServed is the number of entries that an agent serves where only some of the
	// entries place jobs. One alone knows what is free at its endpoints; two that order
	// at the same endpoint take the same room.
	placementEntriesPerAgent = 1
	// entryDown is when an entry that cannot be reached is replaced by another.
	entryDownTimeout = 150 * time.Millisecond
	// linkCheck is the time between two checks of the entries that are served.
	reconcileInterval = 100 * time.Millisecond
	// listWait is how long a process that starts waits for the list of entries before it
	// dials those of its settings, which may not be the ones that it is to serve.
	entryListTimeout = 100 * time.Millisecond
	// listPause and listUrgentPause are the times between two reads of the list of entries.
	listPollInterval     = time.Second
	listFastPollInterval = 50 * time.Millisecond
	// linkIdleTimeout is when a silent connection between entry and agent is given
	// up. Agents say something every 150 to 300 ms.
	connIdleTimeout = 600 * time.Millisecond
	// maxUnwritten is the number of messages that may wait for a peer that does not
	// read; then the connection is given up.
	maxUnsentMessages = 512
)

// errBacklog ends a connection whose peer does not read.
var errSendQueueFull = errors.New("the peer does not read")

// sender returns a function that queues messages on c and never blocks.
func newSender(c *transport.Conn) func(m wire.Message) error {
	return func(m wire.Message) error {
		if c.Unwritten() > maxUnsentMessages {
			_ = c.Close()
			return errSendQueueFull
		}
		return c.Send(context.Background(), m)
	}
}

// linkOwner is the part of a process that uses the connections to entries.
type connOwner interface {
	// choose returns the addresses to connect to.
	chooseEntries(entries []policy.Entry, down map[string]bool) []string
	// attach returns the handler of a new connection.
	newHandler(c *transport.Conn) transport.Handler
	// isSilent reports whether a process that is connected should have been heard again.
	isSuspect(incarnation ids.Incarnation) bool
	// retire ends the use of a connection with its handler, and returns when it can be
	// closed.
	retire(ctx context.Context, c *transport.Conn, h transport.Handler)
}

// links keeps the connections of a process to entries.
type entryConns struct {
	process *process
	owner   connOwner
	role    wire.Role

	mu         sync.Mutex
	seeds      map[string]bool
	known      map[string]*entryConn // by internal address
	changed    chan struct{}         // wakes run
	listed     chan struct{}         // closed when the list of entries is read
	listedOnce sync.Once
}

// link is one entry address.
type entryConn struct {
	policy.Entry
	incarnation ids.Incarnation // as recorded in the list of entries
	// listed is set while the list of entries has a record of it; delisted is when it was
	// withdrawn.
	listed     bool
	delistedAt time.Time
	// kept is set while a goroutine keeps a connection; retire then ends it.
	maintained     bool
	retire         chan struct{}
	retiring       bool
	connected      bool
	disconnectedAt time.Time // since when it is kept and not connected
	draining       bool      // it has said that it will stop
	// started carries the news that a process of the entry has started.
	restarted chan struct{}
}

// isDown reports whether another entry should serve in the place of this one.
func (ec *entryConn) isDown(now time.Time) bool {
	return ec.draining || ec.maintained && !ec.connected && now.Sub(ec.disconnectedAt) > entryDownTimeout
}

func newEntryConns(p *process, owner connOwner, role wire.Role) *entryConns {
	return &entryConns{
		process: p, owner: owner, role: role, seeds: make(map[string]bool), known: make(map[string]*entryConn),
		changed: make(chan struct{}, 1), listed: make(chan struct{}),
	}
}

// setSeeds replaces the addresses from the settings.
func (l *entryConns) setSeeds(addresses []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seeds = make(map[string]bool)
	for _, a := range addresses {
		l.seeds[a] = true
		l.addLocked(a)
	}
}

// recorded takes changes of the list of entries.
func (l *entryConns) applyListChanges(changes []platform.EntryChange) {
	defer l.listedOnce.Do(func() { close(l.listed) })
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, ch := range changes {
		if !ch.Present {
			if ec := l.known[ch.Entry.Address]; ec != nil && ec.listed {
				ec.listed, ec.delistedAt = false, time.Now()
				l.wake()
			}
			continue
		}
		known := l.known[ch.Entry.Address] != nil
		l.addLocked(ch.Entry.Address)
		ec := l.known[ch.Entry.Address]
		if known && ec.incarnation != ch.Entry.Node {
			select {
			case ec.restarted <- struct{}{}:
			default:
			}
		}
		if !ec.listed {
			ec.listed = true
			l.wake()
		}
		if ec.incarnation = ch.Entry.Node; ec.Region != ch.Entry.Region || ec.MilliCores != ch.Entry.MilliCores {
			ec.Region, ec.MilliCores = ch.Entry.Region, ch.Entry.MilliCores
			l.wake()
		}
	}
}

// addLocked takes an address that may be new.
func (l *entryConns) addLocked(address string) {
	if l.known[address] != nil {
		return
	}
	l.known[address] = &entryConn{
		Entry: policy.Entry{Address: address, Region: l.process.settings.Region}, restarted: make(chan struct{}, 1),
	}
	l.process.log.Log(event.EntryListChanged, "address", address, "known", len(l.known))
	l.wake()
}

func (l *entryConns) wake() {
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// run keeps the connections until ctx ends.
func (l *entryConns) run(ctx context.Context) {
	select {
	case <-l.listed:
	case <-time.After(entryListTimeout):
	case <-ctx.Done():
		return
	}
	check := time.NewTicker(reconcileInterval)
	defer check.Stop()
	for {
		l.reconcile(ctx, time.Now())
		select {
		case <-l.changed:
		case <-check.C:
		case <-ctx.Done():
			return
		}
	}
}

// settle begins and ends connections as the owner chooses.
func (l *entryConns) reconcile(ctx context.Context, now time.Time) {
	l.mu.Lock()
	entries := make([]policy.Entry, 0, len(l.known))
	down := make(map[string]bool)
	open := make(map[string]ids.Incarnation)
	listed := l.isAnyListed()
	for address, ec := range l.known {
		if listed && !ec.isCurrent(now) {
			continue
		}
		entries = append(entries, ec.Entry)
		down[address] = ec.isDown(now)
		if ec.connected {
			open[address] = ec.incarnation
		}
	}
	l.mu.Unlock()
	for address, incarnation := range open {
		down[address] = down[address] || l.owner.isSuspect(incarnation)
	}
	chosen := l.owner.chooseEntries(entries, down)
	l.mu.Lock()
	defer l.mu.Unlock()
	for address, ec := range l.known {
		switch wanted := slices.Contains(chosen, address); {
		case wanted && !ec.maintained:
			ec.maintained, ec.retiring, ec.retire, ec.disconnectedAt = true, false, make(chan struct{}), now
			go l.maintain(ctx, ec)
		case !wanted && ec.maintained && !ec.retiring:
			ec.retiring = true
			close(ec.retire)
			l.process.log.Log(event.EntryRetired, "address", address, "known", len(l.known))
		}
	}
}

// isAnyListed reports whether the list of entries is known and has a record. l.mu is held.
func (l *entryConns) isAnyListed() bool {
	for _, ec := range l.known {
		if ec.listed {
			return true
		}
	}
	return false
}

// counts reports whether k is one of the entries, where the list is known: it is listed, or
// was until now. The settings may name an entry that is gone for good.
func (ec *entryConn) isCurrent(now time.Time) bool {
	return ec.listed || !ec.delistedAt.IsZero() && now.Sub(ec.delistedAt) < delistedEntryTimeout
}

// listedEntries returns the addresses and processes of the entries that are listed, by
// address.
func (l *entryConns) listedEntries() map[string]ids.Incarnation {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]ids.Incarnation)
	for address, ec := range l.known {
		if ec.listed {
			out[address] = ec.incarnation
		}
	}
	return out
}

// keep keeps a connection to one entry until it is retired.
func (l *entryConns) maintain(ctx context.Context, ec *entryConn) {
	defer l.markUnmaintained(ec)
	delay := redialMinDelay
	unreachable := false
	for ctx.Err() == nil {
		c, h, err := l.connectUnlessRestarted(ctx, ec)
		if err != nil {
			if !unreachable && ctx.Err() == nil {
				unreachable = true
				l.process.log.Log(event.EntryUnreachable, "address", ec.Address, "error", err)
			}
			if l.removeExpired(ec) {
				return
			}
		} else {
			unreachable, delay = false, redialMinDelay
			l.setIncarnation(ec, c.PeerHello.Node)
			l.setConnected(ec, true)
			select {
			case <-c.Done():
			case <-ec.retire:
				l.owner.retire(ctx, c, h)
				_ = c.Close()
				<-c.Done()
				return
			}
			l.setConnected(ec, false)
		}
		select {
		case <-time.After(delay):
		case <-ec.restarted:
			delay = redialMinDelay
		case <-ec.retire:
			return
		case <-ctx.Done():
		}
		delay = min(2*delay, redialMaxDelay)
	}
}

func (l *entryConns) setConnected(ec *entryConn, connected bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ec.connected, ec.disconnectedAt = connected, time.Now()
	if connected {
		ec.draining = false
	} else {
		time.AfterFunc(entryDownTimeout+time.Millisecond, l.wake)
	}
}

// setProcess takes note of the process that answers at the address of k.
func (l *entryConns) setIncarnation(ec *entryConn, incarnation ids.Incarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ec.incarnation = incarnation
}

// left takes note that the entry with the given process will stop.
func (l *entryConns) markDraining(incarnation ids.Incarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, ec := range l.known {
		if ec.connected && ec.incarnation == incarnation {
			ec.draining = true
			l.process.log.Log(event.EntryLeaving, "entry", incarnation, "address", ec.Address)
			l.wake()
		}
	}
}

// isSettled reports whether all connections that are kept are open.
func (l *entryConns) allConnected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, ec := range l.known {
		if ec.maintained && !ec.connected {
			return false
		}
	}
	return true
}

// released takes note that k is not kept any more.
func (l *entryConns) markUnmaintained(ec *entryConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ec.maintained, ec.connected = false, false
	l.wake()
}

// connectUntilStarted makes one attempt to connect. The attempt is given up when a
// new process of the entry has started, which did not see its first packets.
func (l *entryConns) connectUnlessRestarted(ctx context.Context, ec *entryConn) (*transport.Conn, transport.Handler, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-ec.restarted:
			ec.restarted <- struct{}{} // ends the pause after the attempt as well
			cancel()
		case <-ctx.Done():
		}
	}()
	return l.connect(ctx, ec)
}

// forget drops an entry that could not be reached for long and is no seed.
func (l *entryConns) removeExpired(ec *entryConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seeds[ec.Address] || time.Since(ec.disconnectedAt) < unlistedEntryTimeout {
		return false
	}
	delete(l.known, ec.Address)
	l.process.log.Log(event.EntryListChanged, "address", ec.Address, "forgotten", true)
	return true
}

func (l *entryConns) connect(ctx context.Context, ec *entryConn) (c *transport.Conn, h transport.Handler, err error) {
	opts := transport.Options{IdleTimeout: connIdleTimeout, Hello: l.process.hello(l.role), Stats: l.process.stats, Log: l.process.log}
	c, err = transport.Dial(ctx, ec.Address, opts, func(c *transport.Conn) transport.Handler {
		h = l.owner.newHandler(c)
		return h
	})
	if err != nil {
		return nil, nil, fmt.Errorf("entry: %w", err)
	}
	l.process.log.Log(event.EntryConnected, "entry", c.PeerHello.Node, "address", ec.Address)
	return c, h, nil
}

// pace returns the pause between two reads of the list of entries: short while a change
// can tell where to connect, long otherwise, since each change is read by all processes.
func (l *entryConns) listPollDelay() time.Duration {
	if l.allConnected() {
		return listPollInterval
	}
	return listFastPollInterval
}

// hello returns the first message of this process on a connection.
func (p *process) hello(role wire.Role) func() wire.Hello {
	return func() wire.Hello {
		return wire.Hello{Node: p.incarnation, Role: role, Region: p.settings.Region, DataCentre: p.settings.DataCentre}
	}
}
