package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"oriolerelay/devstack"
)

// devCommand runs all roles of the system in this process.
type devCommand struct {
	once    bool
	http    string
	logFile string
}

func (*devCommand) Name() string     { return "dev" }
func (*devCommand) Synopsis() string { return "run all roles in one process on loopback" }
func (*devCommand) Usage() string {
	return "dev [-once] [-http ip:port] [-log file]\n  Starts a fake platform, two entries and three agents with sample endpoints,\n  runs sample jobs and prints their answers.\n"
}

func (d *devCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&d.once, "once", false, "exit after the sample jobs; the exit status is 0 if all were answered in full")
	f.StringVar(&d.http, "http", "127.0.0.1:8080", "HTTP address of the first entry; with -once a free port is used")
	f.StringVar(&d.logFile, "log", os.DevNull, "file for the log events of all roles")
}

func (d *devCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	log, err := os.Create(d.logFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, "oriolectl dev:", err)
		return subcommands.ExitFailure
	}
	defer log.Close()
	if d.once {
		d.http = ""
	}
	if err := devstack.Run(ctx, devstack.Options{Once: d.once, HTTP: d.http, Out: os.Stdout, Log: log}); err != nil {
		fmt.Fprintln(os.Stderr, "oriolectl dev:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
