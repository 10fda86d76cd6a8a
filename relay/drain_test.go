package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"oriolerelay/ids"
	"oriolerelay/internal/syncbuf"
	"oriolerelay/platform/standin"
	"oriolerelay/transport"
	"oriolerelay/wire"
)

// hasLogLine reports whether a line of the log contains all the substrings.
func hasLogLine(log *syncbuf.Buffer, substrings ...string) bool {
	for line := range strings.Lines(log.String()) {
		if !slices.ContainsFunc(substrings, func(w string) bool { return !strings.Contains(line, w) }) {
			return true
		}
	}
	return false
}

// eventually waits for at most 5 s until cond returns true.
func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !cond(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not met within 5 s", what)
		}
	}
}

// runIdleAgent runs an agent that accepts no task. An entry owns stored jobs only while it
// receives messages from an agent.
func runIdleAgent(ctx context.Context, entry string) {
	ctx = context.WithoutCancel(ctx) // the agent outlives the entry
	hello := func() wire.Hello { return wire.Hello{Node: ids.NewIncarnation("side-1"), Role: wire.RoleAgent} }
	for end := time.Now().Add(testTimeout); time.Now().Before(end); {
		c, err := transport.Dial(ctx, entry, transport.Options{Hello: hello}, func(*transport.Conn) transport.Handler { return discardHandler{} })
		if err != nil {
			continue
		}
		for c.Send(ctx, &wire.Status{ClosedReason: wire.RejectUnreachable}) == nil {
			time.Sleep(100 * time.Millisecond)
		}
		return
	}
}

// discardHandler discards all messages.
type discardHandler struct{}

func (discardHandler) Handle(*transport.Conn, wire.Frame) {}
func (discardHandler) Closed(*transport.Conn, error)      {}

// Guards against stored jobs that no entry runs during a rolling restart: a stopping entry gave
// up its partitions at once, although it drains for seconds and its successor had not started
// (bench: worth 0.39 on a day with a rolling restart).
func TestDrainingEntryRunsStoredJobs(t *testing.T) {
	c := quicktest.New(t)
	ip := fmt.Sprintf("127.%d.%d.10", 10+rand.IntN(200), 1+rand.IntN(250))
	address := func(port string) string { return net.JoinHostPort(ip, port) }
	store := standin.NewStore(2)
	c.Assert(store.PutConfig(1, "queue.example", "/jobs/", "service", true), quicktest.IsNil)
	l, err := net.Listen("tcp", address("9000"))
	c.Assert(err, quicktest.IsNil)
	storeServer := &http.Server{Handler: store, ReadHeaderTimeout: time.Minute}
	go func() { _ = storeServer.Serve(l) }()
	defer storeServer.Close()

	settings, err := json.Marshal(Settings{
		Node: "entry-1", Address: ip, Region: "r", DataCentre: "d", PortRange: []int{7720, 7721},
		CallersAddress: address("8080"), ReadyAddress: address("8081"), StoreAddress: address("9000"), StorePartitions: 2,
		MinMembershipMS: 1000, KeepStateS: 120, MemoryMiB: 256, MaxLeaseMS: 1000, StopGraceS: 6, FarFactor: 1.5,
	})
	c.Assert(err, quicktest.IsNil)
	path := filepath.Join(t.TempDir(), "settings.json")
	c.Assert(os.WriteFile(path, settings, 0o600), quicktest.IsNil)
	var log syncbuf.Buffer
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- RunEntry(ctx, path, &log, nil) }()

	caller := &standin.Caller{HTTP: &http.Client{}, Address: address("8080"), Host: "queue.example", Prefix: "/jobs/"}
	accepts := func(id string) bool {
		a, err := caller.Submit(context.Background(), standin.Job{ID: id, Payload: "p", Tasks: 1, MilliCores: 1000, Estimate: time.Second}, 0)
		return err == nil && a.Status == http.StatusOK
	}
	eventually(t, "a job is accepted", func() bool { return accepts("00000000000000a1") })
	go runIdleAgent(ctx, address("7720"))
	eventually(t, "it is run", func() bool { return hasLogLine(&log, "event=656", "00000000000000a1") })
	stop()
	eventually(t, "the entry drains", func() bool { return hasLogLine(&log, "event=501") })
	eventually(t, "a job is accepted during the drain", func() bool { return accepts("00000000000000a2") })
	eventually(t, "it is run", func() bool { return hasLogLine(&log, "event=656", "00000000000000a2") })
	c.Check(hasLogLine(&log, "event=655"), quicktest.IsFalse)
	c.Assert(<-ended, quicktest.IsNil)
	c.Check(hasLogLine(&log, "event=655", "the process stops"), quicktest.IsTrue)
}
