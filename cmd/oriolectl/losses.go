package main

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"

	"oriolerelay/losses"
)

// lossesCommand reports from logs why jobs were not answered in time.
type lossesCommand struct {
	format string
	job    string
}

// Name implements subcommands.Command.
func (*lossesCommand) Name() string { return "losses" }

// Synopsis implements subcommands.Command.
func (*lossesCommand) Synopsis() string {
	return "report from the logs of all processes why jobs were not answered in time"
}

// Usage implements subcommands.Command.
func (*lossesCommand) Usage() string {
	return `losses [-format table|json] [-job ID] [FILE...]
Reads the log lines of all processes from the files, or from standard input if there is
none or a file is "-". Text before the first field of a line is ignored.
`
}

// SetFlags implements subcommands.Command.
func (c *lossesCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.format, "format", "table", "table or json")
	f.StringVar(&c.job, "job", "", "print the timeline of the job with this id instead of the report")
}

// Execute implements subcommands.Command.
func (c *lossesCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return exitStatus(f, c.run(f.Args(), os.Stdin, os.Stdout))
}

func (c *lossesCommand) run(files []string, stdin io.Reader, stdout io.Writer) error {
	if c.format != "table" && c.format != "json" {
		return fmt.Errorf("format %q is neither table nor json", c.format)
	}
	if len(files) == 0 {
		files = []string{"-"}
	}
	a := losses.New()
	for _, name := range files {
		if err := readLog(a, name, stdin); err != nil {
			return err
		}
	}
	out := bufio.NewWriter(stdout)
	var err error
	switch {
	case c.job != "":
		err = a.Timeline(out, c.job)
	case c.format == "json":
		err = a.Report().WriteJSON(out)
	default:
		err = a.Report().WriteTable(out)
	}
	if err != nil {
		return err
	}
	if err := out.Flush(); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

func readLog(a *losses.Analysis, name string, stdin io.Reader) error {
	if name == "-" {
		return a.Read(stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer f.Close()
	if err := a.Read(f); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}
