package soak

import (
	"context"
	"syscall"
	"time"

	"oriolerelay/emulator"
	"oriolerelay/platform/standin"
)

// longestTrouble bounds a single fault. It is below the time after which an end
// that an agent keeps is given up.
const longestTrouble = 2500 * time.Millisecond

// trouble injects faults for w.Length. They come in series and overlap.
func (w *world) trouble(ctx context.Context) {
	for end := time.Now().Add(w.Length); time.Now().Before(end); {
		w.inject()
		select {
		case <-time.After(time.Duration(100+w.random.IntN(800)) * time.Millisecond):
		case <-ctx.Done():
			return
		}
	}
}

// The kinds of faults: the first ones concern processes only.
const (
	processFaults = 4
	allFaults     = 12
)

// inject begins one fault.
func (w *world) inject() {
	span := time.Duration(100+w.random.IntN(int(longestTrouble.Milliseconds())-100)) * time.Millisecond
	kinds := processFaults
	if w.All {
		kinds = allFaults
	}
	switch w.random.IntN(kinds) {
	case 0, 1:
		p := w.anyProcess()
		w.note("kill %s, down %v", p.name, span/2)
		p.kill(syscall.SIGKILL, span/2)
	case 2:
		p := w.anyProcess()
		w.note("stop %s", p.name)
		p.kill(syscall.SIGTERM, span/2)
	case 3:
		p := w.anyProcess()
		w.note("reload %s", p.name)
		p.signal(syscall.SIGHUP)
	case 4, 5:
		p := w.anyProcess()
		w.note("pause %s %v", p.name, span)
		p.pause(span)
	case 6:
		i := w.random.IntN(len(w.stores))
		w.proxied("store", i, w.stores[i].trouble, span)
	case 7:
		i := w.random.IntN(len(w.callers))
		w.proxied("callers", i, w.callers[i].trouble, span)
	case 8, 9:
		i := w.random.IntN(len(w.packets))
		w.proxied("agents", i, w.packets[i].trouble, span)
	case 10:
		w.storeFault(span)
	case 11:
		w.endpointFault(span)
	}
}

func (w *world) anyProcess() *process {
	i := w.random.IntN(len(w.entries) + len(w.agents))
	if i < len(w.entries) {
		return w.entries[i]
	}
	return w.agents[i-len(w.entries)]
}

// proxied puts a proxy into trouble for a while.
func (w *world) proxied(what string, i int, t *trouble, span time.Duration) {
	now := []Trouble{
		{Delay: time.Duration(5+w.random.IntN(200)) * time.Millisecond},
		{CutTo: true}, {CutFrom: true}, {CutTo: true, CutFrom: true}, {Reset: true},
	}[w.random.IntN(5)]
	w.note("%s proxy %d: %+v for %v", what, i, now, span)
	t.Set(now)
	time.AfterFunc(span, func() { t.Set(Trouble{}) })
}

func (w *world) storeFault(span time.Duration) {
	f := []standin.StoreFaults{{Down: true}, {LoseAnswers: true}, {Delay: 240 * time.Millisecond}}[w.random.IntN(3)]
	w.note("store: %+v for %v", f, span)
	w.store.SetFaults(f)
	time.AfterFunc(span, func() { w.store.SetFaults(standin.StoreFaults{}) })
}

func (w *world) endpointFault(span time.Duration) {
	e := w.endpoints[w.random.IntN(len(w.endpoints))]
	f := []emulator.Faults{
		{}, {Fail: true}, {Hang: true}, {Unresponsive: true}, {LoseStartReplies: 3}, {DelayStarts: 2, Delay: span / 2},
	}[w.random.IntN(6)]
	if f == (emulator.Faults{}) {
		w.note("%s crashes", e.Name)
		e.Crash()
		return
	}
	w.note("%s: %+v for %v", e.Name, f, span)
	e.SetFaults(f)
	time.AfterFunc(span, func() { e.SetFaults(emulator.Faults{}) })
}

// heal ends the faults that stand; those with a span end by themselves.
func (w *world) heal() {
	w.note("faults end")
	w.store.SetFaults(standin.StoreFaults{})
	for _, p := range w.stores {
		p.Set(Trouble{})
	}
	for _, p := range w.callers {
		p.Set(Trouble{})
	}
	for _, p := range w.packets {
		p.Set(Trouble{})
	}
	for _, e := range w.endpoints {
		e.SetFaults(emulator.Faults{})
	}
	for _, p := range append(append([]*process(nil), w.entries...), w.agents...) {
		p.signal(syscall.SIGCONT)
	}
}
