// Command oriole-agent runs beside an endpoint and runs tasks for the entries.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"oriolerelay/agent"
	"oriolerelay/event"
	"oriolerelay/settings"
	"oriolerelay/tracing"
	"oriolerelay/transport"
)

func main() {
	file := flag.String("settings", "agent.json", "settings file")
	check := flag.Bool("check", false, "check the settings and key files and exit")
	flag.Parse()
	if err := run(*file, *check); err != nil {
		fmt.Fprintln(os.Stderr, "oriole-agent:", err)
		os.Exit(1)
	}
}

func run(file string, check bool) error {
	var s agent.Settings
	if err := settings.Load(file, &s); err != nil {
		return err
	}
	keys, err := s.TLS.Load()
	if err != nil {
		return err
	}
	if check {
		return nil
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
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	cfg.Log.Log(event.ProcessStarted, "listen", a.Address())
	defer cfg.Log.Log(event.ProcessStopped)
	return a.Run(ctx)
}
