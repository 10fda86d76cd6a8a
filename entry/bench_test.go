package entry

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// BenchmarkDecodeJob decodes a job of 150 tasks with payloads of 600 bytes.
func BenchmarkDecodeJob(b *testing.B) {
	task := fmt.Sprintf(`{"payload":{"motif":%q},"expected_ms":80}`, strings.Repeat("lace", 150))
	body := `{"service":"veil-desk","kind":"preview","tasks":[` + task
	for range MaxTasks - 1 {
		body += "," + task
	}
	raw := []byte(body + "]}")
	b.SetBytes(int64(len(raw)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := decodeSubmission(raw, false); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkRequest serves requests without an id at their home, without a network
// and with a dispatcher that answers immediately.
func BenchmarkRequest(b *testing.B) {
	h := testServer(&fakeDispatcher{starts: &startCounter{}}).Handler()
	b.ReportAllocs()
	for b.Loop() {
		if status, _, body := call(h, "POST", "/v1/requests", "veil-secret", previewBody); status != 200 {
			b.Fatal(body)
		}
	}
}

// BenchmarkForward forwards requests with caller-chosen ids from one entry to
// their home over loopback QUIC.
func BenchmarkForward(b *testing.B) {
	cl := newCluster(b, 2)
	cl.setHomeEverywhere(cl.nodes[1])
	now := time.Now()
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		n++
		if p := cl.nodes[0].post("veil-secret", requestWithID(fmt.Sprintf("order-%d", n), now, `1`)); p.Status != 200 {
			b.Fatal(p.Body)
		}
	}
}
