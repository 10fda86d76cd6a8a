package main

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"syscall"
)

// link forwards UDP packets from one machine to another. While it is cut it drops them, both ways.
type link struct {
	cut    atomic.Bool
	conn   *net.UDPConn
	server *net.UDPAddr
	mu     sync.Mutex
	up     map[string]*net.UDPConn // sockets to the server, by client address
}

func newLink(ctx context.Context, address, server string) (*link, error) {
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
	l := &link{conn: conn, server: remote, up: make(map[string]*net.UDPConn)}
	context.AfterFunc(ctx, l.close)
	go l.run()
	return l, nil
}

func (l *link) close() {
	_ = l.conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.up {
		_ = c.Close()
	}
}

func (l *link) run() {
	buffer := make([]byte, 64<<10)
	for {
		n, client, err := l.conn.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		if up, err := l.upstream(client); err == nil && !l.cut.Load() {
			_, _ = up.Write(buffer[:n]) // a lost packet is sent again
		}
	}
}

func (l *link) upstream(client *net.UDPAddr) (*net.UDPConn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.up[client.String()]; c != nil {
		return c, nil
	}
	c, err := net.DialUDP("udp", nil, l.server)
	if err != nil {
		return nil, err
	}
	l.up[client.String()] = c
	go func() {
		buffer := make([]byte, 64<<10)
		for {
			n, err := c.Read(buffer)
			switch {
			case errors.Is(err, syscall.ECONNREFUSED):
			case err != nil:
				return
			case !l.cut.Load():
				_, _ = l.conn.WriteToUDP(buffer[:n], client) // a lost packet is sent again
			}
		}
	}()
	return c, nil
}

// appendKeyed appends a record to partition 0 of a keyed topic of the store at base.
func appendKeyed(base, topic, key string, value []byte) error {
	record := append(append([]byte{byte(len(key))}, key...), value...)
	body := append(binary.BigEndian.AppendUint32(nil, uint32(len(record))), record...)
	q := url.Values{"topic": {topic}, "part": {"0"}}
	r, err := http.Post(base+names.Append+"?"+q.Encode(), "application/octet-stream", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(r.Body)
		return fmt.Errorf("the store returned %d: %s", r.StatusCode, b)
	}
	return nil
}
