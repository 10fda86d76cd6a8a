// Command oriole-endpoint is a sample endpoint with a configurable speed.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"oriolerelay/endpoint"
	"oriolerelay/event"
	"oriolerelay/settings"
)

func main() {
	file := flag.String("settings", "endpoint.json", "settings file")
	check := flag.Bool("check", false, "check the settings file and exit")
	flag.Parse()
	if err := run(*file, *check); err != nil {
		fmt.Fprintln(os.Stderr, "oriole-endpoint:", err)
		os.Exit(1)
	}
}

func run(file string, check bool) error {
	var s endpoint.Settings
	if err := settings.Load(file, &s); err != nil {
		return err
	}
	if check {
		return nil
	}
	cfg, sample := s.Build()
	e, err := endpoint.New(cfg, sample)
	if err != nil {
		return err
	}
	sample.Register(e)
	log := event.NewLogger(os.Stderr, s.Service)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log.Log(event.ProcessStarted, "listen", e.Address())
	defer log.Log(event.ProcessStopped)
	return e.Run(ctx)
}
