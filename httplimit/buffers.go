package httplimit

import "sync"

// bufferBytes is the size of the buffers of a large body after the first one.
const bufferBytes = 16 << 10

// bufferPool holds free buffers of bufferBytes. Without it, the buffers of refused bodies become garbage
// faster than the garbage collector runs.
type bufferPool struct {
	max int // 0 keeps none

	mu   sync.Mutex
	free [][]byte
}

// get returns an empty buffer.
func (p *bufferPool) get() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(p.free) - 1
	if last < 0 {
		return make([]byte, 0, bufferBytes)
	}
	b := p.free[last]
	p.free[last] = nil
	p.free = p.free[:last]
	return b
}

// put keeps buffers that nothing uses any more, up to the bound.
func (p *bufferPool) put(buffers [][]byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range buffers {
		if len(p.free) >= p.max {
			return
		}
		p.free = append(p.free, b[:0])
	}
}

// bodyBuffer collects a body. A large one is copied into one slice only when it is complete, so that a
// body that is refused leaves no garbage but its first buffer.
type bodyBuffer struct {
	pool   *bufferPool
	first  []byte
	pooled [][]byte // the buffers after the first
	size   int
}

// space returns the rest of the last buffer.
func (b *bodyBuffer) space() []byte {
	last := *b.last()
	return last[len(last):cap(last)]
}

// added records that n bytes have been written to space.
func (b *bodyBuffer) added(n int) {
	last := b.last()
	*last = (*last)[:len(*last)+n]
	b.size += n
}

func (b *bodyBuffer) full() bool { return len(*b.last()) == cap(*b.last()) }

func (b *bodyBuffer) last() *[]byte {
	if n := len(b.pooled); n > 0 {
		return &b.pooled[n-1]
	}
	return &b.first
}

// grow adds a buffer.
func (b *bodyBuffer) grow() { b.pooled = append(b.pooled, b.pool.get()) }

// bytes returns the body, which shares no memory with the pool.
func (b *bodyBuffer) bytes() []byte {
	if len(b.pooled) == 0 {
		return b.first
	}
	out := append(make([]byte, 0, b.size), b.first...)
	for _, p := range b.pooled {
		out = append(out, p...)
	}
	return out
}

// release gives the buffers back to the pool.
func (b *bodyBuffer) release() { b.pool.put(b.pooled) }
