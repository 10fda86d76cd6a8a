package agent

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/event"
	"oriolerelay/transport"
)

// logBuffer collects log lines from several goroutines.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// count returns how often an event was logged.
func (l *logBuffer) count(e event.Event) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.b.String(), e.Message)
}

// Guards against keys that expire or break without a warning, and against one
// warning a minute.
func TestKeysAreWatched(t *testing.T) {
	dir := t.TempDir()
	files := transport.TLSFiles{CertFile: filepath.Join(dir, "cert"), KeyFile: filepath.Join(dir, "key"), AuthorityFile: filepath.Join(dir, "authority")}
	auth := testAuthority(t)
	cert, key, err := auth.Issue("agent-1", 8*24*time.Hour)
	qt.Assert(t, err, qt.IsNil)
	for name, b := range map[string][]byte{files.CertFile: cert, files.KeyFile: key, files.AuthorityFile: auth.CertificatePEM()} {
		qt.Assert(t, os.WriteFile(name, b, 0o600), qt.IsNil)
	}
	var log logBuffer
	a := &Agent{cfg: Config{Keys: &files, Log: event.NewLogger(&log, "agent-1")}}
	last := a.checkKeys("", time.Now())
	qt.Check(t, last, qt.Equals, "")
	for range 3 {
		last = a.checkKeys(last, time.Now().Add(2*24*time.Hour))
	}
	qt.Check(t, log.count(event.KeysExpireSoon), qt.Equals, 1)
	qt.Assert(t, os.WriteFile(files.KeyFile, key[:20], 0o600), qt.IsNil)
	for range 3 {
		last = a.checkKeys(last, time.Now())
	}
	qt.Check(t, log.count(event.KeysUnreadable), qt.Equals, 1)
}

// Guards against an agent whose certificate is refused, or that refuses an
// entry's, being logged like an entry that is not there.
func TestRefusedCertificatesAreLogged(t *testing.T) {
	auth, other := testAuthority(t), testAuthority(t)
	e := startEntry(t, auth, "entry-1")
	for _, trusted := range []*transport.Authority{auth, other} {
		var log logBuffer
		runAgent(t, auth, func(cfg *Config) {
			cfg.Log = event.NewLogger(&log, "agent-1")
			cfg.TLS = nodeTLS(t, other, "agent-1")
			cfg.TLS.RootCAs = nodeTLS(t, trusted, "agent-1").RootCAs
		}, e)
		eventually(t, func() bool { return log.count(event.EntryRefused) > 0 })
		qt.Check(t, log.count(event.EntryUnreachable), qt.Equals, 0)
	}
}
