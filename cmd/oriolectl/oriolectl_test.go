package main

import (
	"context"
	"flag"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/policy"
	"oriolerelay/transport"
	"oriolerelay/trial"
)

// TestKeys guards against node certificates of different authorities, and against an
// authority that is replaced when a node is added.
func TestKeys(t *testing.T) {
	c := qt.New(t)
	k := &keysCommand{dir: t.TempDir(), valid: time.Hour}
	c.Assert(k.run([]string{"entry-1"}), qt.IsNil)
	authority, err := os.ReadFile(filepath.Join(k.dir, authorityFile))
	c.Assert(err, qt.IsNil)
	c.Assert(k.run([]string{"worker-1"}), qt.IsNil)
	again, err := os.ReadFile(filepath.Join(k.dir, authorityFile))
	c.Assert(err, qt.IsNil)
	c.Assert(string(again), qt.Equals, string(authority))
	for _, n := range []string{"entry-1", "worker-1"} {
		f := transport.TLSFiles{
			AuthorityFile: filepath.Join(k.dir, authorityFile),
			CertFile:      filepath.Join(k.dir, n+".pem"), KeyFile: filepath.Join(k.dir, n+"-key.pem"),
		}
		_, err := f.Load()
		c.Assert(err, qt.IsNil)
	}
	c.Assert(k.run([]string{"entry-1"}), qt.ErrorMatches, "create key file: .*exists")
	c.Assert(k.run([]string{"Entry 1"}), qt.ErrorMatches, `"Entry 1" cannot name a node`)
}

// TestCheck guards against problems in a file that the offline check does not report.
func TestCheck(t *testing.T) {
	c := qt.New(t)
	write := func(name, content string) string {
		path := filepath.Join(t.TempDir(), name)
		c.Assert(os.WriteFile(path, []byte(content), 0o600), qt.IsNil)
		return path
	}
	good := write("good", `{"number":1,"author":"rhian","reason":"first","teams":{"veil":{"weight":1}}}`)
	c.Assert(checkFiles([]string{"ticket", good}), qt.IsNil)
	bad := write("bad", `{"number":1,"author":"","reason":"first","teams":{"veil":{"weight":-1}}}`)
	err := checkFiles([]string{"ticket", good, bad})
	c.Assert(err, qt.ErrorMatches, `(?s).*bad: .*author.*weight.*`)
	entry := write("entry", `{"node":"entry-1","http_address":"localhost:1"}`)
	c.Assert(checkFiles([]string{"entry", entry}), qt.ErrorMatches, `(?s).*region: .*http_address: .*platform_url: .*tls.cert_file: .*`)
	c.Assert(checkFiles([]string{"entry"}), qt.Equals, errUsage)
	c.Assert(checkFiles([]string{"order", entry}), qt.Equals, errUsage)
}

// TestPrintState guards against a table without the ticket or the reason of an object.
func TestPrintState(t *testing.T) {
	c := qt.New(t)
	var b strings.Builder
	c.Assert(printState(&b, []byte(`{"number":7,"services":{"veil-desk":{}},"teams":{"veil":{"weight":2}},
		"origins":{"service/veil-desk":{"number":3,"author":"rhian","reason":"new looms"},"team/veil":{"number":7,"author":"wyn","reason":"wedding season"}}}`)), qt.IsNil)
	c.Assert(b.String(), qt.Contains, "ticket 7 is in force")
	c.Assert(b.String(), qt.Contains, "service/veil-desk\t3\trhian\tnew looms\t")
	c.Assert(b.String(), qt.Contains, "team/veil\t7\twyn\twedding season\t{\"weight\":2")
}

// TestTokenIsNotPrinted guards against a usage text that contains the token of the
// environment.
func TestTokenIsNotPrinted(t *testing.T) {
	c := qt.New(t)
	t.Setenv(tokenVariable, "operator-secret")
	var api apiClient
	var usage strings.Builder
	f := flag.NewFlagSet("state", flag.ContinueOnError)
	f.SetOutput(&usage)
	api.setFlags(f)
	f.PrintDefaults()
	c.Assert(usage.String(), qt.Not(qt.Contains), "operator-secret")
	c.Assert(api.bearerToken(), qt.Equals, "operator-secret")
}

// TestCallErrors guards against an error response that is treated as a success.
func TestCallErrors(t *testing.T) {
	c := qt.New(t)
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.Check(r.Header.Get("Authorization"), qt.Equals, "Bearer operator-secret")
		w.WriteHeader(409)
		_, _ = io.WriteString(w, `{"error":{"kind":"ticket_lost","detail":"number 2 was taken"}}`)
	}))
	defer web.Close()
	api := apiClient{entry: web.URL, token: "operator-secret"}
	_, err := api.call(context.Background(), "GET", "/v1/tickets", nil)
	c.Assert(err, qt.ErrorMatches, "ticket_lost: number 2 was taken")
}

// TestLosses guards against a command that cannot read standard input, accepts an unknown
// format, or does not say which file cannot be read.
func TestLosses(t *testing.T) {
	c := qt.New(t)
	const text = "node-1 level=info ts=2026-12-04T00:00:00Z node=entry-1.a event=600 msg=x job=0000000000000001 queue=q\n" +
		"node-1 level=info ts=2026-12-04T00:00:00.1Z node=entry-1.a event=601 msg=x job=0000000000000001 queue=q kind=no_endpoint\n"
	path := filepath.Join(t.TempDir(), "log")
	c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	run := func(cmd lossesCommand, files ...string) (string, error) {
		var out strings.Builder
		err := cmd.run(files, strings.NewReader(text), &out)
		return out.String(), err
	}
	for _, files := range [][]string{{path}, {"-"}, nil} {
		out, err := run(lossesCommand{format: "json"}, files...)
		c.Assert(err, qt.IsNil)
		c.Check(strings.Contains(out, `"cause": "nobody served"`), qt.IsTrue, qt.Commentf("%s", out))
	}
	out, err := run(lossesCommand{format: "table", job: "0000000000000001"}, path)
	c.Assert(err, qt.IsNil)
	c.Check(strings.HasSuffix(out, "lost: nobody served\n"), qt.IsTrue)
	_, err = run(lossesCommand{format: "xml"}, path)
	c.Check(err, qt.ErrorMatches, `format "xml" is neither table nor json`)
	_, err = run(lossesCommand{format: "table"}, path+".none")
	c.Check(err, qt.ErrorMatches, "open log: .*none.*")
}

// TestPoliciesErrors guards against a comparison that starts with invalid flags and reports
// them only after all seeds were simulated.
func TestPoliciesErrors(t *testing.T) {
	c := qt.New(t)
	for _, tt := range []struct {
		args string
		want string
	}{
		{"-seeds 0", "-seeds must be at least 1.*"},
		{"-format plot", `format "plot" is neither table nor json`},
		{"-off moves,nonsense", `.*"nonsense" is not a mechanism .*`},
		{"100", "-seeds must .*"},
	} {
		err := new(policiesCommand).run(t.Context(), strings.Fields(tt.args), io.Discard, io.Discard)
		c.Check(err, qt.ErrorMatches, tt.want, qt.Commentf("%s", tt.args))
	}
	c.Check(new(policiesCommand).run(t.Context(), []string{"-help"}, io.Discard, io.Discard), qt.IsNil)
	var p policiesCommand
	c.Assert(p.flags().Parse([]string{"-ablate", "-off", "moves,trust"}), qt.IsNil)
	c.Check(p.policies()[:3], qt.DeepEquals, []string{"", "moves,trust", "moves"})
	c.Check(p.policies(), qt.HasLen, 2+len(policy.Mechanisms()))
	c.Check(new(policiesCommand).policies(), qt.DeepEquals, []string{"", "naive"})
	c.Check(progressBar(1, 2), qt.Equals, "["+strings.Repeat("#", 20)+strings.Repeat(" ", 20)+"] 1/2")
	c.Check(guaranteeViolations([]trial.Result{{Seed: 3, Outcome: trial.Outcome{Violations: []string{"twice"}}}}), qt.ErrorMatches, `(?s).*seed 3.*twice`)
}
