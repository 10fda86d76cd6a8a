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
	censusInterval = 5 * time.Second
	// censusTries is the number of looks in a row, censusRetry apart, after which an entry
	// counts as gone. A process that starts again is back before.
	censusTries = 4
	censusRetry = time.Second
	// censusTimeout bounds one look.
	censusTimeout = time.Second
)

// census takes entries that are gone for good off the list. A host that is taken away
// cannot withdraw its record; it would count as an entry for ever, be chosen to place jobs,
// and be waited for by every process that starts.
type census struct {
	self   string // internal address of this entry
	log    *event.Logger
	listed func() map[string]ids.Incarnation
	// reach reports whether the entry at an address answers.
	reach func(ctx context.Context, address string) bool
	drop  func(ctx context.Context, address string) error
}

// run looks at the other entries in turn until ctx ends.
func (c *census) run(ctx context.Context) {
	last := c.self
	for c.sleep(ctx, censusInterval) {
		others := c.others()
		if len(others) == 0 {
			continue
		}
		i, _ := slices.BinarySearch(others, last+"\x00")
		last = others[i%len(others)]
		c.look(ctx, last)
	}
}

// others returns the addresses of the other entries that are listed, in order.
func (c *census) others() []string {
	return slices.DeleteFunc(slices.Sorted(maps.Keys(c.listed())), func(a string) bool { return a == c.self })
}

// look drops the record of the entry at address if it does not answer, and another one does:
// an entry that reaches none may be cut off itself. One that lives and sees its record
// dropped records itself anew.
func (c *census) look(ctx context.Context, address string) {
	process := c.listed()[address]
	for try := range censusTries {
		if try > 0 && !c.sleep(ctx, censusRetry) {
			return
		}
		if c.reach(ctx, address) {
			return
		}
	}
	others := slices.DeleteFunc(c.others(), func(a string) bool { return a == address })
	if !slices.ContainsFunc(others, func(a string) bool { return c.reach(ctx, a) }) {
		return
	}
	if now, ok := c.listed()[address]; !ok || now != process {
		return // it has withdrawn, or has started anew
	}
	err := c.drop(ctx, address)
	c.log.Log(event.EntryDropped, "address", address, "process", process, "tries", censusTries, "error", err)
}

func (c *census) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// newCensus returns the census of an entry.
func (e *entry) newCensus() *census {
	return &census{
		self: e.peers.self, log: e.p.log, listed: e.peers.links.listedEntries, drop: e.store.DelistEntry,
		reach: func(ctx context.Context, address string) bool {
			ctx, cancel := context.WithTimeout(ctx, censusTimeout)
			defer cancel()
			opts := transport.Options{IdleTimeout: linkIdleTimeout, Hello: e.p.hello(wire.RoleEntry), Stats: e.p.stats}
			conn, err := transport.Dial(ctx, address, opts, func(*transport.Conn) transport.Handler { return silentHandler{} })
			if err != nil {
				return false
			}
			_ = conn.Close()
			return true
		},
	}
}

// silentHandler takes the messages of a connection that only shows that its peer lives.
type silentHandler struct{}

// Handle implements transport.Handler.
func (silentHandler) Handle(*transport.Conn, wire.Frame) {}

// Closed implements transport.Handler.
func (silentHandler) Closed(*transport.Conn, error) {}
