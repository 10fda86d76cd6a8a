package standin

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"oriolerelay/logstore"
)

// maxRequestBytes is the maximum body size of a lease or fault request.
const maxRequestBytes = 64 << 10

func (s *Server) handleRenew(w http.ResponseWriter, r *http.Request) {
	var req struct {
		Holder string `json:"holder"`
		TTLMS  int64  `json:"ttl_ms"`
	}
	if err := decodeJSON(w, r, &req); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if req.Holder == "" || req.TTLMS < 1 {
		writeError(w, http.StatusBadRequest, "holder and a positive ttl_ms are required")
		return
	}
	lease, held := s.acquireLease(r.PathValue("name"), req.Holder, time.Duration(req.TTLMS)*time.Millisecond)
	if held {
		writeJSON(w, http.StatusConflict, lease)
		return
	}
	writeJSON(w, http.StatusOK, lease)
}

// acquireLease acquires or renews a lease for holder. It returns the current lease
// and whether another holder has it.
func (s *Server) acquireLease(name, holder string, ttl time.Duration) (logstore.Lease, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.nowMS()
	if l, ok := s.leases[name]; ok && l.Holder != holder && l.ExpiresMS > now {
		return l, true
	}
	l := logstore.Lease{Holder: holder, ExpiresMS: now + ttl.Milliseconds()}
	s.leases[name] = l
	return l, false
}

func (s *Server) handleRelease(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := r.PathValue("name")
	if s.leases[name].Holder == r.FormValue("holder") {
		delete(s.leases, name)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handlePutFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := decodeJSON(w, r, &f); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if f.DelayMS < 0 {
		writeError(w, http.StatusBadRequest, "delay_ms: must not be negative")
		return
	}
	s.SetFaults(f)
	writeJSON(w, http.StatusOK, f)
}

func decodeJSON(w http.ResponseWriter, r *http.Request, v any) error {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return err
	}
	if dec.More() {
		return errors.New("data after the JSON value")
	}
	return nil
}
