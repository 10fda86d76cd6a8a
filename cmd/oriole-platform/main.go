// Command oriole-platform is an in-memory fake of the platform's log and lease services,
// for tests and development.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"oriolerelay/event"
	"oriolerelay/internal/daemon"
	"oriolerelay/logstore/standin"
	"oriolerelay/settings"
)

// shutdownTimeout bounds the wait for requests in flight at shutdown. The server also
// uses it as its limit for reading request headers.
const shutdownTimeout = 5 * time.Second

// config holds the settings.
type config struct {
	// Listen is the TCP address as host:port.
	Listen string `json:"listen"`
	// RetentionMS is the age in ms at which records expire; 0 means never.
	RetentionMS int64 `json:"retention_ms"`
}

// Check implements settings.Checker.
func (c *config) Check(p *settings.Problems) {
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		p.Add("listen", "must be host:port: %v", err)
	}
	if c.RetentionMS < 0 {
		p.Add("retention_ms", "must not be negative, is %d", c.RetentionMS)
	}
}

func main() {
	var c config
	daemon.Main(daemon.Program{
		Name:                "oriole-platform",
		DefaultSettingsFile: "platform.json",
		Settings:            &c,
		Run:                 func(ctx context.Context) error { return run(ctx, &c) },
	})
}

func run(ctx context.Context, c *config) error {
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	log := event.NewLogger(os.Stderr, "platform")
	log.Log(event.ProcessStarted, "address", l.Addr())
	retention := time.Duration(c.RetentionMS) * time.Millisecond
	server := &http.Server{Handler: standin.New(standin.WithRetention(retention)), ReadHeaderTimeout: shutdownTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(l) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	log.Log(event.ProcessDraining)
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(shutdownCtx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	log.Log(event.ProcessStopped)
	return nil
}
