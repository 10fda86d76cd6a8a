package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/google/subcommands"

	"oriolerelay/dispatch"
	"oriolerelay/ids"
	"oriolerelay/ticket"
)

// view prints the response of one path of the operators' API as a table.
type view struct {
	name, synopsis string
	print          func(w io.Writer, raw []byte) error
}

var (
	stateView     = view{"state", "show the configuration in force, with the ticket and the reason of each object", printState}
	endpointsView = view{"endpoints", "list the endpoints that the entry knows", printEndpoints}
	membersView   = view{"members", "list the entries of the latest membership view", printMembers}
)

// viewCommand prints a view as a table, or as JSON.
type viewCommand struct {
	view view
	api  apiClient
	json bool
}

// Name implements subcommands.Command.
func (c *viewCommand) Name() string { return c.view.name }

// Synopsis implements subcommands.Command.
func (c *viewCommand) Synopsis() string { return c.view.synopsis }

// Usage implements subcommands.Command.
func (c *viewCommand) Usage() string { return c.view.name + " [flags]\n" }

// SetFlags implements subcommands.Command.
func (c *viewCommand) SetFlags(f *flag.FlagSet) {
	c.api.setFlags(f)
	f.BoolVar(&c.json, "json", false, "print the complete response as JSON")
}

// Execute implements subcommands.Command.
func (c *viewCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return exitStatus(f, c.run(ctx))
}

func (c *viewCommand) run(ctx context.Context) error {
	raw, err := c.api.call(ctx, http.MethodGet, "/v1/"+c.view.name, nil)
	if err != nil {
		return err
	}
	if c.json {
		return printJSON(os.Stdout, raw)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	if err := c.view.print(w, raw); err != nil {
		return err
	}
	return w.Flush()
}

func printState(w io.Writer, raw []byte) error {
	var s ticket.Config
	if err := json.Unmarshal(raw, &s); err != nil {
		return fmt.Errorf("decode state: %w", err)
	}
	fmt.Fprintf(w, "ticket %d is in force\n", s.Number)
	fmt.Fprintln(w, "OBJECT\tSINCE\tAUTHOR\tREASON\tVALUE")
	for _, name := range slices.Sorted(maps.Keys(s.Origins)) {
		o := s.Origins[name]
		value, err := objectValue(s, name)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\n", name, o.Number, o.Author, o.Reason, value)
	}
	return nil
}

func objectValue(s ticket.Config, name string) (string, error) {
	objectType, key, _ := strings.Cut(name, "/")
	var v any
	switch objectType {
	case "service":
		v = s.Services[key]
	case "team":
		v = s.Teams[key]
	}
	b, err := json.Marshal(v)
	return string(b), err
}

func printEndpoints(w io.Writer, raw []byte) error {
	var m struct{ Endpoints []dispatch.EndpointStatus }
	if err := json.Unmarshal(raw, &m); err != nil {
		return fmt.Errorf("decode endpoints: %w", err)
	}
	fmt.Fprintln(w, "AGENT\tSERVICE\tWORKER\tRACK\tDATA CENTRE\tREGION\tSLOTS\tIN FLIGHT\tSTATE")
	for _, e := range m.Endpoints {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s\n",
			e.Agent, e.Service, e.Worker, e.Rack, e.DataCentre, e.Region, e.Slots, e.InFlight, endpointState(e))
	}
	return nil
}

func endpointState(e dispatch.EndpointStatus) string {
	switch {
	case e.Draining:
		return "draining"
	case e.Ejected:
		return "ejected"
	}
	return "in use"
}

func printMembers(w io.Writer, raw []byte) error {
	var m struct {
		Members []struct {
			Node            ids.Incarnation
			Address, Region string
			Self, Connected bool
		}
	}
	if err := json.Unmarshal(raw, &m); err != nil {
		return fmt.Errorf("decode members: %w", err)
	}
	fmt.Fprintln(w, "ENTRY\tADDRESS\tREGION\tCONNECTION")
	for _, e := range m.Members {
		state := "none"
		switch {
		case e.Self:
			state = "this entry"
		case e.Connected:
			state = "open"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", e.Node, e.Address, e.Region, state)
	}
	return nil
}
