package soak

import (
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"oriolerelay/internal/crowd"
)

const (
	// crowdMemoryMiB is the memory limit of the daemons in a run with a crowd.
	crowdMemoryMiB   = 96
	crowdSpec        = 100 << 10
	trickleInterval  = 50 * time.Millisecond
	observeInterval  = 50 * time.Millisecond
	announcementBody = 60 << 10
)

// press lets w.Crowd clients that do not behave press on the HTTP ports of all daemons until ctx ends. They
// keep their connections until the process closes them or is gone.
func (w *soakRun) press(ctx context.Context, running *sync.WaitGroup) {
	if w.Crowd == 0 {
		return
	}
	submit := func(best string, client, n, k int, complete bool) []byte {
		path := fmt.Sprintf("%sc%03x%04x%08x", queuePrefix, client&0xfff, n&0xffff, k)
		body := `{` + best + `"spec":"` + strings.Repeat("x", crowdSpec) + `","steps":[{"count":2,"cpu":1,"estimate_ms":1}]}`
		return crowd.Post(queueHost, path, []byte(body), complete)
	}
	announcement := crowd.Post("agent", "/instances/i/heartbeat", make([]byte, announcementBody), false)
	ofEntry := func(port int) func(client, n int) string {
		return func(client, n int) string { return hostPort(w.hostIP(10+(client+n)%w.Entries), port) }
	}
	ofAgent := func(port int) func(client, n int) string {
		return func(client, n int) string { return hostPort(w.hostIP(100+(client+n)%w.Agents), port) }
	}
	stored := func(client, n, k int) []byte { return submit("", client, n, k, true) }
	parts := []struct {
		address   func(client, n int) string
		behaviour crowd.Behaviour
	}{
		{ofEntry(callersPort), crowd.Hold(func(client, n int) []byte { return submit("", client, n, 0, false) })},
		{ofEntry(callersPort), crowd.Repeat(stored)},
		{ofEntry(callersPort), crowd.Repeat(func(client, n, k int) []byte { return submit(`"best_effort":true,`, client, n, k, true) })},
		{ofEntry(callersPort), crowd.Pipeline(func(client, n, k int) []byte {
			return fmt.Appendf(nil, "GET %s%016x HTTP/1.1\r\nHost: %s\r\n\r\n", queuePrefix, k, queueHost)
		})},
		{ofEntry(callersPort), crowd.Trickle(func(client, n int) []byte { return submit("", client, n, 0, false) }, trickleInterval)},
		{ofEntry(readyPort), crowd.Hold(func(int, int) []byte { return []byte("GET /ready HTTP/1.1\r\n") })},
		{ofEntry(entryPort + 1), crowd.Pipeline(func(int, int, int) []byte { return []byte("GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n") })},
		{ofAgent(announcePort), crowd.Hold(func(int, int) []byte { return announcement })},
	}
	for i, p := range parts {
		clients := w.Crowd / len(parts)
		// Each client has a number of its own, so that no two submit a job with the same id.
		behave := func(conn net.Conn, client, n int) { p.behaviour(conn, i*clients+client, n) }
		running.Go(func() { crowd.Press(ctx, clients, p.address, behave) })
	}
}

// watchMemory records a violation for each daemon whose memory exceeds its limit, until ctx ends.
func (w *soakRun) watchMemory(ctx context.Context) {
	if w.Crowd == 0 {
		return
	}
	peaks := make(map[string]int)
	for ; ctx.Err() == nil; time.Sleep(observeInterval) {
		for _, p := range w.daemons() {
			peaks[p.name] = max(peaks[p.name], p.residentKiB())
		}
	}
	for _, p := range w.daemons() {
		w.logEvent("%s used %d KiB at most", p.name, peaks[p.name])
		if peaks[p.name] > crowdMemoryMiB<<10 {
			w.operator.addViolation("%s used %d KiB of %d", p.name, peaks[p.name], crowdMemoryMiB<<10)
		}
	}
}

func (w *soakRun) daemons() []*process {
	return append(append([]*process(nil), w.entries...), w.agents...)
}

// residentKiB returns the largest resident memory that the daemon has had since its start, or 0 if it does
// not run.
func (p *process) residentKiB() (kib int) {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd == nil {
		return 0
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kib); n == 1 {
			return kib
		}
	}
	return 0
}
