// Command oriolectl is the command-line tool for callers, operators and developers.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

// Groups of commands in the help text.
const (
	groupCallers     = "callers"
	groupOperators   = "operators"
	groupOffline     = "offline"
	groupDevelopment = "development"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	for _, c := range commands() {
		subcommands.Register(c.command, c.group)
	}
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(int(subcommands.Execute(ctx)))
}

// groupedCommand is a command with its group in the help text.
type groupedCommand struct {
	command subcommands.Command
	group   string
}

// commands returns the commands to register.
func commands() []groupedCommand {
	return []groupedCommand{
		{&submitCommand{}, groupCallers},
		{&submitCommand{single: true}, groupCallers},
		{&fetchCommand{}, groupCallers},
		{&fetchCommand{cancel: true}, groupCallers},
		{newTicketCommand(), groupOperators},
		{&viewCommand{view: stateView}, groupOperators},
		{&viewCommand{view: endpointsView}, groupOperators},
		{&viewCommand{view: membersView}, groupOperators},
		{&checkCommand{}, groupOffline},
		{&lossesCommand{}, groupOffline},
		{&keysCommand{}, groupOffline},
		{&devCommand{}, groupDevelopment},
		{&loadCommand{}, groupDevelopment},
	}
}
