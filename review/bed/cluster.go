package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// The ports of a machine. Each machine has a loopback address of its own.
const (
	internalPort = 7720
	linkPort     = 7600 // and the agent's number: where an agent reaches the entries
	metricsPort  = 7735
	frontPort    = 8161
	readyPort    = 8167
	controlPort  = 8166
	appPort      = 8165
	storePort    = 8169
)

const (
	queueHost   = "nony24.example"
	queuePrefix = "/lohu930/"
	serviceName = "huvo11a"
	partitions  = 24
	attempts    = 4  // as the first kind of request of the site has it
	doorOffset  = 30 // from the host number of a machine to that of its door to the store
	graceTime   = 6 * time.Second
	relayPath   = "target/oriole-relay"
)

// cluster is a small deployment: a store, entries, and agents with their workers.
type cluster struct {
	rec     *record
	net     string // first three octets of the addresses
	dir     string
	store   *store
	links   map[[2]int]*link // by agent and entry
	entries []*daemon
	agents  []*daemon
	workers []*worker
	servers []*http.Server
}

// daemon is a process of the system. It is restarted 0.1 s after it has ended, unless held.
type daemon struct {
	rec  *record
	name string
	role string
	ip   string
	path string
	log  *os.File

	mu      sync.Mutex
	cmd     *exec.Cmd
	closing bool
	dark    time.Duration // from its end to the next start
	ends    int           // ends that nobody asked for
	asked   bool
	over    chan struct{}
}

// freeNetwork returns three octets of loopback addresses on which nothing listens.
func freeNetwork() (string, error) {
	for i := range 200 {
		n := fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+i)%200, 1+(os.Getpid()/200+i)%200)
		l, err := net.Listen("tcp", n+".2:"+strconv.Itoa(storePort))
		if err != nil {
			continue
		}
		_ = l.Close()
		return n, nil
	}
	return "", fmt.Errorf("no loopback addresses are free")
}

func (c *cluster) address(host, port int) string {
	return net.JoinHostPort(c.net+"."+strconv.Itoa(host), strconv.Itoa(port))
}

// startCluster starts a deployment and waits until its entries are ready.
func startCluster(rec *record, entries, agents, workerCPU, workerMem int) (*cluster, error) {
	network, err := freeNetwork()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "bed-")
	if err != nil {
		return nil, err
	}
	c := &cluster{rec: rec, net: network, dir: dir, store: newStore(), links: make(map[[2]int]*link)}
	c.store.putConfig(1, []map[string]any{routeOf("queue", queuePrefix, attempts)})
	var seeds []string
	for i := range min(entries, 3) {
		seeds = append(seeds, c.address(10+i, controlPort))
	}
	for i := range entries {
		if err := c.openDoor(10+i, nil); err != nil {
			return c, err
		}
		d, err := c.startDaemon("entry", 10+i, seeds)
		if err != nil {
			return c, err
		}
		c.entries = append(c.entries, d)
	}
	for i := range agents {
		m := newWorker(rec, fmt.Sprintf("i-%08x", 0x7f3a9100+i), c.address(100+i, appPort), c.address(100+i, controlPort), serviceName,
			[]string{"a", fmt.Sprintf("r%d", 1+i/3)}, workerCPU, workerMem)
		if err := m.start(); err != nil {
			return c, err
		}
		c.workers = append(c.workers, m)
		if err := c.openDoor(100+i, entryPort(i)); err != nil {
			return c, err
		}
		for e := range entries {
			l, err := newLink(c.address(10+e, linkPort+i), c.address(10+e, internalPort))
			if err != nil {
				return c, err
			}
			c.links[[2]int{i, e}] = l
		}
		d, err := c.startDaemon("agent", 100+i, seeds)
		if err != nil {
			return c, err
		}
		c.agents = append(c.agents, d)
	}
	for deadline := time.Now().Add(15 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		if c.allReady() {
			break
		}
		if time.Now().After(deadline) {
			return c, fmt.Errorf("the entries are not ready after 15 s")
		}
	}
	time.Sleep(3 * time.Second) // the partitions of the store are taken over
	rec.logf("%d entries and %d agents are ready", entries, agents)
	return c, nil
}

// openDoor serves the store for the machine with the given host number.
func (c *cluster) openDoor(host int, rewrite func(topic string, record []byte) []byte) error {
	s, err := c.store.open(c.address(host+doorOffset, storePort), rewrite)
	if err == nil {
		c.servers = append(c.servers, s)
	}
	return err
}

func (c *cluster) door(host int) *door { return c.store.doors[c.address(host+doorOffset, storePort)] }

// entryPort returns the function that shows an agent the entries behind its links.
func entryPort(agent int) func(topic string, record []byte) []byte {
	from, to := []byte(fmt.Sprintf(":%d", internalPort)), []byte(fmt.Sprintf(":%d", linkPort+agent))
	return func(topic string, record []byte) []byte {
		if topic != "keyed.entries" {
			return record
		}
		return bytes.ReplaceAll(record, from, to)
	}
}

// cutAgent cuts all links of an agent, or restores them.
func (c *cluster) cutAgent(agent int, cut bool) {
	for k, l := range c.links {
		if k[0] == agent {
			l.cut.Store(cut)
		}
	}
}

// cutEntry cuts an entry from all agents, or restores its links.
func (c *cluster) cutEntry(entry int, cut bool) {
	for k, l := range c.links {
		if k[1] == entry {
			l.cut.Store(cut)
		}
	}
}

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }

func (c *cluster) allReady() bool {
	client := http.Client{Timeout: time.Second}
	for i := range c.entries {
		resp, err := client.Get("http://" + c.address(10+i, readyPort) + "/ready")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

func (c *cluster) startDaemon(role string, host int, seeds []string) (*daemon, error) {
	ip := c.net + "." + strconv.Itoa(host)
	name := fmt.Sprintf("%s-%d", role, host)
	first := internalPort
	if role == "agent" {
		first = linkPort + host - 100
	}
	// The settings are those that platform/settings.json.tmpl gives for a machine of a small site.
	settings := map[string]any{
		"node": name, "address": ip, "region": "region-a", "data_centre": "zone-a", "port_range": []int{first, metricsPort},
		"seeds": seeds, "store_address": c.address(host+doorOffset, storePort), "store_partitions": partitions, "max_record_bytes": 262144,
		"min_membership_ms": 1000, "keep_state_s": 120, "tolerated_data_centres": 0, "max_open_files": 4100, "max_lease_ms": 1000,
		"stop_grace_s": 6, "far_factor": 1.5,
	}
	if role == "entry" {
		settings["callers_address"], settings["ready_address"] = c.address(host, frontPort), c.address(host, readyPort)
		settings["memory_mib"], settings["processor_share"] = 284, 0.4-0.002*float64(host-10) // agents know entries by other ports, which a tie must not depend on
	} else {
		settings["announce_address"], settings["endpoint_address"] = c.address(host, controlPort), c.address(host, appPort)
		settings["memory_mib"], settings["processor_share"] = 152, 0.24
	}
	b, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	d := &daemon{rec: c.rec, name: name, role: role, ip: ip, path: filepath.Join(c.dir, name+".json"), dark: 100 * time.Millisecond, over: make(chan struct{})}
	if err := os.WriteFile(d.path, b, 0o600); err != nil {
		return nil, err
	}
	if d.log, err = os.Create(filepath.Join(c.dir, name+".log")); err != nil {
		return nil, err
	}
	started := make(chan error, 1)
	startedDaemons.Store(d, nil)
	go d.run(started)
	return d, <-started
}

// run keeps the process running until the cluster is closed.
func (d *daemon) run(started chan<- error) {
	defer close(d.over)
	defer d.log.Close()
	for first := true; ; first = false {
		cmd := exec.Command(relayPath, d.role)
		cmd.Env = []string{names.SettingsVariable + "=" + d.path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
		cmd.Stdout, cmd.Stderr = d.log, d.log
		d.mu.Lock()
		if d.closing {
			d.mu.Unlock()
			return
		}
		err := cmd.Start()
		d.cmd, d.asked = cmd, false
		d.mu.Unlock()
		if first {
			started <- err
		}
		if err != nil {
			return
		}
		err = cmd.Wait()
		d.mu.Lock()
		d.cmd = nil
		if !d.asked && !d.closing {
			d.ends++
			d.rec.logf("%s ended by itself: %v", d.name, err)
		}
		dark := d.dark
		d.mu.Unlock()
		time.Sleep(dark)
	}
}

// signal sends a signal to the process; after a kill the next one starts after dark.
func (d *daemon) signal(s syscall.Signal, dark time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil {
		return
	}
	d.rec.logf("%s gets %v", d.name, s)
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		d.asked, d.dark = true, dark
	}
	_ = d.cmd.Process.Signal(s)
}

// startedDaemons holds all daemons, which end with this process also if it is interrupted.
var startedDaemons sync.Map

func closeStarted() {
	startedDaemons.Range(func(d, _ any) bool {
		d.(*daemon).close()
		return true
	})
}

func (d *daemon) close() {
	d.mu.Lock()
	d.closing, d.dark = true, 0
	if d.cmd != nil {
		_ = d.cmd.Process.Kill()
	}
	d.mu.Unlock()
	<-d.over
}

// close ends all processes.
func (c *cluster) close() {
	var wg sync.WaitGroup
	for _, d := range append(append([]*daemon{}, c.entries...), c.agents...) {
		wg.Go(d.close)
	}
	wg.Wait()
	for _, m := range c.workers {
		m.close()
	}
	for _, l := range c.links {
		l.close()
	}
	for _, s := range c.servers {
		_ = s.Close()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		c.rec.logf("logs are in %s", c.dir)
	}
}
