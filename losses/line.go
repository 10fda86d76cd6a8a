// Package losses tells from the log lines of all processes why jobs were not answered in
// time. It joins the lines of a job, and puts each job that was lost into one of a closed
// list of causes.
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

// maxLine bounds a line of a log; longer ones are passed over.
const maxLineBytes = 1 << 20

// line is one event of a process.
type line struct {
	at          time.Time // on the clock of the process
	node        string    // name of the host, without the incarnation
	incarnation string    // incarnation of the process
	code        int
	fields      map[string]string
}

func (l *line) text(key string) string { return l.fields[key] }

// number returns a field, 0 if it is missing or is no number.
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

// readLines calls take with each event in r. Other lines, and text before the first key of a
// line, are passed over; skipped is the number of lines that look like events and cannot be
// read.
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

// parseLine parses one line; isEvent is false for a line of another kind.
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
		return l, true, fmt.Errorf("line %q: %w", b, err)
	}
	if l.code, err = strconv.Atoi(l.fields["event"]); err != nil {
		return l, true, fmt.Errorf("event of line %q: %w", b, err)
	}
	if l.at, err = time.Parse(time.RFC3339Nano, l.fields["ts"]); err != nil {
		return l, true, fmt.Errorf("time of line %q: %w", b, err)
	}
	node := l.fields["node"]
	l.node, l.incarnation = node, node
	if i := strings.LastIndexByte(node, '.'); i >= 0 {
		l.node = node[:i]
	}
	return l, true, nil
}

// startOfEvent returns where the fields of a line begin, -1 if it has none. Collectors of
// logs write text of their own before them.
func fieldsStart(b []byte) int {
	at := -1
	for _, key := range [][]byte{[]byte("level="), []byte("ts=")} {
		if i := bytes.Index(b, key); i >= 0 && (at < 0 || i < at) {
			at = i
		}
	}
	return at
}
