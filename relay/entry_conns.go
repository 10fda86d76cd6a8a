package relay

import (
	"cmp"
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
	// redialMinDelay and redialMaxDelay bound the backoff between two attempts to connect
	// to an entry.
	redialMinDelay = 100 * time.Millisecond
	redialMaxDelay = 2 * time.Second
	// unreachableEntryTimeout is how long an unreachable entry that the settings do not name
	// is dialled.
	unreachableEntryTimeout = time.Minute
	// delistedEntryTimeout is how long a delisted entry still counts as one of the entries. It
	// is longer than the restart of a process, since the choice of the placement entries
	// depends on the number of entries.
	delistedEntryTimeout = 8 * time.Second
	// placementEntriesPerAgent is the number of entries that an agent serves if only some
	// of the entries place jobs. A single one knows the free capacity of its endpoints; two
	// that order tasks at the same endpoint would compete for the same capacity.
	placementEntriesPerAgent = 1
	// entryDownTimeout is the time after which an unreachable entry is replaced by another.
	entryDownTimeout = 150 * time.Millisecond
	// reconcileInterval is the time between two checks of which entries to connect to.
	reconcileInterval = 100 * time.Millisecond
	// entryListTimeout is how long a starting process waits for the entry list before it
	// dials the entries named in its settings, which may not be the ones that it has to
	// connect to.
	entryListTimeout = 100 * time.Millisecond
	// listPollInterval and listFastPollInterval are the times between two reads of the
	// entry list.
	listPollInterval     = time.Second
	listFastPollInterval = 50 * time.Millisecond
	// connIdleTimeout is the time without a message after which a connection to an entry is
	// closed. Agents send a message every 150 to 300 ms.
	connIdleTimeout = 600 * time.Millisecond
	// maxUnsentMessages is the number of messages that may be queued for a peer that does
	// not read. The connection is closed when there are more.
	maxUnsentMessages = 512
)

// errSendQueueFull is returned after a connection was closed because its peer does not read.
var errSendQueueFull = errors.New("send queue is full: the peer does not read")

// newSender returns a function that queues messages on c and never blocks. A message that is too large for
// a frame is sent in parts, since what callers submit decides how large orders are.
func newSender(c *transport.Conn) func(m wire.Message) error {
	var send func(m wire.Message) error
	send = func(m wire.Message) error {
		if c.Unwritten() > maxUnsentMessages {
			_ = c.Close()
			return errSendQueueFull
		}
		err := c.Send(context.Background(), m)
		if !errors.Is(err, wire.ErrFrameTooLarge) {
			return err
		}
		first, second, ok := wire.Split(m)
		if !ok {
			return err
		}
		return cmp.Or(send(first), send(second))
	}
	return send
}

// connOwner is the part of a process that uses its connections to entries.
type connOwner interface {
	// chooseEntries returns the addresses of the entries to connect to.
	chooseEntries(entries []policy.Entry, down map[string]bool) []string
	// newHandler returns the handler for a new connection.
	newHandler(c *transport.Conn) transport.Handler
	// isSuspect reports whether a message from a connected entry is overdue.
	isSuspect(incarnation ids.Incarnation) bool
	// retire stops new work on a connection and returns when the connection can be closed.
	retire(ctx context.Context, c *transport.Conn, h transport.Handler)
}

// entryConns maintains the connections of a process to entries.
type entryConns struct {
	process *process
	owner   connOwner
	role    wire.Role

	mu         sync.Mutex
	seeds      map[string]bool
	known      map[string]*entryConn // by internal address
	changed    chan struct{}         // wakes up run
	listed     chan struct{}         // closed once the entry list has been read
	listedOnce sync.Once
}

// entryConn is the state of the connection to the entry at one address.
type entryConn struct {
	policy.Entry
	incarnation ids.Incarnation // as recorded in the entry list, or as sent by the entry on connecting
	// listed is set while the entry list has a record of the entry; delistedAt is the time
	// at which the record was removed.
	listed     bool
	delistedAt time.Time
	// maintained is set while a goroutine maintains the connection; closing retire ends it.
	maintained     bool
	retire         chan struct{}
	retiring       bool
	connected      bool
	disconnectedAt time.Time // start of the time without a connection
	draining       bool      // the entry has announced that it will stop
	// restarted signals that a new process of the entry has started.
	restarted chan struct{}
}

// isDown reports whether another entry should be used in place of this one.
func (ec *entryConn) isDown(now time.Time) bool {
	return ec.draining || ec.maintained && !ec.connected && now.Sub(ec.disconnectedAt) > entryDownTimeout
}

func newEntryConns(p *process, owner connOwner, role wire.Role) *entryConns {
	return &entryConns{
		process: p, owner: owner, role: role, seeds: make(map[string]bool), known: make(map[string]*entryConn),
		changed: make(chan struct{}, 1), listed: make(chan struct{}),
	}
}

// setSeeds replaces the addresses that the settings name.
func (l *entryConns) setSeeds(addresses []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seeds = make(map[string]bool)
	for _, a := range addresses {
		l.seeds[a] = true
		l.addLocked(a)
	}
}

// applyListChanges applies changes of the entry list.
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
		if ec.incarnation = ch.Entry.Node; ec.Region != ch.Entry.Region || ec.MilliCores != ch.Entry.MilliCores || !slices.Equal(ec.Wanted, ch.Entry.Wanted) {
			ec.Region, ec.MilliCores, ec.Wanted = ch.Entry.Region, ch.Entry.MilliCores, ch.Entry.Wanted
			l.wake()
		}
	}
}

// addLocked adds an entry for address unless there is one. l.mu is held.
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

// run maintains the connections until ctx is done.
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

// reconcile opens and retires connections so that those to the entries that the owner
// chooses remain.
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

// isAnyListed reports whether the entry list is known and has a record. l.mu is held.
func (l *entryConns) isAnyListed() bool {
	for _, ec := range l.known {
		if ec.listed {
			return true
		}
	}
	return false
}

// isCurrent reports whether the entry is one of the current ones if the entry list is known:
// it is listed, or was within delistedEntryTimeout. The settings alone do not make it one,
// since they may name an entry that is gone for good.
func (ec *entryConn) isCurrent(now time.Time) bool {
	return ec.listed || !ec.delistedAt.IsZero() && now.Sub(ec.delistedAt) < delistedEntryTimeout
}

// listedEntries returns the incarnation of each listed entry by its address.
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

// maintain keeps a connection to one entry open until it is retired.
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

// setIncarnation sets the incarnation that runs at the address of ec.
func (l *entryConns) setIncarnation(ec *entryConn, incarnation ids.Incarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ec.incarnation = incarnation
}

// markDraining marks the entry with the given incarnation as one that will stop.
func (l *entryConns) markDraining(incarnation ids.Incarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, ec := range l.known {
		if ec.connected && ec.incarnation == incarnation {
			ec.draining = true
			l.process.log.Log(event.EntryDraining, "entry", incarnation, "address", ec.Address)
			l.wake()
		}
	}
}

// allConnected reports whether all maintained connections are open.
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

// markUnmaintained marks the connection as no longer maintained by a goroutine.
func (l *entryConns) markUnmaintained(ec *entryConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ec.maintained, ec.connected = false, false
	l.wake()
}

// connectUnlessRestarted makes one attempt to connect. It cancels the attempt when a new
// process of the entry starts, since that process has not received the first packets.
func (l *entryConns) connectUnlessRestarted(ctx context.Context, ec *entryConn) (*transport.Conn, transport.Handler, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-ec.restarted:
			ec.restarted <- struct{}{} // ends the delay after the attempt as well
			cancel()
		case <-ctx.Done():
		}
	}()
	return l.connect(ctx, ec)
}

// removeExpired removes an entry that has been unreachable for unreachableEntryTimeout and is
// not a seed. It reports whether it has done so.
func (l *entryConns) removeExpired(ec *entryConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seeds[ec.Address] || time.Since(ec.disconnectedAt) < unreachableEntryTimeout {
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
		return nil, nil, fmt.Errorf("connect to entry: %w", err)
	}
	l.process.log.Log(event.EntryConnected, "entry", c.PeerHello.Node, "address", ec.Address)
	return c, h, nil
}

// listPollDelay returns the delay before the next read of the entry list: short while a
// connection is missing, since a change may tell where to connect, and long otherwise, since
// all processes read each change.
func (l *entryConns) listPollDelay() time.Duration {
	if l.allConnected() {
		return listPollInterval
	}
	return listFastPollInterval
}

// hello returns a function that builds the first message of this process on a connection.
func (p *process) hello(role wire.Role) func() wire.Hello {
	return func() wire.Hello {
		return wire.Hello{Node: p.incarnation, Role: role, Region: p.settings.Region, DataCentre: p.settings.DataCentre}
	}
}
