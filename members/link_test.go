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

// linkFault is the state of one process's connection to the platform.
type linkFault struct {
	Cut   bool          // no call arrives
	Lose  bool          // writes take effect, their answers are lost
	Delay time.Duration // before the call takes effect, even when its caller gives up
}

// link is the transport of one process to the platform. A paused process neither
// sends calls nor takes their answers.
type link struct {
	to http.RoundTripper

	mu     sync.Mutex
	fault  linkFault
	paused chan struct{} // closed at the end of the pause; nil while running
}

func (l *link) state() (linkFault, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault, l.paused
}

func (l *link) setFault(f linkFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
}

func (l *link) pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.paused == nil {
		l.paused = make(chan struct{})
	}
}

func (l *link) resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.paused != nil {
		close(l.paused)
		l.paused = nil
	}
}

func (l *link) isPaused() bool {
	_, paused := l.state()
	return paused != nil
}

// wait returns at the end of a pause.
func (l *link) wait() {
	if _, paused := l.state(); paused != nil {
		<-paused
	}
}

var errLink = errors.New("no answer from the platform")

func (l *link) RoundTrip(r *http.Request) (*http.Response, error) {
	l.wait()
	fault, _ := l.state()
	if fault.Cut {
		return nil, errLink
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	late := r.Clone(context.WithoutCancel(r.Context()))
	late.Body = io.NopCloser(bytes.NewReader(body))
	type result struct {
		resp *http.Response
		err  error
	}
	done := make(chan result, 1)
	go func() {
		time.Sleep(fault.Delay)
		resp, err := l.to.RoundTrip(late)
		done <- result{resp, err}
	}()
	select {
	case x := <-done:
		l.wait()
		if fault.Lose && r.Method != http.MethodGet {
			return nil, errLink
		}
		return x.resp, x.err
	case <-r.Context().Done():
		l.wait()
		return nil, r.Context().Err()
	}
}
