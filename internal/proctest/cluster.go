package proctest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"oriolerelay/transport"
)

// Tokens and the region in the settings of a cluster.
const (
	VeilsToken          = "caller-secret"
	SleevesToken        = "token-sleeves"
	OperatorToken       = "operator-secret"
	SecondOperatorToken = "token-operator-2"
	Region              = "west"
)

// Worker describes an agent and its sample endpoint.
type Worker struct {
	Service string
	Speed   float64
	Slots   int
}

// Spec describes a cluster.
type Spec struct {
	Entries int
	Workers []Worker
	// FirstHTTP is the HTTP address of the first entry; if empty, a free port is chosen.
	FirstHTTP string
	// Entry and Agent are merged into the settings of each entry and each agent.
	Entry, Agent map[string]any
}

// Cluster is a set of processes: a fake platform, entries, and agents with a sample
// endpoint each.
type Cluster struct {
	Dir       string
	Platform  *Process
	Entries   []*Process
	Agents    []*Process
	Endpoints []*Process
	Spec      Spec

	EntryHTTP    []string // base URL of each entry
	AgentHTTP    []string
	EndpointHTTP []string
	PlatformHTTP string

	bin               string
	authority         *transport.Authority
	internalAddresses []string
}

// certificateValidity is far longer than any run, so that no process logs a warning that
// its certificate will expire.
const certificateValidity = 60 * 24 * time.Hour

// NewCluster writes the settings of all processes into dir and starts none of them. bin is
// the directory of the programs.
func NewCluster(dir, bin string, spec Spec) (*Cluster, error) {
	authority, err := transport.NewAuthority(certificateValidity)
	if err != nil {
		return nil, err
	}
	c := &Cluster{Dir: dir, Spec: spec, bin: bin, authority: authority}
	if err := os.WriteFile(c.path("authority.pem"), authority.CertificatePEM(), 0o600); err != nil {
		return nil, err
	}
	for range spec.Entries {
		a, err := FreeAddress()
		if err != nil {
			return nil, err
		}
		c.internalAddresses = append(c.internalAddresses, a)
	}
	if err := c.addPlatform(); err != nil {
		return nil, err
	}
	for i := range spec.Entries {
		if err := c.addEntry(i); err != nil {
			return nil, err
		}
	}
	for i, w := range spec.Workers {
		if err := c.addWorker(i, w); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *Cluster) path(name string) string { return filepath.Join(c.Dir, name) }

// newProcess writes the settings file of a process.
func (c *Cluster) newProcess(name, program, readyURL string, settings map[string]any) (*Process, error) {
	b, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	file := c.path(name + ".json")
	if err := os.WriteFile(file, b, 0o600); err != nil {
		return nil, err
	}
	return &Process{Name: name, Program: filepath.Join(c.bin, program), Settings: file, LogFile: c.path(name + ".log"), ReadyURL: readyURL}, nil
}

// tlsSettings issues a certificate for a node and returns the TLS section of its settings.
func (c *Cluster) tlsSettings(name string) (map[string]any, error) {
	cert, key, err := c.authority.Issue(name, certificateValidity)
	if err != nil {
		return nil, err
	}
	certFile, keyFile := c.path(name+".crt"), c.path(name+".key")
	if err := errors.Join(os.WriteFile(certFile, cert, 0o600), os.WriteFile(keyFile, key, 0o600)); err != nil {
		return nil, err
	}
	return map[string]any{"authority_file": c.path("authority.pem"), "cert_file": certFile, "key_file": keyFile}, nil
}

func (c *Cluster) addPlatform() error {
	addr, err := FreeAddress()
	if err != nil {
		return err
	}
	c.PlatformHTTP = "http://" + addr
	c.Platform, err = c.newProcess("platform", "oriole-platform", c.PlatformHTTP+"/v1/streams/tickets/records?from=0&limit=1", map[string]any{"listen": addr})
	return err
}

func (c *Cluster) addEntry(i int) error {
	addr, err := FreeAddress()
	if err != nil {
		return err
	}
	if i == 0 && c.Spec.FirstHTTP != "" {
		addr = c.Spec.FirstHTTP
	}
	name := fmt.Sprintf("entry-%d", i+1)
	tls, err := c.tlsSettings(name)
	if err != nil {
		return err
	}
	var seeds []string
	for j, a := range c.internalAddresses {
		if j != i {
			seeds = append(seeds, a)
		}
	}
	settings := map[string]any{
		"node": name, "region": Region, "data_centre": fmt.Sprintf("dc-%d", i%3+1),
		"http_address": addr, "internal_address": c.internalAddresses[i], "platform_url": c.PlatformHTTP,
		"seeds": seeds, "tls": tls,
		"callers":   []map[string]string{{"token": VeilsToken, "team": "veils"}, {"token": SleevesToken, "team": "sleeves"}},
		"operators": []map[string]string{{"token": OperatorToken, "name": "gwenllian"}, {"token": SecondOperatorToken, "name": "fraser"}},
	}
	merge(settings, c.Spec.Entry)
	base := "http://" + addr
	p, err := c.newProcess(name, "oriole-entry", base+"/healthz", settings)
	c.Entries = append(c.Entries, p)
	c.EntryHTTP = append(c.EntryHTTP, base)
	return err
}

func (c *Cluster) addWorker(i int, w Worker) error {
	agentAddr, err := FreeAddress()
	if err != nil {
		return err
	}
	endpointAddr, err := FreeAddress()
	if err != nil {
		return err
	}
	name := fmt.Sprintf("agent-%d", i+1)
	tls, err := c.tlsSettings(name)
	if err != nil {
		return err
	}
	settings := map[string]any{
		"node": name, "region": Region, "data_centre": fmt.Sprintf("dc-%d", i%3+1), "rack": fmt.Sprintf("rack-%d", i/3+1),
		"worker": fmt.Sprintf("worker-%d", i+1), "listen": agentAddr, "seeds": c.internalAddresses, "tls": tls,
		// Longer than the deadlines of the workloads, which are up to 60 s.
		"record_age_ms": 75_000,
	}
	merge(settings, c.Spec.Agent)
	c.AgentHTTP = append(c.AgentHTTP, "http://"+agentAddr)
	agent, err := c.newProcess(name, "oriole-agent", "http://"+agentAddr+"/healthz", settings)
	if err != nil {
		return err
	}
	c.Agents = append(c.Agents, agent)
	endpoint, err := c.newProcess(fmt.Sprintf("endpoint-%d", i+1), "oriole-endpoint", "http://"+endpointAddr+"/starts", map[string]any{
		"agent": agentAddr, "listen": endpointAddr, "service": w.Service, "slots": w.Slots, "speed": w.Speed,
		"capacity": map[string]int{"millicores": 64_000, "memory_mib": 262_144},
	})
	c.Endpoints = append(c.Endpoints, endpoint)
	c.EndpointHTTP = append(c.EndpointHTTP, "http://"+endpointAddr)
	return err
}

func merge(into, from map[string]any) {
	for k, v := range from {
		into[k] = v
	}
}

// Processes returns all processes, the platform first.
func (c *Cluster) Processes() []*Process {
	all := []*Process{c.Platform}
	all = append(all, c.Entries...)
	all = append(all, c.Agents...)
	return append(all, c.Endpoints...)
}

// CheckAlive returns an error with the end of the log of each process that is not running.
func (c *Cluster) CheckAlive() error {
	var errs []error
	for _, p := range c.Processes() {
		if p.PID() == 0 {
			errs = append(errs, fmt.Errorf("%s exited:\n%s", p.Name, p.Tail()))
		}
	}
	return errors.Join(errs...)
}

// Start starts all processes and waits until each is ready.
func (c *Cluster) Start(ctx context.Context) error {
	for _, p := range c.Processes() {
		if err := p.Start(); err != nil {
			return err
		}
	}
	for _, p := range c.Processes() {
		if err := p.WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Stop kills all processes.
func (c *Cluster) Stop() {
	for _, p := range c.Processes() {
		p.Kill()
	}
}
