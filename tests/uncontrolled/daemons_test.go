package uncontrolled

import (
	"context"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"oriolerelay/internal/crowd"
	"oriolerelay/internal/proctest"
	"oriolerelay/relay"
)

// Sizes of the largest bodies of oriole-entry and oriole-agent.
const (
	largestSubmission   = 1 << 20
	largestAnnouncement = 64 << 10
)

// Guards against the daemons of the product's own interface that end, or exceed their memory or descriptors,
// when many clients of their HTTP ports send bodies up to shortly before the end and keep them open.
func TestDaemonsIncompleteBodies(t *testing.T) {
	c := qt.New(t)
	bin := c.TempDir()
	c.Assert(proctest.Build(c.Context(), "../..", bin), qt.IsNil)
	limits := map[string]any{"memory_mib": memoryMiB, "max_open_files": maxOpenFiles}
	k, err := proctest.NewCluster(c.TempDir(), bin, proctest.Spec{
		Entries: 1, Workers: []proctest.Worker{{Service: "service", Speed: 1, Slots: 1}}, Entry: limits, Agent: limits,
	})
	c.Assert(err, qt.IsNil)
	defer k.Stop()
	c.Assert(k.Start(c.Context()), qt.IsNil)
	for _, tc := range []struct {
		process *proctest.Process
		url     string
		path    string
		size    int
	}{
		{k.Entries[0], k.EntryHTTP[0], "/v1/jobs", largestSubmission},
		{k.Agents[0], k.AgentHTTP[0], "/v1/endpoint", largestAnnouncement},
	} {
		t.Run(tc.process.Name, func(t *testing.T) {
			d := &daemon{Process: tc.process, c: qt.New(t), settings: relay.Settings{MemoryMiB: memoryMiB}, address: strings.TrimPrefix(tc.url, "http://")}
			d.request = func(int) []byte { return []byte("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n") }
			host := "h\r\nAuthorization: Bearer " + proctest.VeilsToken
			incomplete := crowd.Post(host, tc.path, []byte(strings.Repeat(" ", tc.size)), false)
			ctx, cancel := context.WithTimeout(t.Context(), pressTime)
			defer cancel()
			go crowd.Press(ctx, idleClients, func(int, int) string { return d.address }, crowd.Hold(func(int, int) []byte { return incomplete }))
			u, alive := d.observeUntil(ctx)
			d.checkUsage(u, alive)
			d.assertAnswers(1)
		})
	}
}
