package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"
)

// Environment variables for the defaults of the flags -entry and -token.
const (
	entryVariable = "ORIOLE_ENTRY"
	tokenVariable = "ORIOLE_TOKEN"
)

const (
	defaultEntry = "http://127.0.0.1:8080"
	// operatorTimeout bounds a call of the operators' API. Accepting a ticket takes up to 8 s.
	operatorTimeout = 15 * time.Second
	// maxResponseBytes bounds a response of the operators' API.
	maxResponseBytes = 16 << 20
	// maxInputBytes bounds an input file or standard input.
	maxInputBytes = 1 << 20
)

// apiClient calls the HTTP API of an entry.
type apiClient struct {
	entry string // base URLs, separated by commas
	token string
}

func (c *apiClient) setFlags(f *flag.FlagSet) {
	f.StringVar(&c.entry, "entry", envOr(entryVariable, defaultEntry), "base URLs of entries, separated by commas")
	// The token of the environment is not the flag's default value, since the usage text
	// would print it.
	f.StringVar(&c.token, "token", "", "bearer token; by default that of the environment variable "+tokenVariable)
}

func envOr(name, fallback string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return fallback
}

// bearerToken returns the token of the flag, or of the environment if the flag is empty.
func (c *apiClient) bearerToken() string {
	if c.token != "" {
		return c.token
	}
	return os.Getenv(tokenVariable)
}

func (c *apiClient) entries() []string { return strings.Split(c.entry, ",") }

// call sends a request to the first entry and returns the response body. A status other
// than 200 is returned as a statusError together with the body.
func (c *apiClient) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(c.entries()[0], "/")+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	r.Header.Set("Authorization", "Bearer "+c.bearerToken())
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, fmt.Errorf("read response: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return b, &statusError{status: resp.StatusCode, body: b}
	}
	return b, nil
}

// statusError is a response with a status other than 200.
type statusError struct {
	status int
	body   []byte
}

// Error implements error. It prefers the kind and detail in the body to the raw body.
func (e *statusError) Error() string {
	var m struct {
		Error *struct{ Kind, Detail string }
	}
	if json.Unmarshal(e.body, &m) == nil && m.Error != nil {
		return fmt.Sprintf("%s: %s", m.Error.Kind, m.Error.Detail)
	}
	return fmt.Sprintf("unexpected status %d: %s", e.status, e.body)
}

// readInput reads the file at path, or standard input if path is "-".
func readInput(path string) ([]byte, error) {
	var in io.Reader = os.Stdin
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		in = f
	}
	b, err := io.ReadAll(io.LimitReader(in, maxInputBytes+1))
	if err == nil && len(b) > maxInputBytes {
		err = fmt.Errorf("%s is larger than %d bytes", path, maxInputBytes)
	}
	return b, err
}

// errUsage is returned for invalid arguments; the command then prints its usage.
var errUsage = errors.New("wrong arguments")

// exitStatus prints err, or the usage for errUsage, and returns the exit status.
func exitStatus(f *flag.FlagSet, err error) subcommands.ExitStatus {
	switch {
	case err == nil:
		return subcommands.ExitSuccess
	case errors.Is(err, errUsage):
		f.Usage()
		return subcommands.ExitUsageError
	}
	fmt.Fprintln(os.Stderr, "oriolectl:", err)
	return subcommands.ExitFailure
}

func printJSON(w io.Writer, raw []byte) error {
	var b bytes.Buffer
	if err := json.Indent(&b, raw, "", "  "); err != nil {
		return fmt.Errorf("response is not JSON: %w", err)
	}
	_, err := fmt.Fprintln(w, strings.TrimSpace(b.String()))
	return err
}
