package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
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
)

// field is one member of a JSON object, in its order.
type field struct {
	name  string
	value json.RawMessage
}

// objectFields returns the members of the single JSON object in raw. Names
// outside allowed and repeated names are refused.
func objectFields(raw []byte, path string, allowed []string) ([]field, error) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	open, err := dec.Token()
	if err != nil {
		return nil, invalid("%sinvalid JSON: %w", path, noEOF(err))
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
			return nil, invalid("%sfield %q is given twice", path, f.name)
		}
		fields = append(fields, f)
	}
	if _, err := dec.Token(); err != nil {
		return nil, invalid("%sinvalid JSON: %w", path, noEOF(err))
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, invalid("%sdata after the JSON object", path)
	}
	return fields, nil
}

func nextField(dec *json.Decoder, path string, allowed []string) (field, error) {
	name, err := dec.Token()
	if err != nil {
		return field{}, invalid("%sinvalid JSON: %w", path, noEOF(err))
	}
	f := field{name: name.(string)} // inside an object, More is followed by a name
	if !slices.Contains(allowed, f.name) {
		return field{}, errkind.New(errkind.UnknownField, "%sunknown field %q", path, f.name)
	}
	if err := dec.Decode(&f.value); err != nil {
		return field{}, invalid("%sinvalid JSON: %w", path, noEOF(err))
	}
	return f, nil
}

// noEOF names the cause of a cut body better than "EOF" does.
func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// isNull reports whether raw is the JSON null. A null field counts as absent,
// as in encoding/json.
func isNull(raw json.RawMessage) bool { return string(raw) == "null" }

// decodeValue decodes one field into v.
func decodeValue(f field, path string, v any) error {
	if err := json.Unmarshal(f.value, v); err != nil {
		return invalid("%s%s: %w", path, f.name, err)
	}
	return nil
}
