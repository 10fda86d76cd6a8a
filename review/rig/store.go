package main

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store that the pages state.
const (
	maxFetch       = 1024
	maxPageItems   = 500
	maxPageBytes   = 1 << 20
	repeatedOnes   = 5
	minTTL         = time.Second
	maxCallBytes   = 2 << 20
	maxStoreWait   = 30 * time.Second
	lateMin        = time.Second
	lateSpread     = 5 * time.Second
	silentDuration = 20 * time.Second
)

// storeFaults are the disruptions of the store as one machine sees it.
type storeFaults struct {
	down string // busy, silent or reset
	slow time.Duration
	lost float64 // share of the writes that are done and not answered
	late bool    // lost writes are done 1 to 6 s later
}

// logStore is a stand-in of the platform's log store.
type logStore struct {
	rec *recorder

	mu      sync.Mutex
	faults  map[string]storeFaults // by view
	topics  map[string]*topicPart
	group   map[string]*storeMember
	owner   [partitions]string
	revoked [partitions]uint64 // generation from which the owner's partition is no longer listed; 0 if it is
	gen     uint64
	changed chan struct{}
}

type topicPart struct {
	first    uint64
	records  [][]byte
	newest   map[string]keyedValue
	epoch    uint64
	sequence uint64
	replies  map[uint64]map[string]any
}

type keyedValue struct {
	value  []byte
	offset uint64
}

type storeMember struct {
	expires time.Time
	known   uint64
}

func newLogStore(rec *recorder) *logStore {
	return &logStore{
		rec: rec, faults: make(map[string]storeFaults), topics: make(map[string]*topicPart), group: make(map[string]*storeMember),
		changed: make(chan struct{}), gen: 1,
	}
}

func (s *logStore) setFaults(view string, f storeFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[view] = f
}

// view returns the store as one machine sees it. The port in the addresses of entries is replaced, so
// that agents reach them through the rig's links.
func (s *logStore) view(name string, oldPort, newPort int) http.Handler {
	from, to := []byte(fmt.Sprintf(":%d", oldPort)), []byte(fmt.Sprintf(":%d", newPort))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.faults[name]
		s.mu.Unlock()
		switch f.down {
		case "busy":
			http.Error(w, "busy", http.StatusServiceUnavailable)
			return
		case "reset":
			panic(http.ErrAbortHandler)
		case "silent":
			hang(r, silentDuration)
		}
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCallBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		time.Sleep(2*time.Millisecond + f.slow/2)
		if f.slow > 0 { // the other half of the time passes on the way back
			b := &buffered{header: http.Header{}, status: http.StatusOK}
			defer func(w http.ResponseWriter) {
				time.Sleep(f.slow / 2)
				maps.Copy(w.Header(), b.header)
				w.WriteHeader(b.status)
				_, _ = w.Write(b.body.Bytes()) // the caller has gone
			}(w)
			w = b
		}
		write := r.URL.Path == names.Append
		if write && f.lost > 0 && rand.Float64() < f.lost {
			if f.late {
				time.AfterFunc(lateMin+time.Duration(rand.Float64()*float64(lateSpread)), func() {
					s.handle(newDiscard(), r, body, nil)
				})
			} else {
				s.handle(newDiscard(), r, body, nil)
			}
			hang(r, silentDuration)
		}
		s.handle(w, r, body, func(topic string, b []byte) []byte {
			if topic == "keyed.entries" {
				return bytes.ReplaceAll(b, from, to) // both have the same length
			}
			return b
		})
	})
}

// buffered is a response that is sent later.
type buffered struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (b *buffered) Header() http.Header         { return b.header }
func (b *buffered) Write(p []byte) (int, error) { return b.body.Write(p) }
func (b *buffered) WriteHeader(status int)      { b.status = status }

// hang answers nothing and then ends the connection.
func hang(r *http.Request, d time.Duration) {
	select {
	case <-r.Context().Done():
	case <-time.After(d):
	}
	panic(http.ErrAbortHandler)
}

// discard is a response that nobody gets.
type discard struct{ h http.Header }

func newDiscard() discard                   { return discard{http.Header{}} }
func (d discard) Header() http.Header       { return d.h }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}
func storeReply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller has gone
}

func (s *logStore) handle(w http.ResponseWriter, r *http.Request, body []byte, rewrite func(string, []byte) []byte) {
	switch r.URL.Path {
	case names.Append:
		s.append(w, r, body)
	case names.Read:
		s.read(w, r, rewrite)
	case "/log-newest":
		s.newest(w, r, rewrite)
	case "/log-join":
		s.join(w, body)
	case "/log-leave":
		s.leave(w, body)
	default:
		http.NotFound(w, r)
	}
}

func queryNumber(r *http.Request, name string) uint64 {
	n, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func (s *logStore) part(r *http.Request) *topicPart {
	q := r.URL.Query()
	key := q.Get("topic") + "/" + q.Get("part")
	t := s.topics[key]
	if t == nil {
		t = &topicPart{newest: make(map[string]keyedValue), replies: make(map[uint64]map[string]any)}
		s.topics[key] = t
	}
	return t
}

func (t *topicPart) end() uint64 { return t.first + uint64(len(t.records)) }

func (s *logStore) append(w http.ResponseWriter, r *http.Request, body []byte) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.part(r)
	fenced, sequence := q.Has("producer"), queryNumber(r, "sequence")
	if fenced {
		epoch := queryNumber(r, "epoch")
		switch {
		case epoch < t.epoch:
			storeReply(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		case epoch > t.epoch:
			t.epoch, t.replies, t.sequence = epoch, make(map[uint64]map[string]any), sequence-1
		}
		if known, ok := t.replies[sequence]; ok {
			storeReply(w, http.StatusOK, known)
			return
		}
		if len(body) > 0 && sequence != t.sequence+1 {
			storeReply(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": t.sequence + 1})
			return
		}
	}
	answer := map[string]any{"offset": t.end()}
	for b := body; len(b) >= 4; {
		n := binary.BigEndian.Uint32(b)
		record := slices.Clone(b[4 : 4+n])
		if key, value := string(record[1:1+record[0]]), record[1+record[0]:]; len(value) > 0 {
			t.newest[key] = keyedValue{value, t.end()}
		} else {
			delete(t.newest, key)
		}
		t.records = append(t.records, record)
		b = b[4+n:]
	}
	answer["end"] = t.end()
	if fenced && len(body) > 0 {
		t.sequence = sequence
		t.replies[sequence] = answer
		delete(t.replies, sequence-repeatedOnes)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	storeReply(w, http.StatusOK, answer)
}

func (s *logStore) read(w http.ResponseWriter, r *http.Request, rewrite func(string, []byte) []byte) {
	from, topic := queryNumber(r, "from"), r.URL.Query().Get("topic")
	wait := time.NewTimer(min(time.Duration(queryNumber(r, "wait_ms"))*time.Millisecond, maxStoreWait))
	defer wait.Stop()
	for over := false; ; {
		s.mu.Lock()
		t, changed := s.part(r), s.changed
		if from < t.first {
			s.mu.Unlock()
			storeReply(w, http.StatusGone, map[string]any{"first": t.first})
			return
		}
		b := binary.BigEndian.AppendUint64(nil, t.end())
		b = binary.BigEndian.AppendUint64(b, t.first)
		records := t.records[min(from-t.first, uint64(len(t.records))):]
		for _, record := range records[:min(len(records), maxFetch)] {
			record = rewrite(topic, record)
			b = append(binary.BigEndian.AppendUint32(b, uint32(len(record))), record...)
		}
		s.mu.Unlock()
		if len(records) > 0 || over {
			_, _ = w.Write(b) // the caller has gone
			return
		}
		select {
		case <-changed:
		case <-wait.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *logStore) newest(w http.ResponseWriter, r *http.Request, rewrite func(string, []byte) []byte) {
	after, topic := r.URL.Query().Get("after"), r.URL.Query().Get("topic")
	s.mu.Lock()
	t := s.part(r)
	var keys []string
	for key := range t.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items, size := []map[string]any{}, 0
	for _, key := range keys {
		v := rewrite(topic, t.newest[key].value)
		if len(items) == maxPageItems || len(items) > 0 && size+len(v) > maxPageBytes {
			break
		}
		size += len(v)
		items = append(items, map[string]any{
			"key": string(rewrite(topic, []byte(key))), "value": base64.StdEncoding.EncodeToString(v), "offset": t.newest[key].offset,
		})
	}
	end := t.end()
	s.mu.Unlock()
	storeReply(w, http.StatusOK, map[string]any{"items": items, "more": len(items) < len(keys), "end": end})
}

type memberBody struct {
	Member     string `json:"member"`
	TTLMS      int64  `json:"ttl_ms"`
	Generation uint64 `json:"generation"`
	Topics     []string
}

func (s *logStore) join(w http.ResponseWriter, body []byte) {
	var b memberBody
	if err := json.Unmarshal(body, &b); err != nil || len(b.Topics) == 0 {
		http.Error(w, "bad join", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.group[b.Member]
	if m == nil {
		m = &storeMember{}
		s.group[b.Member] = m
		s.gen++
	}
	m.expires = time.Now().Add(max(time.Duration(b.TTLMS)*time.Millisecond, minTTL))
	m.known = max(m.known, b.Generation)
	s.deal()
	rows := [][]any{}
	for i, owner := range s.owner {
		if owner == b.Member && s.revoked[i] == 0 {
			rows = append(rows, []any{b.Topics[0], i, 0})
		}
	}
	storeReply(w, http.StatusOK, map[string]any{"generation": s.gen, "parts": rows})
}

func (s *logStore) leave(w http.ResponseWriter, body []byte) {
	var b memberBody
	if err := json.Unmarshal(body, &b); err != nil {
		http.Error(w, "bad leave", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(b.Member)
	storeReply(w, http.StatusOK, struct{}{})
}

func (s *logStore) remove(member string) {
	if s.group[member] == nil {
		return
	}
	delete(s.group, member)
	s.gen++
	s.deal()
}

// members returns the names of the live members.
func (s *logStore) members() (names []string) {
	for name, m := range s.group {
		if time.Now().After(m.expires) {
			delete(s.group, name)
			s.gen++
			continue
		}
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// deal distributes the partitions evenly with few changes. One that has a live owner is passed on when
// its owner has sent the generation in which it was no longer listed.
func (s *logStore) deal() {
	names := s.members()
	if len(names) == 0 {
		return
	}
	count := make(map[string]int)
	most := (partitions + len(names) - 1) / len(names)
	changed := false
	for i, owner := range s.owner {
		switch m := s.group[owner]; {
		case m == nil:
			s.owner[i], s.revoked[i] = "", 0
		case s.revoked[i] > 0 && m.known >= s.revoked[i]:
			s.owner[i], s.revoked[i], changed = "", 0, true
		case s.revoked[i] > 0:
		case count[owner] == most:
			s.revoked[i], changed = s.gen+1, true
		default:
			count[owner]++
		}
	}
	for i, owner := range s.owner {
		if owner != "" {
			continue
		}
		least := slices.MinFunc(names, func(a, b string) int { return count[a] - count[b] })
		s.owner[i], changed = least, true
		count[least]++
	}
	if changed {
		s.gen++
	}
}

// rebalance deals all partitions anew at once.
func (s *logStore) rebalance() {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := s.members()
	if len(names) == 0 {
		return
	}
	shift := 1 + rand.IntN(len(names))
	for i := range s.owner {
		s.owner[i], s.revoked[i] = names[(i+shift)%len(names)], 0
	}
	s.gen++
	s.rec.line("store deals all partitions anew")
}

// revoke takes the membership of the members with the prefix away at once.
func (s *logStore) revoke(prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.group {
		if strings.HasPrefix(name, prefix) {
			s.remove(name)
		}
	}
}

// forget drops the history of all topics.
func (s *logStore) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.topics {
		t.first, t.records = t.end(), nil
	}
	s.rec.line("store forgets its history")
}
