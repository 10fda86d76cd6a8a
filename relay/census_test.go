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

// fakeList is a list of entries of which some answer. The test and the census share it.
type fakeEntryList struct {
	mu           sync.Mutex
	listed       map[string]ids.Incarnation
	reachable    map[string]bool
	deregistered []string
	probes       map[string]int
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
		deregister: func(_ context.Context, address string) error {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.deregistered = append(f.deregistered, address)
			delete(f.listed, address)
			return nil
		},
	}
}

// setAnswers sets which of the entries answer from now on.
func (f *fakeEntryList) setReachable(reachable bool, addresses ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range addresses {
		f.reachable[a] = reachable
	}
}

// Guards against the record of an entry that is gone for good: a deployment of three entries
// went on as one of four after one host was replaced, and each process that started waited
// for the dead one. Also guards against the record of one that is only started again, and
// against an entry that is cut off and drops all others.
func TestEntryProber(t *testing.T) {
	const round = 3 * probeInterval
	tests := []struct {
		name         string
		scenario     func(l *fakeEntryList)
		deregistered []string
	}{
		{"all answer", func(*fakeEntryList) { time.Sleep(4*round + time.Second) }, nil},
		{"one is gone", func(l *fakeEntryList) {
			l.setReachable(false, "c")
			time.Sleep(round + probeAttempts*probeRetryDelay)
		}, []string{"c"}},
		{"one is started again", func(l *fakeEntryList) {
			l.setReachable(false, "b")
			time.Sleep(probeInterval + 2*probeRetryDelay)
			l.setReachable(true, "b")
			time.Sleep(2 * round)
		}, nil},
		{"it is cut off itself", func(l *fakeEntryList) {
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
				qt.Check(t, l.deregistered, qt.DeepEquals, tt.deregistered)
				qt.Check(t, l.probes["a"], qt.Equals, 0)
				if tt.name == "all answer" {
					qt.Check(t, l.probes, qt.DeepEquals, map[string]int{"b": 4, "c": 4, "d": 4})
				}
			})
		})
	}
}

// Guards against a deployment that counts an entry that is gone: one that only the settings
// name, or one whose record was withdrawn; and against one that changes who places jobs
// while an entry is started again.
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
		return platform.EntryChange{Present: present, Entry: wire.EntryAddress{Node: ids.NewIncarnation(address), Address: address, Region: "r"}}
	}
	now := time.Now()
	l.setSeeds([]string{"a", "b", "gone"})
	c.Check(currentAddresses(now), qt.DeepEquals, []string{"a", "b", "gone"}) // the list is not known
	l.applyListChanges([]platform.EntryChange{change("a", true), change("b", true), change("c", true)})
	c.Check(currentAddresses(now), qt.DeepEquals, []string{"a", "b", "c"})
	l.applyListChanges([]platform.EntryChange{change("b", false)})
	c.Check(currentAddresses(now), qt.DeepEquals, []string{"a", "b", "c"})
	c.Check(currentAddresses(now.Add(delistedEntryTimeout+time.Second)), qt.DeepEquals, []string{"a", "c"})
	l.applyListChanges([]platform.EntryChange{change("b", true)})
	c.Check(currentAddresses(now.Add(delistedEntryTimeout+time.Second)), qt.DeepEquals, []string{"a", "b", "c"})
	l.applyListChanges([]platform.EntryChange{change("a", false), change("b", false), change("c", false)})
	c.Check(currentAddresses(now), qt.DeepEquals, []string{"a", "b", "c", "gone"}) // none is left: any may serve
}
