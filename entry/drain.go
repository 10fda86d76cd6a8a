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
const flushTime = 250 * time.Millisecond

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
	server *Server
	web    *http.Server
	leaver Leaver
	// quiesce refuses new jobs and waits for the running ones.
	quiesce func(context.Context) error
	grace   time.Duration
	limit   time.Duration
	log     *event.Logger
}

// run goes through the steps of a drain. Readiness fails first and the leave
// record is appended, so that the load balancer and the views of peers move new
// submissions elsewhere; until they have, new submissions are served. After
// that new ones are refused, and the listener closes when the last answer is out.
func (d *drainer) run() {
	d.server.draining.Store(true)
	d.log.Log(event.ProcessDraining, "incarnation", d.server.self)
	d.awaitGrace()
	d.server.refusing.Store(true)

	ctx, cancel := context.WithTimeout(context.Background(), d.limit)
	defer cancel()
	failed := d.quiesce(ctx)
	if err := d.web.Shutdown(ctx); err != nil {
		failed = err
		_ = d.web.Close()
	}
	if err := d.server.forwards.wait(ctx); err != nil {
		failed = err
	}
	if failed != nil {
		d.log.Log(event.EntryDrainIncomplete, "err", failed)
	}
	pause(context.Background(), flushTime)
}

// awaitGrace appends the leave record and waits until neither the load balancer
// nor a view can send new submissions here.
func (d *drainer) awaitGrace() {
	ctx, cancel := context.WithTimeout(context.Background(), d.grace)
	defer cancel()
	if err := d.leaver.Leave(ctx); err != nil {
		// Peers append the record when this process is silent.
		d.log.Log(event.EntryLeaveFailed, "err", err)
	}
	pause(ctx, d.grace)
	until, left := d.leaver.HomeUntil(d.server.self)
	if left {
		wait := until.Add(d.server.tolerance).Sub(d.server.now())
		pause(context.Background(), min(wait, d.grace))
	}
}

func pause(ctx context.Context, d time.Duration) {
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
	zero chan struct{} // closed when n falls to zero; nil without a waiter
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
	if f.n == 0 && f.zero != nil {
		close(f.zero)
		f.zero = nil
	}
}

// wait returns when none is in flight, or the error of ctx.
func (f *inFlight) wait(ctx context.Context) error {
	f.mu.Lock()
	if f.n == 0 {
		f.mu.Unlock()
		return nil
	}
	if f.zero == nil {
		f.zero = make(chan struct{})
	}
	zero := f.zero
	f.mu.Unlock()
	select {
	case <-zero:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
