// Package soak runs the daemons as separate processes on one host, injects faults
// from outside them by signals and loopback proxies, and checks what callers and
// endpoints see. All processes that it ends are its own.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"oriolerelay/emulator"
	"oriolerelay/endpointapi"
	"oriolerelay/errkind"
	"oriolerelay/job"
	"oriolerelay/platform/standin"
	"oriolerelay/relay"
	"oriolerelay/wire"
)

// Ports of the parts, each on the address of its host.
const (
	agentPort    = 7720 // first of the agents' range, where they look for entries
	entryPort    = 7730 // first of the entries' range, behind the packet proxy
	callersPort  = 8080
	readyPort    = 8081
	endpointPort = 8082
	announcePort = 8083
	callersProxy = 8090
	storePort    = 9000
	storeProxy   = 9001
)

const (
	queueHost   = "queue.example"
	queuePrefix = "/jobs/"
	service     = "service" // of the emulator's endpoints
)

// Options describe a soak.
type Options struct {
	Seed    uint64
	Entries int
	Agents  int
	// Length is how long faults are injected. Before it the system starts, after it
	// everything heals.
	Length time.Duration
	// Network is the first three bytes of the loopback addresses.
	Network string
	Binary  string // of the daemons
	Dir     string // for settings and logs
	// All adds pauses, faults of connections, endpoints and the store, and stored jobs
	// to processes that are killed, stopped and told to reload.
	All bool
}

// Times around the faults.
const (
	startTime = 3 * time.Second
	// healTime is the time from the end of the faults until jobs are served again:
	// the longest fault that is under way, a takeover of 3 s and the redial of 2 s.
	healTime = 9 * time.Second
	// servedTime is the time after it in which callers must be served.
	servedTime = 3 * time.Second
	// resendAfter is when a caller without an answer sends its job again.
	resendAfter = 1300 * time.Millisecond
	// callerDeadline is how long a caller waits for an answer.
	callerDeadline = 3 * time.Second
	askPause       = 250 * time.Millisecond
)

// world is a running soak.
type world struct {
	Options
	random    *rand.Rand // of the faults
	begun     time.Time
	store     *standin.Store
	endpoints []*emulator.Endpoint
	entries   []*process
	agents    []*process
	stores    []*streamProxy // of the entries, then of the agents
	callers   []*streamProxy // of the entries
	packets   []*packetProxy // of the entries

	mu      sync.Mutex
	events  []string
	answers []emulator.Answer
	jobs    map[string]*handedIn
}

// handedIn is a job and what its caller knows of it.
type handedIn struct {
	standin.Job
	sent      time.Time
	accepted  bool // a stored job
	completed bool
	failed    bool // a stored job that was shown as failed
}

// Result is the outcome of a soak.
type Result struct {
	Broken []string
	Events []string
	Jobs   int
	// Served is the share of the jobs after the faults that were completed.
	Served float64
	Starts int // of processes
}

// Run plays one soak.
func Run(ctx context.Context, o Options) (Result, error) {
	ctx, stop := context.WithCancel(ctx)
	w := &world{
		Options: o, random: rand.New(rand.NewPCG(o.Seed, 1)), begun: time.Now(), store: standin.NewStore(4),
		jobs: make(map[string]*handedIn),
	}
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	if err := w.build(ctx, &running); err != nil {
		return Result{}, err
	}
	time.Sleep(startTime)
	load, stopLoad := context.WithCancel(ctx)
	running.Go(func() { w.load(load, &running) })
	w.trouble(ctx)
	w.heal()
	time.Sleep(healTime)
	from := time.Now()
	time.Sleep(servedTime)
	stopLoad()
	time.Sleep(callerDeadline + resendAfter)
	return w.result(from, from.Add(servedTime)), nil
}

func (w *world) host(n int) string { return w.Network + "." + strconv.Itoa(n) }

func at(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// build starts all parts. Entries have the host numbers from 10, agents from 100.
func (w *world) build(ctx context.Context, running *sync.WaitGroup) error {
	storeAddress := at(w.host(2), storePort)
	if err := serve(ctx, storeAddress, w.store); err != nil {
		return err
	}
	proxied := at(w.host(3), storePort)
	if err := serve(ctx, proxied, w.store.WithEntryPort(entryPort, agentPort)); err != nil {
		return err
	}
	if err := w.store.PutConfig(1, queueHost, queuePrefix, service); err != nil {
		return err
	}
	var seeds []string
	for i := range w.Entries {
		ip := w.host(10 + i)
		seeds = append(seeds, at(ip, agentPort))
		s := w.settings(fmt.Sprintf("entry-%d", i+1), ip, entryPort)
		s.CallersAddress, s.ReadyAddress = at(ip, callersPort), at(ip, readyPort)
		s.ProcessorShare = 1 - 0.05*float64(i) // entries and agents see other ports, and choose by it
		p, err := w.start(ctx, running, "entry", s, storeAddress)
		if err != nil {
			return err
		}
		w.entries = append(w.entries, p)
		callers, err := newStreamProxy(ctx, at(ip, callersProxy), s.CallersAddress)
		if err != nil {
			return err
		}
		packets, err := newPacketProxy(ctx, at(ip, agentPort), at(ip, entryPort))
		if err != nil {
			return err
		}
		w.callers, w.packets = append(w.callers, callers), append(w.packets, packets)
	}
	for i := range w.Agents {
		ip := w.host(100 + i)
		e := emulator.NewEndpoint(fmt.Sprintf("endpoint-%d", i+1), wire.Resources{MilliCores: 16000, MemoryMiB: 16000}, 1)
		e.Work = workOf
		w.endpoints = append(w.endpoints, e)
		if err := serve(ctx, at(ip, endpointPort), standin.NewEndpointHandler(e)); err != nil {
			return err
		}
		s := w.settings(fmt.Sprintf("agent-%d", i+1), ip, agentPort)
		s.Seeds, s.AnnounceAddress, s.EndpointAddress = seeds, at(ip, announcePort), at(ip, endpointPort)
		p, err := w.start(ctx, running, "agent", s, proxied)
		if err != nil {
			return err
		}
		w.agents = append(w.agents, p)
		running.Go(func() { announce(ctx, e, s.AnnounceAddress) })
	}
	return nil
}

// settings returns what all daemons have in common. The store is behind a proxy of
// the daemon's own.
func (w *world) settings(node, ip string, firstPort int) relay.Settings {
	return relay.Settings{
		Node: node, Address: ip, Region: "region", DataCentre: "centre", PortRange: []int{firstPort, firstPort + 1},
		StoreAddress: at(ip, storeProxy), StorePartitions: 4, MinMembershipMS: 1000, KeepStateS: 120,
		MemoryMiB: 256, MaxLeaseMS: 1000, StopGraceS: stopGrace.Seconds(), FarFactor: 1.5,
	}
}

func (w *world) start(ctx context.Context, running *sync.WaitGroup, role string, s relay.Settings, store string) (*process, error) {
	proxy, err := newStreamProxy(ctx, s.StoreAddress, store)
	if err != nil {
		return nil, err
	}
	w.stores = append(w.stores, proxy)
	p, err := newProcess(w.Dir, w.Binary, role, s)
	if err != nil {
		return nil, err
	}
	running.Go(func() { p.run(ctx) })
	return p, nil
}

func serve(ctx context.Context, address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	context.AfterFunc(ctx, func() { _ = s.Close() })
	go func() { _ = s.Serve(l) }()
	return nil
}

// announcePause is the time between two announcements of an endpoint.
const announcePause = 500 * time.Millisecond

// announce sends the announcements of an endpoint; those that its agent does not
// take are lost.
func announce(ctx context.Context, e *emulator.Endpoint, agent string) {
	c := &http.Client{Timeout: announcePause}
	for ctx.Err() == nil {
		_ = standin.Announce(ctx, c, agent, e.Announcement(false))
		select {
		case <-time.After(announcePause):
		case <-ctx.Done():
		}
	}
}

// workOf reads a payload "ms millicores".
func workOf(_, payload string) (time.Duration, wire.Resources) {
	var ms, milliCores uint32
	if _, err := fmt.Sscan(payload, &ms, &milliCores); err != nil {
		return time.Millisecond, wire.Resources{MilliCores: 1}
	}
	return time.Duration(ms) * time.Millisecond, wire.Resources{MilliCores: milliCores, MemoryMiB: 64}
}

// load hands jobs in until ctx ends.
func (w *world) load(ctx context.Context, running *sync.WaitGroup) {
	random := rand.New(rand.NewPCG(w.Seed, 2))
	clients := make([]*standin.Caller, len(w.callers))
	for i := range clients {
		clients[i] = &standin.Caller{
			HTTP: &http.Client{}, Address: at(w.host(10+i), callersProxy), Host: queueHost, Prefix: queuePrefix,
		}
	}
	for n := 0; ctx.Err() == nil; n++ {
		ms := []uint32{30, 120, 400, 900}[random.IntN(4)]
		j := standin.Job{
			ID: fmt.Sprintf("%08x%08x", w.Seed, n), Payload: fmt.Sprintf("%d %d", ms, 2000), Tasks: 1 + random.IntN(4),
			MilliCores: 2000, MemoryMiB: 64, Estimate: time.Duration(ms) * time.Millisecond, Ephemeral: !w.All || n%8 != 0,
		}
		first, again := random.IntN(len(clients)), random.IntN(len(clients))
		running.Go(func() { w.handIn(clients[first], clients[again], j) })
		time.Sleep(time.Duration(20+random.IntN(100)) * time.Millisecond) // about half of the capacity
	}
}

// handIn plays one caller. It outlives the load, to learn the end of its job.
func (w *world) handIn(first, again *standin.Caller, j standin.Job) {
	h := &handedIn{Job: j, sent: time.Now()}
	w.mu.Lock()
	w.jobs[j.ID] = h
	w.mu.Unlock()
	switch known, retryAfter := w.submit(first, h); {
	case !known:
		time.Sleep(resendAfter)
		w.submit(again, h)
	case retryAfter > 0 && time.Since(h.sent)+retryAfter < callerDeadline:
		time.Sleep(retryAfter)
		w.submit(again, h)
	}
	for end := time.Now().Add(w.Length + healTime); !j.Ephemeral && h.accepted && !h.completed && !h.failed && time.Now().Before(end); {
		time.Sleep(askPause)
		ctx, cancel := context.WithTimeout(context.Background(), callerDeadline)
		a, err := again.State(ctx, j.ID)
		cancel()
		w.mu.Lock()
		h.completed = err == nil && a.State == job.Completed
		h.failed = err == nil && a.State == job.Failed
		w.mu.Unlock()
	}
}

// submit sends a job once. It reports whether the caller knows the outcome, and when a
// refused caller may come back.
func (w *world) submit(c *standin.Caller, h *handedIn) (known bool, retryAfter time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), callerDeadline)
	defer cancel()
	sent := time.Now()
	got, err := c.Submit(ctx, h.Job, callerDeadline)
	a := emulator.Answer{Job: h.ID, SentAt: sent, ReceivedAt: time.Now(), Disconnected: true}
	switch {
	case err != nil:
	case got.Status == http.StatusOK:
		a.Disconnected = false
		if h.Ephemeral {
			a.State = got.State
		}
	case got.Status == http.StatusTooManyRequests || got.Status == http.StatusServiceUnavailable || got.Status == http.StatusNotFound:
		a.Disconnected = false
		a.Err = errkind.New(errkind.QueueFull, "refused with status %d", got.Status)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answers = append(w.answers, a)
	h.completed = h.completed || a.State == job.Completed
	h.accepted = h.accepted || got.Status == http.StatusOK && err == nil
	return !a.Disconnected, got.RetryAfter
}

func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, fmt.Sprintf("%.3f ", time.Since(w.begun).Seconds())+fmt.Sprintf(format, args...))
}

// result judges what callers and endpoints saw.
func (w *world) result(from, to time.Time) Result {
	for _, e := range w.endpoints {
		e.ExpireLease()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	r := Result{Broken: emulator.Check(w.endpoints, w.answers), Events: w.events, Jobs: len(w.jobs)}
	r.Broken = append(r.Broken, w.checkTasks()...)
	asked, served := 0, 0
	for _, h := range w.jobs {
		if h.sent.After(from) && h.sent.Before(to) {
			asked++
			if h.completed {
				served++
			}
		}
	}
	if asked > 0 {
		r.Served = float64(served) / float64(asked)
	}
	for _, p := range append(append([]*process(nil), w.entries...), w.agents...) {
		r.Starts += p.starts
	}
	return r
}

// checkTasks finds completed jobs with tasks that were not done, stored jobs that
// were never completed, although none of their tasks has failed as often as the queue
// allows, and their tasks that began again after they were done, if that end was taken
// note of.
func (w *world) checkTasks() (broken []string) {
	done, failures := make(map[string]bool), make(map[string]int)
	noted := make(map[string]emulator.Run) // the first such end of each task
	var runs []emulator.Run
	for _, e := range w.endpoints {
		for _, r := range e.History() {
			runs = append(runs, r)
			if r.EndReason == endpointapi.EndFailed {
				failures[r.ID.Task]++
			}
			if r.EndReason != endpointapi.EndDone {
				continue
			}
			done[r.ID.Task] = true
			if d, ok := noted[r.ID.Task]; r.Acknowledged && (!ok || r.End.Before(d.End)) {
				noted[r.ID.Task] = r
			}
		}
	}
	for _, h := range w.jobs {
		hopeless := false
		for i := range h.Tasks {
			task := job.TaskID{Job: h.ID, Index: i}.String()
			hopeless = hopeless || failures[task] >= standin.MaxAttempts
			if h.completed && !done[task] {
				broken = append(broken, fmt.Sprintf("job %s is completed, and task %s is not done", h.ID, task))
			}
		}
		if h.failed && !hopeless {
			broken = append(broken, fmt.Sprintf("stored job %s is shown as failed without cause", h.ID))
		}
		if !h.Ephemeral && h.accepted && !h.completed && !h.failed {
			broken = append(broken, fmt.Sprintf("stored job %s of %.3f s is not completed", h.ID, h.sent.Sub(w.begun).Seconds()))
		}
	}
	for _, r := range runs {
		d, ok := noted[r.ID.Task]
		id, _, _ := strings.Cut(r.ID.Task, ".")
		if h := w.jobs[id]; ok && h != nil && !h.Ephemeral && r.Start.After(d.End) {
			broken = append(broken, fmt.Sprintf("task %s began again on %s %.3f s after it was done on %s",
				r.ID.Task, r.Endpoint, r.Start.Sub(d.End).Seconds(), d.Endpoint))
		}
	}
	return broken
}
