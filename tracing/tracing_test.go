package tracing

import (
	"context"
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.opentelemetry.io/otel/trace/noop"

	"oriolerelay/settings"
)

const parent = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"

// TestParentIsPropagated guards against a trace that ends at a process whose own tracing
// is off, and against a malformed header that breaks a submission.
func TestParentIsPropagated(t *testing.T) {
	c := qt.New(t)
	ctx, span := noop.NewTracerProvider().Tracer("test").Start(WithParent(context.Background(), parent), "hop")
	defer span.End()
	c.Assert(Parent(ctx), qt.Equals, parent)
	for _, bad := range []string{"", "x", parent + "-00-", "00-00000000000000000000000000000000-00f067aa0ba902b7-01"} {
		c.Assert(Parent(WithParent(context.Background(), bad)), qt.Equals, "", qt.Commentf("%q", bad))
	}
}

// TestSettings guards against settings that are accepted but have no effect.
func TestSettings(t *testing.T) {
	tests := []struct {
		s      Settings
		faults int
	}{
		{Settings{}, 0},
		{Settings{Exporter: ExporterStdout, SampleRatio: 1}, 0},
		{Settings{Exporter: ExporterOTLPHTTP, Address: "127.0.0.1:4318"}, 0},
		{Settings{Exporter: ExporterOTLPHTTP}, 1},
		{Settings{Exporter: "file"}, 1},
		{Settings{Address: "127.0.0.1:4318"}, 1},
		{Settings{SampleRatio: 1.5}, 1},
		{Settings{SampleRatio: math.NaN()}, 1},
	}
	for _, test := range tests {
		var p settings.Problems
		test.s.Check(&p, "traces")
		qt.Assert(t, p.List(), qt.HasLen, test.faults, qt.Commentf("%+v", test.s))
	}
}
