package uncontrolled

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/event"
	"oriolerelay/internal/crowd"
	"oriolerelay/platform/standin"
	"oriolerelay/relay"
)

// Crowds of clients that connect again as soon as they are cut off.
const (
	pressClients = 100
	pressTime    = 12 * time.Second
	largeSpec    = 200 << 10
	settleTime   = 3 * time.Second // for what the crowd has left behind
)

// cluster is a store with entries, and with agents whose endpoints run one task at a time.
type cluster struct {
	c       *qt.C
	store   *standin.Store
	entries []*daemon
	agents  []*daemon
}

// startCluster starts a number of entries that share a store.
func startCluster(c *qt.C, entries int, changes ...func(*relay.Settings)) *cluster {
	k := &cluster{c: c, store: standin.NewStore(partitions)}
	c.Assert(k.store.PutConfig(1, queueHost, queuePrefix, "service", true), qt.IsNil)
	server := httptest.NewServer(k.store)
	c.Cleanup(server.Close)
	// Entries find each other by their addresses, which differ in the host only.
	first, last := firstPort(c), lastPort(c)
	for i := range entries {
		host := fmt.Sprintf("127.0.0.%d", 1+i)
		callers := strings.Replace(addresses(c, 1)[0], "127.0.0.1", host, 1)
		d := start(c, "entry", func(s *relay.Settings) {
			s.Node, s.Address, s.PortRange = fmt.Sprintf("entry-%d", 1+i), host, []int{first, last}
			s.CallersAddress, s.ReadyAddress = callers, addresses(c, 1)[0]
			s.StoreAddress = server.Listener.Addr().String()
			for _, change := range changes {
				change(s)
			}
		})
		d.address, d.request = callers, storedJob
		k.entries = append(k.entries, d)
	}
	for _, d := range k.entries {
		d.assertAnswers(0)
	}
	return k
}

// press lets clients behave against all entries in turn while it observes these, and then checks that each
// entry lives, has stayed within its limits and answers an ordinary request. during is called meanwhile.
func (k *cluster) press(clients int, behave crowd.Behaviour, during func()) {
	k.c.Helper()
	ctx, cancel := context.WithTimeout(k.c.Context(), pressTime)
	defer cancel()
	var running sync.WaitGroup
	running.Go(func() {
		crowd.Press(ctx, clients, func(client, n int) string { return k.entries[(client+n)%len(k.entries)].address }, behave)
	})
	if during != nil {
		running.Go(during)
	}
	daemons := append(append([]*daemon(nil), k.entries...), k.agents...)
	usages := make([]usage, len(daemons))
	alive := true
	for end := time.Now().Add(pressTime + settleTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for i, d := range daemons {
			alive = d.observe(&usages[i]) && alive
		}
	}
	running.Wait()
	for i, d := range daemons {
		d.checkUsage(usages[i], alive)
	}
	for _, d := range k.entries {
		d.assertAnswers(1)
	}
}

// observeUntil observes d until ctx ends. alive is false if d has ended.
func (d *daemon) observeUntil(ctx context.Context) (u usage, alive bool) {
	for alive = true; ctx.Err() == nil && alive; time.Sleep(50 * time.Millisecond) {
		alive = d.observe(&u)
	}
	return u, alive
}

// checkUsage checks that d lives and has stayed within its limits.
func (d *daemon) checkUsage(u usage, alive bool) {
	d.c.Helper()
	total := u.residentKiB + u.unreadBytes>>10
	d.c.Logf("%s: resident %d KiB, unread %d KiB, sum %d KiB of %d; %d descriptors of %d",
		d.Name, u.residentKiB, u.unreadBytes>>10, total, d.settings.MemoryMiB<<10, u.descriptors, maxOpenFiles)
	d.c.Check(alive && d.PID() != 0, qt.IsTrue, qt.Commentf("%s has ended", d.Name))
	d.c.Check(total <= d.settings.MemoryMiB<<10, qt.IsTrue, qt.Commentf("memory of %s: %d KiB", d.Name, total))
	d.c.Check(u.descriptors <= maxOpenFiles, qt.IsTrue, qt.Commentf("descriptors of %s: %d", d.Name, u.descriptors))
}

// storedJob returns a submission of the nth ordinary stored job.
func storedJob(n int) []byte {
	return crowd.Post(queueHost, fmt.Sprintf("%s%016x", queuePrefix, n), []byte(`{"spec":"p","steps":[{"count":1,"cpu":1000,"estimate_ms":50}]}`), true)
}

// jobs submits one complete job after another. Each job of a client has an id of its own.
func jobs(body string) crowd.Behaviour {
	return crowd.Repeat(func(client, n, k int) []byte {
		id := fmt.Sprintf("%04x%04x%08x", client+1, n&0xffff, k)
		return crowd.Post(queueHost, queuePrefix+id, []byte(body), true)
	})
}

// mixed lets the clients behave in different ways, in turn.
func mixed(behaviours ...crowd.Behaviour) crowd.Behaviour {
	return func(conn net.Conn, client, n int) { behaviours[client%len(behaviours)](conn, client, n) }
}

var largeStoredJob = `{"spec":"` + strings.Repeat("x", largeSpec) + `","steps":[{"count":1,"cpu":1000,"estimate_ms":50}]}`

// Guards against complete bodies of stored jobs whose copies on the way to the store, or while the log is
// read, exceed the memory of an entry.
func TestEntryStoredJobs(t *testing.T) {
	t.Run("no endpoint", func(t *testing.T) {
		startCluster(qt.New(t), 1).press(pressClients, jobs(largeStoredJob), nil)
	})
	for _, tc := range []struct {
		name    string
		entries int
		job     string
		faults  func(*standin.Store) // from the start of the press on; may be nil
	}{
		{"busy endpoint", 1, largeStoredJob, nil}, // the entry owns the jobs, which wait
		{"slow store", 1, largeStoredJob, func(s *standin.Store) {
			s.SetFaults(standin.StoreFaults{Delay: 200 * time.Millisecond})
		}},
		{"store is down and returns", 1, largeStoredJob, func(s *standin.Store) {
			for range 3 {
				time.Sleep(pressTime / 6)
				s.SetFaults(standin.StoreFaults{Down: true})
				time.Sleep(pressTime / 6)
				s.SetFaults(standin.StoreFaults{})
			}
		}},
		{"three entries", 3, largeStoredJob, nil},
		{"many small jobs", 1, `{"spec":"p","steps":[{"count":150,"cpu":1000,"estimate_ms":60000}]}`, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			k := startCluster(qt.New(t), tc.entries)
			k.startAgent()
			k.press(pressClients, jobs(tc.job), func() {
				if tc.faults != nil {
					tc.faults(k.store)
				}
			})
		})
	}
}

// Guards against clients that ask for the states of jobs, for which each entry follows the log of all jobs.
func TestEntriesFollowTheLogForClients(t *testing.T) {
	k := startCluster(qt.New(t), 3)
	k.startAgent()
	states := crowd.Repeat(func(client, n, i int) []byte {
		return fmt.Appendf(nil, "GET %s%04x%04x%08x HTTP/1.1\r\nHost: %s\r\n\r\n", queuePrefix, client, n&0xffff, i, queueHost)
	})
	k.press(pressClients, mixed(states, jobs(largeStoredJob)), nil)
}

// startAgent starts an agent whose endpoint runs one task, which never ends.
func (k *cluster) startAgent() {
	entry := k.entries[0]
	k.agents = append(k.agents, startEndpoint(k.c, entry, func(s *relay.Settings) { s.StoreAddress = entry.settings.StoreAddress }))
}

// Guards against crowds of several kinds at once, whose budgets are exhausted together.
func TestMixedCrowd(t *testing.T) {
	k := startCluster(qt.New(t), 1)
	k.startAgent()
	k.press(2*pressClients, mixed(
		jobs(largeStoredJob),
		jobs(`{"best_effort":true,"spec":"p","steps":[{"count":65536,"cpu":1000,"estimate_ms":60000}]}`),
		crowd.Hold(func(int, int) []byte {
			return crowd.Post(queueHost, queuePrefix+"00000000000000ff", body(maxBody), false)
		}),
		crowd.Hold(func(int, int) []byte { return inChunks(jobHeader(2), body(maxBody), 1, "")[0] }),
	), nil)
}

// Guards against jobs of many tasks that exceed the memory of the entry that places them, to which the other
// entries forward them.
func TestForwardedJobsOfManyTasks(t *testing.T) {
	k := startCluster(qt.New(t), 3)
	k.startAgent()
	k.press(pressClients, jobs(`{"best_effort":true,"spec":"p","steps":[{"count":65536,"cpu":1000,"estimate_ms":60000}]}`), nil)
}

// Guards against a stop that waits for clients whose requests never become complete, until the process is killed
// with the requests of ordinary callers.
func TestStopUnderCrowd(t *testing.T) {
	c := qt.New(t)
	const grace = 4 * time.Second // little more than the entry goes on accepting connections
	k := startCluster(c, 1, func(s *relay.Settings) { s.StopGraceS = grace.Seconds() })
	d := k.entries[0]
	ctx, cancel := context.WithCancel(c.Context())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	behave := mixed(
		crowd.Hold(func(int, int) []byte { return nil }),
		crowd.Hold(func(client, _ int) []byte {
			return crowd.Post(queueHost, fmt.Sprintf("%s%016x", queuePrefix, client), []byte(largeStoredJob), false)
		}),
		crowd.Trickle(func(client, _ int) []byte {
			return crowd.Post(queueHost, fmt.Sprintf("%s%016x", queuePrefix, client), []byte(largeStoredJob), false)
		}, 10*time.Millisecond),
	)
	running.Go(func() { crowd.Press(ctx, 300, func(int, int) string { return d.address }, behave) })
	time.Sleep(time.Second)
	stopCtx, stop := context.WithTimeout(ctx, 2*grace)
	defer stop()
	c.Check(d.Terminate(stopCtx), qt.IsNil)
	log, err := os.ReadFile(d.LogFile)
	c.Assert(err, qt.IsNil)
	c.Check(strings.Contains(string(log), "event="+strconv.Itoa(event.EntryDrainIncomplete.Code)+" "), qt.IsFalse, qt.Commentf("the drain was cut off"))
}
