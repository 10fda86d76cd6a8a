package experiment

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/load"
)

func TestParseFault(t *testing.T) {
	c := qt.New(t)
	f, err := ParseFault("straggler,endpoint=2,at=2s,for=5s,factor=8")
	c.Assert(err, qt.IsNil)
	c.Check(f, qt.Equals, Fault{Type: "straggler", Endpoint: 2, At: 2 * time.Second, For: 5 * time.Second, Factor: 8})
	for _, bad := range []string{"", "slow,for=1s", "fail", "fail,for=1s,endpoint=x", "fail,for=1s,when=2s", "fail,for", "burst,for=1s,factor=0"} {
		_, err := ParseFault(bad)
		c.Check(err, qt.IsNotNil, qt.Commentf(bad))
	}
}

// An ideal that includes a dead endpoint would count the lost capacity as overhead of the system.
func TestLiveFleet(t *testing.T) {
	c := qt.New(t)
	fleet := load.Fleet{{Speed: 1, Slots: 8}, {Speed: 4, Slots: 8}}
	whole := 10 * time.Second
	c.Check(liveFleet(fleet, []Fault{{Type: "fail", Endpoint: 1, For: whole}}, whole), qt.DeepEquals, load.Fleet{{Speed: 1, Slots: 8}})
	c.Check(liveFleet(fleet, []Fault{{Type: "straggler", Endpoint: 1, For: whole, Factor: 8}}, whole), qt.DeepEquals, load.Fleet{{Speed: 1, Slots: 8}, {Speed: 0.5, Slots: 8}})
	c.Check(liveFleet(fleet, []Fault{{Type: "kill", Endpoint: 1, At: time.Second, For: whole}}, whole), qt.DeepEquals, fleet)
	c.Check(liveFleet(fleet, []Fault{{Type: "burst", For: whole, Factor: 3}}, whole), qt.DeepEquals, fleet)
}
