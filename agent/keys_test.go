package agent

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/event"
	"oriolerelay/internal/syncbuf"
	"oriolerelay/transport"
)

// countEvents returns the number of times that e was logged.
func countEvents(log *syncbuf.Buffer, e event.Event) int {
	return strings.Count(log.String(), e.Message)
}

// Guards against a certificate that expires or key files that become unusable without a
// warning, and against repeating the warning at every check.
func TestKeysAreWatched(t *testing.T) {
	dir := t.TempDir()
	files := transport.TLSFiles{CertFile: filepath.Join(dir, "cert"), KeyFile: filepath.Join(dir, "key"), AuthorityFile: filepath.Join(dir, "authority")}
	auth := testAuthority(t)
	cert, key, err := auth.Issue("agent-1", 8*24*time.Hour)
	qt.Assert(t, err, qt.IsNil)
	for name, b := range map[string][]byte{files.CertFile: cert, files.KeyFile: key, files.AuthorityFile: auth.CertificatePEM()} {
		qt.Assert(t, os.WriteFile(name, b, 0o600), qt.IsNil)
	}
	var log syncbuf.Buffer
	a := &Agent{cfg: Config{Keys: &files, Log: event.NewLogger(&log, "agent-1")}}
	last := a.checkKeyFiles("", time.Now())
	qt.Check(t, last, qt.Equals, "")
	for range 3 {
		last = a.checkKeyFiles(last, time.Now().Add(2*24*time.Hour))
	}
	qt.Check(t, countEvents(&log, event.CertificateExpiring), qt.Equals, 1)
	qt.Assert(t, os.WriteFile(files.KeyFile, key[:20], 0o600), qt.IsNil)
	for range 3 {
		last = a.checkKeyFiles(last, time.Now())
	}
	qt.Check(t, countEvents(&log, event.CertificateInvalid), qt.Equals, 1)
}

// Guards against a rejected certificate, of the agent or of the entry, being logged as an
// unreachable entry.
func TestRefusedCertificatesAreLogged(t *testing.T) {
	auth, other := testAuthority(t), testAuthority(t)
	e := startEntry(t, auth, "entry-1")
	for _, trusted := range []*transport.Authority{auth, other} {
		var log syncbuf.Buffer
		runAgent(t, auth, func(cfg *Config) {
			cfg.Log = event.NewLogger(&log, "agent-1")
			cfg.TLS = nodeTLS(t, other, "agent-1")
			cfg.TLS.RootCAs = nodeTLS(t, trusted, "agent-1").RootCAs
		}, e)
		eventually(t, func() bool { return countEvents(&log, event.EntryRefused) > 0 })
		qt.Check(t, countEvents(&log, event.EntryUnreachable), qt.Equals, 0)
	}
}
