// Package udprelay forwards UDP packets for tests and can make the flows that
// are open go silent while new ones work.
package udprelay

import (
	"net"
	"sync"
	"sync/atomic"
)

// maxPacketBytes bounds a forwarded packet; QUIC packets have at most 1452 bytes.
const maxPacketBytes = 2 << 10

// Traffic counts forwarded packets and their payload bytes in both directions.
type Traffic struct{ Packets, Bytes atomic.Int64 }

func (t *Traffic) add(n int) {
	t.Packets.Add(1)
	t.Bytes.Add(int64(n))
}

// Relay forwards between clients and one server. Each client address is a flow.
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

// New starts a relay on a free loopback port in front of server (ip:port).
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

// Address returns the address for clients as ip:port.
func (r *Relay) Address() string { return r.listener.LocalAddr().String() }

// Count adds later packets to t.
func (r *Relay) CountInto(t *Traffic) { r.traffic.Store(t) }

// Silence drops all later packets of the flows that are open, both ways.
func (r *Relay) Blackhole() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.flows {
		f.blackholed = true
	}
}

// Close stops the relay.
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
			_, _ = f.upstream.Write(b[:n]) // a lost packet is sent again by QUIC
		}
	}
}

// flow returns the flow of client, or nil when it is silent.
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
