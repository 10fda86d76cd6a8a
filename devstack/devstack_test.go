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

// Guards against a quick start, as in the README, whose sample jobs fail.
func TestOnce(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var out bytes.Buffer
	var log syncbuf.Buffer // request handlers may still log after the server is closed
	err := devstack.Run(ctx, devstack.Options{Once: true, Out: &out, Log: &log})
	c.Assert(err, qt.IsNil, qt.Commentf("%s\n%s", out.String(), log.String()))
	c.Check(strings.Contains(out.String(), "answered in full, "), qt.IsTrue, qt.Commentf("%s", out.String()))
}
