package main

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"oriolerelay/settings"
)

// Guards against invalid settings that are noticed only once the process runs.
func TestSettingsAreChecked(t *testing.T) {
	c := qt.New(t)
	c.Assert(settings.Parse([]byte(`{"listen":"127.0.0.1:0","retention_ms":1000}`), &config{}), qt.IsNil)
	err := settings.Parse([]byte(`{"listen":"nowhere","retention_ms":-1}`), &config{})
	c.Assert(err, qt.ErrorMatches, `(?s)listen: .*retention_ms: .*`)
	c.Assert(settings.Parse([]byte(`{"listen":"127.0.0.1:0","retention":1}`), &config{}), qt.ErrorMatches, "retention: unknown key")
}
