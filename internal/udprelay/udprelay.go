// Package udprelay is a UDP relay for tests. It can drop all packets of the flows that are
// open at a given time, while flows opened later work.
package udprelay

import (
	"net"
	"sync"
	"sync/atomic"
)

// maxPacketBytes is the receive buffer size; QUIC packets have at most 1452 bytes.
const maxPacketBytes = 2 << 10

// Traffic counts forwarded packets and their payload bytes in both directions.
type Traffic struct{ Packets, Bytes atomic.Int64 }

func (t *Traffic) add(n int) {
	t.Packets.Add(1)
	t.Bytes.Add(int64(n))
}

// Relay forwards packets between clients and one server. Each client address has a flow
// with its own socket to the server.
type Relay struct {
	listener *net.UDPConn
	server   *net.UDPAddr

	traffic atomic.Pointer[Traffic]

	mu    sync.Mutex
	flows map[string]*flow
	wg    sync.WaitGroup
}

type flow struct {
	upstream   *net.UDPConn
	blackholed bool
}

// New starts a relay to server (ip:port) that listens on a free loopback port.
func New(server string) (*Relay, error) {
	addr, err := net.ResolveUDPAddr("udp", server)
	if err != nil {
		return nil, err
	}
	listener, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, server: addr, flows: make(map[string]*flow)}
	r.traffic.Store(new(Traffic))
	r.wg.Go(r.forwardRequests)
	return r, nil
}

// Address returns the address that clients use, as ip:port.
func (r *Relay) Address() string { return r.listener.LocalAddr().String() }

// CountInto makes the relay count packets in t from now on.
func (r *Relay) CountInto(t *Traffic) { r.traffic.Store(t) }

// Blackhole drops all further packets of the flows that are open, in both directions.
func (r *Relay) Blackhole() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.flows {
		f.blackholed = true
	}
}

// Close stops the relay and waits for its goroutines.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	for _, f := range r.flows {
		_ = f.upstream.Close()
	}
	r.mu.Unlock()
	r.wg.Wait()
}

func (r *Relay) forwardRequests() {
	b := make([]byte, maxPacketBytes)
	for {
		n, client, err := r.listener.ReadFromUDP(b)
		if err != nil {
			return
		}
		if f := r.flow(client); f != nil {
			r.traffic.Load().add(n)
			_, _ = f.upstream.Write(b[:n]) // QUIC retransmits lost packets
		}
	}
}

// flow returns the flow of client and opens one if there is none. It returns nil if the
// flow is blackholed or cannot be opened.
func (r *Relay) flow(client *net.UDPAddr) *flow {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.flows[client.String()]
	if f == nil {
		upstream, err := net.DialUDP("udp", nil, r.server)
		if err != nil {
			return nil
		}
		f = &flow{upstream: upstream}
		r.flows[client.String()] = f
		r.wg.Go(func() { r.forwardReplies(f, client) })
	}
	if f.blackholed {
		return nil
	}
	return f
}

func (r *Relay) forwardReplies(f *flow, client *net.UDPAddr) {
	b := make([]byte, maxPacketBytes)
	for {
		n, err := f.upstream.Read(b)
		if err != nil {
			return
		}
		r.mu.Lock()
		blackholed := f.blackholed
		r.mu.Unlock()
		if !blackholed {
			r.traffic.Load().add(n)
			_, _ = r.listener.WriteToUDP(b[:n], client)
		}
	}
}
