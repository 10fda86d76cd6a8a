// Package httplimit bounds what the clients of a process's HTTP servers can make it use: memory for
// bodies and decoded jobs, connections, and the time in which a body must arrive. It needs no
// cooperation of the clients. When a limit is reached, connections without progress are ended before
// requests are refused.
package httplimit

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"oriolerelay/event"
)

// Shares of the memory limit of the process. The rest is for the process itself.
const (
	connShare   = 4 // 1/4 for open connections
	bodyShare   = 8 // 1/8 for bodies that arrive or are processed, and for free buffers
	freeShare   = 8 // 1/8 of that for free buffers
	decodeShare = 8 // 1/8 for decoded requests
	// connBytes is the memory of an open connection: a goroutine with its stack, two buffers of 4 KiB,
	// the socket, and a receive buffer with bytes that are not read.
	connBytes = 36 << 10
)

const (
	// reservedFiles is the number of descriptors that callers' connections leave to the rest of the
	// process: connections to the store, agents, entries and endpoints, and the log.
	reservedFiles = 200 + 2*OtherConns
	// OtherConns is the bound on the connections of each port other than the callers': readiness, metrics
	// and announcements. One or two clients use each of them.
	OtherConns = 64
	// minConns is the least bound on connections that is derived from the limits of the process.
	minConns = 16
	// smallBody is the size up to which a body of known length is read into a buffer of its size, and
	// may use the quarter of the budget that larger bodies leave free.
	smallBody = 16 << 10
	// freeCharge is the cost of a decoded request that is not counted.
	freeCharge = 4 << 10
	// smallCharge is the cost up to which a decoded request may use the quarter of the budget that larger
	// ones leave free. A job of 150 tasks in as many steps costs less.
	smallCharge = 256 << 10
)

// Times for the arrival of a body.
const (
	// stallTimeout is the time in which minProgress bytes of a body must arrive. A link may lose packets
	// for seconds.
	stallTimeout = 5 * time.Second
	minProgress  = 1 << 10
	// graceTime and minRate bound the whole time: graceTime and one second for each minRate bytes received.
	graceTime = 10 * time.Second
	minRate   = 8 << 10
	// evictableAfter is the time without progress after which a connection is ended in favour of another
	// one when a limit is reached. It is longer than a retransmission on a link without trouble.
	evictableAfter = 250 * time.Millisecond
	// unreadTimeout is the time in which the rest of a body arrives that its handler has not read.
	unreadTimeout = time.Second
	// sweepInterval is the time between two searches for bodies that are overdue.
	sweepInterval = time.Second
)

// cause is why a request was refused or a connection closed.
type cause uint8

const (
	causeNone        cause = iota
	causeMemory            // the budget is used up
	causeStalled           // ended in favour of another request or connection
	causeTimeout           // a body did not arrive in time
	causeConnections       // the bound on connections is reached
	causeIdle              // closed without a request, in favour of a new connection
	causeHeader            // header bytes beyond the budget
	causeDraining          // not complete when the process drains
	causes
)

var causeNames = [causes]string{"", "memory", "stalled", "timeout", "connections", "idle", "header", "draining"}

// Config configures a Limiter.
type Config struct {
	MemoryMiB    int // memory limit of the process; 0 for no bound
	MaxOpenFiles int // descriptor limit of the process; 0 for no bound
	Log          *event.Logger
	Registerer   prometheus.Registerer
}

// Limiter holds the limits of a process and what its HTTP connections use. It is safe for concurrent
// use.
type Limiter struct {
	log      *event.Logger
	maxConns int // of the main group; 0 for no bound
	buffers  bufferPool

	mu        sync.Mutex
	bodies    pool
	decoded   pool
	receiving connList // by the time of the last progress
	// discarding holds the connections of which net/http reads the rest of a body that its handler did
	// not read, in the order in which it began.
	discarding connList
	counts     [causes]uint64
	logged     [causes]uint64
}

// pool is a part of the memory of the process.
type pool struct{ used, limit int64 }

// allows reports whether n more bytes may be used. A large use leaves a quarter of the pool to small
// ones.
func (p *pool) allows(n int64, small bool) bool {
	limit := p.limit
	if !small {
		limit = p.largest()
	}
	return p.limit == 0 || p.used+n <= limit
}

// largest is the most that large uses take together. It also bounds what is counted for one request, so
// that a single request within the limits always fits.
func (p *pool) largest() int64 { return p.limit - p.limit/4 }

// New returns the limiter of a process.
func New(c Config) *Limiter {
	l := &Limiter{log: c.Log}
	if memory := float64(c.MemoryMiB) * (1 << 20); memory > 0 {
		l.bodies.limit, l.decoded.limit = int64(memory/bodyShare), int64(memory/decodeShare)
		free := l.bodies.limit / freeShare
		l.buffers.max = int(free / bufferBytes)
		l.bodies.limit -= free
		l.maxConns = max(minConns, int(memory/connShare/connBytes))
	}
	if c.MaxOpenFiles > 0 {
		byFiles := max(minConns, c.MaxOpenFiles-reservedFiles)
		if l.maxConns == 0 || byFiles < l.maxConns {
			l.maxConns = byFiles
		}
	}
	if c.Registerer != nil {
		c.Registerer.MustRegister(&collector{l})
	}
	return l
}

// MaxBytes is the sum of the bounds on memory, for the connections of callers, bodies and decoded requests;
// 0 for none. Those of the other ports are OtherConns each.
func (l *Limiter) MaxBytes() int64 {
	return int64(l.maxConns)*connBytes + l.bodies.limit + int64(l.buffers.max)*bufferBytes + l.decoded.limit
}

// MaxConns is the bound on callers' connections; 0 for none.
func (l *Limiter) MaxConns() int { return l.maxConns }

// Run ends bodies that are overdue, and logs that limits were reached, until ctx is done.
func (l *Limiter) Run(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			l.sweep(time.Now())
		case <-ctx.Done():
			return
		}
	}
}

func (l *Limiter) sweep(now time.Time) {
	l.mu.Lock()
	for c := l.receiving.first; c != nil; {
		next := c.next
		if c.overdue(now) {
			l.end(c, causeTimeout)
		}
		c = next
	}
	l.endDiscarding(now, unreadTimeout)
	counts, used, decoded, logged := l.counts, l.bodies.used, l.decoded.used, l.logged
	l.logged = counts
	l.mu.Unlock()
	if counts == logged || l.log == nil {
		return
	}
	fields := []any{"body_bytes", used, "decoded_bytes", decoded}
	for i, n := range counts {
		if n > logged[i] {
			fields = append(fields, causeNames[i], n-logged[i])
		}
	}
	l.log.Log(event.HTTPLimitReached, fields...)
}

// endDiscarding ends the wait for the rest of bodies that has taken the given time. l.mu is held.
func (l *Limiter) endDiscarding(now time.Time, after time.Duration) {
	for c := l.discarding.first; c != nil && now.Sub(c.since) >= after; c = l.discarding.first {
		c.unlist()
		_ = c.SetReadDeadline(time.Unix(1, 0)) // fails if the connection is closed
	}
}

// overdue reports whether the body that c receives has not arrived in time.
func (c *Conn) overdue(now time.Time) bool {
	return now.Sub(c.since) > stallTimeout || now.Sub(c.started) > graceTime+time.Duration(c.received)*time.Second/minRate
}

// end ends the request whose body c receives: reads fail from now on, and its memory counts as free.
// l.mu is held.
func (l *Limiter) end(c *Conn, why cause) {
	c.unlist()
	c.ended = why
	l.counts[why]++
	l.bodies.used -= c.body
	c.body = 0
	_ = c.SetReadDeadline(time.Unix(1, 0)) // fails if the connection is closed, which ends the request too
}

// reserveBody adds n bytes to what c uses for its body, at the expense of requests without progress if
// need be. l.mu is held.
func (l *Limiter) reserveBody(c *Conn, n int64, small bool, now time.Time) bool {
	if l.bodies.limit > 0 {
		n = max(0, min(n, l.bodies.largest()-c.body))
	}
	for !l.bodies.allows(n, small) {
		victim := l.receiving.first
		if victim == c {
			victim = c.next
		}
		if victim == nil || now.Sub(victim.since) < evictableAfter {
			l.counts[causeMemory]++
			return false
		}
		l.end(victim, causeStalled)
	}
	l.bodies.used += n
	c.body += n
	return true
}

// collector exports the use of a Limiter.
type collector struct{ l *Limiter }

var (
	bytesDesc = prometheus.NewDesc("oriole_http_bytes", "Bytes that requests use, by kind: body or decoded.", []string{"kind"}, nil)
	refused   = prometheus.NewDesc("oriole_http_refused_total", "HTTP requests refused because of a limit, by cause.", []string{"cause"}, nil)
	closed    = prometheus.NewDesc("oriole_http_connections_closed_total", "HTTP connections closed because of a limit, by cause.", []string{"cause"}, nil)
)

// Describe implements prometheus.Collector.
func (c *collector) Describe(ch chan<- *prometheus.Desc) {
	ch <- bytesDesc
	ch <- refused
	ch <- closed
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(ch chan<- prometheus.Metric) {
	c.l.mu.Lock()
	body, decoded, counts := c.l.bodies.used, c.l.decoded.used, c.l.counts
	c.l.mu.Unlock()
	ch <- prometheus.MustNewConstMetric(bytesDesc, prometheus.GaugeValue, float64(body), "body")
	ch <- prometheus.MustNewConstMetric(bytesDesc, prometheus.GaugeValue, float64(decoded), "decoded")
	for i := causeMemory; i < causes; i++ {
		desc := closed
		if i == causeMemory || i == causeStalled || i == causeTimeout {
			desc = refused
		}
		ch <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(counts[i]), causeNames[i])
	}
}
