package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/errkind"
	"oriolerelay/logstore/standin"
	"oriolerelay/settings"
	"oriolerelay/transport"
)

// testPlatform starts a stand-in for the platform's log and returns it with its
// URL.
func testPlatform(t testing.TB) (*standin.Server, string) {
	log := standin.New()
	web := httptest.NewServer(log)
	t.Cleanup(web.Close)
	return log, web.URL
}

// writeKeys writes the certificates and the key of a node and returns their paths.
func writeKeys(t testing.TB, keys *transport.Authority, name string) transport.TLSFiles {
	dir := t.TempDir()
	cert, key, err := keys.Issue(name, time.Hour)
	qt.Assert(t, err, qt.IsNil)
	f := transport.TLSFiles{
		AuthorityFile: filepath.Join(dir, "ca.pem"), CertFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem"),
	}
	for path, b := range map[string][]byte{f.AuthorityFile: keys.CertificatePEM(), f.CertFile: cert, f.KeyFile: key} {
		qt.Assert(t, os.WriteFile(path, b, 0o600), qt.IsNil)
	}
	return f
}

// testDaemon is a running entry.
type testDaemon struct {
	*Daemon
	stop func()       // starts the drain
	done <-chan error // receives the result of Run
}

func startDaemon(t testing.TB, keys *transport.Authority, name, platform string, seeds ...string) *testDaemon {
	t.Helper()
	conf, err := json.Marshal(Settings{
		Node: name, Region: "west", DataCentre: "sewing-loft",
		HTTPAddress: "127.0.0.1:0", InternalAddress: "127.0.0.1:0", PlatformURL: platform, Seeds: seeds,
		TLS:       writeKeys(t, keys, name),
		Callers:   testTokens,
		Operators: []OperatorToken{{"operator-secret", "rhian"}},
		// Long enough to observe the steps of a drain.
		DrainGraceMS: 500,
	})
	qt.Assert(t, err, qt.IsNil)
	var s Settings
	qt.Assert(t, settings.Parse(conf, &s), qt.IsNil)
	d, err := Open(s, nil)
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	exited := make(chan struct{})
	go func() {
		defer close(exited)
		done <- d.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-exited
	})
	return &testDaemon{Daemon: d, stop: cancel, done: done}
}

func (d *testDaemon) call(t testing.TB, method, path, token, body string) (int, string) {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+d.HTTPAddress()+path, strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	r.Header.Set("Authorization", "Bearer "+token)
	resp, err := http.DefaultClient.Do(r)
	qt.Assert(t, err, qt.IsNil)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	qt.Assert(t, err, qt.IsNil)
	return resp.StatusCode, string(b)
}

// eventually polls ok until it returns true, and fails the test after limit.
func eventually(t testing.TB, limit time.Duration, what string, ok func() bool) {
	t.Helper()
	deadline := time.After(limit)
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for !ok() {
		select {
		case <-ticker.C:
		case <-deadline:
			t.Fatalf("condition not met within %s: %s", limit, what)
		}
	}
}

const firstTicket = `{"number":1,"author":"rhian","reason":"first","services":{"veil-desk":{"kinds":{"preview":{"deadline_ms":2000,"expected_ms":50,"max_attempts":1,"queue_limit":100}},"endpoints":{"policy":"least_expected_finish","buffer":2,"eject_after_failures":5,"eject_ms":1000}}},"teams":{"veil":{"weight":1}}}`

// TestDaemonTickets guards against a ticket that is reported as accepted without
// taking effect, and against one that does not reach the other entries within 4 s.
func TestDaemonTickets(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	keys, err := transport.NewAuthority(time.Hour)
	c.Assert(err, qt.IsNil)
	_, platform := testPlatform(t)
	a := startDaemon(t, keys, "entry-1", platform)
	b := startDaemon(t, keys, "entry-2", platform, a.InternalAddress())
	eventually(t, 10*time.Second, "both are ready", func() bool {
		x, _ := a.call(t, "GET", "/readyz", "", "")
		y, _ := b.call(t, "GET", "/readyz", "", "")
		return x == 200 && y == 200
	})
	status, body := a.call(t, "POST", "/v1/requests", "veil-secret", previewBody)
	c.Assert(status, qt.Equals, 503)
	c.Assert(errorKind(t, body), qt.Equals, errkind.NoConfiguration)

	status, body = a.call(t, "POST", "/v1/tickets", "operator-secret", firstTicket)
	c.Assert(status, qt.Equals, 200, qt.Commentf("%s", body))
	var v ticketResponse
	c.Assert(json.Unmarshal([]byte(body), &v), qt.IsNil)
	c.Assert(string(v.Verdict.Status), qt.Equals, "accepted")
	eventually(t, 4*time.Second, "the ticket is in force at the other entry", func() bool {
		_, body := b.call(t, "GET", "/v1/state", "operator-secret", "")
		return strings.Contains(body, `"service/veil-desk":{"number":1,"author":"rhian","reason":"first"}`)
	})
	status, again := b.call(t, "POST", "/v1/tickets", "operator-secret", firstTicket)
	c.Assert(status, qt.Equals, 200)
	c.Assert(again, qt.Equals, body)
	other := strings.Replace(firstTicket, "rhian", "wyn", 1)
	status, body = b.call(t, "POST", "/v1/tickets", "operator-secret", other)
	c.Assert(status, qt.Equals, 409)
	c.Assert(json.Unmarshal([]byte(body), &v), qt.IsNil)
	c.Assert(v.Error.Kind, qt.Equals, errkind.TicketLost)
	c.Assert(v.Verdict.Ticket.Author, qt.Equals, "rhian")
	for path, want := range map[string]string{
		"/v1/tickets": `"author":"rhian"`, "/v1/tickets/1": `"number":1`, "/v1/members": `"entry-2"`, "/v1/endpoints": `{"endpoints":[]}`,
	} {
		eventually(t, 5*time.Second, path+" has "+want, func() bool {
			status, body := a.call(t, "GET", path, "operator-secret", "")
			return status == 200 && strings.Contains(body, want)
		})
	}
	status, body = a.call(t, "POST", "/v1/tickets", "operator-secret", `{"number":2,"colour":1}`)
	c.Assert(status, qt.Equals, 400)
	c.Assert(errorKind(t, body), qt.Equals, errkind.TicketInvalid)
}

// TestStartDuringOutage guards against an entry that gets no configuration because
// the log is unavailable when it starts.
func TestStartDuringOutage(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	keys, err := transport.NewAuthority(time.Hour)
	c.Assert(err, qt.IsNil)
	log, platform := testPlatform(t)
	a := startDaemon(t, keys, "entry-1", platform)
	eventually(t, 10*time.Second, "the ticket is accepted", func() bool {
		status, _ := a.call(t, "POST", "/v1/tickets", "operator-secret", firstTicket)
		return status == 200
	})
	log.SetFaults(standin.Faults{Down: true})
	b := startDaemon(t, keys, "entry-2", platform, a.InternalAddress())
	eventually(t, 4*time.Second, "the new entry has the configuration", func() bool {
		// It is not ready without agents, but a configuration is known.
		_, body := b.call(t, "GET", "/readyz", "", "")
		return errorKind(t, body) == errkind.NoEndpoint
	})
	// The dispatcher refuses the request because there is no endpoint; the reason is
	// not a missing configuration.
	_, body := b.call(t, "POST", "/v1/requests", "veil-secret", previewBody)
	c.Assert(errorKind(t, body), qt.Equals, errkind.NoEndpoint)
	_, body = b.call(t, "POST", "/v1/requests", "veil-secret", requestWithID("order-17", time.Now(), `1`))
	c.Assert(errorKind(t, body), qt.Equals, errkind.HomeUnknown)
	status, body := b.call(t, "POST", "/v1/tickets", "operator-secret", strings.Replace(firstTicket, `"number":1`, `"number":2`, 1))
	c.Assert(status, qt.Equals, 503)
	c.Assert(errorKind(t, body), qt.Equals, errkind.LogUnavailable)
}

// TestTicketReplyLost guards against a ticket that is reported as refused, or
// applied twice, when the log's reply to the append is lost.
func TestTicketReplyLost(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	keys, err := transport.NewAuthority(time.Hour)
	c.Assert(err, qt.IsNil)
	log, platform := testPlatform(t)
	d := startDaemon(t, keys, "entry-1", platform)
	eventually(t, 10*time.Second, "the log was read", func() bool {
		status, _ := d.call(t, "GET", "/v1/tickets", "operator-secret", "")
		return status == 200
	})
	log.SetFaults(standin.Faults{LoseResponses: true})
	status, body := d.call(t, "POST", "/v1/tickets", "operator-secret", firstTicket)
	if status != 200 {
		c.Assert(errorKind(t, body), qt.Equals, errkind.TicketUnknown)
	}
	log.SetFaults(standin.Faults{})
	status, body = d.call(t, "POST", "/v1/tickets", "operator-secret", firstTicket)
	c.Assert(status, qt.Equals, 200, qt.Commentf("%s", body))
	status, body = d.call(t, "GET", "/v1/tickets", "operator-secret", "")
	c.Assert(status, qt.Equals, 200)
	c.Assert(strings.Count(body, `"number"`), qt.Equals, 1)
}

// TestDrainServesUntilViewsMove guards against a drain that stops serving before
// its grace period ends, and against one that does not end the membership.
func TestDrainServesUntilViewsMove(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	keys, err := transport.NewAuthority(time.Hour)
	c.Assert(err, qt.IsNil)
	log, platform := testPlatform(t)
	d := startDaemon(t, keys, "entry-1", platform)
	eventually(t, 10*time.Second, "it has joined", func() bool {
		_, body := d.call(t, "GET", "/v1/members", "operator-secret", "")
		return strings.Contains(body, "entry-1")
	})
	d.stop()
	eventually(t, 2*time.Second, "readyz fails", func() bool {
		status, _ := d.call(t, "GET", "/readyz", "", "")
		return status == 503
	})
	status, _ := d.call(t, "GET", "/healthz", "", "")
	c.Assert(status, qt.Equals, 200)
	c.Assert(<-d.done, qt.IsNil)
	var page bytes.Buffer
	w := httptest.NewRecorder()
	log.ServeHTTP(w, httptest.NewRequest("GET", "/v1/streams/members/records?from=0&limit=100", nil))
	_, _ = page.ReadFrom(w.Body)
	c.Assert(page.String(), qt.Contains, `"leave"`)
}
