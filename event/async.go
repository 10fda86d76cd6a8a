package event

import (
	"io"
	"sync"
	"time"
)

const (
	// maxPendingBytes limits the size of the lines that wait to be written.
	maxPendingBytes = 256 << 10
	// linesPerSecondPerCore limits the line rate in proportion to the processor share of the
	// host, so that logging takes about 1% of it; minLinesPerSecond is the lowest limit. A
	// placement entry writes about 1,000 lines a second.
	linesPerSecondPerCore = 2000
	minLinesPerSecond     = 500
	// burstWindow is the time whose worth of lines may be written in one burst.
	burstWindow = 2 * time.Second
	// dropReportInterval is the shortest time between two reports of dropped lines.
	dropReportInterval = 5 * time.Second
)

// AsyncWriter writes lines in the background, so that a blocked output never delays the
// process. Lines beyond its rate or size limit are dropped and counted.
type AsyncWriter struct {
	out  io.Writer
	wake chan struct{}

	linesPerSecond float64 // refill rate of tokens; each line takes one

	mu         sync.Mutex
	pending    []byte
	writing    bool
	tokens     float64
	lastRefill time.Time
	dropped    int
	lastReport time.Time
	onDropped  func(n int)
}

// NewAsyncWriter returns a writer to out and starts its goroutine, which runs until the
// process exits. cores is the processor share of the host, 0 if unknown.
func NewAsyncWriter(out io.Writer, cores float64) *AsyncWriter {
	w := &AsyncWriter{
		out: out, wake: make(chan struct{}, 1), lastRefill: time.Now(), linesPerSecond: max(minLinesPerSecond, linesPerSecondPerCore*cores),
	}
	w.tokens = w.linesPerSecond * burstWindow.Seconds()
	go w.run()
	return w
}

// OnDropped sets the function that is called with the number of dropped lines. It runs
// on its own goroutine, at most once per dropReportInterval.
func (w *AsyncWriter) OnDropped(f func(n int)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onDropped = f
}

// Write queues one line, or drops it if a limit is reached. It never blocks on the output
// and never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	now := time.Now()
	w.tokens = min(w.tokens+now.Sub(w.lastRefill).Seconds()*w.linesPerSecond, w.linesPerSecond*burstWindow.Seconds())
	w.lastRefill = now
	if w.tokens < 1 || len(w.pending)+len(line) > maxPendingBytes {
		w.dropped++
		w.mu.Unlock()
		return len(line), nil
	}
	w.tokens--
	w.pending = append(w.pending, line...)
	report, f := 0, w.onDropped
	if w.dropped > 0 && f != nil && now.Sub(w.lastReport) > dropReportInterval {
		report, w.dropped, w.lastReport = w.dropped, 0, now
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	if report > 0 {
		// On its own goroutine, since the caller may hold the lock of a logger that f uses.
		go f(report)
	}
	return len(line), nil
}

func (w *AsyncWriter) run() {
	for range w.wake {
		w.writePending()
	}
}

func (w *AsyncWriter) writePending() {
	for {
		w.mu.Lock()
		b := w.pending
		w.pending, w.writing = nil, len(b) > 0
		w.mu.Unlock()
		if len(b) == 0 {
			return
		}
		_, _ = w.out.Write(b) // a write error of the log has nowhere to be reported
	}
}

// Flush waits until the queued lines are written, but not longer than limit.
func (w *AsyncWriter) Flush(limit time.Duration) {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		w.mu.Lock()
		idle := len(w.pending) == 0 && !w.writing
		w.mu.Unlock()
		if idle {
			return
		}
		time.Sleep(time.Millisecond)
	}
}
