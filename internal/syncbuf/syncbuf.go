// Package syncbuf provides a buffer for tests that read a log while other goroutines
// write to it.
package syncbuf

import (
	"bytes"
	"sync"
)

// Buffer is a bytes.Buffer that is safe for concurrent use. Its zero value is an empty
// buffer.
type Buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (b *Buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

// String returns everything written so far.
func (b *Buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}
