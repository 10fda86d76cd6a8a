package executor

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"oriolerelay/endpointapi"
	"oriolerelay/tracing"
	"oriolerelay/wire"
)

// runSpan is the span of a run, from its order to its end. Its methods do nothing on a nil
// receiver.
type runSpan struct {
	ctx  context.Context // holds the span
	span trace.Span
}

// startSpan starts the span of r as a child of traceparent. It returns nil for a run that is
// not traced, which is the common case.
func (x *Executor) startSpan(r *run, traceparent string) *runSpan {
	if traceparent == "" {
		return nil
	}
	ctx, span := x.cfg.Tracer.Start(tracing.WithParent(context.Background(), traceparent), "run",
		trace.WithSpanKind(trace.SpanKindConsumer), trace.WithAttributes(
			attribute.String("oriole.task", r.id.Task), attribute.Int64("oriole.run", int64(r.id.Number)),
			attribute.String("oriole.entry", r.entry)))
	return &runSpan{ctx, span}
}

// startCallSpan starts the span of the call that starts the run at the endpoint. The returned
// function ends it.
func (s *runSpan) startCallSpan(ctx context.Context, tracer trace.Tracer) (context.Context, func(endpointapi.StartReply)) {
	if s == nil {
		return ctx, func(endpointapi.StartReply) {}
	}
	ctx, span := tracer.Start(trace.ContextWithSpan(ctx, s.span), "start", trace.WithSpanKind(trace.SpanKindClient))
	return ctx, func(reply endpointapi.StartReply) {
		if reply.Result != endpointapi.StartAccepted {
			span.SetStatus(codes.Error, reply.Result.String())
		}
		span.End()
	}
}

func (s *runSpan) end(state wire.RunState, reason wire.RejectReason, why string) {
	if s == nil {
		return
	}
	s.span.SetAttributes(attribute.String("oriole.state", state.String()), attribute.String("oriole.reason", reason.String()))
	if state != wire.RunDone {
		s.span.SetStatus(codes.Error, why)
	}
	s.span.End()
}
