package entry

import (
	"net/url"
	"strconv"
	"testing"

	"oriolerelay/errkind"
	"oriolerelay/wire"
)

// FuzzDecodeCount guards against panics and against counts outside the limits.
func FuzzDecodeCount(f *testing.F) {
	f.Add([]byte(`{"count":10}`))
	f.Add([]byte(`{"count":1e3}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		n, err := decodeCount(raw)
		if err == nil && (n < 1 || n > MaxIssuedIDs) {
			t.Fatalf("count %d of %q", n, raw)
		}
		checkErrorKind(t, err)
	})
}

// FuzzInquiry guards against an id or time that the home decodes differently from
// the entry that forwarded it.
func FuzzInquiry(f *testing.F) {
	f.Add("order-17", "1764800000000")
	f.Add("west:order-17", "1")
	f.Add("@entry-1.5f.1", "")
	f.Fuzz(func(t *testing.T, id, at string) {
		q, err := newFetchRequest("veil", id, at, wire.FetchAnswer)
		checkErrorKind(t, err)
		if err != nil {
			return
		}
		if q.id.Raw != id || url.PathEscape(id) == "" {
			t.Fatalf("id %q became %q", id, q.id.Raw)
		}
		again := ""
		if q.submittedAt != 0 {
			again = strconv.FormatInt(q.submittedAt, 10)
		}
		second, err := newFetchRequest("veil", id, again, wire.FetchAnswer)
		if err != nil || *second != *q {
			t.Fatalf("%+v became %+v, %v", q, second, err)
		}
	})
}

// checkErrorKind fails for an error that a caller's input alone must not cause.
func checkErrorKind(t *testing.T, err error) {
	if err == nil {
		return
	}
	if _, ok := errkind.Table[errkind.From(err).Kind]; !ok || errkind.Is(err, errkind.Internal) {
		t.Fatalf("kind of %v", err)
	}
}
