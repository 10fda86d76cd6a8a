package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"oriolerelay/event"
	"oriolerelay/ids"
)

// flushTime is how long answers to peers may take to leave the process after
// the last one was queued.
const replyFlushDelay = 250 * time.Millisecond

// Leaver ends the membership of this process.
type Leaver interface {
	// Leave returns when the leave record was read back or ctx ends.
	Leave(ctx context.Context) error
	// HomeUntil returns the submission time until which a former member is the home
	// of caller-chosen ids.
	HomeUntil(node ids.Incarnation) (time.Time, bool)
}

// drainer stops an entry without interrupting a request in flight.
type drainer struct {
	server     *Server
	httpServer *http.Server
	leaver     Leaver
	// quiesce refuses new jobs and waits for the running ones.
	quiesce     func(context.Context) error
	gracePeriod time.Duration
	timeout     time.Duration
	log         *event.Logger
}

// run goes through the steps of a drain. Readiness fails first and the leave
// record is appended, so that the load balancer and the views of peers move new
// submissions elsewhere; until they have, new submissions are served. After
// that new ones are refused, and the listener closes when the last answer is out.
func (d *drainer) run() {
	d.server.draining.Store(true)
	d.log.Log(event.ProcessDraining, "incarnation", d.server.self)
	d.leaveMembership()
	d.server.refusingNew.Store(true)

	ctx, cancel := context.WithTimeout(context.Background(), d.timeout)
	defer cancel()
	drainErr := d.quiesce(ctx)
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

// awaitGrace appends the leave record and waits until neither the load balancer
// nor a view can send new submissions here.
func (d *drainer) leaveMembership() {
	ctx, cancel := context.WithTimeout(context.Background(), d.gracePeriod)
	defer cancel()
	if err := d.leaver.Leave(ctx); err != nil {
		// Peers append the record when this process is silent.
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

// inFlight counts answers that are owed to peers. It is safe for concurrent use.
type inFlight struct {
	mu   sync.Mutex
	n    int
	idle chan struct{} // closed when n falls to zero; nil without a waiter
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

// wait returns when none is in flight, or the error of ctx.
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
