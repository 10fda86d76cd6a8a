// Package standin is an in-memory fake of the platform's log and leases for tests
// and development. Faults can be injected at run time. Its state does not survive
// a restart.
package standin

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"oriolerelay/logstore"
)

// maxReadRecords is the maximum number of records in the response to a read.
const maxReadRecords = 1000

// Faults contains the injected faults. The zero value is a healthy platform.
type Faults struct {
	// Down rejects every call before it takes effect.
	Down bool `json:"down"`
	// DelayMS delays every call before it takes effect. The call takes effect even if
	// its caller has disconnected.
	DelayMS int64 `json:"delay_ms"`
	// LoseResponses closes the connection without a response after a write took effect.
	LoseResponses bool `json:"lose_answers"`
	// ExpireBefore immediately removes the records before the given offset of each
	// stream.
	ExpireBefore map[string]uint64 `json:"expire_before,omitempty"`
	// ExpireLeases immediately ends all leases.
	ExpireLeases bool `json:"lapse_leases"`
}

type stream struct {
	earliest uint64
	records  []logstore.Record
}

func (s *stream) next() uint64 { return s.earliest + uint64(len(s.records)) }

// Server is a fake platform. It implements http.Handler and is safe for concurrent
// use.
type Server struct {
	mux       *http.ServeMux
	now       func() time.Time
	retention time.Duration

	mu      sync.Mutex
	faults  Faults
	lastMS  int64
	streams map[string]*stream
	leases  map[string]logstore.Lease
}

// Option configures a Server.
type Option func(*Server)

// WithClock sets the platform's clock.
func WithClock(now func() time.Time) Option { return func(s *Server) { s.now = now } }

// WithRetention expires records that are older than d. Zero keeps all records.
func WithRetention(d time.Duration) Option { return func(s *Server) { s.retention = d } }

// New returns a healthy platform without records or leases.
func New(opts ...Option) *Server {
	s := &Server{mux: http.NewServeMux(), now: time.Now, streams: map[string]*stream{}, leases: map[string]logstore.Lease{}}
	for _, o := range opts {
		o(s)
	}
	s.mux.HandleFunc("POST /v1/streams/{name}/records", s.withFaults(s.handleAppend))
	s.mux.HandleFunc("GET /v1/streams/{name}/records", s.withFaults(s.handleRead))
	s.mux.HandleFunc("POST /v1/leases/{name}", s.withFaults(s.handleRenew))
	s.mux.HandleFunc("DELETE /v1/leases/{name}", s.withFaults(s.handleRelease))
	s.mux.HandleFunc("PUT /v1/faults", s.handlePutFaults)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults replaces the injected faults. ExpireBefore and ExpireLeases act once.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, offset := range f.ExpireBefore {
		s.expire(s.stream(name), offset)
	}
	if f.ExpireLeases {
		clear(s.leases)
	}
	s.faults = f
}

// withFaults returns a handler that applies the injected faults to call.
func (s *Server) withFaults(call http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f := s.currentFaults()
		if !bufferBody(w, r) {
			return
		}
		if f.DelayMS > 0 {
			time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
		}
		if f.Down {
			writeError(w, http.StatusServiceUnavailable, "platform is down")
			return
		}
		if f.LoseResponses && r.Method != http.MethodGet {
			call(discardWriter{http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		call(w, r)
	}
}

// bufferBody reads the request body before any delay, so that the call takes effect
// even if the caller disconnects. If the body is invalid, it writes an error
// response and returns false.
func bufferBody(w http.ResponseWriter, r *http.Request) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, logstore.MaxRecordBytes))
	if err != nil {
		status := http.StatusBadRequest
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			status = http.StatusRequestEntityTooLarge
		}
		writeError(w, status, err.Error())
		return false
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	return true
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// discardWriter is an http.ResponseWriter that discards the response.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d discardWriter) WriteHeader(int)             {}

func (s *Server) handleAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if !json.Valid(body) {
		writeError(w, http.StatusBadRequest, "record is not JSON")
		return
	}
	writeJSON(w, http.StatusOK, s.Append(r.PathValue("name"), body))
}

// Append appends a record directly, without injected faults.
func (s *Server) Append(name string, value json.RawMessage) logstore.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	rec := logstore.Record{Offset: st.next(), TimeMS: s.nowMS(), Value: value}
	st.records = append(st.records, rec)
	return logstore.Position{Offset: rec.Offset, TimeMS: rec.TimeMS}
}

func (s *Server) handleRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.FormValue("from"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "from: "+err.Error())
		return
	}
	limit, err := strconv.Atoi(r.FormValue("limit"))
	if err != nil || limit < 1 {
		writeError(w, http.StatusBadRequest, "limit: must be a positive number")
		return
	}
	writeJSON(w, http.StatusOK, s.readBatch(r.PathValue("name"), from, min(limit, maxReadRecords)))
}

func (s *Server) readBatch(name string, from uint64, limit int) logstore.Batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.nowMS()
	st := s.stream(name)
	b := logstore.Batch{Records: []logstore.Record{}, Earliest: st.earliest, NowMS: now}
	start := min(max(from, st.earliest), st.next())
	available := st.records[start-st.earliest:]
	if len(available) > limit {
		// NowMS must not exceed the timestamp of the first omitted record.
		b.NowMS = available[limit].TimeMS
		available = available[:limit]
	}
	b.Records = append(b.Records, available...)
	b.Next = start + uint64(len(available))
	return b
}

// stream returns the named stream without expired records, and creates it if needed.
// The caller must hold mu.
func (s *Server) stream(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = &stream{}
		s.streams[name] = st
	}
	if s.retention > 0 {
		oldest := s.nowMS() - s.retention.Milliseconds()
		n := 0
		for n < len(st.records) && st.records[n].TimeMS < oldest {
			n++
		}
		s.expire(st, st.earliest+uint64(n))
	}
	return st
}

func (s *Server) expire(st *stream, before uint64) {
	if before <= st.earliest {
		return
	}
	before = min(before, st.next())
	st.records = append([]logstore.Record(nil), st.records[before-st.earliest:]...)
	st.earliest = before
}

// nowMS returns the platform's time, which never decreases. The caller must hold mu.
func (s *Server) nowMS() int64 {
	s.lastMS = max(s.lastMS, s.now().UnixMilli())
	return s.lastMS
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the caller may have disconnected
}

func writeError(w http.ResponseWriter, status int, detail string) {
	writeJSON(w, status, map[string]string{"error": detail})
}
