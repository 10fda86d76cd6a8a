package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"slices"
	"testing"

	"oriolerelay/errkind"
)

// field is one field of a JSON object.
type field struct {
	name  string
	value json.RawMessage
}

// referenceFields returns the fields of the single JSON object in raw, in order. It
// refuses names that are not in allowed and duplicate names.
func referenceFields(raw []byte, path string, allowed []string) ([]field, error) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	open, err := dec.Token()
	if err != nil {
		return nil, invalid("%sinvalid JSON: %w", path, unexpectedEOF(err))
	}
	if open != json.Delim('{') {
		return nil, invalid("%snot a JSON object", path)
	}
	var fields []field
	for dec.More() {
		f, err := nextField(dec, path, allowed)
		if err != nil {
			return nil, err
		}
		if slices.ContainsFunc(fields, func(o field) bool { return o.name == f.name }) {
			return nil, invalid("%sduplicate field %q", path, f.name)
		}
		fields = append(fields, f)
	}
	if _, err := dec.Token(); err != nil {
		return nil, invalid("%sinvalid JSON: %w", path, unexpectedEOF(err))
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, invalid("%sdata after the JSON object", path)
	}
	return fields, nil
}

func nextField(dec *json.Decoder, path string, allowed []string) (field, error) {
	name, err := dec.Token()
	if err != nil {
		return field{}, invalid("%sinvalid JSON: %w", path, unexpectedEOF(err))
	}
	f := field{name: name.(string)} // inside an object, More is followed by a name
	if !slices.Contains(allowed, f.name) {
		return field{}, errkind.New(errkind.UnknownField, "%sunknown field %q", path, f.name)
	}
	if err := dec.Decode(&f.value); err != nil {
		return field{}, invalid("%sinvalid JSON: %w", path, unexpectedEOF(err))
	}
	return f, nil
}

// unexpectedEOF replaces io.EOF by io.ErrUnexpectedEOF, which describes a truncated
// body better.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// referenceCheck checks the field names of a submission with the tokens of
// encoding/json.
func referenceCheck(raw []byte) error {
	fields, err := referenceFields(raw, "", submissionFields)
	if err != nil {
		return err
	}
	for _, f := range fields {
		switch {
		case f.name == "tasks" && f.value[0] == '[':
			if err := referenceTasks(f.value); err != nil {
				return err
			}
		case f.name == "demand" && f.value[0] == '{':
			if _, err := referenceFields(f.value, "", demandFields); err != nil {
				return err
			}
		}
	}
	return nil
}

func referenceTasks(raw json.RawMessage) error {
	var tasks []json.RawMessage
	if err := json.Unmarshal(raw, &tasks); err != nil {
		return invalid("%w", err)
	}
	if len(tasks) > MaxTasks {
		return errkind.New(errkind.TooManyTasks, "%d tasks", len(tasks))
	}
	for _, t := range tasks {
		if t[0] != '{' {
			continue
		}
		fields, err := referenceFields(t, "", taskFields)
		if err != nil {
			return err
		}
		for _, f := range fields {
			if f.name == "demand" && f.value[0] == '{' {
				if _, err := referenceFields(f.value, "", demandFields); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// FuzzNames compares fieldScanner with the tokens of encoding/json. It guards
// against a field name that either of them misses.
func FuzzNames(f *testing.F) {
	f.Add([]byte(`{"service":"a","kind":"b","tasks":[{"payload":{"x":"]}"}},{"demand":{"millicores":1}}]}`))
	f.Add([]byte(`{"service":"a\\","kind":"b","payload":[{"id":1,"id":2}],"demand":{"millicores":1,"millicores":2}}`))
	f.Add([]byte(`{"tasks":[1,"]",[],{"expected_ms":1,"colour":2}]}`))
	f.Add([]byte("{\"k\u0069nd\":\"b\", \"id\" : null}"))
	f.Add([]byte(`{"tasks":null,"demand":[],"kind":{"kind":1,"kind":2}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if !json.Valid(raw) || bytes.TrimLeft(raw, " \t\r\n")[0] != '{' || bytes.ContainsRune(raw, '\\') {
			return // not an object, or names with escapes, which only the scanner refuses
		}
		want := referenceCheck(raw)
		s := &fieldScanner{data: raw}
		s.peek()
		got := checkSubmissionFields(s)
		if (got == nil) != (want == nil) || got != nil && errkind.From(got).Kind != errkind.From(want).Kind {
			t.Fatalf("%q: scanner %v, tokens %v", raw, got, want)
		}
		if got == nil && (s.peek() != 0 || s.pos != len(raw)) {
			t.Fatalf("%q: stopped at %d", raw, s.pos)
		}
	})
}
