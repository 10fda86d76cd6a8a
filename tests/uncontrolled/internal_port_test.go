package uncontrolled

import (
	"context"
	"crypto/tls"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/quic-go/quic-go"

	"oriolerelay/ids"
	"oriolerelay/wire"
)

const (
	peerClients  = 300
	partialFrame = 900 << 10 // of a frame of wire.MaxFrameBytes
)

// Guards against peers on the port for agents and other entries that open many connections, complete the
// handshake or not, and send large messages up to shortly before the end.
func TestInternalPortWithIncompleteFrames(t *testing.T) {
	k := startCluster(qt.New(t), 1)
	d := k.entries[0]
	hello, err := wire.Encode(wire.Frame{Body: &wire.Hello{Node: ids.NewIncarnation("crowd"), Role: wire.RoleAgent}})
	qt.Assert(t, err, qt.IsNil)
	data := slices.Concat(frameLength(len(hello)), hello, frameLength(wire.MaxFrameBytes), make([]byte, partialFrame))
	address := d.settings.Address + ":" + strconv.Itoa(d.settings.PortRange[0])
	ctx, cancel := context.WithTimeout(t.Context(), pressTime)
	defer cancel()
	var running sync.WaitGroup
	for i := range peerClients {
		running.Go(func() {
			for ctx.Err() == nil {
				holdFrame(ctx, address, data[:len(data)*(i%4)/3]) // nothing, a third, two thirds, or all
			}
		})
	}
	u, alive := d.observeUntil(ctx)
	running.Wait()
	d.checkUsage(u, alive)
	d.assertAnswers(1)
}

func frameLength(n int) []byte { return []byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)} }

// holdFrame connects, sends data and holds the connection until it is closed.
func holdFrame(ctx context.Context, address string, data []byte) {
	c, err := quic.DialAddr(ctx, address, &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"oriole/1"}}, nil)
	if err != nil {
		return
	}
	defer func() { _ = c.CloseWithError(0, "") }()
	stream, err := c.OpenStreamSync(ctx)
	if err != nil {
		return
	}
	_ = stream.SetWriteDeadline(time.Now().Add(pressTime))
	_, _ = stream.Write(data)
	select {
	case <-c.Context().Done():
	case <-ctx.Done():
	}
}
