package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"oriolerelay/ticket"
)

// ticketCommand sends and shows change tickets.
type ticketCommand struct{ api apiClient }

func newTicketCommand() *ticketCommand { return &ticketCommand{} }

// Name implements subcommands.Command.
func (*ticketCommand) Name() string { return "ticket" }

// Synopsis implements subcommands.Command.
func (*ticketCommand) Synopsis() string { return "send, list or show change tickets" }

// Usage implements subcommands.Command.
func (*ticketCommand) Usage() string {
	return "ticket [flags] send FILE\nticket [flags] list\nticket [flags] show NUMBER\nFILE may be - for standard input.\n"
}

// SetFlags implements subcommands.Command.
func (c *ticketCommand) SetFlags(f *flag.FlagSet) { c.api.setFlags(f) }

// Execute implements subcommands.Command.
func (c *ticketCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return exitStatus(f, c.run(ctx, f.Args()))
}

func (c *ticketCommand) run(ctx context.Context, args []string) error {
	switch {
	case len(args) == 2 && args[0] == "send":
		return c.send(ctx, args[1])
	case len(args) == 1 && args[0] == "list":
		return c.list(ctx)
	case len(args) == 2 && args[0] == "show":
		return c.show(ctx, args[1])
	}
	return errUsage
}

func (c *ticketCommand) send(ctx context.Context, file string) error {
	raw, err := readInput(file)
	if err != nil {
		return err
	}
	// An invalid file is reported without calling the entry.
	if err := checkTicket(raw); err != nil {
		return err
	}
	response, err := c.api.call(ctx, http.MethodPost, "/v1/tickets", raw)
	if err != nil {
		return err
	}
	return printJSON(os.Stdout, response)
}

func (c *ticketCommand) list(ctx context.Context) error {
	raw, err := c.api.call(ctx, http.MethodGet, "/v1/tickets", nil)
	if err != nil {
		return err
	}
	var m struct{ Tickets []ticket.AcceptedTicket }
	if err := json.Unmarshal(raw, &m); err != nil {
		return fmt.Errorf("decode tickets: %w", err)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "TICKET\tACCEPTED\tAUTHOR\tREASON")
	for _, t := range m.Tickets {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", t.Number, time.UnixMilli(t.TimeMS).UTC().Format(time.RFC3339), t.Author, t.Reason)
	}
	return w.Flush()
}

func (c *ticketCommand) show(ctx context.Context, number string) error {
	n, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return fmt.Errorf("ticket number: %w", err)
	}
	raw, err := c.api.call(ctx, http.MethodGet, fmt.Sprintf("/v1/tickets/%d", n), nil)
	if err != nil {
		return err
	}
	return printJSON(os.Stdout, raw)
}
