package devstack_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/devstack"
	"oriolerelay/internal/syncbuf"
)

// The quick start of the README must work.
func TestOnce(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var out bytes.Buffer
	var log syncbuf.Buffer // a request handler may outlive the server
	err := devstack.Run(ctx, devstack.Options{Once: true, Out: &out, Log: &log})
	c.Assert(err, qt.IsNil, qt.Commentf("%s\n%s", out.String(), log.String()))
	c.Check(strings.Contains(out.String(), "answered in full, "), qt.IsTrue, qt.Commentf("%s", out.String()))
}
