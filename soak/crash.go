package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"oriolerelay/emulator"
	"oriolerelay/job"
	"oriolerelay/platform/standin"
)

const (
	// crashingSuffix ends the payload of a job whose first task crashes the endpoints that run it.
	crashingSuffix = " crash"
	crashDelay     = 10 * time.Millisecond // from the start of the task to the crash
	crashOutage    = time.Second           // until the endpoint is back
)

// crashOf returns the crash that a task with the given payload causes, if any.
func crashOf(task, payload string) (emulator.Crash, bool) {
	id, err := job.ParseTaskID(task)
	crashes := err == nil && id.Index == 0 && strings.HasSuffix(payload, crashingSuffix)
	return emulator.Crash{After: crashDelay, Outage: crashOutage}, crashes
}

// serveEndpoint serves an endpoint at the given address until ctx is done. While the endpoint is down
// after a crash, no process listens there.
func (w *soakRun) serveEndpoint(ctx context.Context, running *sync.WaitGroup, e *emulator.Endpoint, address string) error {
	crashed := make(chan struct{}, 1)
	e.CrashOf = crashOf
	e.OnCrash = func(task string) {
		w.logEvent("task %s crashes %s", task, e.Name)
		crashed <- struct{}{}
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	running.Go(func() {
		for ctx.Err() == nil {
			s := &http.Server{Handler: standin.NewEndpointHandler(e), ReadHeaderTimeout: time.Minute}
			go func() { _ = s.Serve(l) }()
			select {
			case <-crashed:
			case <-ctx.Done():
			}
			_ = s.Close()
			select {
			case <-time.After(crashOutage):
			case <-ctx.Done():
				return
			}
			if l, err = net.Listen("tcp", address); err != nil {
				w.logEvent("%s does not come back: %v", e.Name, err)
				return
			}
		}
	})
	return nil
}

// isCrashing reports whether a task of the job crashes endpoints. Such a job may be reported as failed.
func (j *submittedJob) isCrashing() bool { return strings.HasSuffix(j.Payload, crashingSuffix) }
