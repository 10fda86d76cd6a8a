package daemon

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"oriolerelay/settings"
)

type testSettings struct {
	Node string `json:"node"`
}

func (s *testSettings) Check(p *settings.Problems) {
	if s.Node == "" {
		p.Add("node", "is required")
	}
}

// Guards against -check starting the program, and against starting it with a missing or
// invalid settings file or with unusable keys.
func TestRunAfterChecks(t *testing.T) {
	c := qt.New(t)
	file := filepath.Join(t.TempDir(), "settings.json")
	runs := 0
	var verifyErr error
	program := func() Program {
		return Program{
			Name: "test", Settings: &testSettings{},
			Verify: func() error { return verifyErr },
			Run:    func(context.Context) error { runs++; return nil },
		}
	}
	c.Assert(program().run(file, true), qt.IsNotNil)
	c.Assert(program().run("", false), qt.IsNotNil)
	c.Assert(os.WriteFile(file, []byte(`{}`), 0o600), qt.IsNil)
	c.Assert(program().run(file, false), qt.ErrorMatches, `(?s).*node: is required`)
	c.Assert(os.WriteFile(file, []byte(`{"node":"a"}`), 0o600), qt.IsNil)
	verifyErr = errors.New("no key")
	c.Assert(program().run(file, false), qt.ErrorMatches, "no key")
	verifyErr = nil
	c.Assert(program().run(file, true), qt.IsNil)
	c.Assert(runs, qt.Equals, 0)
	c.Assert(program().run(file, false), qt.IsNil)
	c.Assert(runs, qt.Equals, 1)
}
