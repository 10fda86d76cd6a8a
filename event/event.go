// Package event writes numbered log events. Every event has a code, a level and
// a fixed message; docs/events.md is their catalogue, and a test keeps the two
// equal. The events of one concern stand in one file of this package.
package event

import (
	"bytes"
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Level is the severity of an event.
type Level string

// Levels.
const (
	Info  Level = "info"
	Warn  Level = "warn"
	Error Level = "error"
)

// Event is one entry of the catalogue. Codes are never reused.
type Event struct {
	Code    int
	Level   Level
	Message string
}

// catalogue holds every event by code. It is filled by define at package
// initialisation and read-only afterwards.
var catalogue = map[int]Event{}

// define adds an event to the catalogue. A duplicate code is a programming error.
func define(code int, l Level, message string) Event {
	if _, ok := catalogue[code]; ok {
		panic("event: duplicate code " + message)
	}
	e := Event{Code: code, Level: l, Message: message}
	catalogue[code] = e
	return e
}

// Catalogue returns a copy of all events by code.
func Catalogue() map[int]Event {
	c := make(map[int]Event, len(catalogue))
	for k, v := range catalogue {
		c[k] = v
	}
	return c
}

// Logger writes events in logfmt. A nil Logger writes nothing.
type Logger struct{ base log.Logger }

// NewLogger returns a Logger that writes to w and adds node to each event.
func NewLogger(w io.Writer, node string) *Logger {
	base := log.NewLogfmtLogger(log.NewSyncWriter(w))
	return &Logger{base: log.With(base, "ts", log.DefaultTimestampUTC, "node", node)}
}

// Log writes e with key-value pairs.
func (l *Logger) Log(e Event, keyvals ...any) {
	if l == nil {
		return
	}
	kv := append([]any{"event", e.Code, "msg", e.Message}, keyvals...)
	_ = withLevel(l.base, e.Level).Log(kv...) // a log line that cannot be written is dropped
}

// Writer returns a writer for the standard library's log, which libraries write
// plain text to. Each line becomes an event.
func (l *Logger) Writer() io.Writer { return lineWriter{l} }

type lineWriter struct{ log *Logger }

func (w lineWriter) Write(line []byte) (int, error) {
	w.log.Log(LibraryMessage, "text", string(bytes.TrimSpace(line)))
	return len(line), nil
}

func withLevel(base log.Logger, l Level) log.Logger {
	switch l {
	case Warn:
		return level.Warn(base)
	case Error:
		return level.Error(base)
	}
	return level.Info(base)
}
