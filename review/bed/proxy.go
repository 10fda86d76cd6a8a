package main

import (
	"net"
	"sync"
	"sync/atomic"
)

// link forwards the packets of one agent to one entry and back. While it is cut it drops them.
type link struct {
	conn   *net.UDPConn
	server *net.UDPAddr
	cut    atomic.Bool

	mu      sync.Mutex
	clients map[string]*net.UDPConn
}

func newLink(address, server string) (*link, error) {
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
	l := &link{conn: conn, server: remote, clients: make(map[string]*net.UDPConn)}
	go l.run()
	return l, nil
}

func (l *link) run() {
	b := make([]byte, 64<<10)
	for {
		n, client, err := l.conn.ReadFromUDP(b)
		if err != nil {
			return
		}
		if up := l.upstream(client); up != nil && !l.cut.Load() {
			_, _ = up.Write(b[:n])
		}
	}
}

func (l *link) upstream(client *net.UDPAddr) *net.UDPConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.clients[client.String()]; c != nil {
		return c
	}
	c, err := net.DialUDP("udp", nil, l.server)
	if err != nil {
		return nil
	}
	l.clients[client.String()] = c
	go func() {
		b := make([]byte, 64<<10)
		for {
			n, err := c.Read(b)
			if err == nil && !l.cut.Load() {
				_, _ = l.conn.WriteToUDP(b[:n], client)
			}
			if err != nil && isClosed(err) {
				return
			}
		}
	}()
	return c
}

func (l *link) close() {
	_ = l.conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.clients {
		_ = c.Close()
	}
}
