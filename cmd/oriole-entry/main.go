// Command oriole-entry is an entry of oriolerelay: it serves the HTTP API of callers and
// operators, is the home entry of submissions and dispatches their tasks to agents.
package main

import (
	"context"
	"os"

	"oriolerelay/entry"
	"oriolerelay/event"
	"oriolerelay/internal/daemon"
)

func main() {
	var s entry.Settings
	daemon.Main(daemon.Program{
		Name:                "oriole-entry",
		DefaultSettingsFile: "entry.json",
		Settings:            &s,
		Verify:              func() error { _, err := s.TLS.Load(); return err },
		Run: func(ctx context.Context) error {
			return entry.Run(ctx, s, event.NewLogger(os.Stderr, s.Node))
		},
	})
}
