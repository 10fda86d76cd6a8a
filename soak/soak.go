// Package soak runs the daemons as separate processes on one host, injects faults
// from outside with signals and loopback proxies, and checks what callers and
// endpoints observe. It only signals processes that it started.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"oriolerelay/emulator"
	"oriolerelay/endpointapi"
	"oriolerelay/job"
	"oriolerelay/platform/standin"
	"oriolerelay/relay"
	"oriolerelay/wire"
)

// Ports of the components. Every daemon has a loopback address of its own.
const (
	agentPort        = 7720 // first of the agents' range; agents connect to entries on this port
	entryPort        = 7730 // first of the entries' range; reached through the packet proxy
	callersPort      = 8080
	readyPort        = 8081
	endpointPort     = 8082
	announcePort     = 8083
	callersProxyPort = 8090
	storePort        = 9000
	storeProxyPort   = 9001
)

const (
	queueHost   = "queue.example"
	queuePrefix = "/jobs/"
	service     = "service" // name of the service that the emulated endpoints offer
)

// Options configure a soak run.
type Options struct {
	Seed    uint64
	Entries int
	Agents  int
	// FaultDuration is the time during which faults are injected, after startup and
	// before recovery.
	FaultDuration time.Duration
	// Network is the first three octets of the loopback addresses, such as "127.10.1".
	Network string
	Binary  string // path of the oriole-relay executable
	Dir     string // holds settings files and logs
	// AllFaults adds process pauses, faults of connections, endpoints and the store,
	// and stored jobs. Without it processes are only killed, stopped and reloaded.
	AllFaults bool
	// PromptEphemeral lets prompt callers resubmit ephemeral jobs too. The platform's callers
	// resubmit these resubmitDelay after a broken connection.
	PromptEphemeral bool
	// CrashingJobs, if positive, makes one in so many jobs of the time of the faults crash the
	// endpoints that run its first task. Half of these jobs are stored.
	CrashingJobs int
	// ChangingCapacity lets the capacities of the endpoints, which then do not enforce them,
	// shrink and grow while faults are injected.
	ChangingCapacity bool
	// ChangingConfig changes the configuration in series, and injects only faults that affect how
	// entries learn of it.
	ChangingConfig bool
	// Crowd is the number of clients that do not behave. They press on all daemons while faults are injected;
	// the configuration changes meanwhile, and each daemon has to stay within its memory.
	Crowd int
}

// partitions returns the number of partitions of the store. Each owned one has a connection of its own,
// which can be in the way of the configuration.
func (o *Options) partitions() int {
	if o.ChangingConfig {
		return 24
	}
	return 4
}

// Timing of a run.
const (
	startupDelay = 3 * time.Second
	// recoveryDelay is the time allowed from the end of fault injection until jobs are
	// served again: the longest fault still active, a takeover of 3 s and a redial of 2 s.
	recoveryDelay = 9 * time.Second
	// measuredDuration is the time after recovery in which jobs count in CompletedShare.
	measuredDuration = 3 * time.Second
	// resubmitDelay is the delay before a caller that got no answer resubmits its job.
	resubmitDelay = 1300 * time.Millisecond
	// callerTimeout is how long a caller waits for an answer.
	callerTimeout     = 3 * time.Second
	statePollInterval = 250 * time.Millisecond
	// maxSchedulingDelay is the delay of a timer from which a run logs it.
	maxSchedulingDelay = 300 * time.Millisecond
)

// soakRun is the state of one soak run.
type soakRun struct {
	Options
	faultRNG      *rand.Rand
	startedAt     time.Time
	store         *standin.Store
	endpoints     []*emulator.Endpoint
	entries       []*process
	agents        []*process
	storeProxies  []*streamProxy // one per entry, then one per agent
	callerProxies []*streamProxy // one per entry
	packetProxies []*packetProxy // one per entry

	mu            sync.Mutex
	events        []string
	submissions   map[string][]string // lines for each job
	answers       []emulator.Answer
	unanswered    map[string][]time.Time // times of the submissions of each job that wait for an answer
	submittedJobs map[string]*submittedJob
	operator      operatorState
}

// submittedJob is a job and its state as the caller knows it.
type submittedJob struct {
	standin.Job
	sent      time.Time
	accepted  bool // an entry answered a submission with status 200
	completed bool
	failed    bool // the job was reported as failed
}

// Result is the outcome of a soak run.
type Result struct {
	Violations []string
	Events     []string
	Jobs       int
	// CompletedShare is the share of the jobs submitted in the measured period after the
	// faults that were completed.
	CompletedShare float64
	Starts         int // process starts, including restarts
	ConfigProbes   int // judged requests that show which configuration an entry uses
}

// Run executes one soak run.
func Run(ctx context.Context, o Options) (Result, error) {
	ctx, stop := context.WithCancel(ctx)
	w := &soakRun{
		Options: o, faultRNG: rand.New(rand.NewPCG(o.Seed, 1)), startedAt: time.Now(), store: standin.NewStore(o.partitions()),
		submittedJobs: make(map[string]*submittedJob), submissions: make(map[string][]string),
		unanswered: make(map[string][]time.Time),
		operator:   operatorState{version: 1, writtenAt: make(map[uint64]time.Time), disturbedUntil: make([]time.Time, o.Entries)},
	}
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	if err := w.startAll(ctx, &running); err != nil {
		return Result{}, err
	}
	time.Sleep(startupDelay)
	running.Go(func() { w.watchScheduling(ctx) })
	loadCtx, stopLoad := context.WithCancel(ctx)
	running.Go(func() { w.generateLoad(loadCtx, &running) })
	faultCtx, stopFaults := context.WithCancel(ctx)
	if w.ChangingCapacity {
		for i := range w.endpoints {
			running.Go(func() { w.changeCapacity(faultCtx, i) })
		}
	}
	if w.ChangingConfig {
		running.Go(func() { w.changeConfig(loadCtx) })
		for i := range w.entries {
			running.Go(func() { w.probeConfig(loadCtx, i) })
		}
	}
	var watching sync.WaitGroup
	watching.Go(func() { w.watchMemory(faultCtx) })
	w.press(faultCtx, &running)
	if w.Crowd > 0 {
		running.Go(func() { w.changeConfig(faultCtx) })
	}
	w.injectFaults(ctx)
	stopFaults()
	watching.Wait()
	w.clearFaults()
	time.Sleep(recoveryDelay)
	from := time.Now()
	time.Sleep(measuredDuration)
	stopLoad()
	time.Sleep(callerTimeout + resubmitDelay)
	return w.evaluate(from, from.Add(measuredDuration)), nil
}

func (w *soakRun) hostIP(n int) string { return w.Network + "." + strconv.Itoa(n) }

func hostPort(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// startAll starts every component. The last octet of an address counts from 10 for
// entries and from 100 for agents.
func (w *soakRun) startAll(ctx context.Context, running *sync.WaitGroup) error {
	storeAddress := hostPort(w.hostIP(2), storePort)
	if err := serve(ctx, storeAddress, w.store); err != nil {
		return err
	}
	agentStoreAddress := hostPort(w.hostIP(3), storePort)
	if err := serve(ctx, agentStoreAddress, w.store.WithEntryPort(entryPort, agentPort)); err != nil {
		return err
	}
	if err := w.store.PutConfig(1, queueHost, queuePrefix, service, !w.ChangingCapacity); err != nil {
		return err
	}
	var seeds []string
	for i := range w.Entries {
		ip := w.hostIP(10 + i)
		seeds = append(seeds, hostPort(ip, agentPort))
		s := w.commonSettings(fmt.Sprintf("entry-%d", i+1), ip, entryPort)
		s.CallersAddress, s.ReadyAddress = hostPort(ip, callersPort), hostPort(ip, readyPort)
		s.ProcessorShare = 1 - 0.05*float64(i) // distinct, since ties are broken by address, and agents know entries by other ports
		p, err := w.startDaemon(ctx, running, "entry", s, storeAddress)
		if err != nil {
			return err
		}
		w.entries = append(w.entries, p)
		callerProxy, err := newStreamProxy(ctx, hostPort(ip, callersProxyPort), s.CallersAddress)
		if err != nil {
			return err
		}
		packetProxy, err := newPacketProxy(ctx, hostPort(ip, agentPort), hostPort(ip, entryPort))
		if err != nil {
			return err
		}
		w.callerProxies, w.packetProxies = append(w.callerProxies, callerProxy), append(w.packetProxies, packetProxy)
	}
	for i := range w.Agents {
		ip := w.hostIP(100 + i)
		e := emulator.NewEndpoint(fmt.Sprintf("endpoint-%d", i+1), endpointCapacity, 1)
		e.Work, e.Unenforced = parsePayload, w.ChangingCapacity
		w.endpoints = append(w.endpoints, e)
		if err := w.serveEndpoint(ctx, running, e, hostPort(ip, endpointPort)); err != nil {
			return err
		}
		s := w.commonSettings(fmt.Sprintf("agent-%d", i+1), ip, agentPort)
		s.Seeds, s.AnnounceAddress, s.EndpointAddress = seeds, hostPort(ip, announcePort), hostPort(ip, endpointPort)
		p, err := w.startDaemon(ctx, running, "agent", s, agentStoreAddress)
		if err != nil {
			return err
		}
		w.agents = append(w.agents, p)
		interval := announceInterval
		if w.ChangingCapacity {
			interval = platformAnnounceInterval
		}
		running.Go(func() { announce(ctx, e, s.EndpointAddress, s.AnnounceAddress, interval) })
	}
	return nil
}

// commonSettings returns the settings that all daemons share. Each daemon reaches the
// store through its own proxy.
func (w *soakRun) commonSettings(node, ip string, firstPort int) relay.Settings {
	return relay.Settings{
		Node: node, Address: ip, Region: "region", DataCentre: "centre", PortRange: []int{firstPort, firstPort + 1},
		StoreAddress: hostPort(ip, storeProxyPort), StorePartitions: w.partitions(), MinMembershipMS: 1000, KeepStateS: 120,
		MemoryMiB: w.memoryMiB(), MaxLeaseMS: 1000, StopGraceS: stopGrace.Seconds(), FarFactor: 1.5,
	}
}

func (w *soakRun) memoryMiB() int {
	if w.Crowd > 0 {
		return crowdMemoryMiB
	}
	return 256
}

func (w *soakRun) startDaemon(ctx context.Context, running *sync.WaitGroup, role string, s relay.Settings, store string) (*process, error) {
	proxy, err := newStreamProxy(ctx, s.StoreAddress, store)
	if err != nil {
		return nil, err
	}
	w.storeProxies = append(w.storeProxies, proxy)
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

// announceInterval is the time between announcements of an endpoint whose capacity does not change;
// platformAnnounceInterval is that of the users' platform.
const (
	announceInterval         = 500 * time.Millisecond
	platformAnnounceInterval = 1500 * time.Millisecond
)

// announce sends the announcements of the endpoint at address to its agent. A failed announcement
// is not retried; the next one replaces it.
func announce(ctx context.Context, e *emulator.Endpoint, address, agent string, interval time.Duration) {
	c := &http.Client{Timeout: announceInterval}
	for ctx.Err() == nil {
		if !e.IsDown() {
			a := e.Announcement(false)
			a.Profile.Address = address
			_ = standin.Announce(ctx, c, agent, a)
		}
		select {
		case <-time.After(interval):
		case <-ctx.Done():
		}
	}
}

// parsePayload parses a payload of the form "ms millicores".
func parsePayload(_, payload string) (time.Duration, wire.Resources) {
	var ms, milliCores uint32
	if _, err := fmt.Sscan(payload, &ms, &milliCores); err != nil {
		return time.Millisecond, wire.Resources{MilliCores: 1}
	}
	return time.Duration(ms) * time.Millisecond, wire.Resources{MilliCores: milliCores, MemoryMiB: 64}
}

// watchScheduling logs when this process was not scheduled for maxSchedulingDelay or longer. The
// daemons then may have been held up as well.
func (w *soakRun) watchScheduling(ctx context.Context) {
	const interval = 50 * time.Millisecond
	for last := time.Now(); ctx.Err() == nil; {
		time.Sleep(interval)
		now := time.Now()
		if late := now.Sub(last) - interval; late >= maxSchedulingDelay {
			w.logEvent("this process was not scheduled for %v", late.Round(time.Millisecond))
			w.disturb(now)
		}
		last = now
	}
}

func (w *soakRun) logEvent(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, fmt.Sprintf("%.3f ", time.Since(w.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// evaluate checks what callers and endpoints observed. Jobs sent between from and to count in
// CompletedShare.
func (w *soakRun) evaluate(from, to time.Time) Result {
	for _, e := range w.endpoints {
		e.ExpireLease()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, sent := range w.unanswered {
		for _, at := range sent {
			w.answers = append(w.answers, emulator.Answer{Job: id, SentAt: at, Disconnected: true})
		}
	}
	r := Result{Violations: emulator.Check(w.endpoints, w.answers), Events: w.events, Jobs: len(w.submittedJobs)}
	r.Violations = append(r.Violations, w.checkTasks()...)
	w.operator.mu.Lock()
	r.Violations = append(r.Violations, w.operator.violations...)
	r.ConfigProbes = w.operator.probes
	w.operator.mu.Unlock()
	for id, lines := range w.submissions {
		if slices.ContainsFunc(r.Violations, func(v string) bool { return strings.Contains(v, id) }) {
			for _, line := range lines {
				r.Events = append(r.Events, "job "+id+": "+line)
			}
		}
	}
	submitted, completed := 0, 0
	for _, h := range w.submittedJobs {
		if h.sent.After(from) && h.sent.Before(to) {
			submitted++
			if h.completed {
				completed++
			}
		}
	}
	if submitted > 0 {
		r.CompletedShare = float64(completed) / float64(submitted)
	}
	for _, p := range w.daemons() {
		r.Starts += p.starts
	}
	return r
}

// checkTasks returns the violations of four guarantees: every task of a completed job is done; a job
// is reported as failed only if one of its tasks failed as often as the queue allows or crashes
// endpoints; a stored job without such a task completes; and a task of a stored job does not start
// again after an end that was acknowledged before the lease of its endpoint expired.
func (w *soakRun) checkTasks() (violations []string) {
	done, failures := make(map[string]bool), make(map[string]int)
	acknowledgedEnds := make(map[string]emulator.Run) // earliest acknowledged end of each task
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
			if d, ok := acknowledgedEnds[r.ID.Task]; r.Acknowledged && (!ok || r.End.Before(d.End)) {
				acknowledgedEnds[r.ID.Task] = r
			}
		}
	}
	for _, h := range w.submittedJobs {
		failedTooOften := false
		for i := range h.Tasks {
			task := job.TaskID{Job: h.ID, Index: i}.String()
			failedTooOften = failedTooOften || failures[task] >= standin.MaxAttempts
			if h.completed && !done[task] {
				violations = append(violations, fmt.Sprintf("job %s is completed but its task %s is not done", h.ID, task))
			}
		}
		if h.failed && !failedTooOften && !h.isCrashing() {
			violations = append(violations, fmt.Sprintf("job %s is reported as failed although no task used up its attempts", h.ID))
		}
		if !h.Ephemeral && h.accepted && !h.completed && !h.failed && !h.isCrashing() {
			violations = append(violations, fmt.Sprintf("stored job %s, submitted at %.3f s, is not completed", h.ID, h.sent.Sub(w.startedAt).Seconds()))
		}
	}
	for _, r := range runs {
		d, ok := acknowledgedEnds[r.ID.Task]
		id, _, _ := strings.Cut(r.ID.Task, ".")
		if h := w.submittedJobs[id]; ok && h != nil && !h.Ephemeral && r.Start.After(d.End) {
			violations = append(violations, fmt.Sprintf("task %s started again on %s %.3f s after it was done on %s",
				r.ID.Task, r.Endpoint, r.Start.Sub(d.End).Seconds(), d.Endpoint))
		}
	}
	return violations
}
