package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// applyBound is the time after its acknowledgement within which a configuration is in force at
	// entries that have been calm for calmTime.
	applyBound = 2 * time.Second
	calmTime   = 3 * time.Second
	// configInterval is the longest time between two changes of the configuration.
	configInterval = 900 * time.Millisecond
	// probeInterval is the time between two requests that show which configuration an entry uses.
	probeInterval = 100 * time.Millisecond
	probeTimeout  = 500 * time.Millisecond
)

// operatorState is what the operator has written and the callers of its routes have seen.
type operatorState struct {
	mu      sync.Mutex
	version uint64
	// writtenAt holds the time at which each version was acknowledged, by version.
	writtenAt map[uint64]time.Time
	// disturbedUntil holds the latest end of the faults that affect an entry, by entry.
	disturbedUntil []time.Time
	violations     []string
	probes         int // that were judged
}

// routedVersions is the number of versions that have the route which one of them has added. More are
// written within applyBound only if this process is held up.
const routedVersions = 12

// routePrefix is the path prefix of the queue that a version adds.
func routePrefix(version uint64) string { return fmt.Sprintf("/v%d/", version) }

// changeConfig writes a new version of the configuration at random intervals until ctx ends. Each adds
// a route and removes that which the version routedVersions before it has added.
func (w *soakRun) changeConfig(ctx context.Context) {
	o, rng := &w.operator, rand.New(rand.NewPCG(w.Seed, 4))
	for ctx.Err() == nil {
		o.mu.Lock()
		o.version++
		version := o.version
		o.mu.Unlock()
		var prefixes []string
		for v := version; v > 0 && v > version-min(version, routedVersions); v-- {
			prefixes = append(prefixes, routePrefix(v))
		}
		if err := w.store.PutConfig(version, queueHost, queuePrefix, service, !w.ChangingCapacity, prefixes...); err != nil {
			o.addViolation("version %d of the configuration cannot be encoded: %v", version, err)
			return
		}
		o.mu.Lock()
		o.writtenAt[version] = time.Now()
		o.mu.Unlock()
		select {
		case <-time.After(configInterval/3 + time.Duration(rng.Int64N(int64(configInterval*2/3)))):
		case <-ctx.Done():
		}
	}
}

// disturb records that a fault affects the entries until the given time. No entry stands for all.
func (w *soakRun) disturb(until time.Time, entries ...int) {
	o := &w.operator
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := range o.disturbedUntil {
		affected := len(entries) == 0
		for _, e := range entries {
			affected = affected || e == i
		}
		if affected && until.After(o.disturbedUntil[i]) {
			o.disturbedUntil[i] = until
		}
	}
}

func (o *operatorState) addViolation(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}

// requiredVersion returns the newest version that an entry must use for a request that is sent now; 0 if
// there is none, or faults have affected the entry lately.
func (o *operatorState) requiredVersion(entry int, now time.Time) (required uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if now.Sub(o.disturbedUntil[entry]) < calmTime {
		return 0
	}
	for version, at := range o.writtenAt {
		if now.Sub(at) > applyBound {
			required = max(required, version)
		}
	}
	return required
}

// probeConfig sends requests to an entry that only the newest configurations allow or refuse, until ctx
// ends, and checks the answers. A request that gets no answer, or a temporary refusal, shows nothing.
func (w *soakRun) probeConfig(ctx context.Context, entry int) {
	client := &http.Client{Timeout: probeTimeout}
	address := hostPort(w.hostIP(10+entry), callersPort)
	status := func(version uint64) int {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+routePrefix(version), nil)
		if err != nil {
			panic(err) // the address is valid
		}
		req.Host = queueHost
		resp, err := client.Do(req)
		if err != nil {
			return 0
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	o := &w.operator
	var seen uint64 // newest version whose effect this entry has shown
	for ; ctx.Err() == nil; time.Sleep(probeInterval) {
		sent := time.Now()
		required := o.requiredVersion(entry, sent)
		if required == 0 {
			seen = 0 // the process may have been restarted
			continue
		}
		o.mu.Lock()
		o.probes++
		o.mu.Unlock()
		if status(required) == http.StatusNotFound && o.newestVersion()-required < routedVersions {
			o.addViolation("entry-%d refuses a route at %.3f s that version %d has added", entry+1, sent.Sub(w.startedAt).Seconds(), required)
		}
		if required > routedVersions && status(required-routedVersions) == http.StatusOK {
			o.addViolation("entry-%d serves a route at %.3f s that version %d has removed", entry+1, sent.Sub(w.startedAt).Seconds(), required)
		}
		newest := o.newestVersion()
		if seen > 0 && status(seen) == http.StatusNotFound && o.newestVersion()-seen < routedVersions {
			o.addViolation("entry-%d refuses a route at %.3f s that version %d has added, whose effect it has shown", entry+1, sent.Sub(w.startedAt).Seconds(), seen)
		}
		if status(newest) == http.StatusOK {
			seen = newest
		}
	}
}

func (o *operatorState) newestVersion() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.version
}

// configFault starts one random fault that affects how entries learn the configuration.
func (w *soakRun) configFault() {
	duration := time.Duration(100+w.faultRNG.IntN(int(maxFaultDuration.Milliseconds())-100)) * time.Millisecond
	i := w.faultRNG.IntN(w.Entries)
	end := time.Now().Add(duration)
	switch w.faultRNG.IntN(6) {
	case 0:
		w.logEvent("pause entry %d %v", i+1, duration)
		w.disturb(end, i)
		w.entries[i].pause(duration)
	case 1:
		w.disturb(end)
		w.storeFault(duration)
	case 2, 3:
		w.disturb(end, i)
		w.proxyFault("store", i, w.storeProxies[i].faultState, duration)
	case 4, 5:
		w.logEvent("connections of entry %d to the store are silenced", i+1)
		w.disturb(time.Now(), i)
		w.storeProxies[i].silence()
	}
}
