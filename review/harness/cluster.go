package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"

	"oriolerelay/relay"
)

// Settings of a small deployment, as the pages name them.
const (
	program       = "target/oriole-relay"
	grace         = 6 * time.Second // grace_s
	storeParts    = 24
	storeDelay    = 4 * time.Millisecond // an answer of the store
	restartDelay  = 300 * time.Millisecond
	entryShare    = 0.4
	entryMemory   = 284
	agentMemory   = 152
	firstPort     = 7720
	lastPort      = 7735
	frontPort     = 8161
	readyPort     = 8167
	controlPort   = 8166
	appPort       = 8165
	storePort     = 8169
	queueHost     = "queue.example"
	queuePrefix   = "/jobs/"
	serviceName   = "desk"
	networkTrials = 50
)

// daemon is one process of the system, which is started again whenever it ends.
type daemon struct {
	name, role, settings string
	log                  *os.File

	mu      sync.Mutex
	cmd     *exec.Cmd // nil while it does not run
	restart time.Duration
}

// run keeps the process running until ctx ends, then kills it. The process ends with this one: its
// parent is the thread to which this goroutine is locked.
func (d *daemon) run(ctx context.Context) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	defer d.log.Close()
	for ctx.Err() == nil {
		cmd := exec.Command(program, d.role)
		cmd.Env = []string{names.SettingsVariable + "=" + d.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
		cmd.Stdout, cmd.Stderr = d.log, d.log
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		d.mu.Lock()
		if err := cmd.Start(); err != nil {
			d.mu.Unlock()
			fmt.Fprintln(d.log, "start:", err)
			return
		}
		d.cmd = cmd
		d.mu.Unlock()
		stop := context.AfterFunc(ctx, func() { _ = cmd.Process.Kill() })
		err := cmd.Wait()
		stop()
		d.mu.Lock()
		d.cmd = nil
		delay := d.restart
		d.mu.Unlock()
		fmt.Fprintln(d.log, "ended:", err)
		select {
		case <-time.After(delay):
		case <-ctx.Done():
		}
	}
}

// kill sends SIGKILL; the process starts again after the given time.
func (d *daemon) kill(down time.Duration) { d.end(syscall.SIGKILL, down) }

// terminate sends SIGTERM, and SIGKILL after the grace period. It returns when the process has ended.
func (d *daemon) terminate(ctx context.Context) {
	d.mu.Lock()
	cmd := d.cmd
	d.mu.Unlock()
	d.end(syscall.SIGTERM, restartDelay)
	for deadline := time.Now().Add(grace); ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		d.mu.Lock()
		running := cmd != nil && d.cmd == cmd
		d.mu.Unlock()
		if !running {
			return
		}
		if time.Now().After(deadline) {
			d.end(syscall.SIGKILL, restartDelay)
		}
	}
}

func (d *daemon) end(s syscall.Signal, down time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.restart = down
	if d.cmd != nil {
		_ = d.cmd.Process.Signal(s) // it may have ended already
	}
}

// cluster is a small deployment on loopback.
type cluster struct {
	ctx       context.Context
	dir       string
	network   string // first three octets of the addresses
	store     *store
	entries   []*entryHost
	agents    []*daemon
	endpoints []*endpoint
	record    *record
	attempts  int

	mu        sync.Mutex
	specs     map[string]taskSpec // by job
	failed    map[string]int      // failed runs so far, by task
	processes sync.WaitGroup
}

// entryHost is a host on which an entry may run.
type entryHost struct {
	*daemon
	ip, front  string
	inRotation bool // guarded by cluster.mu
}

var zones = []string{"zone-a", "zone-b", "zone-c"}

func newCluster(ctx context.Context, dir string, rec *record, attempts int) (*cluster, error) {
	c := &cluster{
		ctx: ctx, dir: dir, record: rec, attempts: attempts, store: newStore(storeParts, storeDelay),
		specs: make(map[string]taskSpec), failed: make(map[string]int),
	}
	for range networkTrials {
		c.network = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		if err := c.serve(net.JoinHostPort(c.network+".2", fmt.Sprint(storePort)), c.store); err == nil {
			return c, c.configure()
		}
	}
	return nil, errors.New("no free loopback address for the store")
}

func (c *cluster) serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	context.AfterFunc(c.ctx, func() { _ = s.Close() })
	go func() { _ = s.Serve(l) }() // ends with the context
	return nil
}

// configure writes the operator's configuration: one service and one queue.
func (c *cluster) configure() error {
	config, err := json.Marshal(map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "queue", "host": queueHost, "path_prefix": queuePrefix, "service": serviceName, "timeout_ms": 10_000,
			"target_latency_ms": 60, "attempts": c.attempts, "stretch": 1.6, "priority": 0,
		}},
		"services": []map[string]any{{"name": serviceName, names.Guards: true}},
	})
	if err != nil {
		return err
	}
	url := "http://" + net.JoinHostPort(c.network+".2", fmt.Sprint(storePort)) + names.Append + "?topic=keyed.op&part=0"
	resp, err := http.Post(url, "application/octet-stream", bytes.NewReader(configRecord(config)))
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

func (c *cluster) hostSettings(name, ip string, zone int, memory int, share float64) relay.Settings {
	return relay.Settings{
		Node: name, Address: ip, Region: "region", DataCentre: zones[zone], PortRange: []int{firstPort, lastPort},
		Seeds:        []string{c.network + ".10:8166", c.network + ".11:8166", c.network + ".12:8166"},
		StoreAddress: net.JoinHostPort(c.network+".2", fmt.Sprint(storePort)), StorePartitions: storeParts, MinMembershipMS: 1000,
		KeepStateS: 120, MemoryMiB: memory, ProcessorShare: share, MaxLeaseMS: 1000, StopGraceS: grace.Seconds(), FarFactor: 1.5,
	}
}

func (c *cluster) start(role string, s relay.Settings) (*daemon, error) {
	b, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return nil, err
	}
	d := &daemon{name: s.Node, role: role, settings: filepath.Join(c.dir, s.Node+".json"), restart: restartDelay}
	if err := os.WriteFile(d.settings, b, 0o600); err != nil {
		return nil, err
	}
	if d.log, err = os.Create(filepath.Join(c.dir, s.Node+".log")); err != nil {
		return nil, err
	}
	c.processes.Go(func() { d.run(c.ctx) })
	return d, nil
}

// addEntry starts an entry on a host of its own.
func (c *cluster) addEntry() error {
	n := len(c.entries)
	ip := fmt.Sprintf("%s.%d", c.network, 10+n)
	s := c.hostSettings(fmt.Sprintf("entry-%d", n+1), ip, n%len(zones), entryMemory, entryShare)
	s.CallersAddress, s.ReadyAddress = net.JoinHostPort(ip, fmt.Sprint(frontPort)), net.JoinHostPort(ip, fmt.Sprint(readyPort))
	d, err := c.start("entry", s)
	if err != nil {
		return err
	}
	h := &entryHost{daemon: d, ip: ip, front: s.CallersAddress}
	c.mu.Lock()
	c.entries = append(c.entries, h)
	c.mu.Unlock()
	go c.checkReady(h, s.ReadyAddress)
	return nil
}

// addEndpoint starts a endpoint and the agent beside it.
func (c *cluster) addEndpoint(size room, labels ...string) error {
	n := len(c.endpoints)
	ip := fmt.Sprintf("%s.%d", c.network, 100+n)
	name := fmt.Sprintf("m%d", n+1)
	s := c.hostSettings("agent-"+name, ip, n%len(zones), agentMemory, 0.24)
	s.AnnounceAddress, s.EndpointAddress = net.JoinHostPort(ip, fmt.Sprint(controlPort)), net.JoinHostPort(ip, fmt.Sprint(appPort))
	m := newEndpoint("i-"+name, serviceName, s.EndpointAddress, zones[n%len(zones)], labels, size, c.work)
	m.onFailure = c.countFailure
	if err := c.serve(s.EndpointAddress, m); err != nil {
		return err
	}
	d, err := c.start("agent", s)
	if err != nil {
		return err
	}
	c.endpoints, c.agents = append(c.endpoints, m), append(c.agents, d)
	go m.watchLease(c.ctx)
	go m.announce(c.ctx, s.AnnounceAddress)
	return nil
}

// work tells a endpoint how a run behaves. The first task of a job fails as often as its spec says.
func (c *cluster) work(task, spec string) (time.Duration, room, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := jobOf(task)
	if _, ok := c.specs[id]; !ok {
		c.specs[id] = parseSpec(spec)
	}
	s := c.specs[id]
	fails := false
	if spec != "" && firstTask(task) && s.failures != 0 {
		fails = s.failures < 0 || c.failed[task] < s.failures
	}
	return time.Duration(s.millis) * time.Millisecond, s.demand, fails
}

// countFailure records that a run of a task has ended failed.
func (c *cluster) countFailure(task string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed[task]++
}

// checkReady polls an entry like the platform does: after two misses it gets no new connections.
func (c *cluster) checkReady(h *entryHost, address string) {
	client := &http.Client{Timeout: time.Second}
	misses := 0
	for c.ctx.Err() == nil {
		resp, err := client.Get("http://" + address + "/ready")
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_ = resp.Body.Close()
		}
		if ok {
			misses = 0
		} else {
			misses++
		}
		c.mu.Lock()
		h.inRotation = ok || h.inRotation && misses < 2
		c.mu.Unlock()
		select {
		case <-time.After(time.Second):
		case <-c.ctx.Done():
		}
	}
}

// entry returns the entry that the platform chooses for a new connection.
func (c *cluster) entry() *entryHost {
	c.mu.Lock()
	defer c.mu.Unlock()
	var chosen []*entryHost
	for _, h := range c.entries {
		if h.inRotation {
			chosen = append(chosen, h)
		}
	}
	if len(chosen) == 0 {
		chosen = c.entries
	}
	return chosen[rand.IntN(len(chosen))]
}

// awaitReady waits until n entries are in rotation.
func (c *cluster) awaitReady(n int, within time.Duration) error {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		c.mu.Lock()
		ready := 0
		for _, h := range c.entries {
			if h.inRotation {
				ready++
			}
		}
		c.mu.Unlock()
		if ready >= n {
			return nil
		}
	}
	return fmt.Errorf("fewer than %d entries are ready after %v", n, within)
}

// startSmall starts the given numbers of entries and endpoints and waits until they serve.
func (c *cluster) startSmall(entries, endpoints int, size room) error {
	for range entries {
		if err := c.addEntry(); err != nil {
			return err
		}
	}
	for n := range endpoints {
		if err := c.addEndpoint(size, "a", fmt.Sprintf("r%d", 1+n/3)); err != nil {
			return err
		}
	}
	return c.awaitServing(entries)
}

func (c *cluster) awaitServing(entries int) error {
	if err := c.awaitReady(entries, 15*time.Second); err != nil {
		return err
	}
	c.pause(4 * time.Second) // all agents have connected
	return nil
}

// pause waits for the given time or until the case ends.
func (c *cluster) pause(d time.Duration) {
	select {
	case <-time.After(d):
	case <-c.ctx.Done():
	}
}

func (c *cluster) allRuns() (out []run) {
	for _, m := range c.endpoints {
		out = append(out, m.runs()...)
	}
	return out
}
