// Package syncbuf holds what several goroutines write, for tests that read a log while
// it is written.
package syncbuf

import (
	"bytes"
	"sync"
)

// Buffer is a bytes.Buffer that is safe for concurrent use. Its zero value is empty.
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

// String returns what has been written.
func (b *Buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}
