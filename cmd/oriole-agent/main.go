// Command oriole-agent is the agent: it runs next to endpoints and passes them the tasks
// that entries start.
package main

import (
	"context"
	"os"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"oriolerelay/agent"
	"oriolerelay/event"
	"oriolerelay/internal/daemon"
	"oriolerelay/tracing"
	"oriolerelay/transport"
)

func main() {
	var s agent.Settings
	daemon.Main(daemon.Program{
		Name:                "oriole-agent",
		DefaultSettingsFile: "agent.json",
		Settings:            &s,
		Verify:              func() error { _, err := s.TLS.Load(); return err },
		Run:                 func(ctx context.Context) error { return run(ctx, &s) },
	})
}

func run(ctx context.Context, s *agent.Settings) error {
	keys, err := s.TLS.Load()
	if err != nil {
		return err
	}
	reg := prometheus.NewRegistry()
	reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	cfg := s.Config()
	cfg.TLS, cfg.Keys = keys, &s.TLS
	cfg.Log = event.NewLogger(os.Stderr, cfg.Node.String())
	cfg.Metrics, cfg.Gatherer = reg, reg
	cfg.Stats = transport.NewStats(reg)
	traces, flush, err := tracing.Open(s.Traces, "oriole-agent", cfg.Node.String())
	if err != nil {
		return err
	}
	defer flush()
	cfg.Traces = traces
	a, err := agent.New(cfg)
	if err != nil {
		return err
	}
	cfg.Log.Log(event.ProcessStarted, "listen", a.Address())
	defer cfg.Log.Log(event.ProcessStopped)
	return a.Run(ctx)
}
