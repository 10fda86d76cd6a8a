package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	holdMax        = time.Second
	heartbeatEvery = 1500 * time.Millisecond
	maxEnds        = 500
	stopTime       = 5 * time.Millisecond
	crashTime      = 8 * time.Second // a worker that a task has crashed is back after it
)

// work is what the spec of a job tells a worker: how long a task works, what it needs, and whether it fails.
type work struct {
	MS     int  `json:"ms"`
	Spread int  `json:"spread,omitempty"` // up to so many ms more, which depends on the task
	CPU    int  `json:"cpu"`
	Mem    int  `json:"mem"`
	Fails  bool `json:"fails"`
	Crash  int  `json:"crash,omitempty"` // so many ms after its start the task crashes the worker
}

// lengthOf returns how long a task works.
func (k *work) lengthOf(task string) time.Duration {
	ms := k.MS
	if k.Spread > 0 {
		h := fnv.New32a()
		_, _ = h.Write([]byte(task))
		ms += int(h.Sum32()) % k.Spread
	}
	return time.Duration(ms) * time.Millisecond
}

// run is one run of a task at a worker.
type run struct {
	task    string
	number  uint32
	cpu     int
	mem     int
	started time.Duration // in time of the record
	ended   time.Duration
	how     string // empty while it runs
	end     uint64 // number of its end
	noted   bool   // ack_offset has reached its end while the lease had not lapsed since
	lapsed  bool   // the lease has lapsed since its end
	timer   *time.Timer
	length  time.Duration
	spec    string
	worker  string
	life    int
}

// worker is a stand-in of a worker. It guards its room.
type worker struct {
	rec     *record
	id      string
	app     string // address of its interface
	control string // address of the agent
	service string
	labels  []string
	cpu     int
	mem     int

	mu          sync.Mutex
	born        time.Time
	sequence    uint64
	token       uint64
	due         time.Duration // on the worker's clock, which starts with born
	running     map[string]*run
	highest     map[string]uint32 // number of the highest run of a task that was stopped or has ended
	ends        []*run            // that are not forgotten
	endCount    uint64
	listed      uint64 // number of the last end that an answer has listed
	usedCPU     int
	usedMem     int
	history     []*run
	changed     chan struct{}
	server      *http.Server
	stopped     chan struct{}
	life        int
	name        string // of the machine; the id of a life follows from it
	draining    bool
	onCrash     func(r *run)  // called when a task is about to crash the worker; nil for none
	acked       chan struct{} // closed when a draining heartbeat was acknowledged
	hanging     bool          // calls get no answer and have no effect
	late        float64       // share of the starts that get no answer and are carried out later
	beatAckedAt time.Duration // when the last heartbeat was acknowledged, in time of the record
	mute        chan struct{} // closed when this life's heartbeats are to end
}

func newWorker(rec *record, id, app, control, service string, labels []string, cpu, mem int) *worker {
	return &worker{
		rec: rec, id: id, app: app, control: control, service: service, labels: labels, cpu: cpu, mem: mem,
		running: make(map[string]*run), highest: make(map[string]uint32), changed: make(chan struct{}), stopped: make(chan struct{}),
	}
}

// start serves the interface and sends heartbeats until close is called.
func (m *worker) start() error {
	l, err := net.Listen("tcp", m.app)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.name, m.born, m.mute = m.id, time.Now(), make(chan struct{})
	m.mu.Unlock()
	m.serveOn(l)
	go m.heartbeats()
	go m.watchLease()
	return nil
}

func (m *worker) serveOn(l net.Listener) {
	s := &http.Server{Handler: http.HandlerFunc(m.serve), ReadHeaderTimeout: time.Minute}
	m.mu.Lock()
	m.server = s
	m.mu.Unlock()
	go func() { _ = s.Serve(l) }()
}

// crash ends this life, and all that runs, and begins another one after the given time, under the same id or a new one.
func (m *worker) crash(sameID bool, down time.Duration) {
	m.mu.Lock()
	select {
	case <-m.mute:
		m.mu.Unlock()
		return
	default:
	}
	m.rec.logf("%s crashes for %v, same id %v", m.id, down, sameID)
	m.dieLocked()
	server := m.server
	m.mu.Unlock()
	_ = server.Close()
	time.AfterFunc(down, func() { m.live(sameID) })
}

func (m *worker) dieLocked() {
	for _, r := range m.running {
		r.timer.Stop()
		r.how, r.ended = "crashed", m.rec.now()
	}
	close(m.mute)
	m.running, m.highest, m.ends, m.endCount, m.listed = make(map[string]*run), make(map[string]uint32), nil, 0, 0
	m.usedCPU, m.usedMem, m.token, m.due, m.sequence, m.draining, m.hanging = 0, 0, 0, 0, 0, false, false
	m.life++
}

func (m *worker) live(sameID bool) {
	select {
	case <-m.stopped:
		return
	default:
	}
	l, err := net.Listen("tcp", m.app)
	if err != nil {
		m.rec.logf("%s cannot start again: %v", m.id, err)
		return
	}
	m.mu.Lock()
	if !sameID {
		m.id = fmt.Sprintf("%s%02x", m.name, m.life)
	}
	m.born, m.mute = time.Now(), make(chan struct{})
	m.rec.logf("%s starts", m.id)
	m.mu.Unlock()
	m.serveOn(l)
	go m.heartbeats()
}

// leave drains the worker, which serves for 2 s and extra after the acknowledgement, and deregisters. Another one comes 1 s later.
func (m *worker) leave(extra time.Duration) {
	m.mu.Lock()
	if m.draining {
		m.mu.Unlock()
		return
	}
	m.draining, m.acked = true, make(chan struct{})
	acked, id := m.acked, m.id
	m.rec.logf("%s drains", m.id)
	m.mu.Unlock()
	go func() {
		select {
		case <-acked:
		case <-time.After(5 * time.Second):
		case <-m.stopped:
			return
		}
		m.rec.logf("%s: draining is acknowledged", id)
		time.Sleep(2*time.Second + extra)
		c := &http.Client{Timeout: time.Second}
		if resp, err := c.Post("http://"+m.control+"/instances/"+id+"/deregister", "application/json", nil); err == nil {
			_ = resp.Body.Close()
		}
		m.mu.Lock()
		if m.id != id || !m.draining {
			m.mu.Unlock()
			return
		}
		m.rec.logf("%s leaves", m.id)
		m.dieLocked()
		server := m.server
		m.mu.Unlock()
		_ = server.Close()
		time.AfterFunc(time.Second, func() { m.live(false) })
	}()
}

func (m *worker) set(hanging bool, late float64) {
	m.mu.Lock()
	m.hanging, m.late = hanging, late
	m.mu.Unlock()
}

func (m *worker) close() {
	close(m.stopped)
	m.mu.Lock()
	server := m.server
	m.mu.Unlock()
	_ = server.Close()
}

func (m *worker) clock() time.Duration { return time.Since(m.born) }

func (m *worker) heartbeats() {
	c := &http.Client{Timeout: time.Second}
	m.mu.Lock()
	mute := m.mute
	m.mu.Unlock()
	for {
		m.mu.Lock()
		select {
		case <-mute:
			m.mu.Unlock()
			return
		default:
		}
		m.sequence++
		state, id, acked := "ready", m.id, m.acked
		if m.draining {
			state = "draining"
		}
		b, _ := json.Marshal(map[string]any{
			"service": m.service, "address": m.app, "zone": "zone-a", "version": "v1", "slots": 8, "state": state,
			"cold_remaining_ms": 0, "room": map[string]any{"cpu": m.cpu, "mem_mb": m.mem, "gpu": 0}, "labels": m.labels,
			"clock_ms": m.clock().Milliseconds(), "sequence": m.sequence, "born": m.born.UnixMilli(),
		})
		m.mu.Unlock()
		wait := heartbeatEvery
		resp, err := c.Post("http://"+m.control+"/instances/"+id+"/heartbeat", "application/json", bytes.NewReader(b))
		if err != nil {
			wait = 200 * time.Millisecond
		} else {
			_ = resp.Body.Close()
			if resp.StatusCode/100 == 2 {
				m.mu.Lock()
				m.beatAckedAt = m.rec.now()
				m.mu.Unlock()
			}
			if state == "draining" && resp.StatusCode/100 == 2 {
				select {
				case <-acked:
				default:
					close(acked)
				}
			}
		}
		select {
		case <-time.After(wait):
		case <-mute:
			return
		case <-m.stopped:
			return
		}
	}
}

func (m *worker) watchLease() {
	for {
		select {
		case <-time.After(5 * time.Millisecond):
		case <-m.stopped:
			return
		}
		m.mu.Lock()
		if m.clock() > m.due {
			for _, r := range m.running {
				m.endLocked(r, "lapsed")
			}
			for _, r := range m.ends {
				r.lapsed = true
			}
		}
		m.mu.Unlock()
	}
}

func (m *worker) endLocked(r *run, how string) {
	if r.how != "" {
		return
	}
	r.timer.Stop()
	m.endCount++
	r.how, r.ended, r.end = how, m.rec.now(), m.endCount
	delete(m.running, r.task)
	m.highest[r.task] = max(m.highest[r.task], r.number)
	m.usedCPU -= r.cpu
	m.usedMem -= r.mem
	m.ends = append(m.ends, r)
	close(m.changed)
	m.changed = make(chan struct{})
}

// order is the body of a call to a worker.
type order struct {
	Task  string
	Run   uint32
	Spec  string
	Due   int64 // ms
	Token uint64
	Ack   uint64
	Wait  int64 // ms
}

// UnmarshalJSON implements json.Unmarshaler.
func (o *order) UnmarshalJSON(b []byte) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(b, &fields); err != nil {
		return err
	}
	for name, target := range map[string]any{
		"task": &o.Task, "run": &o.Run, "spec": &o.Spec, names.Due: &o.Due, names.Token: &o.Token, "ack_offset": &o.Ack, "wait_ms": &o.Wait,
	} {
		if raw, ok := fields[name]; ok {
			if err := json.Unmarshal(raw, target); err != nil {
				return err
			}
		}
	}
	return nil
}

func (m *worker) serve(w http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	known, hanging, lateShare := m.id, m.hanging, m.late
	m.mu.Unlock()
	id := r.Header.Get(names.ExpectedHeader)
	if id != "" && id != known {
		w.Header().Set(names.InstanceHeader, known)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 4<<20)).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if hanging {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == names.Start && rand.Float64() < lateShare {
		time.AfterFunc(2*time.Second+time.Duration(rand.Int64N(int64(4*time.Second))), func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.id != id || o.Token < m.token {
				return
			}
			m.token = o.Token
			passed := time.Duration(o.Due)*time.Millisecond < m.clock()
			m.due = max(m.due, min(time.Duration(o.Due)*time.Millisecond, m.clock()+holdMax))
			status, reason := m.startLocked(&o, passed)
			m.rec.logf("%s carries out a late start of %s run %d: %d %s", m.id, o.Task, o.Run, status, reason)
		})
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	m.mu.Lock()
	if o.Token < m.token {
		m.mu.Unlock()
		m.answer(w, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	m.token = o.Token
	late := time.Duration(o.Due)*time.Millisecond < m.clock()
	if o.Due > 0 {
		m.due = max(m.due, min(time.Duration(o.Due)*time.Millisecond, m.clock()+holdMax))
	}
	m.mu.Unlock()
	switch r.URL.Path {
	case names.Start:
		m.serveStart(w, &o, late)
	case names.Stop:
		m.mu.Lock()
		if r := m.running[o.Task]; r != nil && r.number <= o.Run {
			life := m.life
			time.AfterFunc(stopTime, func() {
				m.mu.Lock()
				defer m.mu.Unlock()
				if m.life == life {
					m.endLocked(r, "stopped")
				}
			})
		}
		m.highest[o.Task] = max(m.highest[o.Task], o.Run)
		m.mu.Unlock()
		m.answer(w, http.StatusOK, nil)
	case "/hold":
		m.serveHold(w, r, &o)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (m *worker) serveStart(w http.ResponseWriter, o *order, late bool) {
	m.mu.Lock()
	status, reason := m.startLocked(o, late)
	m.mu.Unlock()
	fields := map[string]any{}
	if reason != "" {
		fields["reason"] = reason
	}
	m.answer(w, status, fields)
}

func (m *worker) startLocked(o *order, late bool) (status int, reason string) {
	var k work
	if err := json.Unmarshal([]byte(o.Spec), &k); err != nil {
		return http.StatusBadRequest, ""
	}
	if known := m.running[o.Task]; known != nil && known.number == o.Run {
		return http.StatusOK, ""
	}
	switch {
	case late:
		return http.StatusConflict, "late"
	case o.Run <= m.highest[o.Task], m.running[o.Task] != nil:
		return http.StatusConflict, "old"
	case m.usedCPU+k.CPU > m.cpu || m.usedMem+k.Mem > m.mem:
		return http.StatusConflict, "room"
	}
	r := &run{task: o.Task, number: o.Run, cpu: k.CPU, mem: k.Mem, started: m.rec.now(), length: k.lengthOf(o.Task), spec: o.Spec, worker: m.id, life: m.life}
	m.running[o.Task] = r
	m.usedCPU += k.CPU
	m.usedMem += k.Mem
	m.history = append(m.history, r)
	if k.Crash > 0 {
		time.AfterFunc(time.Duration(k.Crash)*time.Millisecond, func() {
			m.mu.Lock()
			runs, onCrash := m.running[o.Task] == r, m.onCrash
			m.mu.Unlock()
			if !runs {
				return
			}
			if onCrash != nil {
				onCrash(r)
			}
			m.crash(false, crashTime)
		})
	}
	how := "done"
	if k.Fails {
		how = "failed"
	}
	r.timer = time.AfterFunc(r.length, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.life == r.life && m.clock() <= m.due {
			m.endLocked(r, how)
		}
	})
	return http.StatusOK, ""
}

func (m *worker) serveHold(w http.ResponseWriter, r *http.Request, o *order) {
	m.mu.Lock()
	kept := m.ends[:0]
	for _, e := range m.ends {
		if e.end <= o.Ack {
			e.noted = !e.lapsed
		} else {
			kept = append(kept, e)
		}
	}
	m.ends = kept
	changed, unlisted := m.changed, m.endCount > m.listed
	m.mu.Unlock()
	if o.Wait > 0 && !unlisted {
		select {
		case <-changed:
		case <-time.After(time.Duration(o.Wait) * time.Millisecond):
		case <-r.Context().Done():
		}
	}
	running, ended := [][]any{}, [][]any{}
	m.mu.Lock()
	for _, e := range m.running {
		percent := int(min(99, 100*(m.rec.now()-e.started)/max(e.length, 1)))
		running = append(running, []any{e.task, e.number, "", percent, e.cpu})
	}
	for _, e := range m.ends[:min(len(m.ends), maxEnds)] {
		ended = append(ended, []any{e.end, e.task, e.number, e.how, ""})
		m.listed = max(m.listed, e.end)
	}
	m.mu.Unlock()
	m.answer(w, http.StatusOK, map[string]any{"running": running, "ended": ended, "born": m.born.UnixMilli()})
}

func (m *worker) answer(w http.ResponseWriter, status int, fields map[string]any) {
	if fields == nil {
		fields = map[string]any{}
	}
	fields["clock_ms"] = m.clock().Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(fields)
}

// runs returns a copy of the runs so far.
func (m *worker) runs() []run {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]run, 0, len(m.history))
	for _, r := range m.history {
		out = append(out, *r)
	}
	return out
}

// writeHistory adds the runs to the record.
func (m *worker) writeHistory() {
	for _, r := range m.runs() {
		m.rec.logf("%s ran %s run %d from %.3f to %.3f: %s, noted %v", r.worker, r.task, r.number, r.started.Seconds(), r.ended.Seconds(),
			fmt.Sprintf("%q", r.how), r.noted)
	}
}
