package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"oriolerelay/event"
	"oriolerelay/httplimit"
	"oriolerelay/job"
)

// Limits of callers' connections that the configuration does not state.
const (
	defaultHeaderTimeout  = 3 * time.Second
	defaultIdleTimeout    = 15 * time.Second
	defaultMaxHeaderBytes = 16 << 10
	// callerWriteTimeout bounds a write of a response. A link may lose packets for seconds.
	callerWriteTimeout = 30 * time.Second
)

// acceptRetryDelay is the delay after a failed accept. It keeps the process from spinning
// while it has no free file descriptor.
const acceptRetryDelay = 50 * time.Millisecond

// callersServer serves callers with the limits of the current configuration. The limits
// of an http.Server are fixed once it serves, so a change starts another server for new
// connections; an open connection keeps the limits under which it was accepted.
type callersServer struct {
	handler http.Handler
	log     *event.Logger

	mu      sync.Mutex
	address net.Addr
	limits  connLimits // of current
	current *limitedServer
	// previous are the servers with earlier limits, which may have open connections.
	previous []*limitedServer
	closed   bool
}

// connLimits are the limits of a connection.
type connLimits struct {
	headerTimeout, idleTimeout time.Duration
	maxHeaderBytes             int
}

// limitedServer is an http.Server that takes its connections from a channel.
type limitedServer struct {
	http.Server
	conns     chan net.Conn
	done      chan struct{} // closed with the server's listener
	closeOnce sync.Once
	addr      net.Addr
	openConns atomic.Int64 // connections, including those being handed off
}

// newCallersServer returns a server with the default limits.
func newCallersServer(h http.Handler, log *event.Logger) *callersServer {
	return &callersServer{handler: httplimit.Handler(h), log: log, limits: connLimitsOf(job.Limits{})}
}

func connLimitsOf(l job.Limits) connLimits {
	c := connLimits{l.HeaderTimeout, l.IdleTimeout, l.MaxHeaderBytes}
	if c.headerTimeout <= 0 {
		c.headerTimeout = defaultHeaderTimeout
	}
	if c.idleTimeout <= 0 {
		c.idleTimeout = defaultIdleTimeout
	}
	if c.maxHeaderBytes <= 0 {
		c.maxHeaderBytes = defaultMaxHeaderBytes
	}
	return c
}

// setLimits sets the limits of the connections that are accepted from now on.
func (s *callersServer) setLimits(limits job.Limits) {
	l := connLimitsOf(limits)
	s.mu.Lock()
	defer s.mu.Unlock()
	if l == s.limits || s.closed {
		return
	}
	s.limits = l
	s.log.Log(event.CallerLimitsChanged, "header_timeout_ms", l.headerTimeout.Milliseconds(),
		"idle_timeout_ms", l.idleTimeout.Milliseconds(), "max_header_bytes", l.maxHeaderBytes)
	if s.current == nil {
		return
	}
	s.previous = slices.DeleteFunc(append(s.previous, s.current), func(ls *limitedServer) bool {
		_ = ls.Close() // a connection that is being handed off goes to the next server
		return ls.openConns.Load() == 0
	})
	s.start()
}

// start starts a server with s.limits and makes it the current one. s.mu is held.
func (s *callersServer) start() {
	ls := &limitedServer{conns: make(chan net.Conn), done: make(chan struct{}), addr: s.address}
	ls.Handler, ls.ReadHeaderTimeout = s.handler, s.limits.headerTimeout
	ls.IdleTimeout, ls.MaxHeaderBytes = s.limits.idleTimeout, s.limits.maxHeaderBytes
	ls.ConnState, ls.ConnContext = ls.trackState, contextWithConn
	s.current = ls
	go func() { _ = ls.Serve(ls) }() // ends with the listener, which is ls itself
}

// serve accepts connections on l until s is shut down or closed.
func (s *callersServer) serve(l net.Listener) error {
	s.mu.Lock()
	s.address = l.Addr()
	s.start()
	s.mu.Unlock()
	for {
		c, err := l.Accept()
		switch {
		case err == nil:
			if !s.handOff(c) {
				_ = c.Close()
				return nil
			}
		case s.isClosed():
			return nil
		case errors.Is(err, net.ErrClosed):
			return fmt.Errorf("accept on %s: %w", l.Addr(), err)
		default: // no free file descriptor, or the caller has closed the connection
			s.log.Log(event.AcceptFailed, "address", l.Addr(), "error", err)
			time.Sleep(acceptRetryDelay)
		}
	}
}

// handOff passes c to the current server. It returns false if s no longer accepts connections.
func (s *callersServer) handOff(c net.Conn) bool {
	for {
		s.mu.Lock()
		closed, current := s.closed, s.current
		if !closed {
			current.openConns.Add(1)
		}
		s.mu.Unlock()
		if closed {
			return false
		}
		select {
		case current.conns <- c:
			return true
		case <-current.done: // replaced by another server since
			current.openConns.Add(-1)
		}
	}
}

func (s *callersServer) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// shutdown stops accepting connections and waits until the requests in flight have a response
// or ctx is done.
func (s *callersServer) shutdown(ctx context.Context, l net.Listener) error {
	var g errgroup.Group
	for _, ls := range s.stopAccepting(l) {
		g.Go(func() error { return ls.Shutdown(ctx) })
	}
	return g.Wait()
}

// close stops accepting connections and closes the open ones.
func (s *callersServer) close(l net.Listener) {
	for _, ls := range s.stopAccepting(l) {
		_ = ls.Server.Close()
	}
}

// stopAccepting closes l and returns all servers.
func (s *callersServer) stopAccepting(l net.Listener) []*limitedServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	_ = l.Close() // an error means that it was closed before
	return s.servers()
}

// servers returns all servers. s.mu is held.
func (s *callersServer) servers() []*limitedServer {
	if s.current == nil {
		return nil
	}
	return append([]*limitedServer{s.current}, s.previous...)
}

// disableKeepAlives makes each connection close after its next response.
func (s *callersServer) disableKeepAlives() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, ls := range s.servers() {
		ls.SetKeepAlivesEnabled(false)
	}
}

// trackState subtracts closed connections from openConns.
func (ls *limitedServer) trackState(c net.Conn, state http.ConnState) {
	httplimit.TrackState(c, state)
	if state == http.StateClosed || state == http.StateHijacked {
		ls.openConns.Add(-1)
	}
}

// Accept implements net.Listener.
func (ls *limitedServer) Accept() (net.Conn, error) {
	select {
	case c := <-ls.conns:
		return c, nil
	case <-ls.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (ls *limitedServer) Close() error {
	ls.closeOnce.Do(func() { close(ls.done) })
	return nil
}

// Addr implements net.Listener.
func (ls *limitedServer) Addr() net.Addr { return ls.addr }
