package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func events(lines ...string) string {
	var b strings.Builder
	for _, l := range lines {
		f := strings.Fields(l)
		test := ""
		if len(f) > 2 {
			test = f[2]
		}
		b.WriteString(`{"Action":"` + f[0] + `","Package":"` + f[1] + `","Test":"` + test + `"}` + "\n")
	}
	return b.String()
}

// A list that hides more than its entries would let new faults land.
func TestJudge(t *testing.T) {
	c := qt.New(t)
	known := []testName{{"p", "TestRed"}, {"p", "TestGroup/red"}}
	for name, tc := range map[string]struct {
		in   string
		want bool
	}{
		"all pass":         {events("pass p TestA", "pass p"), true},
		"listed fails":     {events("fail p TestRed", "fail p"), true},
		"listed subtest":   {events("fail p TestGroup/red", "fail p TestGroup", "fail p"), true},
		"other subtest":    {events("fail p TestGroup/red", "fail p TestGroup/other", "fail p TestGroup", "fail p"), false},
		"other package":    {events("fail q TestRed", "fail q"), false},
		"unlisted as well": {events("fail p TestRed", "fail p TestB", "fail p"), false},
		"panic or build":   {events("pass p TestA", "fail p"), false},
	} {
		got, _, err := judge(strings.NewReader(tc.in), known, &bytes.Buffer{})
		c.Check(err, qt.IsNil)
		c.Check(got, qt.Equals, tc.want, qt.Commentf(name))
	}
	_, _, err := judge(strings.NewReader(""), known, &bytes.Buffer{})
	c.Check(err, qt.IsNotNil)
}

func TestReadKnown(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
	list, err := readKnown(path)
	c.Check(list, qt.HasLen, 0)
	c.Check(err, qt.IsNil)
	c.Assert(os.WriteFile(path, []byte("test: oriolerelay/tests TestX/y\ncommand: go test -run TestX\n"), 0o600), qt.IsNil)
	list, err = readKnown(path)
	c.Check(err, qt.IsNil)
	c.Assert(list, qt.HasLen, 1)
	c.Check(list[0], qt.Equals, testName{"oriolerelay/tests", "TestX/y"})
	c.Assert(os.WriteFile(path, []byte("test: TestX\n"), 0o600), qt.IsNil)
	_, err = readKnown(path)
	c.Check(err, qt.IsNotNil)
}
