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

// noAgents implements router.JobRunner for an entry without connected agents.
type noAgents struct{}

func (noAgents) Submit(context.Context, job.Submission) (job.State, *errkind.Error) {
	return "", errkind.New(errkind.QueueFull, "no agent is connected")
}
func (noAgents) ServiceLoads() []wire.ServiceLoad { return nil }
func (noAgents) Labels() []wire.ServiceLabels     { return nil }
func (noAgents) SetEvacuated(wire.Evacuated)      {}
func (noAgents) SetPeers(*policy.Peers)           {}

// Guards against callers that are refused while all placement entries are stopped at the same
// time: the next in rank must replace them before they are gone.
func TestNextInRankReplaceDrainingPlacementEntries(t *testing.T) {
	const n = policy.SmallDeploymentEntries + 2
	entries, changed := startTestEntries(t, n)
	p := &process{
		settings: Settings{Node: "front", Address: "127.0.0.1", Region: "r", PortRange: []int{7720, 7721}}, incarnation: ids.NewIncarnation("front"),
	}
	e := newPeerConns(p, router.New(router.Config{Local: noAgents{}, Region: "r", Metrics: router.NewMetrics(prometheus.NewRegistry())}))
	var listed []platform.EntryChange
	for i, x := range entries {
		listed = append(listed, platform.EntryChange{Present: true, Entry: wire.EntryRecord{EntryAddress: wire.EntryAddress{
			Node: ids.NewIncarnation(x.address), Address: x.address, Region: "r", MilliCores: uint32(1000 - i),
		}}})
	}
	e.conns.applyListChanges(listed)
	done := make(chan struct{})
	ctx, stop := context.WithCancel(context.Background())
	go func() { e.conns.run(ctx); close(done) }()
	t.Cleanup(func() { stop(); <-done })

	const numPlacement = 2 // of the five entries
	waitFor(t, changed, "connections to the largest entries", func() bool { return countConnected(entries[:numPlacement]) == numPlacement })
	qt.Check(t, countConnected(entries), qt.Equals, numPlacement)
	qt.Assert(t, entries[0].connection().Send(t.Context(), &wire.PlacementStatus{Draining: true}), qt.IsNil)
	qt.Assert(t, entries[1].connection().Send(t.Context(), &wire.PlacementStatus{Draining: true}), qt.IsNil)
	waitFor(t, changed, "connections to the next in rank", func() bool { return countConnected(entries[numPlacement:2*numPlacement]) == numPlacement })
	qt.Check(t, countConnected(entries[:numPlacement]), qt.Equals, numPlacement) // kept open, so that their jobs are not lost
}

// Guards against entries of a small deployment that do not know of each other and run copies of a job twice.
func TestEntriesOfSmallDeploymentConnectToEachOther(t *testing.T) {
	c := qt.New(t)
	p := &process{
		settings: Settings{Node: "front", Address: "127.0.0.1", Region: "r", PortRange: []int{7720, 7721}}, incarnation: ids.NewIncarnation("front"),
	}
	e := newPeerConns(p, router.New(router.Config{Local: noAgents{}, Region: "r", Metrics: router.NewMetrics(prometheus.NewRegistry())}))
	listed := []policy.Entry{{Address: e.selfAddress, Region: "r"}, {Address: "127.0.0.2:7721", Region: "r"}, {Address: "127.0.0.3:7721", Region: "r"}}
	c.Check(e.chooseEntries(listed[:1], nil), qt.HasLen, 0)
	c.Check(e.chooseEntries(listed, nil), qt.ContentEquals, []string{listed[1].Address, listed[2].Address})
	c.Check(e.chooseEntries(listed[1:], nil), qt.ContentEquals, []string{listed[1].Address, listed[2].Address}) // this entry is not listed
}
