// Package settings loads and validates the JSON settings of a daemon. It reports every
// problem of a file at once, each with its path, and rejects unknown keys.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"
	"slices"
	"strings"
)

// MaxFileBytes is the maximum size of a settings file.
const MaxFileBytes = 1 << 20

// Problem is one problem of a settings file. Path is the JSON path of the value, for example
// "tls.cert_file".
type Problem struct {
	Path    string
	Message string
}

// Problems collects the problems of a settings file. The zero value is ready to use.
type Problems struct{ list []Problem }

// Add records a problem at path.
func (p *Problems) Add(path, format string, args ...any) {
	p.list = append(p.list, Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}

// List returns the problems in the order in which they were added.
func (p *Problems) List() []Problem { return p.list }

// Err returns an error that lists all problems, or nil if there are none.
func (p *Problems) Err() error {
	if len(p.list) == 0 {
		return nil
	}
	var b strings.Builder
	for i, problem := range p.list {
		if i > 0 {
			b.WriteByte('\n')
		}
		fmt.Fprintf(&b, "%s: %s", problem.Path, problem.Message)
	}
	return errors.New(b.String())
}

// Checker is implemented by the settings type of each daemon. Check fills in defaults and
// records every problem.
type Checker interface{ Check(p *Problems) }

// Load decodes the file at path into s and checks it.
func Load(path string, s Checker) error {
	f, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("open settings: %w", err)
	}
	defer f.Close()
	b, err := io.ReadAll(io.LimitReader(f, MaxFileBytes+1))
	if err != nil {
		return fmt.Errorf("read settings %s: %w", path, err)
	}
	if len(b) > MaxFileBytes {
		return fmt.Errorf("settings file %s exceeds the limit of %d bytes", path, MaxFileBytes)
	}
	if err := Parse(b, s); err != nil {
		return fmt.Errorf("settings %s:\n%w", path, err)
	}
	return nil
}

// Parse decodes JSON settings into s, which must point to a struct, and checks them. A value
// of the wrong type is left unset, so that Check can still report the problems of the others.
func Parse(b []byte, s Checker) error {
	if !json.Valid(b) {
		return syntaxError(b)
	}
	var p Problems
	checkTypes("", b, reflect.TypeOf(s), &p)
	typeProblems := len(p.list)
	var mismatch *json.UnmarshalTypeError
	if err := json.Unmarshal(b, s); err != nil && !(errors.As(err, &mismatch) && typeProblems > 0) {
		return fmt.Errorf("decode: %w", err)
	}
	var checked Problems
	s.Check(&checked)
	for _, problem := range checked.list {
		// A value of the wrong type is reported only once, for its type.
		if !slices.ContainsFunc(p.list[:typeProblems], func(typeProblem Problem) bool { return typeProblem.Path == problem.Path }) {
			p.list = append(p.list, problem)
		}
	}
	return p.Err()
}

func syntaxError(b []byte) error {
	var v any
	err := json.Unmarshal(b, &v)
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		line := 1 + bytes.Count(b[:min(syntax.Offset, int64(len(b)))], []byte("\n"))
		return fmt.Errorf("decode: line %d: %w", line, err)
	}
	return fmt.Errorf("decode: %w", err)
}
