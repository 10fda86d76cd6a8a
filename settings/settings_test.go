package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"oriolerelay/settings"
)

type sample struct {
	Name  string            `json:"name"`
	Slots int               `json:"slots"`
	TLS   tlsFiles          `json:"tls"`
	Peers []peer            `json:"peers"`
	Teams map[string]string `json:"teams"`
}

type tlsFiles struct {
	CertFile string `json:"cert_file"`
}

type peer struct {
	Address string `json:"address"`
	Port    uint16 `json:"port"`
}

func (s *sample) Check(p *settings.Problems) {
	if s.Name == "" {
		p.Add("name", "must be set")
	}
	if s.Slots == 0 {
		s.Slots = 8
	}
	if s.Slots < 0 {
		p.Add("slots", "must be positive, got %d", s.Slots)
	}
	if s.TLS.CertFile == "" {
		p.Add("tls.cert_file", "must be set")
	}
}

// Guards against problems that are reported one at a time: an operator would have to restart a
// process once for each of them.
func TestParseReportsEveryProblemWithItsPath(t *testing.T) {
	c := qt.New(t)
	var s sample
	err := settings.Parse([]byte(`{"name": 3, "slots": -1, "tls": {"cert": "x"},
		"peers": [{"address": "a"}, {"addres": "b", "port": 70000}], "teams": {"print": 1}, "extra": {}}`), &s)
	c.Assert(err, qt.IsNotNil)
	got := map[string]bool{}
	for _, line := range strings.Split(err.Error(), "\n") {
		path, _, ok := strings.Cut(line, ": ")
		c.Check(ok, qt.IsTrue, qt.Commentf("%s", line))
		c.Check(got[path], qt.IsFalse, qt.Commentf("%s is reported twice", path))
		got[path] = true
	}
	c.Check(got, qt.DeepEquals, map[string]bool{
		"name": true, "slots": true, "tls.cert": true, "tls.cert_file": true,
		"peers[1].addres": true, "peers[1].port": true, "teams.print": true, "extra": true,
	})
}

// Guards against malformed input, or values of the wrong type at any level, that cause a panic
// or partly read settings instead of an error.
func TestMalformedInput(t *testing.T) {
	for name, in := range map[string]string{
		"not JSON":         `{"name": }`,
		"empty":            ``,
		"array":            `[]`,
		"trailing data":    `{"name": "a", "tls": {"cert_file": "f"}} {}`,
		"string for peers": `{"name": "a", "tls": {"cert_file": "f"}, "peers": "x"}`,
		"number for tls":   `{"name": "a", "tls": 4}`,
		"key case":         `{"Name": "a", "tls": {"cert_file": "f"}}`,
	} {
		t.Run(name, func(t *testing.T) {
			var s sample
			qt.New(t).Assert(settings.Parse([]byte(in), &s), qt.IsNotNil)
		})
	}
}

// A syntax error has no path, so its message contains the line.
func TestSyntaxErrorIncludesLine(t *testing.T) {
	c := qt.New(t)
	var s sample
	c.Assert(settings.Parse([]byte("{\n\"name\": \"a\",\n}"), &s), qt.ErrorMatches, "decode: line 3: .*")
}

func TestLoad(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
		return path
	}
	var s sample
	c.Assert(settings.Load(write("good.json", `{"name": "a", "tls": {"cert_file": "f"}, "peers": null}`), &s), qt.IsNil)
	c.Check(s.Slots, qt.Equals, 8)
	c.Check(settings.Load(filepath.Join(dir, "none.json"), &s), qt.ErrorMatches, "open settings: .*")
	c.Check(settings.Load(write("bad.json", `{}`), &sample{}), qt.ErrorMatches, `(?s)settings .*bad.json:\nname: must be set\ntls.cert_file: must be set`)
	big := `{"name": "` + strings.Repeat("a", settings.MaxFileBytes) + `"}`
	c.Check(settings.Load(write("big.json", big), &s), qt.ErrorMatches, "settings file .* exceeds the limit of 1048576 bytes")
}

// Parse must not panic on any input.
func TestParseArbitraryText(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var s sample
		_ = settings.Parse([]byte(rapid.StringMatching(`[\[\]{}",:0-9a-z ]{0,40}`).Draw(rt, "text")), &s)
	})
}
