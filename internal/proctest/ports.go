package proctest

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Ports come from below the ephemeral range of the kernel, so that no outgoing
// connection takes a port between its choice and its use, or during a restart.
const (
	lowestPort      = 10_000
	highestPort     = 32_000
	maxPortAttempts = 1000
)

var (
	portsMu   sync.Mutex
	allocated = map[int]bool{}
)

// FreeAddress returns a loopback address whose port is free for TCP and UDP.
func FreeAddress() (string, error) {
	portsMu.Lock()
	defer portsMu.Unlock()
	for range maxPortAttempts {
		port := lowestPort + rand.IntN(highestPort-lowestPort)
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		if !allocated[port] && isFree(addr) {
			allocated[port] = true
			return addr, nil
		}
	}
	return "", fmt.Errorf("no free loopback port after %d tries", maxPortAttempts)
}

func isFree(addr string) bool {
	t, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	defer t.Close()
	u, err := net.ListenPacket("udp", addr)
	if err != nil {
		return false
	}
	_ = u.Close()
	return true
}
