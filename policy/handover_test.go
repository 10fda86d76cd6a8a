package policy

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"oriolerelay/wire"
)

// Guards against jobs that are returned in vain: to an entry that is full, unknown for a while, promised
// to other jobs or without their label, or from one that has capacity soon.
func TestChooseHandover(t *testing.T) {
	on, err := New([]string{string(Handover)}, nil)
	quicktest.Assert(t, err, quicktest.IsNil)
	now := time.Unix(1000, 0)
	peer := func(age time.Duration, usable, waiting uint64) PeerStatus {
		return PeerStatus{
			Incarnation: "b", ReceivedAt: now.Add(-age * time.Millisecond), Labels: []wire.ServiceLabels{{Service: "s", Labels: []string{"x"}}},
			Services: []wire.ServiceLoad{{Service: "s", Capacity: 9000, Usable: usable, LargestFree: min(usable, 2000), Waiting: waiting}},
		}
	}
	for _, tc := range []struct {
		name          string
		policy        Policy
		peers         []PeerStatus
		label         string
		wait          time.Duration
		largest, sent uint64
		want          int // -1 if the job stays
	}{
		{"free", on, []PeerStatus{peer(0, 3000, 0)}, "x", 50, 1500, 0, 0},
		{"the most free one", on, []PeerStatus{peer(0, 3000, 0), peer(0, 4500, 0)}, "", 50, 1500, 0, 1},
		{"disabled", Policy{}, []PeerStatus{peer(0, 3000, 0)}, "", 50, 1500, 0, -1},
		{"full", on, []PeerStatus{peer(0, 1500, 0)}, "", 50, 1500, 0, -1},
		{"others wait there", on, []PeerStatus{peer(0, 3000, 1500)}, "", 50, 1500, 0, -1},
		{"promised to another job", on, []PeerStatus{peer(50, 3000, 0)}, "", 50, 1500, 1500, -1},
		{"too large a task", on, []PeerStatus{peer(0, 3000, 0)}, "", 50, 3000, 0, -1},
		{"stale status", on, []PeerStatus{peer(201, 3000, 0)}, "", 50, 1500, 0, -1},
		{"no endpoint with the label", on, []PeerStatus{peer(0, 3000, 0)}, "y", 50, 1500, 0, -1},
		{"capacity soon", on, []PeerStatus{peer(0, 3000, 0)}, "", 10, 1500, 0, -1},
	} {
		j := HandoverJob{Service: "s", Labels: []string{tc.label}, Demand: 3000, Largest: tc.largest, Slack: 100, Wait: tc.wait}
		got, ok := tc.policy.ChooseHandover(&j, tc.peers, []ReturnedDemand{{Incarnation: "b", Service: "s", At: now, MilliCores: tc.sent}}, now)
		if !ok {
			got = -1
		}
		quicktest.Check(t, got, quicktest.Equals, tc.want, quicktest.Commentf("%s", tc.name))
	}
}
