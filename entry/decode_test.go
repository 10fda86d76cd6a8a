package entry

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"oriolerelay/errkind"
)

func tasksArray(n int) string {
	return "[" + strings.TrimSuffix(strings.Repeat(`{"payload":1},`, n), ",") + "]"
}

// TestDecodeRefusals guards against invalid bodies that are accepted, or refused
// with an error kind that does not describe the fault.
func TestDecodeRefusals(t *testing.T) {
	const head = `"service":"veil-desk","kind":"preview"`
	big := `"` + strings.Repeat("x", MaxPayloadBytes) + `"`
	half := `{"payload":"` + strings.Repeat("x", MaxPayloadBytes-10) + `"},`
	tests := []struct {
		name, body string
		request    bool
		kind       errkind.Kind
	}{
		{"empty", ``, true, errkind.InvalidRequest},
		{"null", `null`, true, errkind.InvalidRequest},
		{"array", `[]`, true, errkind.InvalidRequest},
		{"string", `"x"`, true, errkind.InvalidRequest},
		{"cut", `{` + head, true, errkind.InvalidRequest},
		{"bad json", `{` + head + `,}`, true, errkind.InvalidRequest},
		{"invalid payload", `{` + head + `,"payload":01}`, true, errkind.InvalidRequest},
		{"second object", `{` + head + `}{}`, true, errkind.InvalidRequest},
		{"text after", `{` + head + `} x`, true, errkind.InvalidRequest},
		{"unknown field", `{` + head + `,"colour":1}`, true, errkind.UnknownField},
		{"unknown field of a task", `{` + head + `,"tasks":[{"colour":1}]}`, false, errkind.UnknownField},
		{"unknown field of a demand", `{` + head + `,"demand":{"cores":1}}`, true, errkind.UnknownField},
		{"wrong type", `{"service":1,"kind":"preview"}`, true, errkind.InvalidRequest},
		{"no service", `{"kind":"preview"}`, true, errkind.InvalidRequest},
		{"no kind", `{"service":"veil-desk"}`, true, errkind.InvalidRequest},
		{"service name", `{"service":"Veil Desk","kind":"preview"}`, true, errkind.UnknownService},
		{"kind name", `{"service":"veil-desk","kind":"a/b"}`, true, errkind.UnknownKind},
		{"negative deadline", `{` + head + `,"deadline_ms":-1}`, true, errkind.InvalidRequest},
		{"zero deadline", `{` + head + `,"deadline_ms":0}`, true, errkind.InvalidRequest},
		{"fractional deadline", `{` + head + `,"deadline_ms":0.5}`, true, errkind.InvalidRequest},
		{"huge deadline", `{` + head + `,"deadline_ms":9223372036854775807}`, true, errkind.InvalidRequest},
		{"negative demand", `{` + head + `,"demand":{"millicores":-1}}`, true, errkind.InvalidRequest},
		{"huge demand", `{` + head + `,"demand":{"millicores":4294967296}}`, true, errkind.InvalidRequest},
		{"negative expected", `{` + head + `,"expected_ms":-1}`, true, errkind.InvalidRequest},
		{"huge expected", `{` + head + `,"expected_ms":9223372036854775807}`, true, errkind.InvalidRequest},
		{"no tasks", `{` + head + `}`, false, errkind.InvalidRequest},
		{"0 tasks", `{` + head + `,"tasks":[]}`, false, errkind.InvalidRequest},
		{"151 tasks", `{` + head + `,"tasks":` + tasksArray(151) + `}`, false, errkind.TooManyTasks},
		{"tasks in a request", `{` + head + `,"tasks":[{}]}`, true, errkind.UnknownField},
		{"payload in a job", `{` + head + `,"payload":1,"tasks":[{}]}`, false, errkind.UnknownField},
		{"payload size", `{` + head + `,"payload":` + big + `}`, true, errkind.BodyTooLarge},
		{"payloads size", `{` + head + `,"tasks":[` + strings.Repeat(half, 9) + `{}]}`, false, errkind.BodyTooLarge},
		{"id form", `{` + head + `,"id":"a b","submitted_at":1}`, true, errkind.InvalidRequest},
		{"id length", `{` + head + `,"id":"` + strings.Repeat("a", 129) + `","submitted_at":1}`, true, errkind.InvalidRequest},
		{"issued id form", `{` + head + `,"id":"@entry-1.5f"}`, true, errkind.InvalidRequest},
		{"submitted_at without id", `{` + head + `,"submitted_at":1}`, true, errkind.InvalidRequest},
		{"id without submitted_at", `{` + head + `,"id":"a"}`, true, errkind.InvalidRequest},
		{"negative submitted_at", `{` + head + `,"id":"a","submitted_at":-1}`, true, errkind.InvalidRequest},
		{"huge submitted_at", `{` + head + `,"id":"a","submitted_at":9223372036854775807}`, true, errkind.InvalidRequest},
		{"issued id with submitted_at", `{` + head + `,"id":"@entry-1.5f.1","submitted_at":1}`, true, errkind.InvalidRequest},
		{"repeated key", `{` + head + `,"kind":"stock-check"}`, true, errkind.InvalidRequest},
		{"repeated key of a task", `{` + head + `,"tasks":[{"expected_ms":1,"expected_ms":2}]}`, false, errkind.InvalidRequest},
		{"other case", `{"Service":"veil-desk","kind":"preview"}`, true, errkind.UnknownField},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := decodeSubmission([]byte(test.body), test.request)
			qt.Assert(t, err, qt.IsNotNil)
			e := errkind.From(err)
			qt.Assert(t, e.Kind, qt.Equals, test.kind, qt.Commentf("%v", err))
			qt.Assert(t, e.Detail, qt.Not(qt.Equals), "")
		})
	}
}

// TestDecodeAccepts guards against the refusal of valid bodies, including those at
// the documented limits.
func TestDecodeAccepts(t *testing.T) {
	tests := []struct {
		name, body string
		request    bool
	}{
		{"request", `{"service":"veil-desk","kind":"preview","payload":{"a":1},"demand":{"millicores":500},"expected_ms":80}`, true},
		{"no payload", `{"service":"veil-desk","kind":"preview"}`, true},
		{"issued id", `{"id":"@entry-1.5f.1","service":"veil-desk","kind":"preview"}`, true},
		{"chosen id", `{"id":"west:order-17","submitted_at":1764800000000,"service":"veil-desk","kind":"preview"}`, true},
		{"1 task", `{"service":"veil-desk","kind":"preview","tasks":[{}]}`, false},
		{"150 tasks", fmt.Sprintf(`{"service":"veil-desk","kind":"preview","tasks":%s}`, tasksArray(150)), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s, err := decodeSubmission([]byte(test.body), test.request)
			qt.Assert(t, err, qt.IsNil)
			canonical, err := s.canonical()
			qt.Assert(t, err, qt.IsNil)
			again, err := decodeSubmission(canonical, test.request)
			qt.Assert(t, err, qt.IsNil)
			second, err := again.canonical()
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, string(second), qt.Equals, string(canonical))
		})
	}
}

// FuzzDecodeSubmission guards against panics of the decoder and against a
// canonical form that another entry would refuse or decode differently.
func FuzzDecodeSubmission(f *testing.F) {
	f.Add([]byte(`{"service":"veil-desk","kind":"preview","payload":{"a":"<&>"}}`), true)
	f.Add([]byte(`{"service":"veil-desk","kind":"preview","tasks":[{"payload":[1, 2]},{"expected_ms":5}]}`), false)
	f.Add([]byte(`{"id":"west:order-17","submitted_at":1764800000000,"service":"a","kind":"b","demand":{}}`), true)
	f.Fuzz(func(t *testing.T, body []byte, request bool) {
		s, err := decodeSubmission(body, request)
		if err != nil {
			checkErrorKind(t, err)
			return
		}
		first, err := s.canonical()
		if err != nil {
			t.Fatal(err)
		}
		if !json.Valid(first) {
			t.Fatalf("canonical form is not JSON: %q", first)
		}
		again, err := decodeSubmission(first, request)
		if err != nil {
			t.Fatalf("canonical form %q: %v", first, err)
		}
		second, _ := again.canonical()
		if string(first) != string(second) {
			t.Fatalf("canonical form %q changes to %q", first, second)
		}
	})
}
