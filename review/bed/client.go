package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// step is a step of a job as PROTOCOL.md has it.
type step struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu,omitempty"`
	Mem          int    `json:"mem_mb,omitempty"`
	Estimate     int    `json:"estimate_ms,omitempty"`
	After        []int  `json:"after,omitempty"`
	Requires     string `json:"requires,omitempty"`
	AntiAffinity int    `json:"anti_affinity,omitempty"`
}

type jobBody struct {
	Spec       string `json:"spec"`
	Steps      []step `json:"steps"`
	BestEffort bool   `json:"best_effort,omitempty"`
}

func spec(k work) string {
	b, _ := json.Marshal(k)
	return string(b)
}

const idDigits = 16

func newID(rng *rand.Rand) string {
	s := strconv.FormatUint(rng.Uint64(), 16)
	return strings.Repeat("0", idDigits-len(s)) + s
}

// answer is the response to a client; status is 0 if there was none.
type answer struct {
	status int
	state  string
	err    error
}

var clientHTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// call sends a request to an entry's front address and waits at most the given time for the response.
func (c *cluster) call(entry int, method, id string, body []byte, patience time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.address(10+entry, frontPort)+queuePrefix+id, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.GetBody = nil
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(names.DeadlineHeader, strconv.FormatInt(patience.Milliseconds(), 10))
	resp, err := clientHTTP.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{err: err}
	}
	var reply struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(b, &reply)
	return answer{status: resp.StatusCode, state: reply.State}
}

func (c *cluster) submit(entry int, id string, j jobBody, patience time.Duration) answer {
	b, _ := json.Marshal(j)
	a := c.call(entry, http.MethodPost, id, b, patience)
	c.rec.logf("POST %s at entry %d, %d bytes: status %d %s %v", id, entry, len(b), a.status, a.state, a.err)
	return a
}
