package agent

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"oriolerelay/settings"
)

// Guards against an invalid settings file being accepted, and against problems being
// reported one at a time.
func TestSettings(t *testing.T) {
	const place = `"node":"agent-1","region":"west","data_centre":"cutting-room","rack":"rack-1","worker":"worker-1","listen":"127.0.0.1:0","seeds":["127.0.0.1:1"],`
	const tls = `"tls":{"authority_file":"a","cert_file":"c","key_file":"k"}`
	var good Settings
	qt.Assert(t, settings.Parse([]byte(`{`+place+tls+`}`), &good), qt.IsNil)
	qt.Check(t, good.Config().RecordAge, qt.Equals, defaultRecordAge)
	qt.Check(t, good.Config().Leases, qt.IsNil)
	var bad Settings
	err := settings.Parse([]byte(`{"node":"Agent","seeds":["x"],"buffer":-1,"max_records":-1,"max_result_bytes":1,"record_age_ms":5,"platform_url":"x"}`), &bad)
	for _, path := range []string{"node", "listen", "seeds", "buffer", "max_records", "max_result_bytes", "record_age_ms", "platform_url", "tls.key_file"} {
		qt.Check(t, strings.Contains(err.Error(), path+": "), qt.IsTrue, qt.Commentf("%s not in %v", path, err))
	}
}
