package transport

import (
	"bytes"
	"encoding/binary"
	"testing"

	qt "github.com/frankban/quicktest"

	"oriolerelay/wire"
)

// FuzzReadFrame checks that no length prefix or body makes readFrame panic, read
// past the frame or allocate more than the maximum frame size.
func FuzzReadFrame(f *testing.F) {
	body, err := wire.Encode(wire.Frame{Body: &wire.Heartbeat{Ticket: 4}})
	qt.Assert(f, err, qt.IsNil)
	var encoded bytes.Buffer
	qt.Assert(f, writeFrame(&encoded, body), qt.IsNil)
	f.Add(encoded.Bytes())
	f.Add(encoded.Bytes()[:7])
	f.Add(binary.BigEndian.AppendUint32(nil, wire.MaxFrameBytes+1))
	f.Add(binary.BigEndian.AppendUint32(nil, 0))
	f.Fuzz(func(t *testing.T, b []byte) {
		r := bytes.NewReader(b)
		frame, n, err := readFrame(r)
		if err != nil {
			return
		}
		qt.Assert(t, frame.Body, qt.Not(qt.IsNil))
		qt.Assert(t, len(b)-r.Len(), qt.Equals, n+4)
		qt.Assert(t, n <= wire.MaxFrameBytes, qt.IsTrue)
	})
}
