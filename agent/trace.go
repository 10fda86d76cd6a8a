package agent

import (
	"context"
	"net/http"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"oriolerelay/errkind"
	"oriolerelay/wire"
)

// propagator reads and writes the traceparent header of W3C Trace Context.
var propagator propagation.TraceContext

func newTracer(p trace.TracerProvider) trace.Tracer {
	if p == nil {
		p = otel.GetTracerProvider()
	}
	return p.Tracer("oriolerelay/agent")
}

// startSpans records t's wait in the queue as an ended span and starts the span of its
// endpoint call. Both are children of the span that the home entry sent.
func startSpans(ctx context.Context, tracer trace.Tracer, t *task) (context.Context, trace.Span) {
	if t.spec.TraceParent == "" {
		return ctx, trace.SpanFromContext(ctx)
	}
	ctx = propagator.Extract(ctx, propagation.MapCarrier{"traceparent": t.spec.TraceParent})
	_, wait := tracer.Start(ctx, "agent.queue", trace.WithTimestamp(t.arrived))
	wait.End()
	return tracer.Start(ctx, "agent.call", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("oriole.submission", t.spec.Submission),
		attribute.Int("oriole.index", int(t.spec.Index)),
		attribute.String("oriole.kind", t.spec.Kind),
		attribute.Int64("oriole.budget_us", time.Until(t.deadline).Microseconds()),
	))
}

// endSpan ends the span of a call with the outcome of its result.
func endSpan(span trace.Span, r *wire.TaskResult) {
	span.SetAttributes(attribute.String("oriole.outcome", string(r.Outcome)))
	if r.Outcome != errkind.Done {
		span.SetStatus(codes.Error, string(r.Kind))
	}
	span.End()
}

// injectTrace sets the traceparent header of a request to the call's span.
func injectTrace(ctx context.Context, h http.Header) {
	propagator.Inject(ctx, propagation.HeaderCarrier(h))
}
