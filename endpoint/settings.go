package endpoint

import (
	"net/netip"
	"time"

	"oriolerelay/ids"
	"oriolerelay/settings"
	"oriolerelay/wire"
)

// Settings is the content of the settings file of oriole-endpoint.
type Settings struct {
	Agent       string         `json:"agent"`  // ip:port of the agent's HTTP address
	Listen      string         `json:"listen"` // ip:port
	Service     string         `json:"service"`
	Slots       int            `json:"slots"`       // default 8
	Connections int            `json:"connections"` // default 64
	Capacity    wire.Resources `json:"capacity"`
	Speed       float64        `json:"speed"`      // divides run times, default 1
	DefaultMS   int64          `json:"default_ms"` // run time of a payload without "ms"
	Fail        bool           `json:"fail"`
	Straggler   int            `json:"straggler"` // multiplies run times, default 1
}

// Check implements settings.Checker.
func (s *Settings) Check(p *settings.Problems) {
	if s.Slots == 0 {
		s.Slots = 8
	}
	if s.Connections == 0 {
		s.Connections = 64
	}
	if s.Speed == 0 {
		s.Speed = 1
	}
	if s.Straggler == 0 {
		s.Straggler = 1
	}
	for _, v := range []struct{ path, value string }{{"agent", s.Agent}, {"listen", s.Listen}} {
		if _, err := netip.ParseAddrPort(v.value); err != nil {
			p.Add(v.path, "must be ip:port, got %q", v.value)
		}
	}
	if !ids.ValidName(s.Service) {
		p.Add("service", "must be 1 to 40 lower-case letters, digits and hyphens, got %q", s.Service)
	}
	if s.Slots < 1 || s.Connections < 1 || s.Speed < 0 || s.DefaultMS < 0 || s.Straggler < 1 {
		p.Add("", "slots, connections and straggler must be positive, speed and default_ms must not be negative")
	}
}

// Build returns the endpoint configuration and the sample runner for s.
func (s *Settings) Build() (Config, *Sample) {
	r := &Sample{Speed: s.Speed, DefaultRunTime: time.Duration(s.DefaultMS) * time.Millisecond}
	r.SetFail(s.Fail)
	r.SetStraggler(s.Straggler)
	return Config{
		Agent: s.Agent, Listen: s.Listen, Service: s.Service,
		Slots: s.Slots, Connections: s.Connections, Capacity: s.Capacity,
	}, r
}
