package relay

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"oriolerelay/errkind"
	"oriolerelay/job"
	"oriolerelay/tracing"
)

// startJobSpan starts the span of a job from its arrival to its answer. It makes
// s.Trace the parent of the job's runs, empty if they are not traced.
func startJobSpan(ctx context.Context, tracer trace.Tracer, s *job.Submission) (context.Context, trace.Span) {
	ctx, span := tracer.Start(tracing.WithParent(ctx, s.Trace), "job", trace.WithSpanKind(trace.SpanKindServer))
	s.Trace = ""
	if span.SpanContext().IsSampled() {
		s.Trace = tracing.Parent(ctx)
	}
	if span.IsRecording() {
		span.SetAttributes(attribute.String("oriole.job", s.ID), attribute.String("oriole.queue", s.Queue.Name),
			attribute.Int("oriole.tasks", s.Tasks()), attribute.Bool("oriole.stored", !s.Ephemeral))
	}
	return ctx, span
}

func endJobSpan(span trace.Span, state job.State, err *errkind.Error) {
	if err != nil {
		span.SetStatus(codes.Error, string(err.Kind))
	} else {
		span.SetAttributes(attribute.String("oriole.state", string(state)))
	}
	span.End()
}
