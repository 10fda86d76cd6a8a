package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// events builds test2json lines from lines "action package [test]".
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

// Guards against a list that hides more failures than its entries, so that new faults
// would pass CI.
func TestEvaluate(t *testing.T) {
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
		got, _, err := evaluate(strings.NewReader(tc.in), known, &bytes.Buffer{})
		c.Check(err, qt.IsNil)
		c.Check(got, qt.Equals, tc.want, qt.Commentf(name))
	}
	_, _, err := evaluate(strings.NewReader(""), known, &bytes.Buffer{})
	c.Check(err, qt.IsNotNil)
}

func TestReadKnownFailures(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
	list, err := readKnownFailures(path)
	c.Check(list, qt.HasLen, 0)
	c.Check(err, qt.IsNil)
	c.Assert(os.WriteFile(path, []byte("test: oriolerelay/tests TestX/y\ncommand: go test -run TestX\n"), 0o600), qt.IsNil)
	list, err = readKnownFailures(path)
	c.Check(err, qt.IsNil)
	c.Assert(list, qt.HasLen, 1)
	c.Check(list[0], qt.Equals, testName{"oriolerelay/tests", "TestX/y"})
	c.Assert(os.WriteFile(path, []byte("test: TestX\n"), 0o600), qt.IsNil)
	_, err = readKnownFailures(path)
	c.Check(err, qt.IsNotNil)
}

// Guards against losing the cause of a crash: when a test binary crashes, the running
// test has no result, and only its output shows what happened.
func TestCrashOutputIsPrinted(t *testing.T) {
	c := qt.New(t)
	in := events("pass p TestA", "run p TestCrash") +
		`{"Action":"output","Package":"p","Test":"TestCrash","Output":"panic: index out of range\n"}` + "\n" +
		`{"Action":"output","Package":"p","Test":"TestA","Output":"passed before\n"}` + "\n" +
		events("fail p")
	var out bytes.Buffer
	ok, _, err := evaluate(strings.NewReader(in), nil, &out)
	c.Check(err, qt.IsNil)
	c.Check(ok, qt.IsFalse)
	c.Check(out.String(), qt.Contains, "UNFINISHED p TestCrash\npanic: index out of range\n")
	c.Check(strings.Contains(out.String(), "passed before"), qt.IsFalse)
}
