package proctest

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Ports are chosen below the ephemeral port range of the kernel, so that no outgoing
// connection uses a port before the process that it was chosen for listens on it, or
// while that process restarts.
const (
	lowestPort      = 10_000
	highestPort     = 32_000
	maxPortAttempts = 1000
)

var (
	portsMu   sync.Mutex
	allocated = map[int]bool{}
)

// FreeAddress returns a loopback address whose port is free for TCP and UDP. It returns
// each port at most once.
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
	return "", fmt.Errorf("no free loopback port found in %d attempts", maxPortAttempts)
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
