package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"oriolerelay/client"
)

// submitCommand submits a job or, as command "request", a single request.
type submitCommand struct {
	single          bool
	api             apiClient
	service         string
	kind            string
	id              string
	submittedMillis int64
	deadline        time.Duration
	expected        time.Duration
	milliCores      uint
	memoryMiB       uint
	accelerators    uint
}

// Name implements subcommands.Command.
func (c *submitCommand) Name() string {
	if c.single {
		return "request"
	}
	return "submit"
}

// Synopsis implements subcommands.Command.
func (c *submitCommand) Synopsis() string {
	if c.single {
		return "submit a single request and wait for its answer"
	}
	return "submit a job with one task for each payload and wait for its answer"
}

// Usage implements subcommands.Command.
func (c *submitCommand) Usage() string {
	if c.single {
		return "request -service S -kind K [flags] PAYLOAD\nPAYLOAD is JSON, or @FILE.\n"
	}
	return "submit -service S -kind K [flags] PAYLOAD...\nEach PAYLOAD is JSON, or @FILE.\n"
}

// SetFlags implements subcommands.Command.
func (c *submitCommand) SetFlags(f *flag.FlagSet) {
	c.api.setFlags(f)
	f.StringVar(&c.service, "service", "", "service")
	f.StringVar(&c.kind, "kind", "", "kind of the job or request")
	f.StringVar(&c.id, "id", "", "id of the submission; if empty, one is issued")
	f.Int64Var(&c.submittedMillis, "submitted-at", 0, "time of the first submission with a chosen -id, in Unix milliseconds; 0 means now")
	f.DurationVar(&c.deadline, "deadline", 0, "deadline; 0 means the default of the kind")
	f.DurationVar(&c.expected, "expected", 0, "declared run time of each task")
	f.UintVar(&c.milliCores, "millicores", 0, "processor demand of each task")
	f.UintVar(&c.memoryMiB, "memory-mib", 0, "memory demand of each task")
	f.UintVar(&c.accelerators, "accelerators", 0, "accelerator demand of each task")
}

// Execute implements subcommands.Command.
func (c *submitCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return exitStatus(f, c.run(ctx, f.Args()))
}

func (c *submitCommand) run(ctx context.Context, payloads []string) error {
	if c.service == "" || c.kind == "" || len(payloads) == 0 || c.single && len(payloads) != 1 {
		return errUsage
	}
	var tasks []client.Task
	for _, p := range payloads {
		t, err := c.task(p)
		if err != nil {
			return err
		}
		tasks = append(tasks, t)
	}
	cl, err := client.New(client.Config{Entries: c.api.entries(), Token: c.api.bearerToken()})
	if err != nil {
		return err
	}
	answer, err := c.send(ctx, cl, tasks)
	if answer == nil {
		return err
	}
	if perr := printAnswer(answer); perr != nil {
		return perr
	}
	return err
}

func (c *submitCommand) send(ctx context.Context, cl *client.Client, tasks []client.Task) (*client.Answer, error) {
	at := c.submittedAt()
	if c.single {
		return cl.Request(ctx, client.Request{
			ID: c.id, SubmittedAt: at, Service: c.service, Kind: c.kind, Deadline: c.deadline, Task: tasks[0],
		})
	}
	return cl.Do(ctx, client.Job{
		ID: c.id, SubmittedAt: at, Service: c.service, Kind: c.kind, Deadline: c.deadline, Tasks: tasks,
	})
}

// submittedAt returns the submission time to send with a chosen id, and zero for ids that
// entries issue. Where that is the current time, it is printed, since a retry has to send
// the same time.
func (c *submitCommand) submittedAt() time.Time {
	switch {
	case c.id == "" || c.id[0] == '@':
		return time.Time{}
	case c.submittedMillis != 0:
		return time.UnixMilli(c.submittedMillis)
	}
	now := time.Now()
	fmt.Fprintf(os.Stderr, "submitted_at of %s is %d\n", c.id, now.UnixMilli())
	return now
}

func (c *submitCommand) task(payload string) (client.Task, error) {
	raw := []byte(payload)
	if len(payload) > 1 && payload[0] == '@' {
		var err error
		if raw, err = readInput(payload[1:]); err != nil {
			return client.Task{}, err
		}
	}
	if !json.Valid(raw) {
		return client.Task{}, fmt.Errorf("payload %q is not JSON", payload)
	}
	return client.Task{
		Payload:         json.RawMessage(raw),
		DeclaredRunTime: c.expected,
		Demand:          client.Demand{MilliCores: uint32(c.milliCores), MemoryMiB: uint32(c.memoryMiB), Accelerators: uint32(c.accelerators)},
	}, nil
}

func printAnswer(a *client.Answer) error {
	b, err := json.Marshal(a)
	if err != nil {
		return fmt.Errorf("encode answer: %w", err)
	}
	return printJSON(os.Stdout, b)
}

// fetchCommand fetches the answer of a submission or, as command "cancel", cancels it.
type fetchCommand struct {
	cancel          bool
	api             apiClient
	submittedMillis int64
}

// Name implements subcommands.Command.
func (c *fetchCommand) Name() string {
	if c.cancel {
		return "cancel"
	}
	return "fetch"
}

// Synopsis implements subcommands.Command.
func (c *fetchCommand) Synopsis() string {
	if c.cancel {
		return "cancel a submission and print its final answer"
	}
	return "print the answer of a submission"
}

// Usage implements subcommands.Command.
func (c *fetchCommand) Usage() string { return c.Name() + " [-submitted-at MS] ID\n" }

// SetFlags implements subcommands.Command.
func (c *fetchCommand) SetFlags(f *flag.FlagSet) {
	c.api.setFlags(f)
	f.Int64Var(&c.submittedMillis, "submitted-at", 0, "submission time that was sent with a chosen id, in Unix milliseconds")
}

// Execute implements subcommands.Command.
func (c *fetchCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return exitStatus(f, c.run(ctx, f.Args()))
}

func (c *fetchCommand) run(ctx context.Context, args []string) error {
	if len(args) != 1 {
		return errUsage
	}
	cl, err := client.New(client.Config{Entries: c.api.entries(), Token: c.api.bearerToken()})
	if err != nil {
		return err
	}
	var at time.Time
	if c.submittedMillis != 0 {
		at = time.UnixMilli(c.submittedMillis)
	}
	call := cl.Fetch
	if c.cancel {
		call = cl.Cancel
	}
	answer, err := call(ctx, args[0], at)
	var failed *client.Error
	if answer != nil {
		if perr := printAnswer(answer); perr != nil {
			return perr
		}
		if c.cancel && errors.As(err, &failed) && answer.Status != "" {
			return nil // the submission was cancelled, or had already failed
		}
	}
	return err
}
