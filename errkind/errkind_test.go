package errkind_test

import (
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/errkind"
)

// declaredKinds returns the values of all constants of type Kind in errkind.go.
func declaredKinds(c *qt.C) []errkind.Kind {
	f, err := parser.ParseFile(token.NewFileSet(), "errkind.go", nil, 0)
	c.Assert(err, qt.IsNil)
	var kinds []errkind.Kind
	ast.Inspect(f, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if t, ok := spec.Type.(*ast.Ident); !ok || t.Name != "Kind" {
			return true
		}
		for _, v := range spec.Values {
			s, err := strconv.Unquote(v.(*ast.BasicLit).Value)
			c.Assert(err, qt.IsNil)
			kinds = append(kinds, errkind.Kind(s))
		}
		return true
	})
	return kinds
}

// Guards against a kind that is missing from Table: it would be answered as an internal
// error.
func TestTableIsComplete(t *testing.T) {
	c := qt.New(t)
	kinds := declaredKinds(c)
	c.Assert(len(kinds) > 30, qt.IsTrue)
	seen := map[errkind.Kind]bool{}
	for _, k := range kinds {
		c.Check(seen[k], qt.IsFalse, qt.Commentf("%s is declared twice", k))
		seen[k] = true
		_, ok := errkind.Table[k]
		c.Check(ok, qt.IsTrue, qt.Commentf("%s has no row", k))
	}
	c.Check(len(errkind.Table), qt.Equals, len(kinds))
}

// Guards against an answer that advises a new id although the task may have run, which
// would run it twice, and against one that advises a retry without a delay, which would
// cause a retry storm.
func TestAnswersAreConsistent(t *testing.T) {
	c := qt.New(t)
	for kind, a := range errkind.Table {
		comment := qt.Commentf("%s", kind)
		c.Check(a.Status >= 400 && a.Status < 600, qt.IsTrue, comment)
		c.Check(a.Outcome == errkind.NotRun || a.Outcome == errkind.MayHaveRun, qt.IsTrue, comment)
		if a.Outcome == errkind.MayHaveRun {
			c.Check(a.Retry, qt.Not(qt.Equals), errkind.RetryNewID, comment)
		}
		c.Check(a.RetryAfter > 0, qt.Equals, a.Retry != errkind.RetryNever, comment)
	}
}

// Guards against overrides of one error that change the shared table.
func TestOverridesKeepTable(t *testing.T) {
	c := qt.New(t)
	e := errkind.New(errkind.QueueFull, "queue of %d is full", 3)
	e.RetryAfter = 7 * time.Second
	e.Outcome = errkind.MayHaveRun
	got := e.Answer()
	c.Check(got.RetryAfter, qt.Equals, 7*time.Second)
	c.Check(got.Outcome, qt.Equals, errkind.MayHaveRun)
	c.Check(errkind.Table[errkind.QueueFull].Outcome, qt.Equals, errkind.NotRun)
	c.Check(e.Error(), qt.Equals, "queue_full: queue of 3 is full")
}

// Guards against an error of another type that is reported as not run, and against an
// *Error that is not found in a chain of wrapped errors.
func TestFrom(t *testing.T) {
	c := qt.New(t)
	c.Check(errkind.From(nil) == nil, qt.IsTrue)
	plain := errkind.From(io.ErrUnexpectedEOF)
	c.Check(plain.Kind, qt.Equals, errkind.Internal)
	c.Check(plain.Answer().Outcome, qt.Equals, errkind.MayHaveRun)
	c.Check(errors.Is(plain, io.ErrUnexpectedEOF), qt.IsTrue)
	typed := errkind.New(errkind.NoEndpoint, "dial: %w", io.EOF)
	wrapped := fmt.Errorf("send: %w", typed)
	c.Check(errkind.From(wrapped), qt.Equals, typed)
	c.Check(errkind.Is(wrapped, errkind.NoEndpoint), qt.IsTrue)
	c.Check(errkind.Is(wrapped, errkind.QueueFull), qt.IsFalse)
	c.Check(errors.Is(wrapped, io.EOF), qt.IsTrue)
	unknown := &errkind.Error{Kind: "no_such_kind"}
	c.Check(unknown.Answer(), qt.Equals, errkind.Table[errkind.Internal])
}
