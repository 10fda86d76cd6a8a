package relay

import (
	"context"
	"testing"

	"github.com/frankban/quicktest"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.opentelemetry.io/otel/trace/noop"

	"oriolerelay/errkind"
	"oriolerelay/job"
	"oriolerelay/wire"
)

const (
	sampledParent   = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"
	unsampledParent = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-00"
)

func tracedJob(parent string) job.Submission {
	return job.Submission{
		ID: "j", Queue: job.Queue{Name: "q"}, Ephemeral: true, Trace: parent,
		Steps: []job.Step{{Count: 2, Size: wire.Resources{MilliCores: 1}}},
	}
}

// Guards against runs that are missing from the caller's trace, and against a refusal that the
// trace shows as a success.
func TestJobSpan(t *testing.T) {
	c := quicktest.New(t)
	recorder := tracetest.NewSpanRecorder()
	tracer := sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(recorder)).Tracer("test")
	s := tracedJob(sampledParent)
	_, span := startJobSpan(context.Background(), tracer, spanJob, &s)
	c.Check(s.Trace, quicktest.Matches, "00-4bf92f3577b34da6a3ce929d0e0e4736-.*-01")
	c.Check(s.Trace, quicktest.Not(quicktest.Equals), sampledParent)
	endJobSpan(span, "", errkind.New(errkind.QueueFull, "full"))
	ended := recorder.Ended()
	c.Assert(ended, quicktest.HasLen, 1)
	c.Check(ended[0].Parent().SpanID().String(), quicktest.Equals, "00f067aa0ba902b7")
	c.Check(ended[0].Status().Description, quicktest.Equals, string(errkind.QueueFull))
}

// Guards against trace context in the messages of jobs that are not sampled, where it costs
// bytes, and against a caller's trace that ends at an entry that exports no spans itself.
func TestOnlySampledTracesPropagate(t *testing.T) {
	c := quicktest.New(t)
	for _, tc := range []struct{ parent, want string }{{"", ""}, {"x", ""}, {unsampledParent, ""}, {sampledParent, sampledParent}} {
		s := tracedJob(tc.parent)
		_, span := startJobSpan(context.Background(), noop.NewTracerProvider().Tracer(""), spanJob, &s)
		span.End()
		c.Check(s.Trace, quicktest.Equals, tc.want, quicktest.Commentf("%q", tc.parent))
	}
}
