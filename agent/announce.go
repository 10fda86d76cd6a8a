package agent

import (
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"oriolerelay/errkind"
	"oriolerelay/event"
	"oriolerelay/ids"
	"oriolerelay/settings"
	"oriolerelay/wire"
)

const (
	// RenewalPeriod is how often an endpoint announces itself.
	RenewalPeriod = time.Second
	// renewalsMissed withdraws the endpoint.
	renewalsMissed = 3
	// watchPeriod bounds how much later than due a withdrawal happens.
	watchPeriod = 250 * time.Millisecond

	maxSlots           = 4096
	maxConnections     = 4096
	maxAnnounceBytes   = 16 << 10
	defaultConnections = 64
)

// Announcement is the body of POST /v1/endpoint.
type Announcement struct {
	Service     string         `json:"service"`
	Address     string         `json:"address"` // ip:port of the endpoint's HTTP server
	Slots       int            `json:"slots"`
	Connections int            `json:"connections"` // 0 means the default of 64
	Capacity    wire.Resources `json:"capacity"`
	Leaving     bool           `json:"leaving"`
}

// Check implements settings.Checker.
func (a *Announcement) Check(p *settings.Problems) {
	if !ids.ValidName(a.Service) {
		p.Add("service", "must be 1 to 40 lower-case letters, digits and hyphens, got %q", a.Service)
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		p.Add("address", "must be ip:port, got %q", a.Address)
	}
	if a.Connections == 0 {
		a.Connections = defaultConnections
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		p.Add("slots", "must be 1 to %d, got %d", maxSlots, a.Slots)
	}
	if a.Connections < 1 || a.Connections > maxConnections {
		p.Add("connections", "must be 1 to %d, got %d", maxConnections, a.Connections)
	}
}

func (a *Agent) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/endpoint", a.serveAnnouncement)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	if a.cfg.Gatherer != nil {
		mux.Handle("GET /metrics", promhttp.HandlerFor(a.cfg.Gatherer, promhttp.HandlerOpts{}))
	}
	return mux
}

func (a *Agent) connect(m Announcement) runner { return newBackend(m, a.cfg) }

func (a *Agent) serveAnnouncement(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAnnounceBytes))
	if err != nil {
		writeError(w, errkind.New(errkind.BodyTooLarge, "announcement: %v", err))
		return
	}
	var m Announcement
	if err := settings.Parse(body, &m); err != nil {
		a.cfg.Log.Log(event.AnnounceRefused, "reason", err)
		writeError(w, errkind.New(errkind.InvalidRequest, "announcement: %v", err))
		return
	}
	if err := a.core.announced(m, a.connect); err != nil {
		a.cfg.Log.Log(event.AnnounceRefused, "reason", err)
		writeError(w, err)
		return
	}
	if m.Leaving && a.core.serving(m.Address) {
		// A call may not have reached the endpoint yet, so it must serve on.
		w.WriteHeader(http.StatusAccepted)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func writeError(w http.ResponseWriter, err *errkind.Error) {
	answer := err.Answer()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(answer.Status)
	_ = json.NewEncoder(w).Encode(map[string]any{"error": map[string]string{"kind": string(err.Kind), "detail": err.Detail}})
}

// takeoverAfter is when an endpoint at another address may replace the current
// one: after one missed renewal, so that two live ones do not take turns.
const takeoverAfter = RenewalPeriod * 3 / 2

// announced applies an announcement of the endpoint on this host.
func (c *core) announced(m Announcement, connect func(Announcement) runner) *errkind.Error {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var current Announcement
	if c.endpoint != nil {
		current = c.endpoint.announcement()
	}
	other := c.endpoint != nil && current.Address != m.Address
	switch {
	case m.Leaving && (c.endpoint == nil || other):
		return nil // it was withdrawn or replaced before
	case m.Leaving:
		c.cfg.Log.Log(event.EndpointDraining, "service", m.Service, "address", m.Address)
		c.setEndpoint(nil)
		c.dispatch(now)
		return nil
	case other && now.Sub(c.renewed) < takeoverAfter:
		return errkind.New(errkind.IDConflict, "endpoint %s is announced and renews", current.Address)
	}
	c.renewed = now
	if c.endpoint != nil && current == m {
		return nil
	}
	c.cfg.Log.Log(event.EndpointAnnounced, "service", m.Service, "address", m.Address, "slots", m.Slots)
	c.setEndpoint(connect(m))
	c.dispatch(now)
	return nil
}
