// Package transport carries wire messages between the system's processes over
// QUIC. A connection uses one bidirectional stream; calls and one-way messages
// share it, and small messages that are sent together leave in one write.
package transport

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"oriolerelay/wire"
)

// ErrClosed is returned for messages on a closed connection.
var ErrClosed = errors.New("connection closed")

// writeQueueFrames bounds the frames that wait for the writer of a connection.
// A sender that finds the queue full blocks until its context ends.
const writeQueueFrames = 1024

// Handler receives the messages of a connection. Handle is called in the order
// of arrival on the connection's reader goroutine, so it must not block; work
// that waits goes to a goroutine of its own, which replies with Conn.Reply.
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
	// anonymous connections do not check the certificate of the peer.
	insecure   bool
	writeQueue chan []byte
	done       chan struct{}
	nextID     atomic.Uint64
	// unwritten counts the frames that were queued and not yet written.
	unwritten atomic.Int64

	shutdown     chan struct{} // closed by Finish
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

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Err returns why the connection ended, or nil while it is open.
func (c *Conn) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// Send queues a one-way message. A nil error does not mean that it arrived.
func (c *Conn) Send(ctx context.Context, m wire.Message) error {
	return c.enqueue(ctx, wire.Frame{Body: m})
}

// Reply answers the call with the given id.
func (c *Conn) Reply(ctx context.Context, callID uint64, m wire.Message) error {
	return c.enqueue(ctx, wire.Frame{CallID: callID, Reply: true, Body: m})
}

// Call sends m and waits for the reply, the end of ctx or of the connection.
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

// Close ends the connection. Messages that are still queued may be lost.
func (c *Conn) Close() error {
	c.closeWithError(ErrClosed)
	return nil
}

// Finish ends the connection gracefully: frames that were queued before are
// written, the sending side is closed, and Finish waits until the peer has
// handled them and closed the connection, or until ctx ends. Frames that are
// sent after Finish fail; those that are sent at the same time may be lost.
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

// Unwritten returns the number of frames that Send, Reply or Call has queued and
// that are not yet written to the stream. It stays above zero while the peer
// does not read.
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

// run serves the connection until it ends.
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

// writeLast writes the frames that are queued and closes the sending side. The
// peer reads the end of the stream after it has handled them.
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

// writeBatch writes b and every frame that is already queued, then flushes.
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
		f, n, err := readFrame(r)
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

// deliver hands a reply to its caller. A reply whose caller has gone is dropped.
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

func readFrame(r io.Reader) (wire.Frame, int, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return wire.Frame{}, 0, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > wire.MaxFrameBytes {
		return wire.Frame{}, 0, wire.ErrFrameTooLarge
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(r, b); err != nil {
		return wire.Frame{}, 0, err
	}
	f, err := wire.Decode(b)
	return f, int(n), err
}
