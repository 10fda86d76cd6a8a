// Command oriole-entry is an entry of oriolerelay: it serves callers and
// operators over HTTP, is the home of submissions and dispatches their tasks to
// agents.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"oriolerelay/entry"
	"oriolerelay/event"
	"oriolerelay/settings"
)

func main() {
	path := flag.String("settings", "", "path of the JSON settings file")
	check := flag.Bool("check", false, "check the settings file and exit")
	flag.Parse()
	if err := run(*path, *check); err != nil {
		fmt.Fprintln(os.Stderr, "oriole-entry:", err)
		os.Exit(1)
	}
}

func run(path string, check bool) error {
	var s entry.Settings
	if err := settings.Load(path, &s); err != nil {
		return err
	}
	if check {
		fmt.Println("settings are valid")
		return nil
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return entry.Run(ctx, s, event.NewLogger(os.Stderr, s.Node))
}
