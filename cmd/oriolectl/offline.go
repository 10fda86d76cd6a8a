package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/google/subcommands"

	"oriolerelay/agent"
	"oriolerelay/endpoint"
	"oriolerelay/entry"
	"oriolerelay/ids"
	"oriolerelay/settings"
	"oriolerelay/ticket"
	"oriolerelay/transport"
)

// checkCommand validates files without calling an entry.
type checkCommand struct{}

// Name implements subcommands.Command.
func (*checkCommand) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*checkCommand) Synopsis() string { return "check settings or ticket files offline" }

// Usage implements subcommands.Command.
func (*checkCommand) Usage() string { return "check entry|agent|endpoint|ticket FILE...\n" }

// SetFlags implements subcommands.Command.
func (*checkCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return exitStatus(f, checkFiles(f.Args()))
}

// checkers maps each kind of file to the function that validates its content.
var checkers = map[string]func([]byte) error{
	"entry":    func(b []byte) error { return settings.Parse(b, new(entry.Settings)) },
	"agent":    func(b []byte) error { return settings.Parse(b, new(agent.Settings)) },
	"endpoint": func(b []byte) error { return settings.Parse(b, new(endpoint.Settings)) },
	"ticket":   checkTicket,
}

func checkFiles(args []string) error {
	if len(args) < 2 || checkers[args[0]] == nil {
		return errUsage
	}
	var errs []error
	for _, file := range args[1:] {
		raw, err := readInput(file)
		if err == nil {
			err = checkers[args[0]](raw)
		}
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", file, err))
			continue
		}
		fmt.Printf("%s: valid\n", file)
	}
	return errors.Join(errs...)
}

// checkTicket returns the problems of a ticket that can be found without the
// configuration in force.
func checkTicket(raw []byte) error {
	t, err := ticket.Decode(raw)
	if err != nil {
		return err
	}
	var p settings.Problems
	for _, f := range ticket.Validate(t) {
		p.Add(f.Path, "%s", f.Message)
	}
	return p.Err()
}

// keysCommand creates a certificate authority and node certificates.
type keysCommand struct {
	dir   string
	valid time.Duration
}

// defaultValidity is the default validity of certificates. It is long because keys are
// rotated manually.
const defaultValidity = 2 * 365 * 24 * time.Hour

// Name implements subcommands.Command.
func (*keysCommand) Name() string { return "keys" }

// Synopsis implements subcommands.Command.
func (*keysCommand) Synopsis() string { return "create an authority and certificates of nodes" }

// Usage implements subcommands.Command.
func (*keysCommand) Usage() string {
	return "keys [-dir DIR] NODE...\nAn authority that exists in DIR is reused. No file is overwritten.\n"
}

// SetFlags implements subcommands.Command.
func (c *keysCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.dir, "dir", ".", "directory of the key and certificate files")
	f.DurationVar(&c.valid, "valid", defaultValidity, "validity period of new certificates")
}

// Execute implements subcommands.Command.
func (c *keysCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return exitStatus(f, c.run(f.Args()))
}

// File names of the authority. The files of a node are <node>.pem and <node>-key.pem.
const (
	authorityFile    = "authority.pem"
	authorityKeyFile = "authority-key.pem"
)

func (c *keysCommand) run(nodes []string) error {
	if len(nodes) == 0 {
		return errUsage
	}
	for _, n := range nodes {
		if !ids.ValidName(n) || n == "authority" {
			return fmt.Errorf("%q cannot name a node", n)
		}
	}
	a, err := c.authority()
	if err != nil {
		return err
	}
	for _, n := range nodes {
		cert, key, err := a.Issue(n, c.valid)
		if err != nil {
			return err
		}
		if err := c.write(n+"-key.pem", key, 0o600); err != nil {
			return err
		}
		if err := c.write(n+".pem", cert, 0o644); err != nil {
			return err
		}
	}
	return nil
}

// authority loads the authority from the directory, or creates one.
func (c *keysCommand) authority() (*transport.Authority, error) {
	cert, err := os.ReadFile(filepath.Join(c.dir, authorityFile))
	if err == nil {
		key, err := os.ReadFile(filepath.Join(c.dir, authorityKeyFile))
		if err != nil {
			return nil, fmt.Errorf("read key of the authority: %w", err)
		}
		return transport.LoadAuthority(cert, key)
	}
	if !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("read certificate of the authority: %w", err)
	}
	a, err := transport.NewAuthority(c.valid)
	if err != nil {
		return nil, err
	}
	key, err := a.KeyPEM()
	if err != nil {
		return nil, err
	}
	if err := c.write(authorityKeyFile, key, 0o600); err != nil {
		return nil, err
	}
	return a, c.write(authorityFile, a.CertificatePEM(), 0o644)
}

// write creates a file. It never overwrites one, since a lost key cannot be recovered.
func (c *keysCommand) write(name string, b []byte, mode os.FileMode) error {
	path := filepath.Join(c.dir, name)
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return fmt.Errorf("create key file: %w", err)
	}
	_, err = f.Write(b)
	if err := errors.Join(err, f.Close()); err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	fmt.Println(path)
	return nil
}
