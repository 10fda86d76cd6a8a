package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"oriolerelay/devstack"
)

// devCommand runs every role in this process.
type devCommand struct {
	once    bool
	logFile string
}

func (*devCommand) Name() string     { return "dev" }
func (*devCommand) Synopsis() string { return "run all roles in one process on loopback" }
func (*devCommand) Usage() string {
	return "dev [-once] [-log file]\n  Starts a fake platform, two entries and three agents with sample endpoints,\n  runs sample jobs and prints the answers.\n"
}

func (d *devCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&d.once, "once", false, "stop after the sample jobs; exit status 0 means that all were answered in full")
	f.StringVar(&d.logFile, "log", os.DevNull, "file for the log events of all roles")
}

func (d *devCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	log, err := os.Create(d.logFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, "oriolectl dev:", err)
		return subcommands.ExitFailure
	}
	defer log.Close()
	if err := devstack.Run(ctx, devstack.Options{Once: d.once, Out: os.Stdout, Log: log}); err != nil {
		fmt.Fprintln(os.Stderr, "oriolectl dev:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
