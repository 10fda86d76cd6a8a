package soak

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// ProxyFaults are the faults that a proxy applies to the traffic it forwards. The zero
// value forwards everything unchanged.
type ProxyFaults struct {
	Delay time.Duration
	// CutTo and CutFrom stop the traffic to and from the server: a stream proxy holds it
	// back, a packet proxy drops it.
	CutTo, CutFrom bool
	// Reset closes open and new connections with a TCP reset; a packet proxy drops all packets.
	Reset bool
}

// faultState holds the current ProxyFaults of a proxy.
type faultState struct {
	mu      sync.Mutex
	now     ProxyFaults
	changed chan struct{} // closed and replaced on each change
}

func newFaultState() *faultState { return &faultState{changed: make(chan struct{})} }

// Set replaces the faults.
func (s *faultState) Set(now ProxyFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = now
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *faultState) get() (ProxyFaults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now, s.changed
}

// waitForwardable waits for the delay and until the direction is not cut. It returns false
// if the connection must be reset or ctx has ended.
func (s *faultState) waitForwardable(ctx context.Context, toServer bool) bool {
	now, changed := s.get()
	if now.Delay > 0 {
		time.Sleep(now.Delay)
	}
	for toServer && now.CutTo || !toServer && now.CutFrom {
		select {
		case <-changed:
			now, changed = s.get()
		case <-ctx.Done():
			return false
		}
	}
	return !now.Reset
}

// streamProxy forwards TCP connections.
type streamProxy struct {
	*faultState
	listener net.Listener
	server   string
	silences atomic.Int64 // number of calls of silence
}

// silence makes the open connections lose all that they carry from now on. They stay open.
func (p *streamProxy) silence() { p.silences.Add(1) }

func newStreamProxy(ctx context.Context, address, server string) (*streamProxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &streamProxy{faultState: newFaultState(), listener: l, server: server}
	context.AfterFunc(ctx, func() { _ = l.Close() })
	go p.run(ctx)
	return p, nil
}

func (p *streamProxy) run(ctx context.Context) {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return // the listener is closed when ctx ends
		}
		go p.forward(ctx, c)
	}
}

func (p *streamProxy) forward(ctx context.Context, client net.Conn) {
	server, err := net.Dial("tcp", p.server)
	if err != nil {
		closeWithReset(client)
		return
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	context.AfterFunc(ctx, func() { closeWithReset(client); closeWithReset(server) })
	var copiers sync.WaitGroup
	silences := p.silences.Load()
	copiers.Go(func() { defer stop(); p.copyBytes(ctx, server, client, true, silences) })
	copiers.Go(func() { defer stop(); p.copyBytes(ctx, client, server, false, silences) })
	copiers.Go(func() { p.watchReset(ctx, stop) })
	copiers.Wait()
}

// watchReset ends the connection when the Reset fault is set.
func (p *streamProxy) watchReset(ctx context.Context, stop context.CancelFunc) {
	for {
		now, changed := p.get()
		if now.Reset {
			stop()
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// copyBytes forwards one direction of a connection that was opened after the given number of silences.
func (p *streamProxy) copyBytes(ctx context.Context, dst io.Writer, src io.Reader, toServer bool, silences int64) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := src.Read(buffer)
		if n > 0 {
			if !p.waitForwardable(ctx, toServer) {
				return
			}
			if p.silences.Load() != silences {
				continue
			}
			if _, err := dst.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// closeWithReset closes a connection with a TCP reset instead of a FIN.
func closeWithReset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// packetProxy forwards UDP packets. Packets in a direction that is cut are dropped.
type packetProxy struct {
	*faultState
	conn   *net.UDPConn
	server *net.UDPAddr

	mu      sync.Mutex
	clients map[string]*net.UDPConn // sockets to the server, by client address
}

func newPacketProxy(ctx context.Context, address, server string) (*packetProxy, error) {
	local, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	remote, err := net.ResolveUDPAddr("udp", server)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, err
	}
	p := &packetProxy{faultState: newFaultState(), conn: conn, server: remote, clients: make(map[string]*net.UDPConn)}
	context.AfterFunc(ctx, p.close)
	go p.run()
	return p, nil
}

func (p *packetProxy) close() {
	_ = p.conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.clients {
		_ = c.Close()
	}
}

func (p *packetProxy) run() {
	buffer := make([]byte, 64<<10)
	for {
		n, client, err := p.conn.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		up, err := p.upstream(client)
		if err != nil {
			continue // the packet is dropped
		}
		p.forward(buffer[:n], true, func(b []byte) { _, _ = up.Write(b) })
	}
}

// upstream returns the socket to the server for a client and creates it on first use.
func (p *packetProxy) upstream(client *net.UDPAddr) (*net.UDPConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.clients[client.String()]; c != nil {
		return c, nil
	}
	c, err := net.DialUDP("udp", nil, p.server)
	if err != nil {
		return nil, err
	}
	p.clients[client.String()] = c
	go func() {
		buffer := make([]byte, 64<<10)
		for {
			n, err := c.Read(buffer)
			if err != nil {
				if errors.Is(err, syscall.ECONNREFUSED) {
					continue // no process listens at the server's port at present
				}
				return
			}
			p.forward(buffer[:n], false, func(b []byte) { _, _ = p.conn.WriteToUDP(b, client) })
		}
	}()
	return c, nil
}

// forward writes one packet, after the delay if any, unless its direction is cut.
func (p *packetProxy) forward(b []byte, toServer bool, write func([]byte)) {
	now, _ := p.get()
	if now.Reset || toServer && now.CutTo || !toServer && now.CutFrom {
		return
	}
	if now.Delay == 0 {
		write(b)
		return
	}
	delayed := append([]byte(nil), b...)
	time.AfterFunc(now.Delay, func() { write(delayed) })
}
