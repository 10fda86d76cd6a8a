package agent

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"oriolerelay/errkind"
	"oriolerelay/event"
	"oriolerelay/httplimit"
	"oriolerelay/ids"
	"oriolerelay/settings"
	"oriolerelay/wire"
)

const (
	// RenewalInterval is how often an endpoint renews its announcement.
	RenewalInterval = time.Second
	// maxMissedRenewals is the number of missed renewals after which the endpoint
	// is withdrawn.
	maxMissedRenewals = 3
	// sweepInterval is the period of core.sweep, and so the longest delay of a
	// withdrawal.
	sweepInterval = 250 * time.Millisecond

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
	Draining    bool           `json:"leaving"`
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

// handler returns the HTTP handler for announcements, liveness checks and metrics.
func (a *Agent) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/endpoint", a.handleAnnouncement)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	if a.cfg.Gatherer != nil {
		mux.Handle("GET /metrics", promhttp.HandlerFor(a.cfg.Gatherer, promhttp.HandlerOpts{}))
	}
	return mux
}

func (a *Agent) newRunner(m Announcement) runner { return newEndpointClient(m, a.cfg) }

func (a *Agent) handleAnnouncement(w http.ResponseWriter, r *http.Request) {
	body, failure := httplimit.ReadBody(w, r, maxAnnounceBytes)
	if failure == nil {
		failure = httplimit.Charge(r.Context(), httplimit.DecodedCost(body))
	}
	if failure != nil {
		writeError(w, failure)
		return
	}
	var m Announcement
	if err := settings.Parse(body, &m); err != nil {
		a.cfg.Log.Log(event.AnnouncementRefused, "reason", err)
		writeError(w, errkind.New(errkind.InvalidRequest, "announcement: %v", err))
		return
	}
	if err := a.core.applyAnnouncement(m, a.newRunner); err != nil {
		a.cfg.Log.Log(event.AnnouncementRefused, "reason", err)
		writeError(w, err)
		return
	}
	if m.Draining && a.core.hasActiveCalls(m.Address) {
		// A call may not have reached the endpoint yet. The status tells it to keep
		// serving and to announce again.
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

// replacementTimeout is the time without a renewal after which an endpoint at another
// address may replace the current one. It covers one missed renewal, so that two live
// endpoints do not replace each other in turn.
const replacementTimeout = RenewalInterval * 3 / 2

// applyAnnouncement sets, renews or withdraws the endpoint as m says. It refuses an
// endpoint at another address while the current one renews its announcement.
func (c *core) applyAnnouncement(m Announcement, newRunner func(Announcement) runner) *errkind.Error {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var current Announcement
	if c.endpoint != nil {
		current = c.endpoint.announcement()
	}
	other := c.endpoint != nil && current.Address != m.Address
	switch {
	case m.Draining && (c.endpoint == nil || other):
		return nil // it is already withdrawn or replaced
	case m.Draining:
		c.cfg.Log.Log(event.EndpointDraining, "service", m.Service, "address", m.Address)
		c.setEndpoint(nil)
		c.startQueued(now)
		return nil
	case other && now.Sub(c.lastRenewal) < replacementTimeout:
		return errkind.New(errkind.IDConflict, "endpoint %s is announced and still renews its announcement", current.Address)
	}
	c.lastRenewal = now
	if c.endpoint != nil && current == m {
		return nil
	}
	c.cfg.Log.Log(event.EndpointAnnounced, "service", m.Service, "address", m.Address, "slots", m.Slots)
	c.setEndpoint(newRunner(m))
	c.startQueued(now)
	return nil
}
