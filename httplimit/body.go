package httplimit

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"runtime"
	"time"

	"oriolerelay/errkind"
)

// ReadBody reads the body of a request, which may have at most limit bytes. It returns an error of kind
// BodyTooLarge, InvalidRequest, Overloaded, BodyTimeout or Draining. The memory of the body is counted until
// the response has been written. w may be nil; otherwise the connection of a body that is too large is closed.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *errkind.Error) {
	c := connOf(r.Context())
	if c == nil {
		return readUnlimited(w, r, limit)
	}
	if r.ContentLength > limit {
		return nil, tooLarge(w, limit)
	}
	size := r.ContentLength
	small := size >= 0 && size <= smallBody
	if !small {
		size = min(smallBody/4, limit+1)
	}
	extra := int64(0)
	if !small {
		extra = largeReceiveBufferBytes
	}
	if n := len(r.Header); n > freeFields {
		extra += fieldBytes * int64(n)
	}
	if failure := c.startBody(size, extra, small); failure != nil {
		return nil, failure
	}
	buf := bodyBuffer{pool: &c.group.l.buffers, first: make([]byte, 0, size)}
	defer buf.release()
	reported := int64(0) // bytes received at the last call of progress
	for {
		n, err := r.Body.Read(buf.space())
		buf.added(n)
		have := int64(buf.size)
		switch {
		case have > limit:
			c.stopBody(false)
			return nil, tooLarge(w, limit)
		case err == io.EOF || have == r.ContentLength:
			if why := c.stopBody(true); why != causeNone {
				return nil, endedError(why)
			}
			return buf.bytes(), nil
		case err != nil:
			if why := c.stopBody(false); why != causeNone {
				return nil, endedError(why)
			}
			return nil, errkind.New(errkind.InvalidRequest, "read request body: %w", err)
		}
		grow := int64(0)
		if buf.full() {
			grow = bufferBytes
		}
		if grow > 0 || have >= reported+minProgress {
			reported = have
			if failure := c.progress(have, grow); failure != nil {
				return nil, failure
			}
		}
		if grow > 0 {
			buf.grow()
		}
	}
}

// readUnlimited reads a body whose connection has no limits, as in tests of handlers.
func readUnlimited(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *errkind.Error) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, tooLarge(w, limit)
	case err != nil:
		return nil, errkind.New(errkind.InvalidRequest, "read request body: %w", err)
	}
	return b, nil
}

// tooLarge also closes the connection after the response.
func tooLarge(w http.ResponseWriter, limit int64) *errkind.Error {
	if w != nil {
		w.Header().Set("Connection", "close")
	}
	return errkind.New(errkind.BodyTooLarge, "request body exceeds %d bytes", limit)
}

func endedError(why cause) *errkind.Error {
	switch why {
	case causeTimeout:
		return errkind.New(errkind.BodyTimeout, "the request body did not arrive in time")
	case causeDraining:
		return errkind.New(errkind.Draining, "the request body was not complete when the process drained")
	}
	return errkind.New(errkind.Overloaded, "the request body made no progress while memory or connections are scarce")
}

func memoryError() *errkind.Error {
	return errkind.New(errkind.Overloaded, "the memory for requests is used up")
}

// bodyCost is the memory for n bytes of a body: its buffers, and its copy in one slice or its decoded
// strings.
func bodyCost(n int64) int64 { return 2 * n }

// startBody reserves the memory for the first size bytes of a body, and extra bytes.
func (c *Conn) startBody(size, extra int64, small bool) *errkind.Error {
	l, now := c.group.l, time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.forgotten || !l.reserveBody(c, bodyCost(size)+extra, small, now) {
		return memoryError()
	}
	if !small {
		c.raised = c.SetReadBuffer(largeReceiveBufferBytes) == nil
	}
	c.reading.Store(true)
	c.started, c.received = now, 0
	c.setPhase(receiving, &l.receiving, now)
	return nil
}

// progress records that received bytes of the body have arrived, and reserves the memory for grow more
// bytes.
func (c *Conn) progress(received, grow int64) *errkind.Error {
	l, now := c.group.l, time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.ended != causeNone || c.forgotten {
		c.reading.Store(false)
	}
	if c.ended != causeNone {
		return endedError(c.ended)
	}
	if c.forgotten {
		return memoryError()
	}
	if received >= c.received+minProgress {
		c.received = received
		c.setPhase(receiving, &l.receiving, now)
	}
	if grow > 0 && !l.reserveBody(c, bodyCost(grow), false, now) {
		c.reading.Store(false)
		c.setPhase(serving, nil, now)
		l.bodies.used -= c.body
		c.body = 0
		c.lowerReceiveBuffer()
		return memoryError()
	}
	return nil
}

// stopBody records that the body is not read any further, and returns why it was ended, if so.
func (c *Conn) stopBody(complete bool) cause {
	l := c.group.l
	l.mu.Lock()
	defer l.mu.Unlock()
	c.reading.Store(false)
	if complete {
		c.bodyPending.Store(false)
	}
	c.lowerReceiveBuffer()
	if c.list == &l.receiving {
		c.setPhase(serving, nil, time.Time{})
	}
	return c.ended
}

// lowerReceiveBuffer undoes the raise for a large body. l.mu is held.
func (c *Conn) lowerReceiveBuffer() {
	if c.raised {
		_ = c.SetReadBuffer(receiveBufferBytes) // fails if the connection is closed
		c.raised = false
	}
}

// Costs of decoded JSON.
const (
	objectBytes  = 640 // a step as decoded and as job.Step, in slices that grow
	elementBytes = 24  // an element of a slice that grows
)

// DecodedCost returns an upper bound on the memory that decoding b as JSON needs.
func DecodedCost(b []byte) int64 {
	return objectBytes*int64(bytes.Count(b, []byte{'{'})) + elementBytes*int64(bytes.Count(b, []byte{','}))
}

// Charge counts n more bytes for the request of ctx until its response has been written. It returns an
// error of kind Overloaded if they are not available.
func Charge(ctx context.Context, n int64) *errkind.Error {
	if n <= freeCharge {
		return nil
	}
	c := connOf(ctx)
	if c == nil {
		return nil
	}
	l := c.group.l
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.decoded.limit == 0 {
		return nil
	}
	n = min(n, l.decoded.largest()-c.decoded)
	if c.forgotten || !l.decoded.allows(n, c.decoded+n <= smallCharge) {
		l.counts[causeMemory]++
		return memoryError()
	}
	l.decoded.used += n
	c.decoded += n
	return nil
}

// Reserve counts n bytes for a request that has arrived in another way, until release is called. It returns an
// error of kind Overloaded if they are not available.
func (l *Limiter) Reserve(n int64) (release func(), failure *errkind.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.decoded.limit == 0 || n <= freeCharge {
		return func() {}, nil
	}
	n = min(n, l.decoded.largest())
	if !l.decoded.allows(n, n <= smallCharge) {
		l.counts[causeMemory]++
		return nil, memoryError()
	}
	l.decoded.used += n
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.releaseDecoded(n)
	}, nil
}

// releaseDecoded counts n bytes of the decoded requests as free. Those of a large request are garbage
// first, and the next one would be allocated beside them; they are counted until they are collected.
// l.mu is held.
func (l *Limiter) releaseDecoded(n int64) {
	if n < l.decoded.largest()/2 || n == 0 {
		l.decoded.used -= n
		return
	}
	go func() {
		runtime.GC()
		l.mu.Lock()
		defer l.mu.Unlock()
		l.decoded.used -= n
	}()
}
