package relay

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"oriolerelay/coordinator"
	"oriolerelay/errkind"
	"oriolerelay/job"
	"oriolerelay/tracing"
)

// Names of the spans of a job.
const (
	// spanJob lasts from the arrival of a caller's job to its response.
	spanJob = "job"
	// spanPlace lasts from the arrival of a job at its placement entry to its outcome.
	spanPlace = "place"
)

// startJobSpan starts a span of a job and sets s.Trace to the parent of the later spans of the
// job, empty if the trace is not sampled.
func startJobSpan(ctx context.Context, tracer trace.Tracer, name string, s *job.Submission) (context.Context, trace.Span) {
	ctx, span := tracer.Start(tracing.WithParent(ctx, s.Trace), name, trace.WithSpanKind(trace.SpanKindServer))
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

// endJobSpan ends a span with the state of the job, or with the kind of its error.
func endJobSpan(span trace.Span, state job.State, err *errkind.Error) {
	if err != nil {
		span.SetStatus(codes.Error, string(err.Kind))
	} else {
		span.SetAttributes(attribute.String("oriole.state", string(state)))
	}
	span.End()
}

// tracedCoordinator runs jobs on the agents of this entry, with a span for each.
type tracedCoordinator struct {
	*coordinator.Coordinator
	tracer trace.Tracer
}

// Submit implements router.JobRunner.
func (c tracedCoordinator) Submit(ctx context.Context, s job.Submission) (job.State, *errkind.Error) {
	ctx, span := startJobSpan(ctx, c.tracer, spanPlace, &s)
	state, err := c.Coordinator.Submit(ctx, s)
	endJobSpan(span, state, err)
	return state, err
}
