package agent

import (
	"context"
	"net/http"
	"net/http/httptest"
	"runtime"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"oriolerelay/ids"
	"oriolerelay/internal/udprelay"
	"oriolerelay/transport"
	"oriolerelay/wire"
)

// startTrivialEndpoint starts an endpoint that answers at once, and announces it.
func startTrivialEndpoint(b *testing.B, ag *Agent, slots int) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) }))
	b.Cleanup(srv.Close)
	m := Announcement{Service: "veil-desk", Address: srv.Listener.Addr().String(), Slots: slots}
	qt.Assert(b, announce(b, ag, m), qt.Equals, 204)
	stop := make(chan struct{})
	b.Cleanup(func() { close(stop) })
	go func() {
		for {
			select {
			case <-time.After(RenewalInterval):
				announce(b, ag, m)
			case <-stop:
				return
			}
		}
	}()
}

// BenchmarkThroughput starts tasks on one agent with a trivial endpoint, in Start
// messages of 8 tasks and with up to 64 tasks in flight. Entry, agent and endpoint run in
// one process.
func BenchmarkThroughput(b *testing.B) {
	auth := testAuthority(b)
	e := startEntry(b, auth, "entry-1")
	ag, _ := runAgent(b, auth, func(cfg *Config) { cfg.MaxRecords = 1 << 24 }, e)
	startTrivialEndpoint(b, ag, 64)
	conn := next(b, e.conns)
	e.waitForSlots(b, 64)
	b.ReportAllocs()
	b.ResetTimer()
	sent, done := 0, 0
	for done < b.N {
		for sent-done <= 56 && sent < b.N {
			m := &wire.Start{}
			for range min(8, b.N-sent) {
				sent++
				m.Tasks = append(m.Tasks, newStartTask(uint64(sent), testTimeout, `{}`))
			}
			send(b, conn, m)
		}
		switch m := next(b, e.messages).body.(type) {
		case *wire.Result:
			done += len(m.Tasks)
		case *wire.Refused:
			b.Fatalf("%d tasks refused as %s", len(m.Refs), m.Kind)
		}
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "tasks/s")
}

// BenchmarkLatency runs one task at a time from an entry through the agent; the direct
// case calls an identical endpoint through an endpointClient alone.
func BenchmarkLatency(b *testing.B) {
	b.Run("agent", func(b *testing.B) {
		auth := testAuthority(b)
		e := startEntry(b, auth, "entry-1")
		ag, _ := runAgent(b, auth, nil, e)
		startTrivialEndpoint(b, ag, 1)
		conn := next(b, e.conns)
		e.waitForSlots(b, 1)
		b.ResetTimer()
		for i := range b.N {
			send(b, conn, &wire.Start{Tasks: []wire.StartTask{newStartTask(uint64(i), testTimeout, `{}`)}})
			nextMessage[*wire.Result](b, e)
		}
	})
	b.Run("direct", func(b *testing.B) {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) }))
		defer srv.Close()
		client := newEndpointClient(Announcement{Address: srv.Listener.Addr().String(), Slots: 1, Connections: 1}, Config{})
		b.ResetTimer()
		for i := range b.N {
			client.call(&task{spec: newStartTask(uint64(i), testTimeout, `{}`), deadline: time.Now().Add(testTimeout)})
		}
	})
}

// idleEntries is the number of entries that an idle agent knows (design, section 1.2).
const idleEntries = 24

// discardHandler is a transport.Handler that discards all messages.
type discardHandler struct{}

func (discardHandler) Handle(*transport.Conn, wire.Frame) {}
func (discardHandler) Closed(*transport.Conn, error)      {}

// BenchmarkIdleAgent measures an agent that knows 24 entries and has no tasks. Run it with
// -benchtime=20s. The limits are 3.1% of a core, 32 MB and 4 KB/s. The entries run in the
// same process, so CPU time and memory include both ends of the connections. Bytes
// are the UDP payload in both directions, counted by a relay on the agent's side, plus
// 28 bytes of IP and UDP headers per packet.
func BenchmarkIdleAgent(b *testing.B) {
	auth := testAuthority(b)
	var traffic udprelay.Traffic
	var addresses []string
	stop := make(chan struct{})
	defer close(stop)
	for range idleEntries {
		l, err := transport.Listen("127.0.0.1:0", transport.Options{
			TLS:   nodeTLS(b, auth, "entry"),
			Hello: func() wire.Hello { return wire.Hello{Node: ids.NewIncarnation("entry"), Role: wire.RoleEntry} },
		})
		qt.Assert(b, err, qt.IsNil)
		b.Cleanup(func() { _ = l.Close() })
		go func() {
			_ = l.Serve(b.Context(), func(c *transport.Conn) transport.Handler {
				go sendHeartbeats(c, stop)
				return discardHandler{}
			})
		}()
		addresses = append(addresses, countingRelay(b, l.Address(), &traffic))
	}
	before := liveBytes()
	ag, _ := runAgent(b, auth, func(cfg *Config) {
		cfg.Seeds = addresses
		cfg.Metrics = prometheus.NewRegistry()
	})
	startTrivialEndpoint(b, ag, 8)
	eventually(b, func() bool {
		ag.core.mu.Lock()
		defer ag.core.mu.Unlock()
		return len(ag.core.links) == maxEntries
	})
	<-time.After(2 * time.Second) // until handshakes and path probes have ended
	perConnection := float64(liveBytes()-before) / maxEntries / 1024
	bytes, packets, cpu := traffic.Bytes.Load(), traffic.Packets.Load(), cpuTime(b)
	b.ResetTimer()
	begin := time.Now()
	<-time.After(max(time.Duration(b.N)*time.Second, time.Second))
	seconds := time.Since(begin).Seconds()
	bytes, packets = traffic.Bytes.Load()-bytes, traffic.Packets.Load()-packets
	b.ReportMetric(float64(bytes+headerBytes*packets)/seconds, "B/s")
	b.ReportMetric(float64(packets)/seconds, "packets/s")
	b.ReportMetric(100*(cpuTime(b)-cpu).Seconds()/seconds, "%core")
	b.ReportMetric(perConnection, "KB/connection")
	b.ReportMetric(float64(liveBytes())/(1<<20), "live-MB")
	b.ReportMetric(float64(residentBytes())/(1<<20), "resident-MB")
}

// sendHeartbeats sends a heartbeat every heartbeatInterval, as an idle entry does.
func sendHeartbeats(c *transport.Conn, stop chan struct{}) {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			_ = c.Send(context.Background(), &wire.Heartbeat{})
		case <-c.Done():
			return
		case <-stop:
			return
		}
	}
}

// headerBytes is the size of the IPv4 and UDP headers of a packet.
const headerBytes = 28

// countingRelay starts a UDP relay to server that counts traffic, and returns its address.
func countingRelay(b *testing.B, server string, traffic *udprelay.Traffic) string {
	r, err := udprelay.New(server)
	qt.Assert(b, err, qt.IsNil)
	b.Cleanup(r.Close)
	r.CountInto(traffic)
	return r.Address()
}

// liveBytes returns the size of live heap objects and stacks.
func liveBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// residentBytes returns the memory that the Go runtime has obtained from the system
// and not returned.
func residentBytes() int64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.Sys - m.HeapReleased)
}

// cpuTime returns the user and system CPU time of the process.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	qt.Assert(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u), qt.IsNil)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
