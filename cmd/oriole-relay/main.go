// Command oriole-relay runs the daemons of a deployment on the users' platform: "entry"
// accepts callers' jobs and coordinates them, "agent" runs their tasks on its endpoint.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"oriolerelay/platform"
	"oriolerelay/relay"
)

// daemonCommand runs a daemon until SIGTERM or SIGINT. SIGHUP reloads its settings.
type daemonCommand struct {
	name, synopsis string
	run            func(ctx context.Context, path string, out io.Writer, reload <-chan os.Signal) error
	settings       string
}

func (d *daemonCommand) Name() string     { return d.name }
func (d *daemonCommand) Synopsis() string { return d.synopsis }
func (d *daemonCommand) Usage() string    { return d.name + " [-settings FILE]: " + d.synopsis + "\n" }

func (d *daemonCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&d.settings, "settings", platform.SettingsPath(), "settings file (JSON)")
}

func (d *daemonCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	if err := d.run(ctx, d.settings, os.Stdout, reload); err != nil {
		fmt.Fprintf(os.Stderr, "oriole-relay %s: %v\n", d.name, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&daemonCommand{name: "entry", synopsis: "accept callers' jobs and coordinate them", run: relay.RunEntry}, "daemons")
	subcommands.Register(&daemonCommand{name: "agent", synopsis: "run tasks on the endpoint of this node", run: relay.RunAgent}, "daemons")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
