// Package tracing sets up OpenTelemetry tracing for a daemon and passes the trace context
// between processes as a W3C traceparent.
package tracing

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"oriolerelay/settings"
)

// Exporters of traces.
const (
	ExporterNone     = "none"
	ExporterStdout   = "stdout"
	ExporterOTLPHTTP = "otlp-http"
)

// closeTimeout is the time limit for exporting the remaining spans when a daemon stops.
const closeTimeout = 2 * time.Second

// Settings is the "traces" section of a daemon's settings.
type Settings struct {
	Exporter string `json:"exporter"` // "none" (the default), "stdout" or "otlp-http"
	Address  string `json:"address"`  // ip:port of the collector, for otlp-http only
	// SampleRatio is the fraction of submissions that are traced, 0 to 1. For a submission
	// with a traceparent, the sampled flag of the traceparent decides instead.
	SampleRatio float64 `json:"sample_ratio"`
}

// Check sets the default exporter and adds problems to p, with paths below path.
func (s *Settings) Check(p *settings.Problems, path string) {
	switch s.Exporter {
	case "":
		s.Exporter = ExporterNone
	case ExporterNone, ExporterStdout, ExporterOTLPHTTP:
	default:
		p.Add(path+".exporter", "%q is not none, stdout or otlp-http", s.Exporter)
	}
	if s.Exporter == ExporterOTLPHTTP {
		if _, err := netip.ParseAddrPort(s.Address); err != nil {
			p.Add(path+".address", "%q is not ip:port", s.Address)
		}
	} else if s.Address != "" {
		p.Add(path+".address", "is used with otlp-http only")
	}
	if !(s.SampleRatio >= 0 && s.SampleRatio <= 1) {
		p.Add(path+".sample_ratio", "is %v, it must be 0 to 1", s.SampleRatio)
	}
}

// Open returns a tracer provider for the service and node, and a function that exports the
// remaining spans and shuts the provider down.
func Open(s Settings, service, node string) (trace.TracerProvider, func(), error) {
	exporter, err := s.exporter()
	if err != nil {
		return nil, nil, fmt.Errorf("open trace exporter: %w", err)
	}
	if exporter == nil {
		return noop.NewTracerProvider(), func() {}, nil
	}
	p := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(s.SampleRatio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", service),
			attribute.String("service.instance.id", node),
		)),
	)
	return p, func() {
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		_ = p.Shutdown(ctx) // spans that cannot be exported are dropped
	}, nil
}

// exporter returns nil for ExporterNone.
func (s Settings) exporter() (sdktrace.SpanExporter, error) {
	switch s.Exporter {
	case ExporterStdout:
		return stdouttrace.New(stdouttrace.WithWriter(os.Stdout))
	case ExporterOTLPHTTP:
		return otlptracehttp.New(context.Background(), otlptracehttp.WithEndpoint(s.Address), otlptracehttp.WithInsecure())
	}
	return nil, nil
}

// traceparentHeader is the name of the W3C trace context header.
const traceparentHeader = "traceparent"

// WithParent returns ctx with the remote parent span of traceparent. It returns ctx
// unchanged if traceparent is empty or malformed.
func WithParent(ctx context.Context, traceparent string) context.Context {
	if traceparent == "" {
		return ctx
	}
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{traceparentHeader: traceparent})
}

// Parent returns the traceparent of the span in ctx, or "" if there is none.
func Parent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier[traceparentHeader]
}
