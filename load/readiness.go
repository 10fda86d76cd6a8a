package load

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// readinessPeriod is the period of the platform's load balancer that Readiness
// stands for.
const readinessInterval = 100 * time.Millisecond

// Readiness follows /readyz of every entry as a load balancer does.
type Readiness struct {
	ready []atomic.Bool
	stop  context.CancelFunc
	wg    sync.WaitGroup
}

// WatchReadiness probes every entry until Stop. It returns after the first probes.
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

// Ready reports the last probe of an entry.
func (r *Readiness) Ready(entry int) bool { return r.ready[entry].Load() }

// Stop ends the probes.
func (r *Readiness) Stop() {
	r.stop()
	r.wg.Wait()
}

// pick returns the entry for the submission with the given number: the entries
// in turn, leaving out those that are not ready unless none is.
func (t Target) selectEntry(number int) int {
	for k := range t.Entries {
		entry := (number + k) % len(t.Entries)
		if t.Ready == nil || t.Ready(entry) {
			return entry
		}
	}
	return number % len(t.Entries)
}
