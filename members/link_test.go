package members

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// transportFault is a fault of one process's connection to the platform.
type transportFault struct {
	Cut         bool          // no call reaches the platform
	LoseAnswers bool          // writes take effect but their responses are lost
	Delay       time.Duration // before the call takes effect, even if the caller gives up
}

// faultyTransport is the transport of one process to the platform. A paused process
// neither sends calls nor receives responses.
type faultyTransport struct {
	next http.RoundTripper

	mu     sync.Mutex
	fault  transportFault
	paused chan struct{} // closed at the end of the pause; nil when not paused
}

func (t *faultyTransport) state() (transportFault, chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fault, t.paused
}

func (t *faultyTransport) setFault(f transportFault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fault = f
}

func (t *faultyTransport) pause() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.paused == nil {
		t.paused = make(chan struct{})
	}
}

func (t *faultyTransport) resume() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.paused != nil {
		close(t.paused)
		t.paused = nil
	}
}

func (t *faultyTransport) isPaused() bool {
	_, paused := t.state()
	return paused != nil
}

// wait blocks while the process is paused.
func (t *faultyTransport) wait() {
	if _, paused := t.state(); paused != nil {
		<-paused
	}
}

var errNoResponse = errors.New("no response from the platform")

func (t *faultyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	t.wait()
	fault, _ := t.state()
	if fault.Cut {
		return nil, errNoResponse
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	detached := r.Clone(context.WithoutCancel(r.Context()))
	detached.Body = io.NopCloser(bytes.NewReader(body))
	type result struct {
		resp *http.Response
		err  error
	}
	done := make(chan result, 1)
	go func() {
		time.Sleep(fault.Delay)
		resp, err := t.next.RoundTrip(detached)
		done <- result{resp, err}
	}()
	select {
	case x := <-done:
		t.wait()
		if fault.LoseAnswers && r.Method != http.MethodGet {
			return nil, errNoResponse
		}
		return x.resp, x.err
	case <-r.Context().Done():
		t.wait()
		return nil, r.Context().Err()
	}
}
