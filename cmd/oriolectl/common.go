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

// Environment variables that give the defaults of -entry and -token.
const (
	entryVariable = "ORIOLE_ENTRY"
	tokenVariable = "ORIOLE_TOKEN"
)

const (
	defaultEntry = "http://127.0.0.1:8080"
	// operatorTimeout bounds a call of the operators' API. A ticket takes up to 8 s.
	operatorTimeout = 15 * time.Second
	// maxAnswerBytes bounds an answer of the operators' API.
	maxResponseBytes = 16 << 20
	// maxInputBytes bounds a file or standard input.
	maxInputBytes = 1 << 20
)

// target names the entry to call.
type apiClient struct {
	entry string
	token string
}

func (t *apiClient) setFlags(f *flag.FlagSet) {
	f.StringVar(&t.entry, "entry", envOr(entryVariable, defaultEntry), "base URLs of entries, separated by commas")
	// The variable is not the flag's default, which the usage would print.
	f.StringVar(&t.token, "token", "", "bearer token; empty takes that of the variable "+tokenVariable)
}

func envOr(name, fallback string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return fallback
}

// bearer returns the token of the flag or of the environment.
func (t *apiClient) bearerToken() string {
	if t.token != "" {
		return t.token
	}
	return os.Getenv(tokenVariable)
}

func (t *apiClient) entries() []string { return strings.Split(t.entry, ",") }

// call sends one request to the first entry and returns the body. An answer
// that is no success is returned as an error with its body.
func (t *apiClient) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(t.entries()[0], "/")+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	r.Header.Set("Authorization", "Bearer "+t.bearerToken())
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return b, &statusError{status: resp.StatusCode, body: b}
	}
	return b, nil
}

// refusedError is an answer that is no success.
type statusError struct {
	status int
	body   []byte
}

// Error implements error.
func (e *statusError) Error() string {
	var m struct {
		Error *struct{ Kind, Detail string }
	}
	if json.Unmarshal(e.body, &m) == nil && m.Error != nil {
		return fmt.Sprintf("%s: %s", m.Error.Kind, m.Error.Detail)
	}
	return fmt.Sprintf("status %d: %s", e.status, e.body)
}

// readInput reads a file, or standard input for "-".
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
		err = fmt.Errorf("%s has more than %d bytes", path, maxInputBytes)
	}
	return b, err
}

// errUsage makes a command print its usage.
var errUsage = errors.New("wrong arguments")

// report prints err and returns the exit status.
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
		return fmt.Errorf("answer is not JSON: %w", err)
	}
	_, err := fmt.Fprintln(w, strings.TrimSpace(b.String()))
	return err
}
