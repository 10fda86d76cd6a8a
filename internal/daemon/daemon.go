// Package daemon implements what the main functions of the daemons have in common: the
// flags -settings and -check, loading the settings file and shutdown on a signal.
package daemon

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"oriolerelay/settings"
)

// Program describes a daemon to Main.
type Program struct {
	Name string
	// DefaultSettingsFile is the path used without the flag -settings.
	DefaultSettingsFile string
	Settings            settings.Checker
	// Verify checks the files that Settings refer to, such as keys. It may be nil.
	Verify func() error
	// Run runs the program with the loaded settings. It must shut down gracefully when
	// ctx is cancelled; SIGTERM and SIGINT cancel ctx.
	Run func(ctx context.Context) error
}

// Main parses the command line, runs p and exits with status 1 on an error.
func Main(p Program) {
	file := flag.String("settings", p.DefaultSettingsFile, "settings file")
	check := flag.Bool("check", false, "check the settings and the files that they refer to, and exit")
	flag.Parse()
	if err := p.run(*file, *check); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", p.Name, err)
		os.Exit(1)
	}
}

func (p Program) run(file string, check bool) error {
	if err := settings.Load(file, p.Settings); err != nil {
		return err
	}
	if p.Verify != nil {
		if err := p.Verify(); err != nil {
			return err
		}
	}
	if check {
		fmt.Println("settings are valid")
		return nil
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return p.Run(ctx)
}
