package entry

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/agent"
	"oriolerelay/endpoint"
	"oriolerelay/ids"
	"oriolerelay/transport"
	"oriolerelay/wire"
)

// startEndpoint runs an endpoint with its agent and returns the sample service,
// which counts task starts.
func startEndpoint(t testing.TB, keys *transport.Authority, name string, slots int, seeds ...string) *endpoint.Sample {
	t.Helper()
	conf, err := writeKeys(t, keys, name).Load()
	qt.Assert(t, err, qt.IsNil)
	a, err := agent.New(agent.Config{
		Node: ids.NewIncarnation(name), Region: "west", DataCentre: "cutting-room", Worker: name,
		Listen: "127.0.0.1:0", Seeds: seeds, TLS: conf, Buffer: 2,
	})
	qt.Assert(t, err, qt.IsNil)
	sample := &endpoint.Sample{DefaultRunTime: 20 * time.Millisecond}
	e, err := endpoint.New(endpoint.Config{
		Agent: a.Address(), Listen: "127.0.0.1:0", Service: "veil-desk", Slots: slots, Connections: 64,
		Capacity: wire.Resources{MilliCores: 8000, MemoryMiB: 1024},
	}, sample)
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = e.Run(ctx) })
	wg.Go(func() { _ = a.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return sample
}

// TestWholeStack guards against components that do not work together: jobs with
// caller-chosen ids are sent concurrently through every entry while one entry
// drains, and each task must start exactly once at the real endpoints.
func TestWholeStack(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	keys, err := transport.NewAuthority(time.Hour)
	c.Assert(err, qt.IsNil)
	_, platform := testPlatform(t)
	entries := []*testDaemon{startDaemon(t, keys, "entry-1", platform)}
	for _, name := range []string{"entry-2", "entry-3"} {
		entries = append(entries, startDaemon(t, keys, name, platform, entries[0].InternalAddress()))
	}
	var seeds []string
	for _, e := range entries {
		seeds = append(seeds, e.InternalAddress())
	}
	samples := []*endpoint.Sample{startEndpoint(t, keys, "worker-1", 8, seeds...), startEndpoint(t, keys, "worker-2", 8, seeds...)}
	status, body := entries[0].call(t, "POST", "/v1/tickets", "operator-secret", firstTicket)
	c.Assert(status, qt.Equals, 200, qt.Commentf("%s", body))
	for _, e := range entries {
		eventually(t, 10*time.Second, "both endpoints and the ticket are known", func() bool {
			_, body := e.call(t, "GET", "/v1/endpoints", "operator-secret", "")
			_, state := e.call(t, "GET", "/v1/state", "operator-secret", "")
			return strings.Count(body, `"slots":8`) == 2 && strings.Contains(state, `"number":1`)
		})
	}
	// The views of all entries take effect after the lead time of the membership.
	eventually(t, 10*time.Second, "caller-chosen ids are served", func() bool {
		status, _ := entries[2].call(t, "POST", "/v1/requests", "veil-secret", requestWithID(fmt.Sprintf("probe-%d", time.Now().UnixNano()), time.Now(), `1`))
		return status == 200
	})

	const jobs, tasks = 20, 5
	now := time.Now()
	answers := make([][3]string, jobs)
	var wg sync.WaitGroup
	for i := range jobs {
		job := fmt.Sprintf(`{"id":"order-%d","submitted_at":%d,"service":"veil-desk","kind":"preview","tasks":%s}`, i, now.UnixMilli(), tasksArray(tasks))
		for k, e := range entries {
			wg.Go(func() {
				status, body := e.call(t, "POST", "/v1/jobs", "veil-secret", job)
				if status != 200 {
					t.Errorf("order-%d through entry %d: %d %s", i, k, status, body)
				}
				answers[i][k] = body
			})
		}
	}
	entries[1].stop()
	wg.Wait()
	for i, a := range answers {
		c.Assert(a[1], qt.Equals, a[0])
		c.Assert(a[2], qt.Equals, a[0])
		for k := range tasks {
			id := fmt.Sprintf("order-%d", i)
			c.Assert(samples[0].Starts(id, k)+samples[1].Starts(id, k), qt.Equals, 1)
		}
	}
	c.Assert(<-entries[1].done, qt.IsNil)
}
