package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	callerPatience = 3 * time.Second
	// resendDelay is resend_ms, after which a client without an answer sends the job again.
	resendDelay    = 1300 * time.Millisecond
	maxSubmissions = 8
)

// step is a step of a job.
type step struct {
	Count    int    `json:"count"`
	CPU      int    `json:"cpu"`
	Mem      int    `json:"mem_mb"`
	Estimate int    `json:"estimate_ms"`
	Requires string `json:"requires,omitempty"`
}

type jobBody struct {
	Spec       string `json:"spec"`
	Steps      []step `json:"steps"`
	BestEffort bool   `json:"best_effort,omitempty"`
}

// storedJob is a job that has to be kept, as its client sees it.
type storedJob struct {
	id         string
	sent       time.Time
	acceptedAt time.Time // zero if it was not accepted
	refused    int
	sends      int
	state      string // the last one shown
}

// callers submits jobs and asks for their states.
type callers struct {
	cluster *cluster
	client  *http.Client
	prefix  uint32

	mu      sync.Mutex
	next    uint32
	stored  []*storedJob
	ready   sync.WaitGroup
	bestOK  int
	bestAll int
}

func newCallers(c *cluster) *callers {
	return &callers{cluster: c, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, prefix: rand.Uint32()}
}

func (k *callers) newID() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.next++
	return fmt.Sprintf("%08x%08x", k.prefix, k.next)
}

// call makes one request to an entry. status is 0 if there was no complete answer.
func (k *callers) call(method, id string, body any) (status int, state, entry string) {
	var b []byte
	if body != nil {
		var err error
		if b, err = json.Marshal(body); err != nil {
			panic(err) // strings and numbers can be encoded
		}
	}
	e := k.cluster.entry()
	ctx, cancel := context.WithTimeout(k.cluster.ctx, callerPatience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.front+queuePrefix+id, bytes.NewReader(b))
	if err != nil {
		return 0, "", e.name
	}
	req.Host, req.GetBody = queueHost, nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(names.DeadlineHeader, fmt.Sprint(callerPatience.Milliseconds()))
	resp, err := k.client.Do(req)
	if err != nil {
		return 0, "", e.name
	}
	defer resp.Body.Close()
	var answer struct {
		State string `json:"state"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return 0, "", e.name
	}
	return resp.StatusCode, answer.State, e.name
}

// submitStored hands in a job that has to be kept, in a goroutine of its own.
func (k *callers) submitStored(spec taskSpec, s step) *storedJob {
	j := &storedJob{id: k.newID(), sent: time.Now()}
	k.mu.Lock()
	k.stored = append(k.stored, j)
	k.mu.Unlock()
	s.CPU, s.Mem, s.Estimate = spec.demand.CPU, spec.demand.Mem, spec.millis
	body := jobBody{Spec: spec.String(), Steps: []step{s}}
	k.ready.Go(func() {
		for range maxSubmissions {
			status, _, entry := k.call(http.MethodPost, j.id, body)
			k.cluster.record.add("job %s sent to %s: status %d", j.id, entry, status)
			k.mu.Lock()
			j.sends++
			k.mu.Unlock()
			switch {
			case status/100 == 2:
				k.mu.Lock()
				j.acceptedAt = time.Now()
				k.mu.Unlock()
				return
			case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || status == http.StatusNotFound:
				k.mu.Lock()
				j.refused++
				k.mu.Unlock()
				return // it never runs
			}
			k.cluster.pause(resendDelay)
			if k.cluster.ctx.Err() != nil {
				return
			}
		}
	})
	return j
}

// submitBestEffort hands in a job that need not be kept, in a goroutine of its own. Such jobs are the
// usual load; a client that gets no answer sends the job again.
func (k *callers) submitBestEffort(spec taskSpec, count int) {
	id := k.newID()
	body := jobBody{
		Spec: spec.String(), BestEffort: true,
		Steps: []step{{Count: count, CPU: spec.demand.CPU, Mem: spec.demand.Mem, Estimate: spec.millis}},
	}
	k.ready.Go(func() {
		status := 0
		for n := 0; n < 2 && (status == 0 || status == http.StatusBadGateway || status == http.StatusGatewayTimeout); n++ {
			if n > 0 {
				k.cluster.pause(resendDelay)
			}
			status, _, _ = k.call(http.MethodPost, id, body)
		}
		k.mu.Lock()
		defer k.mu.Unlock()
		k.bestAll++
		if status == http.StatusOK {
			k.bestOK++
		}
	})
}

// every calls f at the given rate until d has passed.
func (k *callers) every(perSecond float64, d time.Duration, f func()) {
	tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer tick.Stop()
	end := time.After(d)
	for {
		select {
		case <-tick.C:
			f()
		case <-end:
			return
		case <-k.cluster.ctx.Done():
			return
		}
	}
}

// askStates asks for the state of each accepted job until all have ended or the time is up.
func (k *callers) askStates(within time.Duration) {
	k.mu.Lock()
	jobs := append([]*storedJob(nil), k.stored...)
	k.mu.Unlock()
	for deadline := time.Now().Add(within); ; k.cluster.pause(250 * time.Millisecond) {
		open := 0
		for _, j := range jobs {
			if j.acceptedAt.IsZero() || isFinal(j.state) {
				continue
			}
			if time.Now().After(deadline) || k.cluster.ctx.Err() != nil {
				return
			}
			status, state, entry := k.call(http.MethodGet, j.id, nil)
			if status == http.StatusOK {
				j.state = state
			}
			if status == http.StatusGone {
				j.state = "gone"
			}
			if isFinal(j.state) {
				k.cluster.record.add("job %s shown by %s as %s", j.id, entry, j.state)
			} else {
				open++
			}
		}
		if open == 0 || time.Now().After(deadline) || k.cluster.ctx.Err() != nil {
			return
		}
	}
}

func isFinal(state string) bool {
	return state == "completed" || state == "failed" || state == "cancelled" || state == "gone"
}
