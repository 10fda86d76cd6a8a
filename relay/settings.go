// Package relay assembles the two daemons that run on the users' platform: the entry,
// which accepts callers' jobs, and the agent, which runs next to each endpoint.
package relay

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"time"

	"oriolerelay/policy"
	"oriolerelay/settings"
	"oriolerelay/tracing"
)

// Settings are the settings of both daemons.
type Settings struct {
	Node       string `json:"node"`
	Address    string `json:"address"` // IP address of the host
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	// PortRange holds the first and the last port reserved for the daemons.
	PortRange []int `json:"port_range"`
	// Seeds are addresses (ip:port) on hosts where an entry may run.
	Seeds           []string `json:"seeds"`
	CallersAddress  string   `json:"callers_address"`
	ReadyAddress    string   `json:"ready_address"`
	AnnounceAddress string   `json:"announce_address"`
	EndpointAddress string   `json:"endpoint_address"`
	StoreAddress    string   `json:"store_address"`
	// StorePartitions is the number of partitions of each topic of the store.
	StorePartitions int `json:"store_partitions"`
	// MaxRecordBytes is the size of the largest record that the store accepts; 0 if it is not known.
	MaxRecordBytes int `json:"max_record_bytes"`
	// MinMembershipMS is the minimum duration of a membership in a group of the store, in ms.
	MinMembershipMS float64 `json:"min_membership_ms"`
	// KeepStateS is how long the state of a job can be queried, in seconds.
	KeepStateS float64 `json:"keep_state_s"`
	// MemoryMiB is the memory limit of the process; 0 for no limit.
	MemoryMiB int `json:"memory_mib"`
	// MaxOpenFiles is the limit of open file descriptors of the process; 0 if it is not known.
	MaxOpenFiles int `json:"max_open_files"`
	// ProcessorShare is the processor time that the host may use, in cores; 0 if it is not
	// known. Where there are many entries, those on the largest hosts place jobs.
	ProcessorShare float64 `json:"processor_share"`
	// MaxLeaseMS is the maximum lease of an endpoint in ms.
	MaxLeaseMS float64 `json:"max_lease_ms"`
	// StopGraceS is the time between the stop request (SIGTERM) and the forced kill, in seconds.
	StopGraceS float64 `json:"stop_grace_s"`
	// FarFactor is the factor by which the run time of a task grows away from its data.
	FarFactor float64 `json:"far_factor"`
	// ToleratedDataCentres is the number of data centres whose loss the deployment must bear. If it is
	// not 0, a lack of capacity is to be expected and the mechanisms of policy.ForShortage are enabled.
	ToleratedDataCentres int `json:"tolerated_data_centres"`
	// Policy enables and disables mechanisms of the scheduling policy.
	Policy PolicySettings `json:"policy"`
	// Traces configures the export of trace spans, which is off by default.
	Traces tracing.Settings `json:"traces"`
}

// PolicySettings enable and disable mechanisms of the scheduling policy; package policy lists them.
type PolicySettings struct {
	// On names the enabled optional mechanisms.
	On []string `json:"on"`
	// Off names the disabled mechanisms. It takes precedence over On and ToleratedDataCentres.
	Off []string `json:"off"`
}

// policy returns the scheduling policy. Check has rejected unknown names.
func (s *Settings) policy() policy.Policy {
	on := slices.Clone(s.Policy.On)
	if s.ToleratedDataCentres > 0 {
		for _, m := range policy.ForShortage() {
			on = append(on, string(m))
		}
	}
	p, _ := policy.New(on, s.Policy.Off)
	return p
}

const (
	// maxSeconds bounds all times, which are converted to durations.
	maxSeconds = 365 * 24 * 3600
	// maxStorePartitions bounds the partitions, each of which is followed by two goroutines.
	maxStorePartitions = 10_000
)

// Check implements settings.Checker.
func (s *Settings) Check(p *settings.Problems) {
	if s.Node == "" {
		p.Add("node", "must not be empty")
	}
	if net.ParseIP(s.Address) == nil {
		p.Add("address", "%q is not an IP address", s.Address)
	}
	if len(s.PortRange) != 2 || s.PortRange[0] <= 0 || s.PortRange[1] < s.PortRange[0]+1 || s.PortRange[1] > 65535 {
		p.Add("port_range", "%v is not a first and a last port of a range of at least two", s.PortRange)
	}
	for i, a := range s.Seeds {
		checkAddress(p, "seeds["+strconv.Itoa(i)+"]", a)
	}
	checkAddress(p, "store_address", s.StoreAddress)
	for path, a := range map[string]string{
		"callers_address": s.CallersAddress, "ready_address": s.ReadyAddress,
		"announce_address": s.AnnounceAddress, "endpoint_address": s.EndpointAddress,
	} {
		if a != "" {
			checkAddress(p, path, a)
		}
	}
	if s.StorePartitions < 0 || s.StorePartitions > maxStorePartitions {
		p.Add("store_partitions", "%d is not between 0 and %d", s.StorePartitions, maxStorePartitions)
	}
	for path, d := range map[string]float64{
		"min_membership_ms": s.MinMembershipMS / 1000, "max_lease_ms": s.MaxLeaseMS / 1000, "keep_state_s": s.KeepStateS, "stop_grace_s": s.StopGraceS,
	} {
		if d < 0 || d > maxSeconds {
			p.Add(path, "is not between 0 and %d s", maxSeconds)
		}
	}
	if s.MaxRecordBytes < 0 {
		p.Add("max_record_bytes", "%d is negative", s.MaxRecordBytes)
	}
	if s.MaxOpenFiles < 0 {
		p.Add("max_open_files", "%d is negative", s.MaxOpenFiles)
	}
	if s.ProcessorShare < 0 {
		p.Add("processor_share", "%v is negative", s.ProcessorShare)
	}
	if s.MaxLeaseMS < 100 {
		p.Add("max_lease_ms", "%v is below 100 ms", s.MaxLeaseMS)
	}
	s.Traces.Check(p, "traces")
	if _, err := policy.New(s.Policy.On, nil); err != nil {
		p.Add("policy.on", "%v", err)
	}
	if _, err := policy.Without(s.Policy.Off...); err != nil {
		p.Add("policy.off", "%v", err)
	}
	if s.ToleratedDataCentres < 0 {
		p.Add("tolerated_data_centres", "%d is negative", s.ToleratedDataCentres)
	}
	if s.StopGraceS < 1 {
		p.Add("stop_grace_s", "%v is below 1 s", s.StopGraceS)
	}
}

func checkAddress(p *settings.Problems, path, a string) {
	_, port, err := net.SplitHostPort(a)
	if n, portErr := strconv.ParseUint(port, 10, 16); err != nil || portErr != nil || n == 0 {
		p.Add(path, "%q is not ip:port", a)
	}
}

// internalAddress returns the address at which the entry on the host with this IP address
// serves agents and other entries: the first port of PortRange, which is the same on all
// hosts.
func (s *Settings) internalAddress(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.PortRange[0]))
}

// metricsAddress returns the address at which this process serves its metrics.
func (s *Settings) metricsAddress() string {
	return net.JoinHostPort(s.Address, strconv.Itoa(s.PortRange[1]))
}

// seedEntries returns the internal addresses of entries on the seed hosts.
func (s *Settings) seedEntries() []string {
	var out []string
	for _, a := range s.Seeds {
		if ip, _, err := net.SplitHostPort(a); err == nil {
			out = append(out, s.internalAddress(ip))
		}
	}
	return out
}

func (s *Settings) maxLease() time.Duration { return durationFromMS(s.MaxLeaseMS) }

// durationFromMS converts a number of milliseconds to a duration.
func durationFromMS(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func (s *Settings) stopGrace() time.Duration {
	return time.Duration(s.StopGraceS * float64(time.Second))
}

// requireSettings returns an error that names a setting that the role needs and that is empty.
func requireSettings(role string, values map[string]string) error {
	for name, v := range values {
		if v == "" {
			return fmt.Errorf("settings: the role %s needs %s", role, name)
		}
	}
	return nil
}
