// Command oriole-endpoint is a sample endpoint with configurable speed, for tests and
// development.
package main

import (
	"context"
	"os"

	"oriolerelay/endpoint"
	"oriolerelay/event"
	"oriolerelay/internal/daemon"
)

func main() {
	var s endpoint.Settings
	daemon.Main(daemon.Program{
		Name:                "oriole-endpoint",
		DefaultSettingsFile: "endpoint.json",
		Settings:            &s,
		Run:                 func(ctx context.Context) error { return run(ctx, &s) },
	})
}

func run(ctx context.Context, s *endpoint.Settings) error {
	cfg, sample := s.Build()
	e, err := endpoint.New(cfg, sample)
	if err != nil {
		return err
	}
	sample.Register(e)
	log := event.NewLogger(os.Stderr, s.Service)
	log.Log(event.ProcessStarted, "listen", e.Address())
	defer log.Log(event.ProcessStopped)
	return e.Run(ctx)
}
