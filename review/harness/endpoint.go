package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// holdMax is hold_max_ms: the longest lease that a endpoint grants.
	holdMax = time.Second
	// stopTime is how long a endpoint takes to stop a run; it is below stop_ms.
	stopTime = 20 * time.Millisecond
	// beatInterval is heartbeat_ms.
	beatInterval = 1500 * time.Millisecond
	// lapseInterval is the time between two checks of the lease.
	lapseInterval = 5 * time.Millisecond
	// maxListedEnds is the number of ends that one response lists.
	maxListedEnds = 500
)

// room is the capacity of a endpoint or the demand of a task.
type room struct {
	CPU int `json:"cpu"`
	Mem int `json:"mem_mb"`
}

// run is one run of a task at a endpoint.
type run struct {
	endpoint, task string
	number         uint32
	demand         room
	start, end     time.Time // end is zero while it runs
	how            string
	sequence       uint64
	// noted is when ack_offset reached the end; void is set if the lease lapsed before that.
	noted time.Time
	void  bool
	timer *time.Timer
}

// work says how a task behaves: how long a run takes, what it needs and whether the run fails.
type work func(task, spec string) (time.Duration, room, bool)

// endpoint is a stand-in of a endpoint that guards its room. It follows the page on running tasks.
type endpoint struct {
	id, service, address string
	zone                 string
	labels               []string
	size                 room
	work                 work
	onFailure            func(task string)
	boot                 time.Time

	mu      sync.Mutex
	running map[string]*run
	ended   []*run // not acknowledged, in order
	highest map[string]uint32
	token   uint64
	due     time.Duration // on the endpoint's clock
	last    uint64        // sequence of the last end
	changed chan struct{}
	history []*run
	beats   uint64
}

func newEndpoint(id, service, address, zone string, labels []string, size room, w work) *endpoint {
	return &endpoint{
		id: id, service: service, address: address, zone: zone, labels: labels, size: size, work: w, boot: time.Now(),
		running: make(map[string]*run), highest: make(map[string]uint32), changed: make(chan struct{}),
	}
}

// clock is the time on the endpoint's clock.
func (m *endpoint) clock() time.Duration { return time.Since(m.boot) + time.Second }

// watchLease ends runs whose lease has expired until ctx ends.
func (m *endpoint) watchLease(ctx context.Context) {
	tick := time.NewTicker(lapseInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			m.mu.Lock()
			m.lapse()
			m.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// lapse ends all runs if the lease has expired. m.mu is held.
func (m *endpoint) lapse() {
	if m.clock() <= m.due {
		return
	}
	for _, r := range m.running {
		m.finish(r, "lapsed")
	}
	for _, r := range m.history {
		if !r.end.IsZero() && r.noted.IsZero() {
			r.void = true
		}
	}
}

// extend extends the lease. m.mu is held.
func (m *endpoint) extend(dueMillis int64) {
	if due := min(time.Duration(dueMillis)*time.Millisecond, m.clock()+holdMax); due > m.due {
		m.due = due
	}
}

// finish ends a run. m.mu is held.
func (m *endpoint) finish(r *run, how string) {
	r.timer.Stop()
	delete(m.running, r.task)
	m.last++
	r.end, r.how, r.sequence = time.Now(), how, m.last
	m.highest[r.task] = max(m.highest[r.task], r.number)
	if how == "failed" {
		m.onFailure(r.task)
	}
	m.ended = append(m.ended, r)
	close(m.changed)
	m.changed = make(chan struct{})
}

type endpointCall struct {
	Task  string `json:"task"`
	Run   uint32 `json:"run"`
	Spec  string `json:"spec"`
	Due   int64  `json:"lease_end"`
	Token uint64 `json:"token"`
	Ack   uint64 `json:"ack_offset"`
	Wait  int64  `json:"wait_ms"`
}

// ServeHTTP implements http.Handler.
func (m *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var c endpointCall
	b, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(renameFields(b), &c)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get(names.ExpectedHeader); expected != "" && expected != m.id {
		w.Header().Set(names.InstanceHeader, m.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	m.mu.Lock()
	m.lapse()
	if c.Token < m.token {
		m.mu.Unlock()
		m.reply(w, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	m.token = c.Token
	status, body := http.StatusOK, map[string]any{}
	switch r.URL.Path {
	case names.Start:
		if reason := m.startRun(&c); reason != "" {
			status, body["reason"] = http.StatusConflict, reason
		}
	case names.Stop:
		m.stopRun(&c)
	case "/hold":
		m.hold(r.Context(), &c, body)
	default:
		status = http.StatusNotFound
	}
	m.mu.Unlock()
	m.reply(w, status, body)
}

func (m *endpoint) reply(w http.ResponseWriter, status int, body map[string]any) {
	body["clock_ms"] = m.clock().Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the agent sees a broken connection
}

// startRun starts a run, or returns the reason why it does not. m.mu is held.
func (m *endpoint) startRun(c *endpointCall) (reason string) {
	known := m.running[c.Task]
	if known != nil && known.number == c.Run {
		return ""
	}
	if m.clock() > time.Duration(c.Due)*time.Millisecond {
		return "late"
	}
	m.extend(c.Due)
	if known != nil || c.Run <= m.highest[c.Task] {
		return "old"
	}
	lasts, demand, fails := m.work(c.Task, c.Spec)
	used := demand
	for _, r := range m.running {
		used.CPU += r.demand.CPU
		used.Mem += r.demand.Mem
	}
	if used.CPU > m.size.CPU || used.Mem > m.size.Mem {
		return "room"
	}
	how := "done"
	if fails {
		how = "failed"
	}
	r := &run{endpoint: m.id, task: c.Task, number: c.Run, demand: demand, start: time.Now()}
	r.timer = time.AfterFunc(lasts, func() { m.endIfRunning(r, how) })
	m.running[c.Task] = r
	m.history = append(m.history, r)
	return ""
}

func (m *endpoint) endIfRunning(r *run, how string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lapse()
	if m.running[r.task] == r {
		m.finish(r, how)
	}
}

// stopRun stops a run, or makes a later start of it be refused. m.mu is held.
func (m *endpoint) stopRun(c *endpointCall) {
	m.highest[c.Task] = max(m.highest[c.Task], c.Run)
	if r := m.running[c.Task]; r != nil && r.number <= c.Run {
		time.AfterFunc(stopTime, func() { m.endIfRunning(r, "stopped") })
	}
}

// hold extends the lease, takes the acknowledgement and lists runs and ends. m.mu is held, but not
// while it waits for an end.
func (m *endpoint) hold(ctx context.Context, c *endpointCall, body map[string]any) {
	if c.Due > 0 {
		m.extend(c.Due)
	}
	kept := m.ended[:0]
	for _, r := range m.ended {
		if r.sequence > c.Ack {
			kept = append(kept, r)
		} else if !r.void {
			r.noted = time.Now()
		}
	}
	m.ended = kept
	if wait := min(time.Duration(c.Wait)*time.Millisecond, 2*time.Second); wait > 0 && len(m.ended) == 0 {
		changed := m.changed
		m.mu.Unlock()
		timer := time.NewTimer(wait)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		m.mu.Lock()
		m.lapse()
	}
	running, ended := [][]any{}, [][]any{}
	for _, r := range m.running {
		lasts, _, _ := m.work(r.task, "")
		percent := 0
		if lasts > 0 {
			percent = min(int(100*time.Since(r.start)/lasts), 99)
		}
		running = append(running, []any{r.task, r.number, "", percent, r.demand.CPU})
	}
	for _, r := range m.ended[:min(len(m.ended), maxListedEnds)] {
		ended = append(ended, []any{r.sequence, r.task, r.number, r.how, ""})
	}
	body["born"], body["running"], body["ended"] = m.boot.UnixMilli(), running, ended
}

// announce sends heartbeats to the agent at the given control address until ctx ends.
func (m *endpoint) announce(ctx context.Context, control string) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		m.beats++
		b, err := json.Marshal(map[string]any{
			"service": m.service, "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": "ready",
			"cold_remaining_ms": 0, "room": map[string]any{"cpu": m.size.CPU, "mem_mb": m.size.Mem, "gpu": 0},
			"labels": m.labels, "clock_ms": m.clock().Milliseconds(), "sequence": m.beats, "born": m.boot.UnixMilli(),
		})
		if err != nil {
			panic(err) // strings and numbers can be encoded
		}
		resp, err := client.Post("http://"+control+"/instances/"+m.id+"/heartbeat", "application/json", bytes.NewReader(b))
		if err == nil {
			_ = resp.Body.Close()
		}
		select {
		case <-time.After(beatInterval):
		case <-ctx.Done():
		}
	}
}

// runs returns copies of the runs that the endpoint has started.
func (m *endpoint) runs() []run {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lapse()
	out := make([]run, len(m.history))
	for i, r := range m.history {
		out[i] = *r
	}
	return out
}

// jobOf returns the job's id in a task's name.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// firstTask reports whether the task is the first of its step.
func firstTask(task string) bool { return strings.HasSuffix(task, ".0") }

// taskSpec is what the spec of a job in these cases says of its tasks.
type taskSpec struct {
	millis int
	demand room
	// failures is how many runs of the first task of each job fail; -1 for all of them.
	failures int
}

func (s taskSpec) String() string {
	return fmt.Sprintf("%d %d %d %d", s.millis, s.demand.CPU, s.demand.Mem, s.failures)
}

func parseSpec(spec string) (s taskSpec) {
	if _, err := fmt.Sscan(spec, &s.millis, &s.demand.CPU, &s.demand.Mem, &s.failures); err != nil {
		return taskSpec{millis: 50, demand: room{CPU: 100, Mem: 1}}
	}
	return s
}
