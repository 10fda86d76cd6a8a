// Package settings loads the JSON settings of a daemon and checks the file as a
// whole: every problem is reported with its path, and unknown keys are refused.
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

// MaxFileBytes bounds a settings file.
const MaxFileBytes = 1 << 20

// Problem is one fault of a settings file. Path is the JSON path of the value,
// for example "tls.cert_file".
type Problem struct {
	Path    string
	Message string
}

// Problems collects faults. The zero value is ready to use.
type Problems struct{ list []Problem }

// Add records a fault at path.
func (p *Problems) Add(path, format string, args ...any) {
	p.list = append(p.list, Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}

// List returns the faults in the order of Add.
func (p *Problems) List() []Problem { return p.list }

// Err returns nil without faults, else an error that lists all of them.
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

// Checker is implemented by the settings type of each daemon. Check fills in
// defaults and records every fault.
type Checker interface{ Check(p *Problems) }

// Load reads and checks the file at path into s.
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
		return fmt.Errorf("settings %s exceed %d bytes", path, MaxFileBytes)
	}
	if err := Parse(b, s); err != nil {
		return fmt.Errorf("settings %s:\n%w", path, err)
	}
	return nil
}

// Parse decodes and checks JSON settings. s must point to a struct. Values of a
// wrong type keep their defaults, so that Check can report the faults of the rest.
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
		// A value of a wrong type is reported once, by its type.
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
