package executor

import (
	"context"
	"testing"

	"github.com/frankban/quicktest"
	"go.opentelemetry.io/otel/codes"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"oriolerelay/endpointapi"
	"oriolerelay/wire"
)

// Guards against a missing link in a trace: the run must be a child of the job, and the call
// to the endpoint a child of the run.
func TestRunSpans(t *testing.T) {
	c := quicktest.New(t)
	recorder := tracetest.NewSpanRecorder()
	x := New(Config{Tracer: sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(recorder)).Tracer("test")})
	r := &run{id: wire.Run{Task: "j.0.0.0", Number: 3}, entry: "entry-1"}
	c.Assert(x.startSpan(r, ""), quicktest.IsNil)

	r.span = x.startSpan(r, "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01")
	_, endCall := r.span.startCallSpan(context.Background(), x.cfg.Tracer)
	endCall(endpointapi.StartReply{Result: endpointapi.StartNoCapacity})
	r.span.end(wire.RunRejected, wire.RejectCapacity, "endpoint has no free capacity")
	spans := recorder.Ended()
	c.Assert(spans, quicktest.HasLen, 2)
	call, whole := spans[0], spans[1]
	c.Check(whole.Parent().SpanID().String(), quicktest.Equals, "00f067aa0ba902b7")
	c.Check(call.Parent().SpanID(), quicktest.Equals, whole.SpanContext().SpanID())
	c.Check(call.Status().Description, quicktest.Equals, "no_room")
	c.Check(whole.Status().Code, quicktest.Equals, codes.Error)
}
