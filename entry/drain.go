package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"oriolerelay/event"
	"oriolerelay/httplimit"
	"oriolerelay/ids"
)

// replyFlushDelay is the time allowed for queued replies to peers to be sent
// before the process exits.
const replyFlushDelay = 250 * time.Millisecond

// Leaver ends the membership of this process.
type Leaver interface {
	// Leave appends the leave record and returns once it has been read back or ctx
	// ends.
	Leave(ctx context.Context) error
	// HomeUntil returns the submission time up to which a former member is still the
	// home of caller-chosen ids.
	HomeUntil(node ids.Incarnation) (time.Time, bool)
}

// drainer shuts an entry down without interrupting requests in flight.
type drainer struct {
	server     *Server
	httpServer *http.Server
	callers    *httplimit.Group // the connections of httpServer
	leaver     Leaver
	// drainJobs refuses new jobs and waits for the running ones.
	drainJobs   func(context.Context) error
	gracePeriod time.Duration
	timeout     time.Duration
	log         *event.Logger
}

// run performs the drain. It first fails the readiness check and appends the
// leave record, so that the load balancer and the views of peers send new
// submissions to other entries; until then new submissions are still served.
// After that new submissions are refused, and the listener is closed once the
// last response has been sent.
func (d *drainer) run() {
	d.server.draining.Store(true)
	d.log.Log(event.ProcessDraining, "incarnation", d.server.self)
	d.leaveMembership()
	d.server.refusingNew.Store(true)

	ctx, cancel := context.WithTimeout(context.Background(), d.timeout)
	defer cancel()
	drainErr := d.drainJobs(ctx)
	shutdownCtx, endShutdown := context.WithCancel(ctx)
	defer endShutdown()
	go d.callers.Drain(shutdownCtx)
	if err := d.httpServer.Shutdown(ctx); err != nil {
		drainErr = err
		_ = d.httpServer.Close()
	}
	if err := d.server.pendingReplies.wait(ctx); err != nil {
		drainErr = err
	}
	if drainErr != nil {
		d.log.Log(event.EntryDrainIncomplete, "err", drainErr)
	}
	sleep(context.Background(), replyFlushDelay)
}

// leaveMembership appends the leave record and waits until neither the load
// balancer nor the view of a peer can send new submissions to this entry.
func (d *drainer) leaveMembership() {
	ctx, cancel := context.WithTimeout(context.Background(), d.gracePeriod)
	defer cancel()
	if err := d.leaver.Leave(ctx); err != nil {
		// Peers append the record once this process is out of contact.
		d.log.Log(event.EntryLeaveFailed, "err", err)
	}
	sleep(ctx, d.gracePeriod)
	until, left := d.leaver.HomeUntil(d.server.self)
	if left {
		remaining := until.Add(d.server.clockTolerance).Sub(d.server.now())
		sleep(context.Background(), min(remaining, d.gracePeriod))
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// inFlight counts calls of peers that have not been replied to. It is safe for
// concurrent use.
type inFlight struct {
	mu   sync.Mutex
	n    int
	idle chan struct{} // closed when n drops to zero; nil without a waiter
}

func (f *inFlight) begin() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n++
}

func (f *inFlight) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n--
	if f.n == 0 && f.idle != nil {
		close(f.idle)
		f.idle = nil
	}
}

// wait returns nil when no call is in flight, or the error of ctx.
func (f *inFlight) wait(ctx context.Context) error {
	f.mu.Lock()
	if f.n == 0 {
		f.mu.Unlock()
		return nil
	}
	if f.idle == nil {
		f.idle = make(chan struct{})
	}
	idle := f.idle
	f.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
