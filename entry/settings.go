package entry

import (
	"net/netip"
	"net/url"
	"time"

	"oriolerelay/ids"
	"oriolerelay/settings"
	"oriolerelay/tracing"
	"oriolerelay/transport"
)

// Defaults of optional settings.
const (
	defaultSubmissionWindow = 120 * time.Second
	defaultClockTolerance   = 500 * time.Millisecond
	defaultDrainGracePeriod = 3 * time.Second
	defaultDrainTimeout     = 60 * time.Second
)

// Settings are the settings of an entry: addresses, location, keys and local
// limits. All other configuration comes from tickets.
type Settings struct {
	Node       string `json:"node"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	Rack       string `json:"rack"`

	HTTPAddress     string   `json:"http_address"`     // ip:port of the HTTP APIs
	InternalAddress string   `json:"internal_address"` // ip:port (UDP) for agents and peers
	PlatformURL     string   `json:"platform_url"`     // base URL of the platform's log
	Seeds           []string `json:"seeds"`            // internal addresses of other entries
	// AdvertiseAddress is the address at which agents and peers reach
	// InternalAddress; empty selects InternalAddress itself.
	AdvertiseAddress string `json:"advertise_address"`
	PprofAddress     string `json:"pprof_address"` // ip:port of pprof; empty disables it
	// MemoryMiB and MaxOpenFiles are the limits of the process, of which the limits of its clients are
	// derived; 0 for none.
	MemoryMiB    int `json:"memory_mib"`
	MaxOpenFiles int `json:"max_open_files"`
	// LogRetentionMS is how long the platform's log keeps records. Zero disables the
	// writing of snapshots by this entry.
	LogRetentionMS int64 `json:"log_retention_ms"`

	Traces    tracing.Settings   `json:"traces"`
	TLS       transport.TLSFiles `json:"tls"`
	Callers   []CallerToken      `json:"callers"`
	Operators []OperatorToken    `json:"operators"`

	SubmissionWindowMS int64 `json:"window_ms"`      // maximum age of submitted_at of a caller-chosen id
	ClockToleranceMS   int64 `json:"tolerance_ms"`   // maximum time by which submitted_at is ahead of this entry's clock
	DrainGraceMS       int64 `json:"drain_grace_ms"` // delay between failing the readiness check and refusing submissions
	DrainTimeoutMS     int64 `json:"drain_limit_ms"` // maximum wait for requests in flight

	// MaxRecords and MaxRecordBytes bound the submission table; zero selects the
	// defaults of package submission.
	MaxRecords     int   `json:"record_entries"`
	MaxRecordBytes int64 `json:"record_bytes"`
}

// CallerToken is the bearer token of a caller and the caller's team.
type CallerToken struct {
	Token string `json:"token"`
	Team  string `json:"team"`
}

// OperatorToken is the bearer token of an operator and the operator's name.
type OperatorToken struct {
	Token string `json:"token"`
	Name  string `json:"name"`
}

// Check implements settings.Checker.
func (s *Settings) Check(p *settings.Problems) {
	s.checkLocation(p)
	checkAddress(p, "http_address", s.HTTPAddress)
	checkAddress(p, "internal_address", s.InternalAddress)
	for _, a := range s.Seeds {
		checkAddress(p, "seeds", a)
	}
	for path, a := range map[string]string{"advertise_address": s.AdvertiseAddress, "pprof_address": s.PprofAddress} {
		if a != "" {
			checkAddress(p, path, a)
		}
	}
	checkURL(p, "platform_url", s.PlatformURL)
	if s.LogRetentionMS < 0 {
		p.Add("log_retention_ms", "is %d; it must not be negative", s.LogRetentionMS)
	}
	if s.MemoryMiB < 0 {
		p.Add("memory_mib", "is %d; it must not be negative", s.MemoryMiB)
	}
	if s.MaxOpenFiles < 0 {
		p.Add("max_open_files", "is %d; it must not be negative", s.MaxOpenFiles)
	}
	if s.MaxRecords < 0 {
		p.Add("record_entries", "is %d; it must not be negative", s.MaxRecords)
	}
	if s.MaxRecordBytes < 0 {
		p.Add("record_bytes", "is %d; it must not be negative", s.MaxRecordBytes)
	}
	s.Traces.Check(p, "traces")
	s.TLS.Check(p, "tls")
	s.checkTokens(p)
	checkDuration(p, "window_ms", &s.SubmissionWindowMS, defaultSubmissionWindow)
	checkDuration(p, "tolerance_ms", &s.ClockToleranceMS, defaultClockTolerance)
	checkDuration(p, "drain_grace_ms", &s.DrainGraceMS, defaultDrainGracePeriod)
	checkDuration(p, "drain_limit_ms", &s.DrainTimeoutMS, defaultDrainTimeout)
}

func (s *Settings) checkLocation(p *settings.Problems) {
	for _, f := range []struct{ path, value string }{
		{"node", s.Node}, {"region", s.Region}, {"data_centre", s.DataCentre},
	} {
		if !ids.ValidName(f.value) {
			p.Add(f.path, "%q is not 1 to 40 lower-case letters, digits and hyphens", f.value)
		}
	}
	if s.Rack != "" && !ids.ValidName(s.Rack) {
		p.Add("rack", "%q is not 1 to 40 lower-case letters, digits and hyphens", s.Rack)
	}
}

func (s *Settings) checkTokens(p *settings.Problems) {
	seen := map[string]bool{}
	check := func(path, token string) {
		if token == "" {
			p.Add(path, "token is missing")
		} else if seen[token] {
			p.Add(path, "token is used twice")
		}
		seen[token] = true
	}
	for _, c := range s.Callers {
		check("callers", c.Token)
		if !ids.ValidName(c.Team) {
			p.Add("callers.team", "%q is not 1 to 40 lower-case letters, digits and hyphens", c.Team)
		}
	}
	for _, o := range s.Operators {
		check("operators", o.Token)
		if o.Name == "" {
			p.Add("operators.name", "is missing")
		}
	}
}

func checkAddress(p *settings.Problems, path, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		p.Add(path, "%q is not ip:port", value)
	}
}

func checkURL(p *settings.Problems, path, value string) {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		p.Add(path, "%q is not an http URL", value)
	}
}

// checkDuration sets a default for zero and reports negative values.
func checkDuration(p *settings.Problems, path string, ms *int64, fallback time.Duration) {
	if *ms == 0 {
		*ms = fallback.Milliseconds()
	}
	if *ms < 0 {
		p.Add(path, "is %d; it must be positive", *ms)
	}
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
