package entry

import (
	"encoding/json"
	"slices"

	"oriolerelay/errkind"
)

// Names of the fields of a submission and of its nested objects. encoding/json
// matches names case-insensitively and accepts duplicate names, of which the last
// one wins, so names are checked before the values are decoded.
var (
	submissionFields = []string{"id", "submitted_at", "service", "kind", "deadline_ms", "tasks", "payload", "demand", "expected_ms"}
	taskFields       = []string{"payload", "demand", "expected_ms"}
	demandFields     = []string{"millicores", "memory_mib", "accelerators"}
	issueFields      = []string{"count"}
)

// decodeObject decodes one JSON object into v after check has accepted its field
// names.
func decodeObject(raw []byte, v any, check func(*fieldScanner) error) error {
	s := &fieldScanner{data: raw}
	if s.peek() != '{' {
		return invalid("the body is not a JSON object")
	}
	if err := check(s); err != nil {
		return err
	}
	if err := json.Unmarshal(raw, v); err != nil {
		return invalid("%w", err)
	}
	return nil
}

// checkSubmissionFields refuses unknown and duplicate field names and too many
// tasks in a submission, before memory is allocated for them.
func checkSubmissionFields(s *fieldScanner) error {
	return s.scanObject(submissionFields, func(name string) error {
		switch {
		case name == "tasks" && s.peek() == '[':
			return s.scanArray(MaxTasks, func() error {
				if s.peek() != '{' {
					s.skipValue()
					return nil
				}
				return checkTaskFields(s)
			})
		case name == "demand" && s.peek() == '{':
			return s.scanObject(demandFields, s.skipFieldValue)
		}
		s.skipValue()
		return nil
	})
}

func checkTaskFields(s *fieldScanner) error {
	return s.scanObject(taskFields, func(name string) error {
		if name == "demand" && s.peek() == '{' {
			return s.scanObject(demandFields, s.skipFieldValue)
		}
		s.skipValue()
		return nil
	})
}

func checkIssueFields(s *fieldScanner) error { return s.scanObject(issueFields, s.skipFieldValue) }

// fieldScanner scans JSON for field names. It stops without an error at invalid
// JSON, which the decoder reports.
type fieldScanner struct {
	data []byte
	pos  int
}

// peek skips white space and returns the next byte without consuming it, or 0 at
// the end.
func (s *fieldScanner) peek() byte {
	for ; s.pos < len(s.data); s.pos++ {
		switch s.data[s.pos] {
		case ' ', '\t', '\r', '\n':
		default:
			return s.data[s.pos]
		}
	}
	return 0
}

// consume skips white space and then c, and reports whether c was there.
func (s *fieldScanner) consume(c byte) bool {
	if s.peek() != c {
		return false
	}
	s.pos++
	return true
}

// scanObject scans the object at the current position. visit must consume the
// value of the field for which it is called.
func (s *fieldScanner) scanObject(allowed []string, visit func(name string) error) error {
	s.consume('{')
	seen := 0 // bit set of indices in allowed
	for s.peek() == '"' {
		raw := s.scanString()
		if !s.consume(':') {
			return nil
		}
		k := slices.Index(allowed, string(raw))
		if k < 0 {
			return errkind.New(errkind.UnknownField, "unknown field %q", raw)
		}
		if seen&(1<<k) != 0 {
			return invalid("duplicate field %q", allowed[k])
		}
		seen |= 1 << k
		if err := visit(allowed[k]); err != nil {
			return err
		}
		if !s.consume(',') {
			break
		}
	}
	s.consume('}')
	return nil
}

// scanArray scans the array at the current position. visit must consume one
// element.
func (s *fieldScanner) scanArray(limit int, visit func() error) error {
	s.consume('[')
	for n := 0; s.peek() != ']' && s.peek() != 0; n++ {
		if n == limit {
			return errkind.New(errkind.TooManyTasks, "the job has more than %d tasks", limit)
		}
		if err := visit(); err != nil {
			return err
		}
		if !s.consume(',') {
			break
		}
	}
	s.consume(']')
	return nil
}

func (s *fieldScanner) skipFieldValue(string) error {
	s.skipValue()
	return nil
}

// skipValue consumes one value.
func (s *fieldScanner) skipValue() {
	depth := 0
	s.peek()
	for s.pos < len(s.data) {
		switch s.data[s.pos] {
		case '"':
			s.scanString()
			if depth == 0 {
				return
			}
			continue
		case '{', '[':
			depth++
		case '}', ']':
			if depth == 0 {
				return // the end of the enclosing value
			}
			if depth--; depth == 0 {
				s.pos++
				return
			}
		case ',':
			if depth == 0 {
				return
			}
		}
		s.pos++
	}
}

// scanString consumes the string at the current position and returns it without
// its quotes. Escapes are not decoded, so a name with an escape is unknown.
func (s *fieldScanner) scanString() []byte {
	s.pos++
	start := s.pos
	for s.pos < len(s.data) {
		switch s.data[s.pos] {
		case '\\':
			s.pos++
		case '"':
			s.pos++
			return s.data[start : s.pos-1]
		}
		s.pos++
	}
	s.pos = len(s.data)
	return s.data[min(start, s.pos):s.pos]
}
