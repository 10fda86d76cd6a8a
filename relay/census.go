package relay

import (
	"context"
	"maps"
	"slices"
	"time"

	"oriolerelay/event"
	"oriolerelay/ids"
	"oriolerelay/transport"
	"oriolerelay/wire"
)

const (
	// probeInterval is the time between two probes of other listed entries by an entry. All
	// entries probe one another, so each is probed about once in this time.
	probeInterval = 5 * time.Second
	// probeAttempts is the number of failed attempts in a row, probeRetryDelay apart, after
	// which an entry is considered gone. A restarting process is back sooner.
	probeAttempts   = 4
	probeRetryDelay = time.Second
	// probeTimeout is the timeout of one attempt.
	probeTimeout = time.Second
)

// entryProber removes the records of entries that are gone for good from the entry list. A
// host that is removed cannot withdraw its record. Without the prober it would count as an
// entry for ever, be chosen as a placement entry, and delay every process that starts.
type entryProber struct {
	selfAddress string // internal address of this entry
	log         *event.Logger
	listed      func() map[string]ids.Incarnation
	// probe reports whether the entry at an address answers.
	probe      func(ctx context.Context, address string) bool
	deregister func(ctx context.Context, address string) error
}

// run probes the other entries in turn until ctx is done.
func (p *entryProber) run(ctx context.Context) {
	last := p.selfAddress
	for p.sleep(ctx, probeInterval) {
		others := p.others()
		if len(others) == 0 {
			continue
		}
		i, _ := slices.BinarySearch(others, last+"\x00")
		last = others[i%len(others)]
		p.check(ctx, last)
	}
}

// others returns the sorted addresses of the other listed entries.
func (p *entryProber) others() []string {
	return slices.DeleteFunc(slices.Sorted(maps.Keys(p.listed())), func(a string) bool { return a == p.selfAddress })
}

// check removes the record of the entry at address if that entry does not answer and another
// one does: an entry that reaches no other may be partitioned itself. An entry that runs and
// sees its record removed publishes it again.
func (p *entryProber) check(ctx context.Context, address string) {
	incarnation := p.listed()[address]
	for attempt := range probeAttempts {
		if attempt > 0 && !p.sleep(ctx, probeRetryDelay) {
			return
		}
		if p.probe(ctx, address) {
			return
		}
	}
	others := slices.DeleteFunc(p.others(), func(a string) bool { return a == address })
	if !slices.ContainsFunc(others, func(a string) bool { return p.probe(ctx, a) }) {
		return
	}
	if now, ok := p.listed()[address]; !ok || now != incarnation {
		return // it has withdrawn its record or has restarted
	}
	err := p.deregister(ctx, address)
	p.log.Log(event.EntryDelisted, "address", address, "process", incarnation, "tries", probeAttempts, "error", err)
}

// sleep waits for d. It returns false if ctx is done before.
func (p *entryProber) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// newEntryProber returns the prober of an entry.
func (e *entry) newEntryProber() *entryProber {
	return &entryProber{
		selfAddress: e.peers.selfAddress, log: e.process.log, listed: e.peers.conns.listedEntries, deregister: e.store.DelistEntry,
		probe: func(ctx context.Context, address string) bool {
			ctx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			opts := transport.Options{IdleTimeout: connIdleTimeout, Hello: e.process.hello(wire.RoleEntry), Stats: e.process.stats}
			conn, err := transport.Dial(ctx, address, opts, func(*transport.Conn) transport.Handler { return probeHandler{} })
			if err != nil {
				return false
			}
			_ = conn.Close()
			return true
		},
	}
}

// probeHandler discards the messages of a probe's connection.
type probeHandler struct{}

// Handle implements transport.Handler.
func (probeHandler) Handle(*transport.Conn, wire.Frame) {}

// Closed implements transport.Handler.
func (probeHandler) Closed(*transport.Conn, error) {}
