package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	start time.Time
	f     *os.File
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	return &recorder{start: time.Now(), f: f}, err
}

func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.f, format+"\n", args...)
}

// submitted is a stored job as its client sees it.
type submitted struct {
	id       string
	entry    int // to which it is sent first
	accepted time.Time
	refused  bool
	state    string
	asked    int // last status of a GET
}

// clients sends jobs and asks for their states.
type clients struct {
	c    *cluster
	http *http.Client
	mu   sync.Mutex
	jobs []*submitted
}

func newClients(c *cluster) *clients {
	return &clients{c: c, http: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 32,
	}}}
}

func randomID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func (cl *clients) call(method string, e int, path string, body any) (int, []byte, error) {
	var reader io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return 0, nil, err
		}
		reader = bytes.NewReader(b)
	}
	req, err := http.NewRequest(method, "http://"+hostPort(cl.c.entryIP(e), clientsPort)+path, reader)
	if err != nil {
		return 0, nil, err
	}
	req.GetBody = nil
	req.Host = queueHost
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := cl.http.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, b, err
}

type step struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu"`
	Mem          int    `json:"mem_mb"`
	Estimate     int    `json:"estimate_ms"`
	After        []int  `json:"after,omitempty"`
	Requires     string `json:"requires,omitempty"`
	AntiAffinity int    `json:"anti_affinity,omitempty"`
}

// submit hands a stored job in at entry e, and at the others while it gets no answer.
func (cl *clients) submit(id string, e int, sp string, steps ...step) *submitted {
	j := &submitted{id: id, entry: e}
	cl.mu.Lock()
	cl.jobs = append(cl.jobs, j)
	cl.mu.Unlock()
	for try := range 20 {
		at := (e + try) % len(cl.c.entries)
		status, _, err := cl.call(http.MethodPost, at, queuePrefix+id, map[string]any{"spec": sp, "steps": steps})
		cl.c.rec.line("POST %s entry=%d status=%d err=%v", id, at+1, status, err)
		switch {
		case err != nil || status == http.StatusBadGateway || status == http.StatusGatewayTimeout:
			time.Sleep(300 * time.Millisecond) // no answer: it is sent again
		case status/100 == 2:
			cl.mu.Lock()
			j.accepted = time.Now()
			cl.mu.Unlock()
			return j
		default:
			cl.mu.Lock()
			j.refused = true
			cl.mu.Unlock()
			return j
		}
	}
	return j
}

// ask asks for the state of a job, at each entry in turn until one answers.
func (cl *clients) ask(j *submitted, e int) {
	for try := range len(cl.c.entries) {
		at := (e + try) % len(cl.c.entries)
		status, b, err := cl.call(http.MethodGet, at, queuePrefix+j.id, nil)
		var answer struct {
			State string `json:"state"`
		}
		if err == nil && status == http.StatusOK {
			err = json.Unmarshal(b, &answer)
		}
		cl.c.rec.line("GET %s entry=%d status=%d state=%s err=%v", j.id, at+1, status, answer.State, err)
		cl.mu.Lock()
		j.asked, j.state = status, answer.State
		cl.mu.Unlock()
		if err == nil && (status == http.StatusOK || status == http.StatusGone) {
			return
		}
	}
}
