// Package uncontrolled runs the daemons as processes with little memory and few descriptors
// and opens more connections and bodies than they can hold.
package uncontrolled

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/emulator"
	"oriolerelay/internal/proctest"
	"oriolerelay/platform/standin"
	"oriolerelay/relay"
	"oriolerelay/wire"
)

// The limits in the settings of the daemons. The clients of each test could use more
// than either.
const (
	memoryMiB    = 64
	maxOpenFiles = 1000
)

// Crowds. maxBody is the default of max_body_bytes, and maxHeartbeat the largest body of a heartbeat.
const (
	bodyClients      = 400 // 100 MiB of bodies
	heartbeatClients = 1500
	idleClients      = 1500
	manyTaskClients  = 200 // a job of 65,536 tasks each
	maxBody          = 256 << 10
	maxHeartbeat     = 64 << 10
)

const (
	// sendTimeout ends the writes of clients whose daemon does not read.
	sendTimeout = 20 * time.Second
	// answerTimeout bounds the wait for one answered ordinary request.
	answerTimeout = 30 * time.Second
	buildTimeout  = 4 * time.Minute
	partitions    = 2
	middlePort    = 20_000 // of the ports that proctest.FreeAddress returns
	queueHost     = "queue.test"
	queuePrefix   = "/jobs/"
)

var binary string // path of oriole-relay

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "oriole-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "oriole-relay")
	ctx, cancel := context.WithTimeout(context.Background(), buildTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, "go", "build", "-o", binary, "./cmd/oriole-relay")
	cmd.Dir = filepath.Join("..", "..")
	if out, err := cmd.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build oriole-relay: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// daemon is a running daemon whose clients connect to address.
type daemon struct {
	*proctest.Process
	c        *qt.C
	settings relay.Settings
	address  string
	// request is an ordinary request to address, without the connection header.
	request func(n int) []byte
}

// addresses returns n free loopback addresses.
func addresses(c *qt.C, n int) (out []string) {
	for range n {
		a, err := proctest.FreeAddress()
		c.Assert(err, qt.IsNil)
		out = append(out, a)
	}
	return out
}

// start starts a daemon and waits until it answers an ordinary request.
func start(c *qt.C, role string, change func(*relay.Settings)) *daemon {
	c.Helper()
	store := standin.NewStore(partitions)
	c.Assert(store.PutConfig(1, queueHost, queuePrefix, "service", true), qt.IsNil)
	server := httptest.NewServer(store)
	c.Cleanup(server.Close)
	s := relay.Settings{
		Node: role + "-1", Address: "127.0.0.1", Region: "region", DataCentre: "centre",
		PortRange:    []int{firstPort(c), lastPort(c)},
		StoreAddress: server.Listener.Addr().String(), StorePartitions: partitions, MinMembershipMS: 1000, KeepStateS: 120,
		MemoryMiB: memoryMiB, MaxOpenFiles: maxOpenFiles, MaxLeaseMS: 1000, StopGraceS: 6, FarFactor: 1.5,
	}
	change(&s)
	b, err := json.Marshal(s)
	c.Assert(err, qt.IsNil)
	dir := c.TempDir()
	p := &proctest.Process{
		Name: s.Node, Program: binary, Args: []string{role}, Settings: filepath.Join(dir, "settings.json"), LogFile: filepath.Join(dir, "log"),
	}
	c.Assert(os.WriteFile(p.Settings, b, 0o600), qt.IsNil)
	c.Assert(p.Start(), qt.IsNil)
	c.Cleanup(func() {
		if c.Failed() {
			c.Logf("log of %s:\n%s", p.Name, p.Tail())
		}
		p.Kill()
	})
	return &daemon{Process: p, c: c, settings: s}
}

// firstPort and lastPort return free ports, of which each first one is below each last one.
func firstPort(c *qt.C) int { return portWhere(c, func(p int) bool { return p < middlePort }) }
func lastPort(c *qt.C) int  { return portWhere(c, func(p int) bool { return p > middlePort }) }

func portWhere(c *qt.C, ok func(int) bool) int {
	for {
		if p := port(addresses(c, 1)[0]); ok(p) {
			return p
		}
	}
}

func port(address string) int {
	_, p, _ := net.SplitHostPort(address)
	n, _ := strconv.Atoi(p)
	return n
}

// startEntry starts an entry. Its ordinary request submits a stored job, which needs no endpoint.
func startEntry(c *qt.C) *daemon {
	a := addresses(c, 2)
	d := start(c, "entry", func(s *relay.Settings) { s.CallersAddress, s.ReadyAddress = a[0], a[1] })
	d.address = a[0]
	d.request = func(n int) []byte {
		body := `{"spec":"p","steps":[{"count":1,"cpu":1000,"estimate_ms":50}]}`
		return fmt.Appendf(jobHeader(n), "Content-Length: %d\r\n\r\n%s", len(body), body)
	}
	d.assertAnswers(0)
	return d
}

// jobHeader returns the header of the submission of job n without the length of its body.
func jobHeader(n int) []byte {
	return fmt.Appendf(nil, "POST %s%016x HTTP/1.1\r\nHost: %s\r\n", queuePrefix, n, queueHost)
}

// startAgent starts an agent. Its ordinary request is a heartbeat.
func startAgent(c *qt.C) *daemon {
	a := addresses(c, 2)
	d := start(c, "agent", func(s *relay.Settings) { s.AnnounceAddress, s.EndpointAddress = a[0], a[1] })
	d.address = a[0]
	d.request = func(n int) []byte {
		body := fmt.Sprintf(`{"service":"service","address":"%s","state":"ready","room":{"cpu":1000,"mem_mb":100},"clock_ms":%d,"sequence":%d,"born":1}`, a[1], n+1, n+1)
		return fmt.Appendf(heartbeatHeader(), "Content-Length: %d\r\n\r\n%s", len(body), body)
	}
	d.assertAnswers(0)
	return d
}

func heartbeatHeader() []byte {
	return []byte("POST /instances/i-1/heartbeat HTTP/1.1\r\nHost: agent\r\n")
}

// assertAnswers checks that an ordinary request is answered with status 200. A refusal, or a closed
// connection, is repeated as an ordinary caller does.
func (d *daemon) assertAnswers(n int) {
	d.c.Helper()
	ctx, cancel := context.WithTimeout(d.c.Context(), answerTimeout)
	defer cancel()
	d.c.Assert(proctest.Poll(ctx, d.Name+" answers an ordinary request", func() error {
		if d.PID() == 0 {
			return fmt.Errorf("%s has ended", d.Name)
		}
		conn, err := net.DialTimeout("tcp", d.address, time.Second)
		if err != nil {
			return err
		}
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		if _, err := conn.Write(d.request(n)); err != nil {
			return err
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return err
		}
		b, err := io.ReadAll(resp.Body)
		if err != nil {
			return err
		}
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("status %s: %s", resp.Status, b)
		}
		return nil
	}), qt.IsNil)
}

// usage is the largest observed use of resources by a daemon.
type usage struct {
	residentKiB int // peak
	unreadBytes int // received by the kernel and not read
	descriptors int
}

// observe adds the present use of resources to u. It returns false if the daemon has ended.
func (d *daemon) observe(u *usage) bool {
	pid := d.PID()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	files, err2 := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if pid == 0 || err != nil || err2 != nil {
		return false
	}
	for line := range strings.Lines(string(status)) {
		var kib int
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kib); n == 1 {
			u.residentKiB = max(u.residentKiB, kib)
		}
	}
	u.descriptors = max(u.descriptors, len(files))
	u.unreadBytes = max(u.unreadBytes, unreadBytes(port(d.address)))
	return true
}

// settle observes d until it has used no more of any resource for a second. It returns false if d has
// ended.
func (d *daemon) settle(u *usage) bool {
	const unchangedFor, limit = time.Second, 10 * time.Second
	for changed, end := time.Now(), time.Now().Add(limit); time.Since(changed) < unchangedFor && time.Now().Before(end); {
		before := *u
		if !d.observe(u) {
			return false
		}
		if *u != before {
			changed = time.Now()
		}
		time.Sleep(50 * time.Millisecond)
	}
	return true
}

// unreadBytes returns the number of bytes in the receive queues of a loopback port.
func unreadBytes(port int) (sum int) {
	b, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	const established = "01"
	suffix := fmt.Sprintf(":%04X", port)
	for line := range strings.Lines(string(b)) {
		f := strings.Fields(line)
		if len(f) < 5 || !strings.HasSuffix(f[1], suffix) || f[3] != established {
			continue
		}
		_, rx, _ := strings.Cut(f[4], ":")
		n, _ := strconv.ParseInt(rx, 16, 64)
		sum += int(n)
	}
	return sum
}

// crowd sends the pieces of client i of n clients and keeps the connections open. It then checks
// that the daemon lives, has stayed within its limits and answers an ordinary request.
func (d *daemon) crowd(n int, pieces func(i int) [][]byte) {
	d.c.Helper()
	var sending sync.WaitGroup
	var failed atomic.Int64
	conns := make(chan net.Conn, n)
	for i := range n {
		sending.Go(func() {
			conn, err := net.DialTimeout("tcp", d.address, sendTimeout)
			if err != nil {
				failed.Add(1)
				return
			}
			conns <- conn
			_ = conn.SetDeadline(time.Now().Add(sendTimeout))
			for _, piece := range pieces(i) {
				if _, err := conn.Write(piece); err != nil {
					failed.Add(1)
					return
				}
			}
		})
	}
	sent := make(chan struct{})
	go func() { sending.Wait(); close(sent) }()
	var u usage
	alive := true
	for done := false; !done && alive; {
		select {
		case <-sent:
			done = true
		case <-time.After(50 * time.Millisecond):
		}
		alive = d.observe(&u)
	}
	alive = alive && d.settle(&u)
	total := u.residentKiB + u.unreadBytes>>10
	d.c.Logf("%d clients, %d cut off; resident %d KiB, unread %d KiB, sum %d KiB of %d; %d descriptors of %d",
		n, failed.Load(), u.residentKiB, u.unreadBytes>>10, total, memoryMiB<<10, u.descriptors, maxOpenFiles)
	d.c.Check(alive, qt.IsTrue, qt.Commentf("%s has ended", d.Name))
	d.c.Check(total <= memoryMiB<<10, qt.IsTrue, qt.Commentf("memory of %s: %d KiB", d.Name, total))
	d.c.Check(u.descriptors <= maxOpenFiles, qt.IsTrue, qt.Commentf("descriptors of %s: %d", d.Name, u.descriptors))
	d.assertAnswers(1)
	d.c.Check(d.observe(&u), qt.IsTrue)
	d.c.Check(u.residentKiB+u.unreadBytes>>10 <= memoryMiB<<10, qt.IsTrue, qt.Commentf("memory of %s: %+v", d.Name, u))
	<-sent
	close(conns)
	for conn := range conns {
		_ = conn.Close()
	}
}

// body returns a job of exactly size bytes.
func body(size int) []byte {
	const before, after = `{"best_effort":true,"spec":"`, `","steps":[{"count":1}]}`
	return []byte(before + strings.Repeat("x", size-len(before)-len(after)) + after)
}

func whole(header []byte, b []byte) [][]byte {
	return [][]byte{append(fmt.Appendf(header, "Content-Length: %d\r\n\r\n", len(b)), b[:len(b)-1]...)}
}

func inPieces(header []byte, b []byte) [][]byte {
	const size = 4 << 10
	out := [][]byte{fmt.Appendf(header, "Content-Length: %d\r\n\r\n", len(b))}
	for rest := b[:len(b)-1]; len(rest) > 0; rest = rest[min(size, len(rest)):] {
		out = append(out, rest[:min(size, len(rest))])
	}
	return out
}

// inChunks returns a chunked request without the last chunk. Each chunk has the extension.
func inChunks(header, b []byte, size int, extension string) [][]byte {
	var buf bytes.Buffer
	buf.Write(fmt.Appendf(header, "Transfer-Encoding: chunked\r\n\r\n"))
	for rest := b; len(rest) > 0; rest = rest[min(size, len(rest)):] {
		n := min(size, len(rest))
		fmt.Fprintf(&buf, "%x%s\r\n", n, extension)
		buf.Write(rest[:n])
		buf.WriteString("\r\n")
	}
	return [][]byte{buf.Bytes()}
}

// forms are the forms of incomplete bodies. Extensions of chunks are limited by net/http, which
// accepts 16 bytes for each chunk.
var forms = []struct {
	name  string
	parts func(header, b []byte) [][]byte
}{
	{"whole", whole},
	{"pieces", inPieces},
	{"large chunks", func(h, b []byte) [][]byte { return inChunks(h, b, 32<<10, "") }},
	{"one-byte chunks", func(h, b []byte) [][]byte { return inChunks(h, b, 1, "") }},
	{"one-byte chunks with extensions", func(h, b []byte) [][]byte { return inChunks(h, b, 1, ";a=bcdefghi") }},
}

// Guards against an entry that ends, or exceeds its memory, when many callers send bodies of legal
// size up to shortly before the end and keep them open.
func TestEntryIncompleteBodies(t *testing.T) {
	b := body(maxBody)
	for _, f := range forms {
		t.Run(f.name, func(t *testing.T) {
			parts := f.parts(jobHeader(2), b)
			startEntry(qt.New(t)).crowd(bodyClients, func(int) [][]byte { return parts })
		})
	}
}

// Guards against an agent that ends, or exceeds its memory, when many clients of its announcement
// port send bodies of legal size up to shortly before the end and keep them open.
func TestAgentIncompleteBodies(t *testing.T) {
	b := body(maxHeartbeat)
	for _, f := range forms {
		t.Run(f.name, func(t *testing.T) {
			parts := f.parts(heartbeatHeader(), b)
			startAgent(qt.New(t)).crowd(heartbeatClients, func(int) [][]byte { return parts })
		})
	}
}

// Guards against an entry that uses all its descriptors for connections without a request.
func TestEntryConnectionsWithoutRequest(t *testing.T) {
	startEntry(qt.New(t)).crowd(idleClients, func(int) [][]byte { return nil })
}

// Guards against small bodies whose decoded jobs exceed the memory of an entry: the tasks of a job
// are allocated when it is admitted. The only endpoint runs one task at a time, so that the jobs wait.
func TestEntryJobsOfManyTasks(t *testing.T) {
	c := qt.New(t)
	d := startEntry(c)
	startEndpoint(c, d, func(*relay.Settings) {})
	b := []byte(`{"best_effort":true,"spec":"p","steps":[{"count":65536,"cpu":1000,"estimate_ms":60000}]}`)
	d.crowd(manyTaskClients, func(i int) [][]byte {
		return [][]byte{append(fmt.Appendf(jobHeader(i+10), "Content-Length: %d\r\n\r\n", len(b)), b...)}
	})
}

// startEndpoint starts an endpoint for one task with its agent, which connects to the entry, and
// waits until an ephemeral job is completed. It returns the agent.
func startEndpoint(c *qt.C, entry *daemon, change func(*relay.Settings)) *daemon {
	e := emulator.NewEndpoint("endpoint-1", wire.Resources{MilliCores: 1000, MemoryMiB: 1000}, 1)
	e.Work = func(_, payload string) (time.Duration, wire.Resources) {
		if payload == "short" {
			return time.Millisecond, wire.Resources{MilliCores: 1000}
		}
		return time.Hour, wire.Resources{MilliCores: 1000}
	}
	server := httptest.NewServer(standin.NewEndpointHandler(e))
	c.Cleanup(server.Close)
	a := addresses(c, 1)
	d := start(c, "agent", func(s *relay.Settings) {
		s.AnnounceAddress, s.EndpointAddress = a[0], server.Listener.Addr().String()
		s.PortRange[0], s.Seeds = entry.settings.PortRange[0], []string{entry.address}
		change(s)
	})
	d.address = a[0]
	ctx, cancel := context.WithTimeout(c.Context(), answerTimeout)
	defer cancel()
	caller := standin.Caller{HTTP: http.DefaultClient, Address: entry.address, Host: queueHost, Prefix: queuePrefix}
	n := 0
	c.Assert(proctest.Poll(ctx, "an ephemeral job is completed", func() error {
		n++
		announcement := e.Announcement(false)
		announcement.Profile.Service, announcement.Profile.Address = "service", server.Listener.Addr().String()
		if err := standin.Announce(ctx, http.DefaultClient, a[0], announcement); err != nil {
			return err
		}
		r, err := caller.Submit(ctx, standin.Job{
			ID: fmt.Sprintf("%016x", 1000+n), Payload: "short", Tasks: 1, MilliCores: 1000, Estimate: time.Millisecond, Ephemeral: true,
		}, 0)
		if err == nil && r.Status != http.StatusOK {
			err = fmt.Errorf("status %d", r.Status)
		}
		return err
	}), qt.IsNil)
	return d
}
