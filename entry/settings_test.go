package entry

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/settings"
)

const goodSettings = `{"node":"entry-1","region":"west","data_centre":"sewing-loft","http_address":"127.0.0.1:8080",
	"internal_address":"127.0.0.1:8081","platform_url":"http://127.0.0.1:7400","seeds":["127.0.0.1:8082"],
	"tls":{"authority_file":"a","cert_file":"b","key_file":"c"},
	"callers":[{"token":"caller-secret","team":"veils"}],"operators":[{"token":"operator-secret","name":"gwenllian"}]}`

// TestSettings guards against invalid settings that are detected only at run time,
// and against a check that reports only the first problem.
func TestSettings(t *testing.T) {
	c := qt.New(t)
	var s Settings
	c.Assert(settings.Parse([]byte(goodSettings), &s), qt.IsNil)
	c.Assert(milliseconds(s.WindowMS), qt.Equals, 120*time.Second)
	c.Assert(milliseconds(s.ToleranceMS), qt.Equals, 500*time.Millisecond)
	tests := []struct{ old, new, path string }{
		{`"node":"entry-1"`, `"node":"Entry 1"`, "node"},
		{`"region":"west"`, `"region":""`, "region"},
		{`"data_centre":"sewing-loft"`, `"data_centre":"a b"`, "data_centre"},
		{`"http_address":"127.0.0.1:8080"`, `"http_address":"localhost"`, "http_address"},
		{`"internal_address":"127.0.0.1:8081"`, `"internal_address":"entry-1:8081"`, "internal_address"},
		{`"platform_url":"http://127.0.0.1:7400"`, `"platform_url":"127.0.0.1:7400"`, "platform_url"},
		{`["127.0.0.1:8082"]`, `["8082"]`, "seeds"},
		{`"key_file":"c"`, `"key_file":""`, "tls.key_file"},
		{`"token":"caller-secret"`, `"token":"operator-secret"`, "operators"},
		{`"token":"caller-secret"`, `"token":""`, "callers"},
		{`"team":"veils"`, `"team":"Veils"`, "callers.team"},
		{`"name":"gwenllian"`, `"name":""`, "operators.name"},
		{`{"node"`, `{"window_ms":-1,"node"`, "window_ms"},
		{`{"node"`, `{"drain_limit_ms":-1,"node"`, "drain_limit_ms"},
		{`{"node"`, `{"record_entries":-1,"node"`, "record_entries"},
		{`{"node"`, `{"pprof_address":"6060","node"`, "pprof_address"},
		{`{"node"`, `{"traces":{"exporter":"file"},"node"`, "traces.exporter"},
	}
	for _, test := range tests {
		changed := strings.Replace(goodSettings, test.old, test.new, 1)
		c.Assert(changed, qt.Not(qt.Equals), goodSettings)
		err := settings.Parse([]byte(changed), new(Settings))
		c.Assert(err, qt.ErrorMatches, test.path+`: .*`, qt.Commentf("%s", test.new))
	}
	err := settings.Parse([]byte(`{"node":"entry-1"}`), new(Settings))
	c.Assert(strings.Count(err.Error(), "\n") >= 5, qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(settings.Parse([]byte(`{"nodes":1}`), new(Settings)), qt.ErrorMatches, `(?s)nodes: unknown key.*`)
}
