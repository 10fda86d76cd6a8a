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
	// spanJob is from the arrival of a caller's job to its answer.
	spanJob = "job"
	// spanPlace is from the arrival of a job at the entry that places it to its outcome.
	spanPlace = "place"
)

// startJobSpan starts a span of a job. It makes s.Trace the parent of what follows for
// the job, empty if that is not traced.
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

func endJobSpan(span trace.Span, state job.State, err *errkind.Error) {
	if err != nil {
		span.SetStatus(codes.Error, string(err.Kind))
	} else {
		span.SetAttributes(attribute.String("oriole.state", string(state)))
	}
	span.End()
}

// placedJobs runs jobs at the agents of this entry, with a span for each.
type tracedCoordinator struct {
	*coordinator.Coordinator
	tracer trace.Tracer
}

// Submit implements router.Jobs.
func (p tracedCoordinator) Submit(ctx context.Context, s job.Submission) (job.State, *errkind.Error) {
	ctx, span := startJobSpan(ctx, p.tracer, spanPlace, &s)
	state, err := p.Coordinator.Submit(ctx, s)
	endJobSpan(span, state, err)
	return state, err
}
