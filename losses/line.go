// Package losses finds out from the logs of all processes why jobs were not answered in time.
// It collects the lines of each job and assigns each lost job one cause from a fixed list.
package losses

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// maxLineBytes is the longest accepted log line. A longer one ends the reading of the log with an
// error.
const maxLineBytes = 1 << 20

// line is a log line of a process. It describes one event.
type line struct {
	at          time.Time // on the clock of the process
	node        string    // name of the host without the incarnation
	incarnation string    // node name with the incarnation of the process
	code        int
	fields      map[string]string
}

func (l *line) text(key string) string { return l.fields[key] }

// number returns a numeric field, 0 if it is missing or not a number.
func (l *line) number(key string) float64 {
	f, err := strconv.ParseFloat(l.fields[key], 64)
	if err != nil {
		return 0
	}
	return f
}

// millis returns a field in milliseconds as a duration.
func (l *line) millis(key string) time.Duration {
	return time.Duration(l.number(key) * float64(time.Millisecond))
}

// readLines calls handle for each event in r. It ignores other lines, and text before the first
// key of a line. The result skipped is the number of lines that look like events but cannot be
// parsed.
func readLines(r io.Reader, handle func(line)) (skipped int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 64<<10), maxLineBytes)
	for s.Scan() {
		l, isEvent, err := parseLine(s.Bytes())
		switch {
		case err != nil:
			skipped++
		case isEvent:
			handle(l)
		}
	}
	if err := s.Err(); err != nil {
		return skipped, fmt.Errorf("read log: %w", err)
	}
	return skipped, nil
}

// parseLine parses one line. The result isEvent is false if the line is not an event.
func parseLine(b []byte) (l line, isEvent bool, err error) {
	start := fieldsStart(b)
	if start < 0 || !bytes.Contains(b, []byte("event=")) {
		return l, false, nil
	}
	l.fields = make(map[string]string)
	d := logfmt.NewDecoder(bytes.NewReader(b[start:]))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			l.fields[string(d.Key())] = string(d.Value())
		}
	}
	if err := d.Err(); err != nil {
		return l, true, fmt.Errorf("parse line %q: %w", b, err)
	}
	if l.code, err = strconv.Atoi(l.fields["event"]); err != nil {
		return l, true, fmt.Errorf("parse event code of line %q: %w", b, err)
	}
	if l.at, err = time.Parse(time.RFC3339Nano, l.fields["ts"]); err != nil {
		return l, true, fmt.Errorf("parse timestamp of line %q: %w", b, err)
	}
	node := l.fields["node"]
	l.node, l.incarnation = node, node
	if i := strings.LastIndexByte(node, '.'); i >= 0 {
		l.node = node[:i]
	}
	return l, true, nil
}

// fieldsStart returns the offset of the first field of a line, -1 if there is none. Log
// collectors write a prefix of their own before the fields.
func fieldsStart(b []byte) int {
	at := -1
	for _, key := range [][]byte{[]byte("level="), []byte("ts=")} {
		if i := bytes.Index(b, key); i >= 0 && (at < 0 || i < at) {
			at = i
		}
	}
	return at
}
