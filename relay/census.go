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
	// censusInterval is the time between two looks of an entry at another one that is
	// listed. Each of them is looked at about once in this time.
	probeInterval = 5 * time.Second
	// censusTries is the number of looks in a row, censusRetry apart, after which an entry
	// counts as gone. A process that starts again is back before.
	probeAttempts   = 4
	probeRetryDelay = time.Second
	// censusTimeout bounds one look.
	probeTimeout = time.Second
)

// census takes entries that are gone for good off the list. A host that is taken away
// cannot withdraw its record; it would count as an entry for ever, be chosen to place jobs,
// and be waited for by every process that starts.
type entryProber struct {
	selfAddress string // internal address of this entry
	log         *event.Logger
	listed      func() map[string]ids.Incarnation
	// reach reports whether the entry at an address answers.
	probe      func(ctx context.Context, address string) bool
	deregister func(ctx context.Context, address string) error
}

// run looks at the other entries in turn until ctx ends.
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

// others returns the addresses of the other entries that are listed, in order.
func (p *entryProber) others() []string {
	return slices.DeleteFunc(slices.Sorted(maps.Keys(p.listed())), func(a string) bool { return a == p.selfAddress })
}

// look drops the record of the entry at address if it does not answer, and another one does:
// an entry that reaches none may be cut off itself. One that lives and sees its record
// dropped records itself anew.
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
		return // it has withdrawn, or has started anew
	}
	err := p.deregister(ctx, address)
	p.log.Log(event.EntryDropped, "address", address, "process", incarnation, "tries", probeAttempts, "error", err)
}

func (p *entryProber) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// newCensus returns the census of an entry.
func (e *entry) newEntryProber() *entryProber {
	return &entryProber{
		selfAddress: e.peers.selfAddress, log: e.process.log, listed: e.peers.conns.listedEntries, deregister: e.store.WithdrawEntry,
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

// silentHandler takes the messages of a connection that only shows that its peer lives.
type probeHandler struct{}

// Handle implements transport.Handler.
func (probeHandler) Handle(*transport.Conn, wire.Frame) {}

// Closed implements transport.Handler.
func (probeHandler) Closed(*transport.Conn, error) {}
