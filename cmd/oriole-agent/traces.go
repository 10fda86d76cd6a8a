package main

import (
	"context"
	"fmt"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// flushTimeout bounds the export of the last spans when the process stops.
const flushTimeout = 2 * time.Second

// openTraces exports spans to an OTLP/HTTP collector at address (ip:port). An
// empty address turns traces off.
func openTraces(address, node string) (trace.TracerProvider, func(), error) {
	if address == "" {
		return nil, func() {}, nil
	}
	ctx := context.Background()
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(address), otlptracehttp.WithInsecure())
	if err != nil {
		return nil, nil, fmt.Errorf("open trace exporter: %w", err)
	}
	// Only traces that the caller or an entry has sampled are recorded.
	p := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.NeverSample())),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "oriole-agent"),
			attribute.String("service.instance.id", node),
		)),
	)
	return p, func() {
		ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
		defer cancel()
		_ = p.Shutdown(ctx) // spans that cannot be exported are dropped
	}, nil
}
