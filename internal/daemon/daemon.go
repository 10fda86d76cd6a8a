// Package daemon holds what the main functions of the programs share: the flags
// -settings and -check, the settings file and the signals that start a drain.
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

// Program describes one program.
type Program struct {
	Name string
	// File is the default path of the settings file.
	DefaultSettingsFile string
	Settings            settings.Checker
	// Verify checks what Settings refer to, such as key files. It may be nil.
	Verify func() error
	// Run runs the program with the loaded settings. The end of ctx, at SIGTERM or
	// an interrupt, asks for a graceful shutdown.
	Run func(ctx context.Context) error
}

// Main runs p with the flags of the command line and exits with status 1 on an error.
func Main(p Program) {
	file := flag.String("settings", p.DefaultSettingsFile, "settings file")
	check := flag.Bool("check", false, "check the settings and the files they name, and exit")
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
