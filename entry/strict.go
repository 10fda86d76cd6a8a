package entry

import (
	"encoding/json"
	"slices"

	"oriolerelay/errkind"
)

// Names of the fields of a submission and of its parts. encoding/json matches
// names without regard to case and lets a repeated name win, so names are
// checked before the values are decoded.
var (
	submissionFields = []string{"id", "submitted_at", "service", "kind", "deadline_ms", "tasks", "payload", "demand", "expected_ms"}
	taskFields       = []string{"payload", "demand", "expected_ms"}
	demandFields     = []string{"millicores", "memory_mib", "accelerators"}
	countFields      = []string{"count"}
)

// decodeObject decodes one JSON object into v after check has seen its names.
func decodeObject(raw []byte, v any, check func(*scanner) error) error {
	s := &scanner{b: raw}
	if s.next() != '{' {
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

// checkSubmissionNames refuses unknown and repeated names in a submission, and
// too many tasks, before memory is spent on them.
func checkSubmissionNames(s *scanner) error {
	return s.object(submissionFields, func(name string) error {
		switch {
		case name == "tasks" && s.next() == '[':
			return s.array(MaxTasks, func() error {
				if s.next() != '{' {
					s.skip()
					return nil
				}
				return checkTaskNames(s)
			})
		case name == "demand" && s.next() == '{':
			return s.object(demandFields, s.skipField)
		}
		s.skip()
		return nil
	})
}

func checkTaskNames(s *scanner) error {
	return s.object(taskFields, func(name string) error {
		if name == "demand" && s.next() == '{' {
			return s.object(demandFields, s.skipField)
		}
		s.skip()
		return nil
	})
}

func checkCountNames(s *scanner) error { return s.object(countFields, s.skipField) }

// scanner walks over JSON and looks at names only. It stops quietly at bytes
// that are not JSON; the decoder reports those.
type scanner struct {
	b []byte
	i int
}

// next skips white space and returns the next byte, or 0 at the end.
func (s *scanner) next() byte {
	for ; s.i < len(s.b); s.i++ {
		switch s.b[s.i] {
		case ' ', '\t', '\r', '\n':
		default:
			return s.b[s.i]
		}
	}
	return 0
}

// take skips white space and c, and reports whether c was there.
func (s *scanner) take(c byte) bool {
	if s.next() != c {
		return false
	}
	s.i++
	return true
}

// object walks over the object at the scanner. visit must consume the value of
// the field that it is called for.
func (s *scanner) object(allowed []string, visit func(name string) error) error {
	s.take('{')
	seen := 0 // bit set of indices in allowed
	for s.next() == '"' {
		raw := s.str()
		if !s.take(':') {
			return nil
		}
		k := slices.Index(allowed, string(raw))
		if k < 0 {
			return errkind.New(errkind.UnknownField, "unknown field %q", raw)
		}
		if seen&(1<<k) != 0 {
			return invalid("field %q is given twice", allowed[k])
		}
		seen |= 1 << k
		if err := visit(allowed[k]); err != nil {
			return err
		}
		if !s.take(',') {
			break
		}
	}
	s.take('}')
	return nil
}

// array walks over the array at the scanner. visit must consume one element.
func (s *scanner) array(limit int, visit func() error) error {
	s.take('[')
	for n := 0; s.next() != ']' && s.next() != 0; n++ {
		if n == limit {
			return errkind.New(errkind.TooManyTasks, "more than %d tasks", limit)
		}
		if err := visit(); err != nil {
			return err
		}
		if !s.take(',') {
			break
		}
	}
	s.take(']')
	return nil
}

func (s *scanner) skipField(string) error {
	s.skip()
	return nil
}

// skip passes over one value.
func (s *scanner) skip() {
	depth := 0
	s.next()
	for s.i < len(s.b) {
		switch s.b[s.i] {
		case '"':
			s.str()
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
				s.i++
				return
			}
		case ',':
			if depth == 0 {
				return
			}
		}
		s.i++
	}
}

// str passes over the string at the scanner and returns it without quotes and
// with its escapes. A name with an escape is therefore an unknown one.
func (s *scanner) str() []byte {
	s.i++
	start := s.i
	for s.i < len(s.b) {
		switch s.b[s.i] {
		case '\\':
			s.i++
		case '"':
			s.i++
			return s.b[start : s.i-1]
		}
		s.i++
	}
	s.i = len(s.b)
	return s.b[min(start, s.i):s.i]
}
