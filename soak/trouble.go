package soak

import (
	"context"
	"syscall"
	"time"

	"oriolerelay/emulator"
	"oriolerelay/platform/standin"
)

// maxFaultDuration bounds a single fault. It is shorter than the time for which an agent
// keeps the end of a run that is not confirmed.
const maxFaultDuration = 2500 * time.Millisecond

// injectFaults injects faults for w.FaultDuration at random intervals, so that they overlap.
func (w *soakRun) injectFaults(ctx context.Context) {
	for end := time.Now().Add(w.FaultDuration); time.Now().Before(end); {
		w.injectFault()
		select {
		case <-time.After(time.Duration(100+w.faultRNG.IntN(800)) * time.Millisecond):
		case <-ctx.Done():
			return
		}
	}
}

// Number of cases of injectFault; the first processFaults affect processes only.
const (
	processFaults = 4
	allFaults     = 12
)

// injectFault starts one random fault.
func (w *soakRun) injectFault() {
	duration := time.Duration(100+w.faultRNG.IntN(int(maxFaultDuration.Milliseconds())-100)) * time.Millisecond
	if w.ChangingConfig {
		w.configFault()
		return
	}
	kinds := processFaults
	if w.AllFaults {
		kinds = allFaults
	}
	switch w.faultRNG.IntN(kinds) {
	case 0, 1:
		p := w.anyProcess()
		w.logEvent("kill %s, down %v", p.name, duration/2)
		p.kill(syscall.SIGKILL, duration/2)
	case 2:
		p := w.anyProcess()
		w.logEvent("stop %s", p.name)
		p.kill(syscall.SIGTERM, duration/2)
	case 3:
		p := w.anyProcess()
		w.logEvent("reload %s", p.name)
		p.signal(syscall.SIGHUP)
	case 4, 5:
		p := w.anyProcess()
		w.logEvent("pause %s %v", p.name, duration)
		p.pause(duration)
	case 6:
		i := w.faultRNG.IntN(len(w.storeProxies))
		w.proxyFault("store", i, w.storeProxies[i].faultState, duration)
	case 7:
		i := w.faultRNG.IntN(len(w.callerProxies))
		w.proxyFault("callers", i, w.callerProxies[i].faultState, duration)
	case 8, 9:
		i := w.faultRNG.IntN(len(w.packetProxies))
		w.proxyFault("agents", i, w.packetProxies[i].faultState, duration)
	case 10:
		w.storeFault(duration)
	case 11:
		w.endpointFault(duration)
	}
}

func (w *soakRun) anyProcess() *process {
	i := w.faultRNG.IntN(len(w.entries) + len(w.agents))
	if i < len(w.entries) {
		return w.entries[i]
	}
	return w.agents[i-len(w.entries)]
}

// proxyFault applies a random fault to a proxy for the given duration.
func (w *soakRun) proxyFault(name string, i int, state *faultState, duration time.Duration) {
	faults := []ProxyFaults{
		{Delay: time.Duration(5+w.faultRNG.IntN(200)) * time.Millisecond},
		{CutTo: true}, {CutFrom: true}, {CutTo: true, CutFrom: true}, {Reset: true},
	}[w.faultRNG.IntN(5)]
	w.logEvent("%s proxy %d: %+v for %v", name, i, faults, duration)
	state.Set(faults)
	time.AfterFunc(duration, func() { state.Set(ProxyFaults{}) })
}

func (w *soakRun) storeFault(duration time.Duration) {
	faults := []standin.StoreFaults{{Down: true}, {LoseAnswers: true}, {Delay: 240 * time.Millisecond}}[w.faultRNG.IntN(3)]
	w.logEvent("store: %+v for %v", faults, duration)
	w.store.SetFaults(faults)
	time.AfterFunc(duration, func() { w.store.SetFaults(standin.StoreFaults{}) })
}

func (w *soakRun) endpointFault(duration time.Duration) {
	e := w.endpoints[w.faultRNG.IntN(len(w.endpoints))]
	faults := []emulator.Faults{
		{}, {Fail: true}, {Hang: true}, {Unresponsive: true}, {LoseStartReplies: 3}, {DelayStarts: 2, Delay: duration / 2},
	}[w.faultRNG.IntN(6)]
	if faults == (emulator.Faults{}) {
		w.logEvent("%s crashes", e.Name)
		e.Crash()
		return
	}
	w.logEvent("%s: %+v for %v", e.Name, faults, duration)
	e.SetFaults(faults)
	time.AfterFunc(duration, func() { e.SetFaults(emulator.Faults{}) })
}

// clearFaults ends the faults of the store, the proxies and the endpoints and resumes paused
// processes. Killed processes restart by themselves.
func (w *soakRun) clearFaults() {
	w.logEvent("faults cleared")
	w.disturb(time.Now())
	w.store.SetFaults(standin.StoreFaults{})
	for _, p := range w.storeProxies {
		p.Set(ProxyFaults{})
	}
	for _, p := range w.callerProxies {
		p.Set(ProxyFaults{})
	}
	for _, p := range w.packetProxies {
		p.Set(ProxyFaults{})
	}
	for _, e := range w.endpoints {
		e.SetFaults(emulator.Faults{})
	}
	for _, p := range append(append([]*process(nil), w.entries...), w.agents...) {
		p.signal(syscall.SIGCONT)
	}
}
