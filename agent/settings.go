package agent

import (
	"net/netip"
	"net/url"
	"time"

	"oriolerelay/ids"
	"oriolerelay/logstore"
	"oriolerelay/settings"
	"oriolerelay/tracing"
	"oriolerelay/transport"
)

// Defaults and limits of the settings.
const (
	defaultBuffer      = 2
	maxBuffer          = 1024
	defaultMaxRecords  = 1 << 18 // about 30 s at 8,000 starts/s
	defaultRecordAge   = 40 * time.Second
	defaultResultBytes = 64 << 20
	minRecordAge       = settleWindow
)

// settleWindow is how long after a task's deadline its home entry may still settle it.
// Detecting a lost connection, redialing and the reply take about 5 s.
const settleWindow = 10 * time.Second

// Settings is the format of the settings file of oriole-agent.
type Settings struct {
	Node       string             `json:"node"`
	Region     string             `json:"region"`
	DataCentre string             `json:"data_centre"`
	Rack       string             `json:"rack"`
	Worker     string             `json:"worker"`
	Listen     string             `json:"listen"` // HTTP address for announcements, ip:port on the worker's loopback interface
	Seeds      []string           `json:"seeds"`  // internal addresses of entries, ip:port
	TLS        transport.TLSFiles `json:"tls"`
	// Buffer is the number of tasks that may be queued beyond the endpoint's slots
	// when no ticket sets it.
	Buffer *int `json:"buffer"`
	// MaxRecords bounds the number of task records.
	MaxRecords int `json:"max_records"`
	// MaxResultBytes bounds the size of the answers kept for resending.
	MaxResultBytes int64 `json:"max_result_bytes"`
	// RecordAgeMS is how long a task record is kept, in milliseconds: the longest
	// deadline plus settleWindow.
	RecordAgeMS int64 `json:"record_age_ms"`
	// PlatformURL is the base URL of the platform at which the agent renews the
	// worker's lease; empty when the worker has no lease.
	PlatformURL string           `json:"platform_url"`
	Traces      tracing.Settings `json:"traces"`
	// MemoryMiB and MaxOpenFiles are the limits of the process, of which the limits of its clients are
	// derived; 0 for none.
	MemoryMiB    int `json:"memory_mib"`
	MaxOpenFiles int `json:"max_open_files"`
}

// Check implements settings.Checker.
func (s *Settings) Check(p *settings.Problems) {
	for _, v := range []struct{ path, value string }{
		{"node", s.Node}, {"region", s.Region}, {"data_centre", s.DataCentre}, {"rack", s.Rack}, {"worker", s.Worker},
	} {
		if !ids.ValidName(v.value) {
			p.Add(v.path, "must be 1 to 40 lower-case letters, digits and hyphens, got %q", v.value)
		}
	}
	checkAddress(p, "listen", s.Listen)
	if len(s.Seeds) == 0 {
		p.Add("seeds", "must name at least one entry")
	}
	for _, a := range s.Seeds {
		checkAddress(p, "seeds", a)
	}
	if s.PlatformURL != "" {
		u, err := url.Parse(s.PlatformURL)
		if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
			p.Add("platform_url", "must be an http or https URL, got %q", s.PlatformURL)
		}
	}
	s.Traces.Check(p, "traces")
	s.TLS.Check(p, "tls")
	s.checkLimits(p)
}

// checkLimits sets the defaults of the limits and checks their ranges.
func (s *Settings) checkLimits(p *settings.Problems) {
	if s.Buffer == nil {
		s.Buffer = new(int)
		*s.Buffer = defaultBuffer
	}
	if *s.Buffer < 0 || *s.Buffer > maxBuffer {
		p.Add("buffer", "must be 0 to %d, got %d", maxBuffer, *s.Buffer)
	}
	if s.MaxRecords == 0 {
		s.MaxRecords = defaultMaxRecords
	}
	if s.MaxRecords < 0 {
		p.Add("max_records", "must be positive, got %d", s.MaxRecords)
	}
	if s.MaxResultBytes == 0 {
		s.MaxResultBytes = defaultResultBytes
	}
	if s.MaxResultBytes < maxAnswerBytes {
		p.Add("max_result_bytes", "must be at least %d, got %d", maxAnswerBytes, s.MaxResultBytes)
	}
	if s.RecordAgeMS == 0 {
		s.RecordAgeMS = defaultRecordAge.Milliseconds()
	}
	if age := time.Duration(s.RecordAgeMS) * time.Millisecond; age < minRecordAge || age > maxBudget+settleWindow {
		p.Add("record_age_ms", "must be %d to %d, got %d", minRecordAge.Milliseconds(), (maxBudget + settleWindow).Milliseconds(), s.RecordAgeMS)
	}
}

func checkAddress(p *settings.Problems, path, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		p.Add(path, "must be ip:port, got %q", address)
	}
}

// Config returns the agent's configuration without the fields that are not in the
// settings file: TLS, keys, logger, statistics, metrics and traces.
func (s *Settings) Config() Config {
	var leases LeaseClient
	if s.PlatformURL != "" {
		leases = PlatformLeaseClient{logstore.NewClient(s.PlatformURL)}
	}
	return Config{
		Leases: leases,
		Node:   ids.NewIncarnation(s.Node),
		Region: s.Region, DataCentre: s.DataCentre, Rack: s.Rack, Worker: s.Worker,
		Listen: s.Listen, Seeds: s.Seeds,
		Buffer: *s.Buffer, MaxRecords: s.MaxRecords, MaxResultBytes: s.MaxResultBytes,
		RecordAge: time.Duration(s.RecordAgeMS) * time.Millisecond, MemoryMiB: s.MemoryMiB, MaxOpenFiles: s.MaxOpenFiles,
	}
}
