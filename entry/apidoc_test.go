package entry

import (
	"fmt"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/errkind"
	"oriolerelay/transport"
)

func readAPIDoc(t *testing.T) string {
	b, err := os.ReadFile("../docs/api.md")
	qt.Assert(t, err, qt.IsNil)
	return string(b)
}

// TestErrorTableEqualsCode guards against error kinds whose documented status,
// outcome or retry advice differs from what callers receive.
func TestErrorTableEqualsCode(t *testing.T) {
	c := qt.New(t)
	row := regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| (\\d+) \\| ([a-z_]+) \\| ([a-z_]+) \\| (-|\\d+ s) \\| (.+) \\|$")
	documented := map[errkind.Kind]errkind.Answer{}
	for _, m := range row.FindAllStringSubmatch(readAPIDoc(t), -1) {
		status, err := strconv.Atoi(m[2])
		c.Assert(err, qt.IsNil)
		var after time.Duration
		if m[5] != "-" {
			after, err = time.ParseDuration(strings.ReplaceAll(m[5], " ", ""))
			c.Assert(err, qt.IsNil)
		}
		kind := errkind.Kind(m[1])
		_, listed := documented[kind]
		c.Assert(listed, qt.IsFalse, qt.Commentf("%s is listed twice", kind))
		documented[kind] = errkind.Answer{Status: status, Outcome: errkind.Outcome(m[3]), Retry: errkind.Retry(m[4]), RetryAfter: after}
	}
	c.Assert(documented, qt.DeepEquals, errkind.Table)
}

// curlCall is a curl command of docs/api.md.
type curlCall struct {
	method, url, body string
	header            http.Header
}

// parseCurl parses a curl command line. It supports the shell syntax that
// docs/api.md uses: single and double quotes and the variable NOW.
func parseCurl(line, now string) (curlCall, error) {
	words := shellWords(strings.TrimSpace(line), now)
	c := curlCall{method: "GET", header: http.Header{}}
	for i := 1; i < len(words); i++ {
		switch w := words[i]; w {
		case "-s":
		case "-X", "-H", "-d":
			i++
			switch w {
			case "-X":
				c.method = words[i]
			case "-H":
				name, value, _ := strings.Cut(words[i], ": ")
				c.header.Set(name, value)
			case "-d":
				c.body = words[i]
			}
		default:
			if c.url != "" || strings.HasPrefix(w, "-") {
				return c, fmt.Errorf("unexpected word %q", w)
			}
			c.url = w
		}
	}
	return c, nil
}

func shellWords(line, now string) []string {
	var words []string
	var word strings.Builder
	var quote rune
	for _, r := range strings.ReplaceAll(line, "$NOW", now) + " " {
		switch {
		case quote != 0 && r == quote:
			quote = 0
		case quote == 0 && (r == '\'' || r == '"'):
			quote = r
		case quote == 0 && r == ' ':
			words = append(words, word.String())
			word.Reset()
		default:
			word.WriteRune(r)
		}
	}
	return words
}

const quickStartTicket = `{"number":1,"author":"gwenllian","reason":"sample services","services":{"veil-desk":{"kinds":{"lace-preview":{"idempotent":true,"deadline_ms":30000,"expected_ms":30,"max_attempts":2,"queue_limit":1000},"stock-check":{"deadline_ms":5000,"expected_ms":20,"max_attempts":1,"queue_limit":1000}},"endpoints":{"policy":"least_expected_finish","buffer":2,"eject_after_failures":5,"eject_ms":1000}}},"teams":{"veils":{"weight":1}}}`

// TestCurlLines guards against curl commands in docs/api.md that do not work as
// written.
func TestCurlLines(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	keys, err := transport.NewAuthority(time.Hour)
	c.Assert(err, qt.IsNil)
	_, platform := testPlatform(t)
	d := startDaemon(t, keys, "entry-1", platform)
	startEndpoint(t, keys, "worker-1", 8, d.InternalAddress())
	status, body := d.call(t, "POST", "/v1/tickets", "operator-secret", quickStartTicket)
	c.Assert(status, qt.Equals, 200, qt.Commentf("%s", body))
	eventually(t, 10*time.Second, "the endpoint is known", func() bool {
		_, body := d.call(t, "GET", "/v1/endpoints", "operator-secret", "")
		return strings.Contains(body, `"slots":8`)
	})
	eventually(t, 10*time.Second, "caller-chosen ids are served", func() bool {
		status, _ := d.call(t, "POST", "/v1/requests", "caller-secret",
			fmt.Sprintf(`{"id":"probe-%d","submitted_at":%d,"service":"veil-desk","kind":"stock-check"}`, time.Now().UnixNano(), time.Now().UnixMilli()))
		return status == 200
	})
	now := strconv.FormatInt(time.Now().UnixMilli(), 10)
	lines := 0
	for line := range strings.Lines(readAPIDoc(t)) {
		if !strings.HasPrefix(line, "    curl ") {
			continue
		}
		lines++
		call, err := parseCurl(line, now)
		c.Assert(err, qt.IsNil)
		path, ok := strings.CutPrefix(call.url, "http://127.0.0.1:8080")
		c.Assert(ok, qt.IsTrue, qt.Commentf("%s", line))
		status, body := d.call(t, call.method, path, strings.TrimPrefix(call.header.Get("Authorization"), "Bearer "), call.body)
		c.Assert(status, qt.Equals, 200, qt.Commentf("%s\n%s", line, body))
	}
	c.Assert(lines, qt.Equals, 15)
}
