package relay

import (
	"context"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/ids"
	"oriolerelay/internal/bubble"
	"oriolerelay/platform"
	"oriolerelay/policy"
	"oriolerelay/wire"
)

// fakeEntryList is an entry list and the set of entries that respond to probes. The test and the
// prober share it.
type fakeEntryList struct {
	mu        sync.Mutex
	listed    map[string]ids.Incarnation
	reachable map[string]bool
	delisted  []string
	probes    map[string]int
}

func (f *fakeEntryList) prober(self string) *entryProber {
	return &entryProber{
		selfAddress: self,
		listed: func() map[string]ids.Incarnation {
			f.mu.Lock()
			defer f.mu.Unlock()
			return maps.Clone(f.listed)
		},
		probe: func(_ context.Context, address string) bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.probes[address]++
			return f.reachable[address]
		},
		delist: func(_ context.Context, address string) error {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.delisted = append(f.delisted, address)
			delete(f.listed, address)
			return nil
		},
	}
}

// setReachable sets whether the entries at the addresses respond to probes.
func (f *fakeEntryList) setReachable(reachable bool, addresses ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range addresses {
		f.reachable[a] = reachable
	}
}

// Guards against records of entries that are gone for good: after a host was replaced, a
// deployment of three entries counted as one of four, and each starting process waited for the
// one that was gone. Also guards against the removal of an entry that only restarts, and against a
// partitioned entry that removes all others.
func TestEntryProber(t *testing.T) {
	const round = 3 * probeInterval
	tests := []struct {
		name     string
		scenario func(l *fakeEntryList)
		delisted []string
	}{
		{"all entries respond", func(*fakeEntryList) { time.Sleep(4*round + time.Second) }, nil},
		{"one entry is gone", func(l *fakeEntryList) {
			l.setReachable(false, "c")
			time.Sleep(round + probeAttempts*probeRetryDelay)
		}, []string{"c"}},
		{"one entry restarts", func(l *fakeEntryList) {
			l.setReachable(false, "b")
			time.Sleep(probeInterval + 2*probeRetryDelay)
			l.setReachable(true, "b")
			time.Sleep(2 * round)
		}, nil},
		{"the prober itself is partitioned", func(l *fakeEntryList) {
			l.setReachable(false, "a", "b", "c", "d")
			time.Sleep(3 * round)
		}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				l := &fakeEntryList{listed: make(map[string]ids.Incarnation), reachable: make(map[string]bool), probes: make(map[string]int)}
				for _, a := range []string{"a", "b", "c", "d"} {
					l.listed[a], l.reachable[a] = ids.NewIncarnation(a), true
				}
				ctx, stop := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() { defer close(done); l.prober("a").run(ctx) }()
				tt.scenario(l)
				synctest.Wait()
				stop()
				<-done
				qt.Check(t, l.delisted, qt.DeepEquals, tt.delisted)
				qt.Check(t, l.probes["a"], qt.Equals, 0)
				if tt.name == "all entries respond" {
					qt.Check(t, l.probes, qt.DeepEquals, map[string]int{"b": 4, "c": 4, "d": 4})
				}
			})
		})
	}
}

// Guards against counting an entry that is gone, because only the settings name it or because
// it was delisted, and against a new choice of placement entries while an entry
// restarts.
func TestCurrentEntries(t *testing.T) {
	c := qt.New(t)
	p := &process{settings: Settings{Node: "side-1", Address: "127.0.0.1", Region: "r", PortRange: []int{7720, 7721}}, incarnation: ids.NewIncarnation("side-1")}
	var chosen []policy.Entry
	l := newEntryConns(p, nonConnectingOwner(func(entries []policy.Entry) { chosen = entries }), wire.RoleAgent)
	currentAddresses := func(now time.Time) (out []string) {
		l.reconcile(t.Context(), now)
		for _, e := range chosen {
			out = append(out, e.Address)
		}
		return sorted(out)
	}
	change := func(address string, present bool) platform.EntryChange {
		return platform.EntryChange{Present: present, Entry: wire.EntryRecord{EntryAddress: wire.EntryAddress{Node: ids.NewIncarnation(address), Address: address, Region: "r"}}}
	}
	now := time.Now()
	l.setSeeds([]string{"a", "b", "gone"})
	c.Check(currentAddresses(now), qt.DeepEquals, []string{"a", "b", "gone"}) // the entry list is not known yet
	l.applyListChanges([]platform.EntryChange{change("a", true), change("b", true), change("c", true)})
	c.Check(currentAddresses(now), qt.DeepEquals, []string{"a", "b", "c"})
	l.applyListChanges([]platform.EntryChange{change("b", false)})
	c.Check(currentAddresses(now), qt.DeepEquals, []string{"a", "b", "c"})
	c.Check(currentAddresses(now.Add(delistedEntryTimeout+time.Second)), qt.DeepEquals, []string{"a", "c"})
	l.applyListChanges([]platform.EntryChange{change("b", true)})
	c.Check(currentAddresses(now.Add(delistedEntryTimeout+time.Second)), qt.DeepEquals, []string{"a", "b", "c"})
	l.applyListChanges([]platform.EntryChange{change("a", false), change("b", false), change("c", false)})
	c.Check(currentAddresses(now), qt.DeepEquals, []string{"a", "b", "c", "gone"}) // no entry is listed: all known ones count
}
