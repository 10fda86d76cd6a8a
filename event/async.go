package event

import (
	"io"
	"sync"
	"time"
)

const (
	// asyncBytes bounds the lines that wait to be written.
	maxPendingBytes = 256 << 10
	// linesPerCore bounds the lines a second in proportion to the processor share of the
	// host, of which they take about 1%; minLines is the least bound. An entry that places
	// the jobs of others writes about 1,000.
	linesPerSecondPerCore = 2000
	minLinesPerSecond     = 500
	// burstTime is the time whose lines may come at once.
	burstWindow = 2 * time.Second
	// droppedReport is the time between two reports of dropped lines.
	dropReportInterval = 5 * time.Second
)

// AsyncWriter writes lines in the background, so that a reader that does not read
// never delays the process. Lines beyond its bounds are dropped and counted.
type AsyncWriter struct {
	out  io.Writer
	wake chan struct{}

	linesPerSecond float64 // bound of the lines

	mu         sync.Mutex
	pending    []byte
	writing    bool
	tokens     float64
	lastRefill time.Time
	dropped    int
	lastReport time.Time
	onDropped  func(n int)
}

// NewAsyncWriter returns a writer to out and starts its goroutine, which lives as
// long as the process. cores is the processor share of the host, 0 if it is not known.
func NewAsyncWriter(out io.Writer, cores float64) *AsyncWriter {
	w := &AsyncWriter{
		out: out, wake: make(chan struct{}, 1), lastRefill: time.Now(), linesPerSecond: max(minLinesPerSecond, linesPerSecondPerCore*cores),
	}
	w.tokens = w.linesPerSecond * burstWindow.Seconds()
	go w.run()
	return w
}

// OnDropped sets the function that reports dropped lines.
func (w *AsyncWriter) OnDropped(f func(n int)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onDropped = f
}

// Write queues one line. It never blocks and never fails.
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
		// The caller may hold the lock of the logger above.
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
		_, _ = w.out.Write(b) // a log that cannot be written has nowhere to be reported
	}
}

// Flush waits until the queued lines are written, for at most the given time.
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
