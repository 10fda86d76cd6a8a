package transport

import (
	"bufio"
	"context"
	"crypto/sha256"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/quic-go/quic-go"

	"oriolerelay/event"
	"oriolerelay/wire"
)

// Timeouts of a connection. A silent peer is noticed after idleTimeout; the
// keep-alive period leaves room for two lost packets within it.
const (
	idleTimeout      = 2 * time.Second
	keepAlivePeriod  = 600 * time.Millisecond
	handshakeTimeout = 2 * time.Second
)

// protocolName is the TLS ALPN name of the internal protocol.
const protocolName = "oriole/1"

// Flow-control windows of a connection in bytes. They bound the memory that a
// peer can make this process hold.
const (
	initialWindow = 64 << 10
	maxWindow     = 2 << 20
)

// Options configures a Listener or a Dialer.
type Options struct {
	// TLS holds the keys and authorities. nil is for networks that the operator
	// trusts and that hand out no keys: connections are then encrypted with a key
	// made for this process, and peers are not authenticated.
	TLS *tls.Config
	// IdleTimeout is when a silent peer is noticed; 0 for the default.
	IdleTimeout time.Duration
	// ResetSecret lets a listener that was restarted tell its peers at once that
	// their connections have ended. It must be the same after the restart, and
	// unknown to others where peers are authenticated. Empty for none.
	StatelessResetSecret string
	Hello                func() wire.Hello // sent to the peer on each connection
	Stats                *Stats            // may be nil
	Log                  *event.Logger     // refused peers; may be nil
}

func (o Options) quicConfig() *quic.Config {
	idle, keepAlive := o.IdleTimeout, o.IdleTimeout*3/10
	if idle <= 0 {
		idle, keepAlive = idleTimeout, keepAlivePeriod
	}
	return &quic.Config{
		MaxIdleTimeout:                 idle,
		KeepAlivePeriod:                keepAlive,
		HandshakeIdleTimeout:           handshakeTimeout,
		InitialStreamReceiveWindow:     initialWindow,
		InitialConnectionReceiveWindow: initialWindow,
		MaxStreamReceiveWindow:         maxWindow,
		MaxConnectionReceiveWindow:     maxWindow,
		MaxIncomingStreams:             1,
		MaxIncomingUniStreams:          -1,
	}
}

// Listener accepts connections.
type Listener struct {
	quicListener  *quic.Listener
	quicTransport *quic.Transport
	opts          Options
}

// Listen listens on a UDP address (ip:port).
func Listen(address string, opts Options) (*Listener, error) {
	udpAddr, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	udpConn, err := net.ListenUDP("udp", udpAddr)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	t := &quic.Transport{Conn: udpConn}
	if opts.StatelessResetSecret != "" {
		key := quic.StatelessResetKey(sha256.Sum256([]byte(opts.StatelessResetSecret)))
		t.StatelessResetKey = &key
	}
	quicListener, err := t.Listen(listenTLS(opts), opts.quicConfig())
	if err != nil {
		_ = udpConn.Close()
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return &Listener{quicListener: quicListener, quicTransport: t, opts: opts}, nil
}

// Address returns the local address as ip:port.
func (l *Listener) Address() string { return l.quicListener.Addr().String() }

// Close stops the listener and closes its connections.
func (l *Listener) Close() error {
	err := l.quicListener.Close()
	if closeErr := l.quicTransport.Close(); err == nil {
		err = closeErr
	}
	if closeErr := l.quicTransport.Conn.Close(); err == nil {
		err = closeErr
	}
	return err
}

// Serve accepts connections until ctx ends or the listener is closed.
// newHandler is called for each connection after the Hello exchange.
func (l *Listener) Serve(ctx context.Context, newHandler func(*Conn) Handler) error {
	for {
		quicConn, err := l.quicListener.Accept(ctx)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, quic.ErrServerClosed) {
				return nil
			}
			return fmt.Errorf("accept: %w", err)
		}
		go l.serveConn(ctx, quicConn, newHandler)
	}
}

func (l *Listener) serveConn(ctx context.Context, quicConn *quic.Conn, newHandler func(*Conn) Handler) {
	handshakeCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	stream, err := quicConn.AcceptStream(handshakeCtx)
	if err != nil {
		_ = quicConn.CloseWithError(1, "no stream")
		return
	}
	c := newConn(quicConn, stream, l.opts)
	if err := c.exchangeHello(l.opts.Hello()); err != nil {
		_ = quicConn.CloseWithError(1, "hello failed")
		return
	}
	c.run(newHandler(c))
}

// Dial connects to address (ip:port) and exchanges Hello messages. The handler
// made by newHandler then runs on its own goroutine until the connection ends.
func Dial(ctx context.Context, address string, opts Options, newHandler func(*Conn) Handler) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	quicConn, err := quic.DialAddr(ctx, address, dialTLS(opts), opts.quicConfig())
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	stream, err := quicConn.OpenStreamSync(ctx)
	if err != nil {
		_ = quicConn.CloseWithError(1, "no stream")
		return nil, fmt.Errorf("open stream to %s: %w", address, err)
	}
	c := newConn(quicConn, stream, opts)
	if err := c.exchangeHello(opts.Hello()); err != nil {
		_ = quicConn.CloseWithError(1, "hello failed")
		return nil, fmt.Errorf("hello to %s: %w", address, err)
	}
	h := newHandler(c)
	go c.run(h)
	return c, nil
}

// exchangeHello sends own and reads the peer's Hello within handshakeTimeout.
func (c *Conn) exchangeHello(local wire.Hello) error {
	deadline := time.Now().Add(handshakeTimeout)
	_ = c.stream.SetDeadline(deadline)
	defer func() { _ = c.stream.SetDeadline(time.Time{}) }()
	b, err := wire.Encode(wire.Frame{Body: &local})
	if err != nil {
		return err
	}
	w := bufio.NewWriter(c.stream)
	if err := writeFrame(w, b); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return err
	}
	c.stats.sent(wire.TypeHello, len(b))
	// The stream is read unbuffered here, so that no later frame is lost.
	f, n, err := readFrame(c.stream)
	if err != nil {
		return err
	}
	hello, ok := f.Body.(*wire.Hello)
	if !ok {
		return fmt.Errorf("first message is %s, not hello", f.Body.MessageType())
	}
	c.stats.received(wire.TypeHello, n)
	c.PeerHello = *hello
	return nil
}
