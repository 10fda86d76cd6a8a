package entry

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"
)

// startSpan starts a span for a submission as a child of the span of ctx.
func (s *Server) startSpan(ctx context.Context, name string, sub *incomingSubmission) (context.Context, trace.Span) {
	ctx, span := s.tracer.Start(ctx, name)
	if span.IsRecording() {
		span.SetAttributes(attribute.String("oriole.team", sub.team), attribute.String("oriole.submission", sub.id.Raw),
			attribute.String("oriole.service", sub.body.Service), attribute.String("oriole.kind", sub.body.Kind))
	}
	return ctx, span
}

// endSpan records the response to a submission in span, without ending it.
func endSpan(span trace.Span, answer httpResponse) {
	if !span.IsRecording() {
		return
	}
	span.SetAttributes(attribute.Int("http.response.status_code", answer.Status))
	if answer.Status >= http.StatusInternalServerError {
		span.SetStatus(codes.Error, http.StatusText(answer.Status))
	}
}
