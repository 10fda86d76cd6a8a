// Command rig shows faults of the review's second part. It starts the programs of the deploy file as
// separate processes on loopback addresses, with stand-ins of the store, the workers and the clients,
// applies one disruption, and judges what the stand-ins have seen.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"oriolerelay/relay"
)

// Ports. Each machine has a loopback address of its own. Agent i dials entries at its own first port,
// where a proxy of the rig forwards to entryPort.
const (
	entryPort    = 7720
	agentPort    = 7740
	clientsPort  = 8161
	readyPort    = 8167
	controlPort  = 8166
	appPort      = 8080
	storePort    = 8169
	queueHost    = "nony24.example"
	queuePrefix  = "/lohu930/"
	serviceName  = "desk"
	zone         = "cutting-room"
	partitions   = 24
	graceSeconds = 6
)

// options describe a small deployment.
type options struct {
	entries, workers int
	room             resources
	// config is the operator's configuration.
	config map[string]any
	// labels returns the labels of worker i.
	labels func(i int) []string
}

// config returns the operator's configuration with one queue and one service.
func config(version uint64, attempts int, guards bool) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "route-a", "host": queueHost, "path_prefix": queuePrefix, "service": serviceName, "timeout_ms": 10_000,
			"target_latency_ms": 100, "attempts": attempts, "stretch": 1.6, "priority": 1,
		}},
		"services": []map[string]any{{"name": serviceName, names.Guards: guards}},
		"limits":   map[string]any{"max_body_bytes": 262144},
	}
}

// cluster is a running deployment.
type cluster struct {
	options
	ctx     context.Context
	stop    context.CancelFunc
	wait    sync.WaitGroup
	dir     string
	network string
	store   *logStore
	entries []*daemon
	agents  []*daemon
	workers []*worker
	// links[i][e] is the link from agent i to entry e.
	links [][]*link
	rec   *recorder
}

// daemon is one process of the system.
type daemon struct {
	name, role, settings string
	log                  *os.File
	changing             sync.Mutex // held while it is restarted
	mu                   sync.Mutex
	cmd                  *exec.Cmd
}

func startCluster(rec *recorder, o options) (*cluster, error) {
	dir, err := os.MkdirTemp("", "rig")
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	c := &cluster{options: o, ctx: ctx, stop: stop, dir: dir, store: newLogStore(rec), rec: rec}
	c.endOnSignal()
	if err := c.start(); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (c *cluster) ip(n int) string { return c.network + "." + strconv.Itoa(n) }

func (c *cluster) entryIP(e int) string { return c.ip(10 + e) }

func hostPort(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// chooseNetwork chooses a loopback network in which the store's address is free.
func (c *cluster) chooseNetwork() error {
	for range 50 {
		c.network = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		l, err := net.Listen("tcp", hostPort(c.ip(2), storePort))
		if err == nil {
			return l.Close()
		}
	}
	return errors.New("no free loopback network")
}

func (c *cluster) serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	context.AfterFunc(c.ctx, func() { _ = s.Close() })
	go func() { _ = s.Serve(l) }()
	return nil
}

// putConfig writes the configuration as the operator does. Only the stand-in's own operator may write
// that topic; the rig uses its append call.
func (c *cluster) putConfig(body map[string]any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return appendKeyed("http://"+hostPort(c.ip(2), storePort), "keyed.op", "config", b)
}

func (c *cluster) start() error {
	if err := c.chooseNetwork(); err != nil {
		return err
	}
	if err := c.serve(hostPort(c.ip(2), storePort), c.store.view("operator", entryPort, entryPort)); err != nil {
		return err
	}
	if err := c.putConfig(c.config); err != nil {
		return err
	}
	var seeds []string
	for e := range c.options.entries {
		seeds = append(seeds, hostPort(c.entryIP(e), controlPort))
	}
	for e := range c.options.entries {
		address := hostPort(c.ip(30+e), storePort)
		if err := c.serve(address, c.store.view("edge-"+strconv.Itoa(e+1), entryPort, entryPort)); err != nil {
			return err
		}
		s := c.settings("edge-"+strconv.Itoa(e+1), c.entryIP(e), entryPort, address, seeds)
		s.CallersAddress, s.ReadyAddress = hostPort(c.entryIP(e), clientsPort), hostPort(c.entryIP(e), readyPort)
		s.MemoryMiB, s.ProcessorShare = 284, 0.4+0.01*float64(c.options.entries-e) // distinct, since ties are broken by addresses, which differ by link
		d, err := c.newDaemon("entry", s)
		if err != nil {
			return err
		}
		c.entries = append(c.entries, d)
	}
	for i := range c.options.workers {
		if err := c.startWorker(i, seeds); err != nil {
			return err
		}
	}
	for _, d := range append(append([]*daemon(nil), c.entries...), c.agents...) {
		if err := c.run(d); err != nil {
			return err
		}
	}
	for _, m := range c.workers {
		c.wait.Go(func() { m.beat(c.ctx) })
	}
	return nil
}

func (c *cluster) startWorker(i int, seeds []string) error {
	ip, first := c.ip(100+i), agentPort+2*i
	address := hostPort(ip, storePort)
	if err := c.serve(address, c.store.view("side-"+strconv.Itoa(i+1), entryPort, first)); err != nil {
		return err
	}
	var links []*link
	for e := range c.options.entries {
		l, err := newLink(c.ctx, hostPort(c.entryIP(e), first), hostPort(c.entryIP(e), entryPort))
		if err != nil {
			return err
		}
		links = append(links, l)
	}
	c.links = append(c.links, links)
	var labels []string
	if c.labels != nil {
		labels = c.labels(i)
	}
	m := newWorker(i, hostPort(ip, appPort), hostPort(ip, controlPort), c.room, labels, c.rec)
	c.workers = append(c.workers, m)
	if err := m.up(c.ctx); err != nil {
		return err
	}
	s := c.settings("side-"+strconv.Itoa(i+1), ip, first, address, seeds)
	s.AnnounceAddress, s.EndpointAddress = m.control, m.address
	s.MemoryMiB, s.ProcessorShare = 152, 0.24
	d, err := c.newDaemon("agent", s)
	c.agents = append(c.agents, d)
	return err
}

// settings returns the settings that the template of the deploy file renders for a small site.
func (c *cluster) settings(node, ip string, firstPort int, store string, seeds []string) relay.Settings {
	return relay.Settings{
		Node: node, Address: ip, Region: "west-wales", DataCentre: zone, PortRange: []int{firstPort, firstPort + 1}, Seeds: seeds,
		StoreAddress: store, StorePartitions: partitions, MinMembershipMS: 1000, KeepStateS: 120, MaxLeaseMS: 1000,
		StopGraceS: graceSeconds, FarFactor: 1.5,
	}
}

func (c *cluster) newDaemon(role string, s relay.Settings) (*daemon, error) {
	b, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return nil, err
	}
	d := &daemon{name: s.Node, role: role, settings: filepath.Join(c.dir, s.Node+".json")}
	if err := os.WriteFile(d.settings, b, 0o600); err != nil {
		return nil, err
	}
	d.log, err = os.Create(filepath.Join(c.dir, s.Node+".log"))
	return d, err
}

// run starts d with the command of the deploy file.
func (c *cluster) run(d *daemon) error {
	cmd := exec.Command("target/oriole-relay", d.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), names.SettingsVariable + "=" + d.settings}
	cmd.Stdout, cmd.Stderr = d.log, d.log
	if err := cmd.Start(); err != nil {
		return err
	}
	d.mu.Lock()
	d.cmd = cmd
	d.mu.Unlock()
	c.wait.Go(func() {
		err := cmd.Wait()
		d.mu.Lock()
		defer d.mu.Unlock()
		d.cmd = nil
		fmt.Fprintln(d.log, "ended:", err)
	})
	return nil
}

// signal sends a signal to the process of d if it runs.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		_ = d.cmd.Process.Signal(s) // it may have ended
	}
}

func (d *daemon) running() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cmd != nil
}

// kill ends the process of d and waits for its end.
func (d *daemon) kill() {
	d.signal(syscall.SIGKILL)
	for d.running() {
		time.Sleep(5 * time.Millisecond)
	}
}

// maxLength is the longest time that a case may take.
const maxLength = 115 * time.Second

// endOnSignal ends all processes and the case when the rig is told to stop or takes too long.
func (c *cluster) endOnSignal() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	go func() {
		defer stop()
		select {
		case <-ctx.Done():
		case <-time.After(maxLength):
		}
		c.rec.line("not run to its end")
		c.close()
		os.Exit(notRun)
	}()
}

// close ends all processes.
func (c *cluster) close() {
	c.stop()
	for _, d := range append(append([]*daemon(nil), c.entries...), c.agents...) {
		d.signal(syscall.SIGCONT)
		d.signal(syscall.SIGKILL)
	}
	c.wait.Wait()
	if os.Getenv("RIG_KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs:", c.dir)
	}
}

// awaitReady waits until all entries report that they are ready.
func (c *cluster) awaitReady(limit time.Duration) error {
	h := &http.Client{Timeout: 500 * time.Millisecond}
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for e := range c.entries {
			if r, err := h.Get("http://" + hostPort(c.entryIP(e), readyPort) + "/ready"); err == nil {
				_ = r.Body.Close()
				if r.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(c.entries) {
			return nil
		}
	}
	return errors.New("the entries are not ready")
}
