// Package crowd plays clients that do not behave: they hold connections, bodies and requests open, send
// more than a server can hold, and connect again as soon as they are cut off. It only connects to
// loopback addresses.
package crowd

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	dialTimeout = time.Second
	// redialDelay is the pause after a failed attempt to connect.
	redialDelay = 20 * time.Millisecond
)

// Behaviour is what a client does on one connection. It returns when the connection is of no more use.
// n counts the connections of the client, from 0.
type Behaviour func(conn net.Conn, client, n int)

// Press lets a number of clients behave as given until ctx ends. Each connects again at once when its
// connection ends. address returns the server that a client connects to.
func Press(ctx context.Context, clients int, address func(client, n int) string, behave Behaviour) {
	var running sync.WaitGroup
	for client := range clients {
		running.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				connectAndBehave(ctx, address(client, n), client, n, behave)
			}
		})
	}
	running.Wait()
}

func connectAndBehave(ctx context.Context, address string, client, n int, behave Behaviour) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		select {
		case <-time.After(redialDelay):
		case <-ctx.Done():
		}
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	behave(conn, client, n)
}

// Hold sends data and then keeps the connection open until the server closes it.
func Hold(data func(client, n int) []byte) Behaviour {
	return func(conn net.Conn, client, n int) {
		if _, err := conn.Write(data(client, n)); err == nil {
			_, _ = io.Copy(io.Discard, conn)
		}
	}
}

// Repeat sends complete requests one after another and reads the response to each. The k-th request of
// a connection is request(client, n, k). It ends once the connection does.
func Repeat(request func(client, n, k int) []byte) Behaviour {
	return func(conn net.Conn, client, n int) {
		r := bufio.NewReader(conn)
		for k := 0; ; k++ {
			if _, err := conn.Write(request(client, n, k)); err != nil {
				return
			}
			response, err := http.ReadResponse(r, nil)
			if err != nil {
				return
			}
			_, err = io.Copy(io.Discard, response.Body)
			if err != nil || response.Close {
				return
			}
		}
	}
}

// Pipeline sends requests without end and reads no response.
func Pipeline(request func(client, n, k int) []byte) Behaviour {
	return func(conn net.Conn, client, n int) {
		for k := 0; ; k++ {
			if _, err := conn.Write(request(client, n, k)); err != nil {
				return
			}
		}
	}
}

// Trickle sends data one byte at a time with a pause after each, and then keeps the connection open.
func Trickle(data func(client, n int) []byte, pause time.Duration) Behaviour {
	return func(conn net.Conn, client, n int) {
		for _, b := range data(client, n) {
			if _, err := conn.Write([]byte{b}); err != nil {
				return
			}
			time.Sleep(pause)
		}
		_, _ = io.Copy(io.Discard, conn)
	}
}

// Post returns a POST request with a body of known length. If complete is false, its last byte is missing.
func Post(host, path string, body []byte, complete bool) []byte {
	b := fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s", path, host, len(body), body)
	if !complete {
		b = b[:len(b)-1]
	}
	return b
}
