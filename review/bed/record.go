package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the record of a run: what was sent, answered and run, with the seconds since its start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, began: time.Now()}, nil
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// now returns the time since the start of the record.
func (r *record) now() time.Duration { return time.Since(r.began) }
