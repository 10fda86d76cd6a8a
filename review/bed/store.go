package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Limits of the store, as the settings name them.
const (
	recordBytes  = 262144
	callBytes    = 2097152
	appendTime   = time.Millisecond
	answerTime   = 3 * time.Millisecond
	pageItems    = 500
	pageBytes    = 1_000_000
	repeatable   = 5
	defaultFetch = 1024
)

// store is a stand-in of the platform's store, after PROTOCOL.md. Each machine reaches it at an address of its own.
type store struct {
	mu      sync.Mutex
	logs    map[string]*logPart
	groups  map[string]*ownerGroup
	changed chan struct{} // closed at the next append
	doors   map[string]*door
}

// logPart is a partition of a topic.
type logPart struct {
	mu       sync.Mutex // held while an append is processed
	records  [][]byte
	first    uint64 // first retained offset
	epoch    uint64
	sequence uint64
	replies  map[uint64]map[string]any
	newest   map[string]keyed
	keys     []string // sorted
}

type keyed struct {
	value  []byte
	offset uint64
}

type ownerGroup struct {
	generation uint64
	members    map[string]*groupMember
	parts      map[string]*groupPart // by topic and partition
}

type groupMember struct {
	expires time.Time
	known   uint64 // highest generation that it has joined with
}

type groupPart struct {
	owner   string
	revoked uint64 // generation from which it is no longer listed; 0 while it is
}

// faults are what a door does to calls.
type faults struct {
	Status  int           // answered at once without effect
	Reset   bool          // connections are reset without effect
	Silent  bool          // calls get no response and have no effect
	Slow    time.Duration // before each answer
	Lose    float64       // share of the writes that are done and not answered
	LateFor time.Duration // such a write is done up to this time later
}

// door is the address at which one machine reaches the store.
type door struct {
	store   *store
	rewrite func(topic string, record []byte) []byte // nil for none

	mu  sync.Mutex
	now faults
}

func (d *door) set(f faults) {
	d.mu.Lock()
	d.now = f
	d.mu.Unlock()
}

func newStore() *store {
	return &store{logs: make(map[string]*logPart), groups: make(map[string]*ownerGroup), changed: make(chan struct{}), doors: make(map[string]*door)}
}

// open serves the store at an address.
func (s *store) open(address string, rewrite func(topic string, record []byte) []byte) (*http.Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	d := &door{store: s, rewrite: rewrite}
	s.doors[address] = d
	server := &http.Server{Handler: d, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	return server, nil
}

func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	f := d.now
	d.mu.Unlock()
	body, err := io.ReadAll(io.LimitReader(r.Body, callBytes+1))
	if err != nil {
		return
	}
	switch {
	case f.Reset:
		if h, ok := w.(http.Hijacker); ok {
			if c, _, err := h.Hijack(); err == nil {
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			}
		}
		return
	case f.Silent:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case f.Status != 0:
		w.WriteHeader(f.Status)
		return
	}
	time.Sleep(answerTime + f.Slow)
	write := r.Method == http.MethodPost
	if write && rand.Float64() < f.Lose {
		if f.LateFor > 0 && rand.IntN(2) == 0 {
			time.AfterFunc(time.Second+time.Duration(rand.Int64N(int64(f.LateFor))), func() { d.store.handle(nil, r, body, nil) })
		} else {
			d.store.handle(nil, r, body, nil)
		}
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	d.store.handle(w, r, body, d.rewrite)
}

// handle carries out a call. w is nil if the answer is lost.
func (s *store) handle(w http.ResponseWriter, r *http.Request, body []byte, rewrite func(string, []byte) []byte) {
	q := r.URL.Query()
	number := func(name string) uint64 { n, _ := strconv.ParseUint(q.Get(name), 10, 64); return n }
	part := int(number("part"))
	reply := func(status int, v any) {
		if w == nil {
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(v)
	}
	switch r.Method + " " + r.URL.Path {
	case "POST " + names.Append:
		status, v := s.append(q.Get("topic"), part, body, q.Has("producer"), number("epoch"), number("sequence"))
		reply(status, v)
	case "GET " + names.Read:
		if w != nil {
			s.read(w, r, q.Get("topic"), part, number("from"), number("max_fetch"), time.Duration(number("wait_ms"))*time.Millisecond, rewrite)
		}
	case "GET /log-newest":
		reply(http.StatusOK, s.newest(q.Get("topic"), part, q.Get("after"), rewrite))
	case "POST /log-join", "POST /log-leave":
		var b struct {
			Group      string   `json:"group"`
			Member     string   `json:"member"`
			Topics     []string `json:"topics"`
			TTL        int64    `json:"ttl_ms"`
			Generation uint64   `json:"generation"`
		}
		if json.Unmarshal(body, &b) != nil {
			reply(http.StatusBadRequest, struct{}{})
			return
		}
		if r.URL.Path == "/log-leave" {
			s.leave(b.Group, b.Member)
			reply(http.StatusOK, struct{}{})
			return
		}
		reply(http.StatusOK, s.join(b.Group, b.Member, b.Topics, time.Duration(b.TTL)*time.Millisecond, b.Generation))
	default:
		reply(http.StatusNotFound, struct{}{})
	}
}

func (s *store) logOf(topic string, part int) *logPart {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := topic + "/" + strconv.Itoa(part)
	l := s.logs[key]
	if l == nil {
		l = &logPart{replies: make(map[uint64]map[string]any), newest: make(map[string]keyed)}
		s.logs[key] = l
	}
	return l
}

func (s *store) append(topic string, part int, body []byte, fenced bool, epoch, sequence uint64) (int, map[string]any) {
	l := s.logOf(topic, part)
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(body) > callBytes {
		return http.StatusRequestEntityTooLarge, map[string]any{}
	}
	var records [][]byte
	for b := body; len(b) > 0; {
		if len(b) < 4 || uint64(len(b)-4) < uint64(binary.BigEndian.Uint32(b)) {
			return http.StatusBadRequest, map[string]any{}
		}
		n := binary.BigEndian.Uint32(b)
		if n > recordBytes {
			return http.StatusRequestEntityTooLarge, map[string]any{}
		}
		records, b = append(records, slices.Clone(b[4:4+n])), b[4+n:]
	}
	if fenced {
		switch {
		case epoch < l.epoch:
			return http.StatusConflict, map[string]any{"reason": "fenced"}
		case epoch > l.epoch:
			l.epoch, l.sequence, l.replies = epoch, max(sequence, 1)-1, make(map[uint64]map[string]any)
		}
		if len(records) == 0 {
			return http.StatusOK, map[string]any{"offset": len(l.records), "end": len(l.records)}
		}
		if a := l.replies[sequence]; a != nil {
			return http.StatusOK, a
		}
		if sequence != l.sequence+1 {
			return http.StatusConflict, map[string]any{"reason": "seq", "sequence": l.sequence + 1}
		}
		l.sequence = sequence
	}
	time.Sleep(appendTime)
	a := map[string]any{"offset": len(l.records), "end": len(l.records) + len(records)}
	s.mu.Lock()
	for _, r := range records {
		if len(r) > 0 && len(r) >= 1+int(r[0]) {
			l.put(string(r[1:1+int(r[0])]), r[1+int(r[0]):], uint64(len(l.records)))
		}
		l.records = append(l.records, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
	if fenced {
		l.replies[sequence] = a
		delete(l.replies, sequence-repeatable)
	}
	return http.StatusOK, a
}

func (l *logPart) put(key string, value []byte, offset uint64) {
	i, found := slices.BinarySearch(l.keys, key)
	switch {
	case len(value) == 0 && found:
		l.keys = slices.Delete(l.keys, i, i+1)
		delete(l.newest, key)
	case len(value) > 0:
		if !found {
			l.keys = slices.Insert(l.keys, i, key)
		}
		l.newest[key] = keyed{value, offset}
	}
}

func (s *store) read(w http.ResponseWriter, r *http.Request, topic string, part int, from, fetch uint64, wait time.Duration, rewrite func(string, []byte) []byte) {
	if fetch == 0 {
		fetch = defaultFetch
	}
	l, timeout := s.logOf(topic, part), time.After(wait)
	for {
		s.mu.Lock()
		changed, end, first := s.changed, uint64(len(l.records)), l.first
		var records [][]byte
		if from < end && from >= first {
			records = l.records[from:min(end, from+fetch)]
		}
		s.mu.Unlock()
		if from < first {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusGone)
			_ = json.NewEncoder(w).Encode(map[string]any{"first": first})
			return
		}
		b := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, end), first)
		for _, record := range records {
			if rewrite != nil {
				record = rewrite(topic, record)
			}
			b = append(binary.BigEndian.AppendUint32(b, uint32(len(record))), record...)
		}
		if len(records) > 0 {
			_, _ = w.Write(b)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			_, _ = w.Write(b)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) newest(topic string, part int, after string, rewrite func(string, []byte) []byte) map[string]any {
	l := s.logOf(topic, part)
	s.mu.Lock()
	defer s.mu.Unlock()
	i, found := slices.BinarySearch(l.keys, after)
	if found {
		i++
	}
	items, size := []map[string]any{}, 0
	for ; i < len(l.keys) && len(items) < pageItems && size < pageBytes; i++ {
		k, key := l.newest[l.keys[i]], l.keys[i]
		if rewrite != nil {
			k.value, key = rewrite(topic, k.value), string(rewrite(topic, []byte(key)))
		}
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(k.value), "offset": k.offset})
		size += len(k.value)
	}
	return map[string]any{"items": items, "more": i < len(l.keys), "end": len(l.records)}
}

// forget drops the history of all partitions of all topics; the newest records stay.
func (s *store) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.logs {
		l.first = uint64(len(l.records))
	}
}

func (s *store) join(name, member string, topics []string, ttl time.Duration, generation uint64) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[name]
	if g == nil {
		g = &ownerGroup{members: make(map[string]*groupMember), parts: make(map[string]*groupPart)}
		s.groups[name] = g
	}
	for _, t := range topics {
		for i := range partitions {
			if key := t + "/" + strconv.Itoa(i); g.parts[key] == nil {
				g.parts[key] = &groupPart{}
			}
		}
	}
	m := g.members[member]
	if m == nil {
		m = &groupMember{}
		g.members[member] = m
		g.generation++
	}
	m.expires, m.known = time.Now().Add(ttl), max(m.known, generation)
	g.balance()
	rows := [][]any{}
	for _, t := range topics {
		for i := range partitions {
			if p := g.parts[t+"/"+strconv.Itoa(i)]; p.owner == member && p.revoked == 0 {
				rows = append(rows, []any{t, i, 0})
			}
		}
	}
	return map[string]any{"generation": g.generation, "parts": rows}
}

// balance passes partitions on: those of members that are gone or that have given them up, and marks those to be given up.
func (g *ownerGroup) balance() {
	now := time.Now()
	names := []string{}
	for name, m := range g.members {
		if now.After(m.expires) {
			delete(g.members, name)
			g.generation++
			continue
		}
		names = append(names, name)
	}
	if len(names) == 0 {
		return
	}
	slices.Sort(names)
	keys := make([]string, 0, len(g.parts))
	for key := range g.parts {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	changed := false
	for i, key := range keys {
		p, next := g.parts[key], names[i%len(names)]
		owner := g.members[p.owner]
		switch {
		case p.owner == next:
			changed, p.revoked = changed || p.revoked != 0, 0
		case owner == nil || p.revoked != 0 && owner.known >= p.revoked:
			p.owner, p.revoked, changed = next, 0, true
		case p.revoked == 0:
			p.revoked, changed = g.generation+1, true
		}
	}
	if changed {
		g.generation++
	}
}

func (s *store) leave(name, member string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.groups[name]; g != nil && g.members[member] != nil {
		delete(g.members, member)
		g.generation++
		g.balance()
	}
}

// deal assigns all partitions anew at once, to other members where there are any.
func (s *store) deal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.groups {
		names := []string{}
		for name := range g.members {
			names = append(names, name)
		}
		if len(names) < 2 {
			continue
		}
		slices.Sort(names)
		for _, p := range g.parts {
			i := slices.Index(names, p.owner)
			p.owner, p.revoked = names[(i+1+rand.IntN(len(names)-1))%len(names)], 0
		}
		g.generation++
	}
}

// putConfig writes a configuration as the operator does.
func (s *store) putConfig(version int, routes []map[string]any) {
	b, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": []map[string]any{{"name": serviceName, names.Guards: true}},
		"limits": map[string]any{"max_body_bytes": 262144},
	})
	record := append(append([]byte{byte(len("config"))}, "config"...), b...)
	s.append("keyed.op", 0, append(binary.BigEndian.AppendUint32(nil, uint32(len(record))), record...), false, 0, 0)
}

func routeOf(name, prefix string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": queueHost, "path_prefix": prefix, "service": serviceName, "timeout_ms": 10000,
		"target_latency_ms": 60, "attempts": attempts, "stretch": 1.6, "priority": 1,
	}
}
