package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Bounds of the small sites.
const (
	holdMax       = time.Second
	beatInterval  = 1500 * time.Millisecond
	stopTime      = 20 * time.Millisecond
	maxListedEnds = 500
	maxWait       = 2 * time.Second

	lateOrderMin    = 2 * time.Second
	lateOrderSpread = 10 * time.Second
)

type resources struct {
	CPU int `json:"cpu"`
	Mem int `json:"mem_mb"`
}

// run is a run of a task as the worker sees it.
type run struct {
	worker     int
	task       string
	number     int
	res        resources
	start, end time.Time
	how        string // empty while it runs
	sequence   int
	ackedAt    time.Time
	// lapsed is set if the lease has lapsed between the end and ackedAt.
	lapsed bool
	work   time.Duration
	timer  *time.Timer
}

// noted reports whether the end is taken note of, as the rules say.
func (r *run) noted() bool { return !r.ackedAt.IsZero() && !r.lapsed }

// worker is a stand-in of a worker.
type worker struct {
	index            int
	address, control string
	room             resources
	labels           []string
	rec              *recorder

	crashing sync.Mutex // held while it is down
	mu       sync.Mutex
	id       string
	born     time.Time
	server   *http.Server
	down     bool
	late     float64 // share of the orders that get no answer and are carried out late
	// lateHolds is set if calls that only extend the lease are among them.
	lateHolds bool
	wake      chan struct{} // sends a heartbeat now
	sequence  int           // of heartbeats
	draining  bool
	fence     uint64
	leaseEnd  time.Time
	lease     *time.Timer
	running   map[string]*run
	ended     []*run // not yet acknowledged
	ends      int
	highest   map[string]int
	changed   chan struct{}
	history   []*run
	guards    bool
	overRoom  []string // starts beyond the room
}

func newWorker(i int, address, control string, room resources, labels []string, rec *recorder) *worker {
	return &worker{
		index: i, address: address, control: control, room: room, labels: labels, rec: rec, id: fmt.Sprintf("i-%08x", rand.Uint32()),
		born: time.Now(), running: make(map[string]*run), highest: make(map[string]int), changed: make(chan struct{}),
		wake: make(chan struct{}, 1),
	}
}

// up starts to listen.
func (m *worker) up(ctx context.Context) error {
	l, err := net.Listen("tcp", m.address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: m, ReadHeaderTimeout: time.Minute}
	context.AfterFunc(ctx, func() { _ = s.Close() })
	m.mu.Lock()
	m.server = s
	m.mu.Unlock()
	go func() { _ = s.Serve(l) }()
	return nil
}

// crash ends the worker with all its runs. It is back after the given time, under its id if keepID is set.
func (m *worker) crash(ctx context.Context, down time.Duration, keepID bool) {
	m.crashing.Lock()
	defer m.crashing.Unlock()
	m.mu.Lock()
	m.rec.line("crash worker=%d", m.index)
	m.down = true
	_ = m.server.Close()
	for _, r := range m.running {
		r.timer.Stop()
		r.end, r.how, r.lapsed = time.Now(), "crashed", true
	}
	for _, r := range m.ended {
		r.lapsed = true
	}
	if m.lease != nil {
		m.lease.Stop()
	}
	m.running, m.ended, m.leaseEnd = make(map[string]*run), nil, time.Time{}
	m.mu.Unlock()
	time.Sleep(down)
	m.mu.Lock()
	if !keepID {
		m.id = fmt.Sprintf("i-%08x", rand.Uint32())
	}
	m.born, m.sequence, m.fence, m.down, m.ends, m.highest = time.Now(), 0, 0, false, 0, make(map[string]int)
	m.mu.Unlock()
	for m.up(ctx) != nil && ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
	}
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// clock returns the worker's clock, which starts at 1 s.
func (m *worker) clock() int64 { return time.Since(m.born).Milliseconds() + 1000 }

// beat sends heartbeats until ctx ends.
func (m *worker) beat(ctx context.Context) {
	h := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		m.mu.Lock()
		if m.down {
			m.mu.Unlock()
			time.Sleep(20 * time.Millisecond)
			continue
		}
		m.sequence++
		state := "ready"
		if m.draining {
			state = "draining"
		}
		b, _ := json.Marshal(map[string]any{ // cannot fail
			"service": serviceName, "address": m.address, "zone": zone, "version": "v1", "slots": 8, "state": state,
			"cold_remaining_ms": 0, "room": map[string]int{"cpu": m.room.CPU, "mem_mb": m.room.Mem, "gpu": 0}, "labels": m.labels,
			"clock_ms": m.clock(), "sequence": m.sequence, "born": m.born.UnixMilli(),
		})
		url := "http://" + m.control + "/instances/" + m.id + "/heartbeat"
		m.mu.Unlock()
		if r, err := h.Post(url, "application/json", bytes.NewReader(b)); err == nil {
			_ = r.Body.Close()
		}
		select {
		case <-m.wake:
		case <-time.After(beatInterval):
		case <-ctx.Done():
		}
	}
}

type callBody struct {
	Task   string `json:"task"`
	Run    int    `json:"run"`
	Spec   string `json:"spec"`
	Due    int64  `json:"-"`
	Fence  uint64 `json:"-"`
	Ack    int    `json:"ack_offset"`
	WaitMS int64  `json:"wait_ms"`
}

// ServeHTTP serves the calls of the agent.
func (m *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var b callBody
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	late := m.late > 0 && rand.Float64() < m.late && (r.URL.Path != "/hold" || m.lateHolds)
	m.mu.Unlock()
	if late {
		m.rec.line("late call %s worker=%d task=%s run=%d", r.URL.Path, m.index, b.Task, b.Run)
		again := &http.Request{URL: r.URL, Header: r.Header.Clone()}
		time.AfterFunc(lateOrderMin+time.Duration(rand.Float64()*float64(lateOrderSpread)), func() {
			m.serve(newDiscard(), again.WithContext(context.Background()), b)
		})
		hang(r, silentDuration)
	}
	m.serve(w, r, b)
}

// serve carries out a call.
func (m *worker) serve(w http.ResponseWriter, r *http.Request, b callBody) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return
	}
	if expected := r.Header.Get(names.ExpectedHeader); expected != "" && expected != m.id {
		w.Header().Set(names.InstanceHeader, m.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	m.expire()
	if b.Fence < m.fence {
		m.reply(w, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	m.fence = b.Fence
	switch r.URL.Path {
	case names.Start:
		if reason := m.startRun(&b); reason != "" {
			m.reply(w, http.StatusConflict, map[string]any{"reason": reason})
			return
		}
		m.reply(w, http.StatusOK, map[string]any{})
	case names.Stop:
		m.stopRun(&b)
		m.reply(w, http.StatusOK, map[string]any{})
	case "/hold":
		m.hold(r.Context(), &b)
		m.reply(w, http.StatusOK, m.lists())
	default:
		http.NotFound(w, r)
	}
}

func (m *worker) reply(w http.ResponseWriter, status int, body map[string]any) {
	body["clock_ms"] = m.clock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller has gone
}

// extend extends the lease to a time on the worker's clock.
func (m *worker) extend(due int64) {
	if due <= 0 {
		return
	}
	end := m.born.Add(time.Duration(due-1000) * time.Millisecond)
	if latest := time.Now().Add(holdMax); end.After(latest) {
		end = latest
	}
	if !end.After(m.leaseEnd) {
		return
	}
	m.leaseEnd = end
	if m.lease != nil {
		m.lease.Stop()
	}
	m.lease = time.AfterFunc(time.Until(end), func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.expire()
	})
}

// expire ends all runs if the lease has lapsed.
func (m *worker) expire() {
	if time.Now().Before(m.leaseEnd) {
		return
	}
	for _, r := range m.ended {
		r.lapsed = true
	}
	for _, r := range m.running {
		m.endRun(r, "lapsed")
	}
}

func (m *worker) used() (u resources) {
	for _, r := range m.running {
		u.CPU, u.Mem = u.CPU+r.res.CPU, u.Mem+r.res.Mem
	}
	return u
}

// startRun starts a run, or returns why it does not.
func (m *worker) startRun(b *callBody) string {
	if r := m.running[b.Task]; r != nil && r.number == b.Run {
		m.extend(b.Due)
		return ""
	}
	if m.clock() > b.Due {
		return "late"
	}
	m.extend(b.Due)
	if b.Run <= m.highest[b.Task] || m.running[b.Task] != nil {
		return "old"
	}
	r := &run{worker: m.index, task: b.Task, number: b.Run, start: time.Now()}
	var ms int
	outcome := "done"
	if _, err := fmt.Sscanf(b.Spec, "ms=%d cpu=%d mem=%d end=%s", &ms, &r.res.CPU, &r.res.Mem, &outcome); err != nil {
		return "room"
	}
	if u := m.used(); u.CPU+r.res.CPU > m.room.CPU || u.Mem+r.res.Mem > m.room.Mem {
		if m.guards {
			return "room"
		}
		m.overRoom = append(m.overRoom, fmt.Sprintf("LIMIT worker %d: the start of task %s run %d brings it to %d of %d",
			m.index, b.Task, b.Run, u.CPU+r.res.CPU, m.room.CPU))
	}
	r.work = time.Duration(ms) * time.Millisecond
	m.running[b.Task] = r
	m.history = append(m.history, r)
	m.rec.line("start worker=%d task=%s run=%d", m.index, r.task, r.number)
	r.timer = time.AfterFunc(r.work, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.expire()
		if m.running[r.task] == r {
			m.endRun(r, outcome)
		}
	})
	return ""
}

func (m *worker) endRun(r *run, how string) {
	r.timer.Stop()
	delete(m.running, r.task)
	m.ends++
	r.end, r.how, r.sequence = time.Now(), how, m.ends
	r.lapsed = how == "lapsed"
	m.highest[r.task] = max(m.highest[r.task], r.number)
	m.ended = append(m.ended, r)
	close(m.changed)
	m.changed = make(chan struct{})
	m.rec.line("end worker=%d task=%s run=%d how=%s", m.index, r.task, r.number, how)
}

func (m *worker) stopRun(b *callBody) {
	m.highest[b.Task] = max(m.highest[b.Task], b.Run)
	r := m.running[b.Task]
	if r == nil || r.number > b.Run {
		return
	}
	time.AfterFunc(stopTime, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.running[r.task] == r {
			m.endRun(r, "stopped")
		}
	})
}

// hold extends the lease, forgets acknowledged ends and waits for an end.
func (m *worker) hold(ctx context.Context, b *callBody) {
	m.extend(b.Due)
	kept := m.ended[:0]
	for _, r := range m.ended {
		if r.sequence <= b.Ack {
			r.ackedAt = time.Now()
			if r.how == "done" || r.how == "failed" {
				m.rec.line("noted worker=%d task=%s run=%d how=%s lapsed=%t", m.index, r.task, r.number, r.how, r.lapsed)
			}
			continue
		}
		kept = append(kept, r)
	}
	m.ended = kept
	if b.WaitMS <= 0 || len(m.ended) > 0 {
		return
	}
	changed, timer := m.changed, time.NewTimer(min(time.Duration(b.WaitMS)*time.Millisecond, maxWait))
	defer timer.Stop()
	m.mu.Unlock()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	m.mu.Lock()
	m.expire()
}

func (m *worker) lists() map[string]any {
	running, ended := [][]any{}, [][]any{}
	for _, r := range m.running {
		percent := min(int(100*time.Since(r.start)/max(r.work, 1)), 99)
		running = append(running, []any{r.task, r.number, "", percent, r.res.CPU})
	}
	for _, r := range m.ended[:min(len(m.ended), maxListedEnds)] {
		ended = append(ended, []any{r.sequence, r.task, r.number, r.how, ""})
	}
	return map[string]any{"born": m.born.UnixMilli(), "running": running, "ended": ended}
}

// runs returns a copy of the history.
func (m *worker) runs() []run {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	out := make([]run, len(m.history))
	for i, r := range m.history {
		out[i] = *r
	}
	return out
}

// spec returns a spec of the given size for a task.
func spec(ms int, res resources, outcome string, size int) string {
	s := fmt.Sprintf("ms=%d cpu=%d mem=%d end=%s ", ms, res.CPU, res.Mem, outcome)
	return s + strings.Repeat("x", max(size-len(s), 0))
}
