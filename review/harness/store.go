package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// repeatedAppends is the number of the last appends of a producer whose repeats get the first
	// response again.
	repeatedAppends = 5
	// newestItems is the number of records on one page of the newest records.
	newestItems = 500
	maxCall     = 2 << 20
)

// store is a stand-in of the platform's metadata store. It follows the page on the store; records do
// not expire within the time of a case.
type store struct {
	parts int
	delay time.Duration // of each answer

	mu        sync.Mutex
	down      bool
	downSince time.Time
	logs      map[string]*partition
	groups    map[string]*group
	appended  chan struct{}
}

// partition is one partition of a topic.
type partition struct {
	records  [][]byte
	epoch    uint64
	sequence uint64
	replies  map[uint64]offsets
}

type offsets struct {
	Offset uint64 `json:"offset"`
	End    uint64 `json:"end"`
}

// group deals the partitions of a topic to its members. The generation increases with each change of
// the members and of a holder.
type group struct {
	generation uint64
	members    map[string]*member
	holder     []string // by partition; empty if nobody holds it
	target     []string // who shall hold it
	since      []uint64 // generation from which the holder is not the target any more
}

type member struct {
	expires time.Time
	known   uint64 // latest generation that the member has sent
}

func newStore(parts int, delay time.Duration) *store {
	return &store{parts: parts, delay: delay, logs: make(map[string]*partition), groups: make(map[string]*group), appended: make(chan struct{})}
}

// setDown makes the store answer every call with 503, or serve again. The times of the members of groups
// pause meanwhile.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if down {
		s.downSince = time.Now()
	} else if s.down {
		for _, g := range s.groups {
			for _, m := range g.members {
				m.expires = m.expires.Add(time.Since(s.downSince))
			}
		}
	}
	s.down = down
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	time.Sleep(s.delay)
	if down {
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "POST " + names.Append:
		s.append(w, r)
	case "GET " + names.Read:
		s.read(w, r)
	case "GET /log-newest":
		s.newest(w, r)
	case "POST /log-join":
		s.join(w, r)
	case "POST /log-leave":
		s.leave(w, r)
	default:
		http.NotFound(w, r)
	}
}

// log returns a partition. s.mu is held.
func (s *store) log(r *http.Request) *partition {
	key := r.URL.Query().Get("topic") + "/" + r.URL.Query().Get("part")
	l := s.logs[key]
	if l == nil {
		l = &partition{replies: make(map[uint64]offsets)}
		s.logs[key] = l
	}
	return l
}

func number(r *http.Request, name string) uint64 {
	n, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCall))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var records [][]byte
	for b := body; len(b) > 0; {
		if len(b) < 4 || uint64(len(b)-4) < uint64(binary.BigEndian.Uint32(b)) {
			http.Error(w, "a record is cut off", http.StatusBadRequest)
			return
		}
		n := binary.BigEndian.Uint32(b)
		records = append(records, slices.Clone(b[4:4+n]))
		b = b[4+n:]
	}
	s.mu.Lock()
	status, reply := s.log(r).add(records, r.URL.Query().Has("producer"), number(r, "epoch"), number(r, "sequence"))
	if status == http.StatusOK {
		close(s.appended)
		s.appended = make(chan struct{})
	}
	s.mu.Unlock()
	answer(w, status, reply)
}

// add appends records, of a producer if fenced.
func (l *partition) add(records [][]byte, fenced bool, epoch, sequence uint64) (status int, reply any) {
	if fenced {
		switch {
		case epoch < l.epoch:
			return http.StatusConflict, map[string]any{"reason": "fenced"}
		case epoch > l.epoch:
			l.epoch, l.replies, l.sequence = epoch, make(map[uint64]offsets), max(sequence, 1)-1
		}
		if len(records) == 0 {
			return http.StatusOK, offsets{uint64(len(l.records)), uint64(len(l.records))}
		}
		if o, ok := l.replies[sequence]; ok {
			return http.StatusOK, o
		}
		if sequence != l.sequence+1 {
			return http.StatusConflict, map[string]any{"reason": "seq", "sequence": l.sequence + 1}
		}
		l.sequence = sequence
	}
	o := offsets{Offset: uint64(len(l.records)), End: uint64(len(l.records) + len(records))}
	l.records = append(l.records, records...)
	if fenced {
		l.replies[sequence] = o
		if sequence > repeatedAppends {
			delete(l.replies, sequence-repeatedAppends)
		}
	}
	return http.StatusOK, o
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	from := number(r, "from")
	timeout := time.NewTimer(time.Duration(number(r, "wait_ms")) * time.Millisecond)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		l, appended := s.log(r), s.appended
		end := uint64(len(l.records))
		b := binary.BigEndian.AppendUint64(nil, end)
		b = binary.BigEndian.AppendUint64(b, 0)
		for _, record := range l.records[min(from, end):] {
			b = append(binary.BigEndian.AppendUint32(b, uint32(len(record))), record...)
		}
		s.mu.Unlock()
		if from < end {
			_, _ = w.Write(b) // a client that is gone reads again
			return
		}
		select {
		case <-appended:
		case <-timeout.C:
			_, _ = w.Write(b)
			return
		case <-r.Context().Done():
			return
		}
	}
}

type newestItem struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int    `json:"offset"`
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	l := s.log(r)
	last := make(map[string]int)
	for i, record := range l.records {
		if key := string(record[1 : 1+record[0]]); len(record) == 1+len(key) {
			delete(last, key)
		} else {
			last[key] = i
		}
	}
	items := []newestItem{}
	after, more := r.URL.Query().Get("after"), false
	for _, key := range slices.Sorted(maps.Keys(last)) {
		if key <= after {
			continue
		}
		if more = len(items) == newestItems; more {
			break
		}
		items = append(items, newestItem{key, base64.StdEncoding.EncodeToString(l.records[last[key]][1+len(key):]), last[key]})
	}
	end := len(l.records)
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": items, "more": more, "end": end})
}

type groupCall struct {
	Group      string   `json:"group"`
	Member     string   `json:"member"`
	Topics     []string `json:"topics"`
	TTL        int64    `json:"ttl_ms"`
	Generation uint64   `json:"generation"`
}

func (s *store) group(name string) *group {
	g := s.groups[name]
	if g == nil {
		g = &group{
			members: make(map[string]*member), holder: make([]string, s.parts), target: make([]string, s.parts), since: make([]uint64, s.parts),
		}
		s.groups[name] = g
	}
	return g
}

func (s *store) join(w http.ResponseWriter, r *http.Request) {
	var c groupCall
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil || len(c.Topics) != 1 {
		http.Error(w, "not understood", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g, now := s.group(c.Group), time.Now()
	g.expire(now)
	m := g.members[c.Member]
	if m == nil {
		m = &member{}
		g.members[c.Member] = m
		g.deal()
	}
	m.expires, m.known = now.Add(time.Duration(c.TTL)*time.Millisecond), c.Generation
	g.handOver(c.Member, m)
	rows := [][]any{}
	for i := range g.holder {
		if g.holder[i] == c.Member && g.target[i] == c.Member {
			rows = append(rows, []any{c.Topics[0], i, 0})
		}
	}
	answer(w, http.StatusOK, map[string]any{"generation": g.generation, "parts": rows})
}

// expire removes the members that have sent nothing for their time.
func (g *group) expire(now time.Time) {
	gone := false
	for name, m := range g.members {
		if now.After(m.expires) {
			delete(g.members, name)
			gone = true
		}
	}
	if gone {
		g.deal()
	}
}

// deal begins a new generation and chooses who shall hold each partition: evenly, and with as few moves
// as possible. A partition without a holder gets its new one at once.
func (g *group) deal() {
	g.generation++
	names := slices.Sorted(maps.Keys(g.members))
	count := make(map[string]int)
	most := 0
	if len(names) > 0 {
		most = (len(g.target) + len(names) - 1) / len(names)
	}
	var free []int
	for i, name := range g.target {
		if g.members[name] != nil && count[name] < most {
			count[name]++
			continue
		}
		free = append(free, i)
	}
	for _, i := range free {
		g.target[i] = ""
		if len(names) > 0 {
			name := slices.MinFunc(names, func(a, b string) int { return count[a] - count[b] })
			count[name]++
			g.target[i] = name
		}
		g.since[i] = g.generation
	}
	for i, name := range g.holder {
		if g.members[name] == nil {
			g.holder[i] = g.target[i]
		}
	}
}

// handOver passes on the partitions that a member holds and has released: it has joined with a generation
// in which they were not listed for it.
func (g *group) handOver(name string, m *member) {
	changed := false
	for i := range g.holder {
		if g.holder[i] == name && g.target[i] != name && m.known >= g.since[i] {
			g.holder[i] = g.target[i]
			changed = true
		}
	}
	if changed {
		g.generation++
	}
}

func (s *store) leave(w http.ResponseWriter, r *http.Request) {
	var c groupCall
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, "not understood", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.group(c.Group); g.members[c.Member] != nil {
		delete(g.members, c.Member)
		g.deal()
	}
	answer(w, http.StatusOK, struct{}{})
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // a client that is gone calls again
}

// configRecord returns the body of an append of the operator's configuration.
func configRecord(config []byte) []byte {
	var b strings.Builder
	const key = "config"
	b.WriteByte(byte(len(key)))
	b.WriteString(key)
	b.Write(config)
	return append(binary.BigEndian.AppendUint32(nil, uint32(b.Len())), b.String()...)
}
