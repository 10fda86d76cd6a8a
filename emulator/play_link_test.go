package emulator

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"oriolerelay/wire"
)

const (
	// playIdleTimeout is the time without a packet after which an end closes a connection.
	playIdleTimeout = 600 * time.Millisecond
	// playMonitorInterval is the time between two checks of a connection.
	playMonitorInterval = 20 * time.Millisecond
	// maxThawDelay bounds the random time after a thaw at which a message that has waited is handled.
	maxThawDelay = 3 * time.Millisecond
	// maxRetransmitDelay bounds the random time after the end of a cut at which held messages arrive.
	maxRetransmitDelay = 30 * time.Millisecond
)

// gate is the state of a process that can be frozen, slow or dead.
type gate struct {
	mu     sync.Mutex
	thawed chan struct{} // nil while the process is not frozen
	slow   time.Duration
	dead   bool
}

func (g *gate) freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.thawed == nil {
		g.thawed = make(chan struct{})
	}
}

func (g *gate) thaw() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.thawed != nil {
		close(g.thawed)
		g.thawed = nil
	}
}

func (g *gate) kill() {
	g.thaw()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dead = true
}

func (g *gate) setSlow(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slow = d
}

func (g *gate) state() (frozen <-chan struct{}, slow time.Duration, dead bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.thawed, g.slow, g.dead
}

// wait returns when the process is not frozen, and reports whether it is alive. Goroutines that
// have waited continue in random order.
func (g *gate) wait() (alive bool) {
	for {
		frozen, _, dead := g.state()
		if frozen == nil {
			return !dead
		}
		<-frozen
		time.Sleep(rand.N(maxThawDelay))
	}
}

func (g *gate) runs() bool {
	frozen, _, dead := g.state()
	return frozen == nil && !dead
}

// network holds the state of the directed links between hosts.
type network struct {
	mu sync.Mutex
	// cut and held count the faults that hold the messages of a link up. No packet at all passes a cut
	// link, so that its connections end; those of a link that is only held stay open.
	cut, held map[[2]string]int
	slow      map[[2]string]time.Duration
}

func newNetwork() *network {
	return &network{cut: make(map[[2]string]int), held: make(map[[2]string]int), slow: make(map[[2]string]time.Duration)}
}

func (n *network) addCut(from, to string, change int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{from, to}] += change
}

func (n *network) addHold(from, to string, change int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.held[[2]string{from, to}] += change
}

// isCut reports whether no packet passes a link.
func (n *network) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[[2]string{from, to}] > 0
}

func (n *network) setDelay(from, to string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.slow[[2]string{from, to}] = d
}

func (n *network) state(from, to string) (open bool, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := [2]string{from, to}
	return n.cut[key]+n.held[key] == 0, linkDelay + n.slow[key]
}

// playConn is a connection. Like a QUIC connection it delivers messages in order, those of a cut link
// once it is healed, and is closed by an end that has received nothing for playIdleTimeout.
type playConn struct {
	ctx     context.Context
	network *network
	number  int
	mu      sync.Mutex
	ends    [2]connEnd // of the dialling and of the accepting process
}

type connEnd struct {
	host      string
	gate      *gate
	inbox     chan queuedMessage // a nil message closes the connection
	handle    func(m wire.Message)
	onClose   func()
	closed    bool
	lastHeard time.Time
	// heardWhileFrozen is set when a packet has arrived since the process was frozen.
	frozen, heardWhileFrozen bool
}

func newPlayConn(ctx context.Context, n *network, number int, dialler, acceptor string, diallerGate, acceptorGate *gate) *playConn {
	c := &playConn{ctx: ctx, network: n, number: number}
	for i, host := range []string{dialler, acceptor} {
		c.ends[i] = connEnd{host: host, gate: []*gate{diallerGate, acceptorGate}[i], inbox: make(chan queuedMessage, 1<<14), lastHeard: time.Now()}
	}
	go c.monitor()
	return c
}

var errConnClosed = errors.New("connection closed")

// sender returns the function with which the given end sends.
func (c *playConn) sender(end int) func(m wire.Message) error {
	return func(m wire.Message) error {
		if c.isClosed(end) {
			return errConnClosed
		}
		select {
		case c.ends[1-end].inbox <- queuedMessage{encodeDecode(m), time.Now()}:
			return nil
		default:
			return errConnClosed
		}
	}
}

func (c *playConn) isClosed(end int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _, dead := c.ends[end].gate.state()
	return c.ends[end].closed || dead
}

// start begins to deliver messages to an end.
func (c *playConn) start(end int, handle func(m wire.Message), onClose func()) {
	e := &c.ends[end]
	c.mu.Lock()
	e.handle, e.onClose = handle, onClose
	closed := e.closed
	c.mu.Unlock()
	if closed {
		onClose()
		return
	}
	go c.deliver(end)
}

func (c *playConn) deliver(end int) {
	e, from := &c.ends[end], c.ends[1-end].host
	for {
		var m queuedMessage
		select {
		case m = <-e.inbox:
		case <-c.ctx.Done():
			return
		}
		_, delay := c.network.state(from, e.host)
		time.Sleep(time.Until(m.sentAt.Add(delay)))
		if open, _ := c.network.state(from, e.host); !open {
			for !open && !c.isClosed(end) {
				time.Sleep(5 * time.Millisecond)
				open, _ = c.network.state(from, e.host)
			}
			time.Sleep(rand.N(maxRetransmitDelay))
		}
		if !e.gate.wait() || c.isClosed(end) {
			return
		}
		_, slow, _ := e.gate.state()
		if late := time.Since(m.sentAt) - delay - slow; late > time.Millisecond {
			time.Sleep(rand.N(maxThawDelay + slow/4)) // a backlog takes time
		}
		time.Sleep(time.Until(m.sentAt.Add(delay + slow)))
		if !e.gate.wait() || c.isClosed(end) {
			return
		}
		if m.message == nil {
			c.closeEnd(end, false)
			return
		}
		e.handle(m.message)
	}
}

// closeEnd closes an end. The other one learns of it if tell is set and the link is open.
func (c *playConn) closeEnd(end int, tell bool) {
	c.mu.Lock()
	e, other := &c.ends[end], &c.ends[1-end]
	if e.closed {
		c.mu.Unlock()
		return
	}
	e.closed = true
	onClose := e.onClose
	c.mu.Unlock()
	if !c.network.isCut(e.host, other.host) && tell {
		select {
		case other.inbox <- queuedMessage{nil, time.Now()}:
		default:
		}
	}
	if _, _, dead := e.gate.state(); onClose != nil && !dead {
		onClose()
	}
}

// monitor closes the ends that hear nothing, and after the death of a process the other end.
func (c *playConn) monitor() {
	for c.ctx.Err() == nil {
		time.Sleep(playMonitorInterval)
		now := time.Now()
		var expired []int
		c.mu.Lock()
		left := 0
		for i := range c.ends {
			e, other := &c.ends[i], &c.ends[1-i]
			frozen, _, dead := e.gate.state()
			if e.closed || dead {
				continue
			}
			left++
			_, _, otherDead := other.gate.state()
			open := !c.network.isCut(other.host, e.host)
			heard := open && other.gate.runs() && !other.closed
			switch {
			case frozen != nil:
				e.frozen, e.heardWhileFrozen = true, e.heardWhileFrozen || heard
				continue
			case e.frozen:
				// The timer of the connection and the packets that wait are handled in any order.
				e.frozen = false
				if heard = heard || e.heardWhileFrozen; heard && rand.IntN(3) == 0 && now.Sub(e.lastHeard) > playIdleTimeout {
					heard = false
				}
				e.heardWhileFrozen = false
			}
			if heard {
				e.lastHeard = now
			}
			// A new process at the address resets the connection.
			reset := otherDead && open && rand.IntN(5) == 0
			if now.Sub(e.lastHeard) > playIdleTimeout || reset {
				expired = append(expired, i)
			}
		}
		c.mu.Unlock()
		for _, i := range expired {
			go c.closeEnd(i, true)
		}
		if left == 0 {
			return
		}
	}
}
