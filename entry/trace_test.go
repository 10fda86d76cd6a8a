package entry

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
)

// TestSpans guards against a trace context that is lost between the caller, the
// entry that received the submission and its home.
func TestSpans(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	cl := newCluster(t, 2)
	home := cl.nodes[1]
	cl.setHomeEverywhere(home)
	spans := tracetest.NewSpanRecorder()
	provider := sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(spans))
	defer func() { _ = provider.Shutdown(context.Background()) }()
	cl.nodes[0].server.tracer = provider.Tracer("test")
	parents := make(chan string, 1)
	home.dispatcher.mu.Lock()
	home.dispatcher.parents = parents
	home.dispatcher.mu.Unlock()

	r := httptest.NewRequest("POST", "/v1/requests", strings.NewReader(requestWithID("order-17", time.Now(), `1`)))
	r.Header.Set("Authorization", "Bearer veil-secret")
	r.Header.Set("traceparent", "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01")
	w := httptest.NewRecorder()
	cl.nodes[0].handler.ServeHTTP(w, r)
	c.Assert(w.Code, qt.Equals, 200)

	ended := spans.Ended()
	c.Assert(ended, qt.HasLen, 2)
	forward, received := ended[0], ended[1]
	c.Assert(forward.Name(), qt.Equals, "forward")
	c.Assert(received.Name(), qt.Equals, "submission")
	c.Assert(received.Parent().SpanID().String(), qt.Equals, "00f067aa0ba902b7")
	c.Assert(forward.Parent().SpanID(), qt.Equals, received.SpanContext().SpanID())
	c.Assert(<-parents, qt.Equals, "00-4bf92f3577b34da6a3ce929d0e0e4736-"+forward.SpanContext().SpanID().String()+"-01")
}
