package dispatch

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"oriolerelay/errkind"
)

const traceParentHeader = "traceparent"

// startSpan starts the span of a job as a child of the caller's span.
func (d *Dispatcher) startSpan(ctx context.Context, j *Job) (context.Context, trace.Span) {
	if j.TraceParent != "" && !trace.SpanContextFromContext(ctx).IsValid() {
		carrier := propagation.MapCarrier{traceParentHeader: j.TraceParent}
		ctx = propagation.TraceContext{}.Extract(ctx, carrier)
	}
	ctx, span := d.tracer.Start(ctx, "dispatch")
	if span.IsRecording() {
		span.SetAttributes(attribute.String("oriole.submission", j.Submission.Raw), attribute.String("oriole.service", j.Service),
			attribute.String("oriole.kind", j.Kind), attribute.Int("oriole.tasks", len(j.Tasks)))
	}
	return ctx, span
}

func endSpan(span trace.Span, err *errkind.Error) {
	if err != nil && span.IsRecording() {
		span.SetStatus(codes.Error, err.Error())
		span.SetAttributes(attribute.String("oriole.error_kind", string(err.Kind)))
	}
}

// startTaskSpan records the queue wait of a task as a span and starts the span of
// its attempt. Tasks of jobs that are not sampled have no spans.
func (d *Dispatcher) startTaskSpan(t *task, now time.Time) {
	j := t.job
	if !trace.SpanFromContext(j.ctx).IsRecording() {
		return
	}
	index := attribute.Int("oriole.index", t.index)
	_, wait := d.tracer.Start(j.ctx, "queue wait", trace.WithTimestamp(t.queuedAt), trace.WithAttributes(index))
	wait.End(trace.WithTimestamp(now))
	_, t.span = d.tracer.Start(j.ctx, "task", trace.WithTimestamp(now),
		trace.WithAttributes(index, attribute.String("oriole.agent", t.agent.id.String())))
}

// endTaskSpan ends the span of the current attempt, if there is one.
func endTaskSpan(t *task) {
	if t.span == nil {
		return
	}
	t.span.SetAttributes(attribute.String("oriole.outcome", string(t.result.Outcome)))
	t.span.End()
	t.span = nil
}

// traceParent returns the W3C traceparent value to send with a task.
func (t *task) traceParent() string {
	if t.span == nil {
		return t.job.TraceParent
	}
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(trace.ContextWithSpan(context.Background(), t.span), carrier)
	return carrier[traceParentHeader]
}
