// Package transport exchanges wire messages between processes over QUIC.
// Each connection uses one bidirectional stream for both calls and one-way
// messages. Queued messages are written in batches.
package transport

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"golang.org/x/sync/semaphore"

	"oriolerelay/wire"
)

// ErrClosed is returned when a message is sent on a closed connection.
var ErrClosed = errors.New("connection closed")

// writeQueueFrames is the capacity of a connection's write queue. A sender
// blocks while the queue is full, until its context ends.
const writeQueueFrames = 1024

// Handler receives the messages of a connection. Handle is called on the
// connection's reader goroutine, in order of arrival, so it must not block.
// Blocking work belongs in a separate goroutine, which answers a call with
// Conn.Reply.
type Handler interface {
	Handle(c *Conn, f wire.Frame)
	// Closed is called once, after the last Handle.
	Closed(c *Conn, err error)
}

// Conn is a connection to a peer. It is safe for concurrent use.
type Conn struct {
	quicConn *quic.Conn
	stream   *quic.Stream
	stats    *Stats
	// insecure is set when the peer's certificate is not verified.
	insecure    bool
	writeQueue  chan []byte
	done        chan struct{}
	nextID      atomic.Uint64
	largeFrames *semaphore.Weighted // nil for no bound
	// unwritten counts queued frames that are not yet written to the stream.
	unwritten atomic.Int64

	shutdown     chan struct{} // closed by Shutdown
	shutdownOnce sync.Once

	// PeerHello is set by the handshake before the handler runs.
	PeerHello wire.Hello

	mu    sync.Mutex
	calls map[uint64]chan wire.Message
	err   error
}

func newConn(quicConn *quic.Conn, stream *quic.Stream, opts Options) *Conn {
	return &Conn{
		quicConn:   quicConn,
		stream:     stream,
		stats:      opts.Stats,
		insecure:   opts.TLS == nil,
		writeQueue: make(chan []byte, writeQueueFrames),
		done:       make(chan struct{}),
		shutdown:   make(chan struct{}),
		calls:      make(map[uint64]chan wire.Message),
	}
}

// RemoteAddr returns the peer's address.
func (c *Conn) RemoteAddr() net.Addr { return c.quicConn.RemoteAddr() }

// Done returns a channel that is closed when the connection ends.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Err returns the reason why the connection ended, or nil while it is open.
func (c *Conn) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// Send queues a one-way message. A nil error does not guarantee delivery.
func (c *Conn) Send(ctx context.Context, m wire.Message) error {
	return c.enqueue(ctx, wire.Frame{Body: m})
}

// Reply queues the reply to the call with the given ID.
func (c *Conn) Reply(ctx context.Context, callID uint64, m wire.Message) error {
	return c.enqueue(ctx, wire.Frame{CallID: callID, Reply: true, Body: m})
}

// Call sends m and waits for the reply. It returns early when ctx or the
// connection ends.
func (c *Conn) Call(ctx context.Context, m wire.Message) (wire.Message, error) {
	id := c.nextID.Add(1)
	ch := make(chan wire.Message, 1)
	if err := c.registerCall(id, ch); err != nil {
		return nil, err
	}
	defer c.unregisterCall(id)
	if err := c.enqueue(ctx, wire.Frame{CallID: id, Body: m}); err != nil {
		return nil, err
	}
	select {
	case reply := <-ch:
		return reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-c.done:
		return nil, c.closedError()
	}
}

// Close closes the connection immediately. Queued messages may be lost.
func (c *Conn) Close() error {
	c.closeWithError(ErrClosed)
	return nil
}

// Shutdown closes the connection gracefully. It writes the queued frames, closes
// the sending side and waits until the peer has handled the frames and closed
// the connection, or until ctx ends. Sending after Shutdown fails; frames sent
// concurrently with it may be lost.
func (c *Conn) Shutdown(ctx context.Context) error {
	c.shutdownOnce.Do(func() { close(c.shutdown) })
	defer c.closeWithError(ErrClosed)
	select {
	case <-c.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *Conn) registerCall(id uint64, ch chan wire.Message) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return c.err
	}
	c.calls[id] = ch
	return nil
}

func (c *Conn) unregisterCall(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.calls, id)
}

func (c *Conn) closedError() error {
	if err := c.Err(); err != nil {
		return err
	}
	return ErrClosed
}

func (c *Conn) enqueue(ctx context.Context, f wire.Frame) error {
	b, err := wire.Encode(f)
	if err != nil {
		return err
	}
	select {
	case <-c.done:
		return c.closedError()
	case <-c.shutdown:
		return ErrClosed
	default:
	}
	c.unwritten.Add(1)
	select {
	case c.writeQueue <- b:
		c.stats.sent(f.Body.MessageType(), len(b))
		return nil
	case <-c.done:
		c.unwritten.Add(-1)
		return c.closedError()
	case <-ctx.Done():
		c.unwritten.Add(-1)
		return ctx.Err()
	}
}

// Unwritten returns the number of queued frames that are not yet written to the
// stream. It stays above zero while the peer does not read.
func (c *Conn) Unwritten() int { return int(c.unwritten.Load()) }

func (c *Conn) closeWithError(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return
	}
	c.err = err
	close(c.done)
	_ = c.quicConn.CloseWithError(0, "")
}

// run reads and writes frames until the connection ends or the peer's
// certificate expires.
func (c *Conn) run(h Handler) {
	certs := c.quicConn.ConnectionState().TLS.PeerCertificates
	if len(certs) > 0 && !c.insecure {
		expiryTimer := time.AfterFunc(time.Until(certs[0].NotAfter), func() { c.closeWithError(ErrCertificateExpired) })
		defer expiryTimer.Stop()
	}
	go c.writeLoop()
	err := c.readLoop(h)
	c.closeWithError(err)
	h.Closed(c, c.Err())
}

func (c *Conn) writeLoop() {
	w := bufio.NewWriterSize(c.stream, 16<<10)
	for {
		select {
		case b := <-c.writeQueue:
			if err := c.writeBatch(w, b); err != nil {
				c.closeWithError(fmt.Errorf("write: %w", err))
				return
			}
		case <-c.shutdown:
			c.flushAndClose(w)
			return
		case <-c.done:
			return
		}
	}
}

// flushAndClose writes the queued frames and closes the sending side. The peer
// reaches the end of the stream only after it has handled them.
func (c *Conn) flushAndClose(w *bufio.Writer) {
	for {
		select {
		case b := <-c.writeQueue:
			if err := c.writeBatch(w, b); err != nil {
				c.closeWithError(fmt.Errorf("write: %w", err))
				return
			}
		default:
			_ = c.stream.Close()
			return
		}
	}
}

// writeBatch writes b and all frames that are already queued, then flushes.
func (c *Conn) writeBatch(w *bufio.Writer, b []byte) error {
	for n := int64(1); ; n++ {
		if err := writeFrame(w, b); err != nil {
			return err
		}
		select {
		case b = <-c.writeQueue:
			continue
		default:
		}
		err := w.Flush()
		c.unwritten.Add(-n)
		return err
	}
}

func (c *Conn) readLoop(h Handler) error {
	r := bufio.NewReaderSize(c.stream, 16<<10)
	for {
		f, n, err := c.readFrame(r)
		if err != nil {
			return fmt.Errorf("read: %w", err)
		}
		c.stats.received(f.Body.MessageType(), n)
		if f.Reply {
			c.deliverReply(f)
			continue
		}
		h.Handle(c, f)
	}
}

// deliverReply passes a reply to the pending call. It drops the reply if the
// call is no longer pending.
func (c *Conn) deliverReply(f wire.Frame) {
	c.mu.Lock()
	ch := c.calls[f.CallID]
	delete(c.calls, f.CallID)
	c.mu.Unlock()
	if ch != nil {
		ch <- f.Body
	}
}

func writeFrame(w io.Writer, b []byte) error {
	var head [4]byte
	binary.BigEndian.PutUint32(head[:], uint32(len(b)))
	if _, err := w.Write(head[:]); err != nil {
		return err
	}
	_, err := w.Write(b)
	return err
}

// Frames above smallFrameBytes take their memory from a budget of the listener, as long as they arrive.
const (
	smallFrameBytes = 64 << 10
	// frameTimeout is the time in which a larger frame must arrive, with the wait for its memory.
	frameTimeout = 5 * time.Second
)

// readFrame reads a frame, whose sender may be slow to send it.
func (c *Conn) readFrame(r io.Reader) (wire.Frame, int, error) {
	n, err := readLength(r)
	if err != nil {
		return wire.Frame{}, 0, err
	}
	if n > smallFrameBytes && c.largeFrames != nil {
		ctx, cancel := context.WithTimeout(context.Background(), frameTimeout)
		defer cancel()
		if err := c.largeFrames.Acquire(ctx, int64(n)); err != nil {
			return wire.Frame{}, 0, fmt.Errorf("no memory for a frame of %d bytes: %w", n, err)
		}
		defer c.largeFrames.Release(int64(n))
		_ = c.stream.SetReadDeadline(time.Now().Add(frameTimeout)) // fails if the stream is closed, as does the read
		defer func() { _ = c.stream.SetReadDeadline(time.Time{}) }()
	}
	return readBody(r, n)
}

func readLength(r io.Reader) (int, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > wire.MaxFrameBytes {
		return 0, wire.ErrFrameTooLarge
	}
	return int(n), nil
}

// readBody reads a frame of n bytes. It allocates memory as the bytes arrive, since a declared length costs a
// peer nothing.
func readBody(r io.Reader, n int) (wire.Frame, int, error) {
	b := make([]byte, 0, min(n, smallFrameBytes))
	for len(b) < n {
		b = slices.Grow(b, min(n-len(b), max(len(b), smallFrameBytes)))
		part := b[len(b):min(cap(b), n)]
		if _, err := io.ReadFull(r, part); err != nil {
			return wire.Frame{}, 0, err
		}
		b = b[:len(b)+len(part)]
	}
	f, err := wire.Decode(b)
	return f, n, err
}

func readFrame(r io.Reader) (wire.Frame, int, error) {
	n, err := readLength(r)
	if err != nil {
		return wire.Frame{}, 0, err
	}
	return readBody(r, n)
}
