package load

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// readinessInterval is the probe interval of the platform's load balancer, which
// Readiness simulates.
const readinessInterval = 100 * time.Millisecond

// Readiness probes /readyz of every entry as a load balancer does.
type Readiness struct {
	ready []atomic.Bool
	stop  context.CancelFunc
	wg    sync.WaitGroup
}

// WatchReadiness probes every entry until Stop is called. It returns once each entry has
// been probed.
func (t Target) WatchReadiness(ctx context.Context) *Readiness {
	ctx, cancel := context.WithCancel(ctx)
	r := &Readiness{ready: make([]atomic.Bool, len(t.Entries)), stop: cancel}
	client := newClient()
	var first sync.WaitGroup
	for i, e := range t.Entries {
		first.Add(1)
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			r.ready[i].Store(probeReady(ctx, client, e))
			first.Done()
			for sleepUntil(ctx, time.Now().Add(readinessInterval)) {
				r.ready[i].Store(probeReady(ctx, client, e))
			}
		}()
	}
	first.Wait()
	return r
}

func probeReady(ctx context.Context, client *http.Client, entry string) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	status, _, err := sendRequest(ctx, client, http.MethodGet, entry+"/readyz", "", nil)
	return err == nil && status == http.StatusOK
}

// Ready reports whether the last probe of an entry succeeded.
func (r *Readiness) Ready(entry int) bool { return r.ready[entry].Load() }

// Stop ends the probing and waits for probes in progress.
func (r *Readiness) Stop() {
	r.stop()
	r.wg.Wait()
}

// selectEntry returns the entry for the submission with the given number: round-robin
// over the ready entries, or over all entries if none is ready.
func (t Target) selectEntry(number int) int {
	for k := range t.Entries {
		entry := (number + k) % len(t.Entries)
		if t.Ready == nil || t.Ready(entry) {
			return entry
		}
	}
	return number % len(t.Entries)
}
