package event_test

import (
	"bytes"
	"flag"
	"fmt"
	stdlog "log"
	"os"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"oriolerelay/event"
)

var update = flag.Bool("update", false, "write the catalogue docs/events.md")

const cataloguePath = "../docs/events.md"

func renderCatalogue() string {
	events := event.Catalogue()
	codes := make([]int, 0, len(events))
	for code := range events {
		codes = append(codes, code)
	}
	slices.Sort(codes)
	var b strings.Builder
	b.WriteString("# Log events\n\nEvery event that the programs log. Codes are never reused. After a change run\n`go test ./event -update`.\n\n| code | level | message |\n|---|---|---|\n")
	for _, code := range codes {
		e := events[code]
		fmt.Fprintf(&b, "| %d | %s | %s |\n", e.Code, e.Level, e.Message)
	}
	return b.String()
}

// Guards against an event that is missing from docs/events.md, where operators look
// up the lines of the logs.
func TestCatalogueEqualsCode(t *testing.T) {
	c := qt.New(t)
	want := renderCatalogue()
	if *update {
		c.Assert(os.WriteFile(cataloguePath, []byte(want), 0o644), qt.IsNil)
	}
	got, err := os.ReadFile(cataloguePath)
	c.Assert(err, qt.IsNil)
	c.Assert(string(got), qt.Equals, want)
}

// Guards against an unknown level and against a message that is empty, breaks the table
// or is used twice, so that it doesn't identify its event.
func TestEventsAreWellFormed(t *testing.T) {
	c := qt.New(t)
	messages := map[string]int{}
	for code, e := range event.Catalogue() {
		comment := qt.Commentf("event %d", code)
		c.Check(e.Code, qt.Equals, code, comment)
		c.Check(slices.Contains([]event.Level{event.Info, event.Warn, event.Error}, e.Level), qt.IsTrue, comment)
		c.Check(e.Message == "" || strings.ContainsAny(e.Message, "|\n"), qt.IsFalse, comment)
		c.Check(messages[e.Message], qt.Equals, 0, comment)
		messages[e.Message] = code
	}
}

// Guards against a changed line format, which would break the log searches in
// docs/OPERATIONS.md.
func TestLogLineFormat(t *testing.T) {
	c := qt.New(t)
	var b bytes.Buffer
	event.NewLogger(&b, "entry-1").Log(event.ProcessStarted, "address", "127.0.0.1:80")
	line := b.String()
	for _, part := range []string{"node=entry-1", "level=info", "event=500", `msg="process started"`, "address=127.0.0.1:80"} {
		c.Check(line, qt.Contains, part)
	}
	c.Check(strings.Count(line, "\n"), qt.Equals, 1)
	var none *event.Logger
	none.Log(event.ProcessStarted)
}

// Guards against plain text in the log: libraries write it through the standard
// library's log, and programs that parse logfmt can't read it.
func TestLibraryMessagesAreEvents(t *testing.T) {
	c := qt.New(t)
	var b bytes.Buffer
	standard := stdlog.New(event.NewLogger(&b, "entry-1").Writer(), "", 0)
	standard.Print("failed to increase receive buffer size")
	c.Check(b.String(), qt.Matches, `level=warn ts=\S+ node=entry-1 event=503 msg="message from a library" text="failed to increase receive buffer size"\n`)
}
