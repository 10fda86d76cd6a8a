package relay

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"oriolerelay/errkind"
	"oriolerelay/ids"
	"oriolerelay/job"
	"oriolerelay/platform"
	"oriolerelay/policy"
	"oriolerelay/router"
	"oriolerelay/wire"
)

// noAgents are the jobs of an entry that hears no agent.
type noAgents struct{}

func (noAgents) Submit(context.Context, job.Submission) (job.State, *errkind.Error) {
	return "", errkind.New(errkind.QueueFull, "no agent is heard")
}
func (noAgents) ServiceLoads() []wire.ServiceRoom { return nil }
func (noAgents) Labels() []wire.ServiceLabels     { return nil }
func (noAgents) SetEvacuated(wire.Emptied)        {}

// Guards against callers that are refused while all entries that place jobs are being
// stopped together: the next in rank take their place before they are gone.
func TestOthersPlaceJobsWhenThoseThatDidLeave(t *testing.T) {
	const n = policy.FewEntries + 2
	entries, changed := testEntries(t, n)
	p := &process{
		settings: Settings{Node: "front", Address: "127.0.0.1", Region: "r", PortRange: []int{7720, 7721}}, node: ids.NewIncarnation("front"),
	}
	e := newPeers(p, router.New(router.Config{Local: noAgents{}, Region: "r", Metrics: router.NewMetrics(prometheus.NewRegistry())}))
	var listed []platform.EntryChange
	for i, x := range entries {
		listed = append(listed, platform.EntryChange{Present: true, Entry: wire.EntryAddress{
			Node: ids.NewIncarnation(x.address), Address: x.address, Region: "r", MilliCores: uint32(1000 - i),
		}})
	}
	e.links.recorded(listed)
	done := make(chan struct{})
	ctx, stop := context.WithCancel(context.Background())
	go func() { e.links.run(ctx); close(done) }()
	t.Cleanup(func() { stop(); <-done })

	const placers = 2 // of five
	waitFor(t, changed, "connections to the largest entries", func() bool { return connected(entries[:placers]) == placers })
	qt.Check(t, connected(entries), qt.Equals, placers)
	qt.Assert(t, entries[0].connection().Send(t.Context(), &wire.Rooms{Leaving: true}), qt.IsNil)
	qt.Assert(t, entries[1].connection().Send(t.Context(), &wire.Rooms{Leaving: true}), qt.IsNil)
	waitFor(t, changed, "connections to the next in rank", func() bool { return connected(entries[placers:2*placers]) == placers })
	qt.Check(t, connected(entries[:placers]), qt.Equals, placers) // their jobs are not given up
}
