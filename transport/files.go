package transport

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"

	"oriolerelay/settings"
)

// TLSFiles names the PEM files of a node. It is a part of the settings of every
// process that opens or accepts connections.
type TLSFiles struct {
	AuthorityFile string `json:"authority_file"`
	CertFile      string `json:"cert_file"`
	KeyFile       string `json:"key_file"`
}

// Check records a fault at path for each file that is not named.
func (f TLSFiles) Check(p *settings.Problems, path string) {
	for _, v := range []struct{ key, value string }{
		{"authority_file", f.AuthorityFile}, {"cert_file", f.CertFile}, {"key_file", f.KeyFile},
	} {
		if v.value == "" {
			p.Add(path+"."+v.key, "is required")
		}
	}
}

// Load reads the files and returns the TLS configuration of the node. Each new
// connection of Dial and Listen reads the files again, so keys are replaced
// without a restart; files that are incomplete or do not fit together leave the
// last good keys in use.
func (f TLSFiles) Load() (*tls.Config, error) {
	k := &keyReloader{files: f}
	if err := k.reload(); err != nil {
		return nil, err
	}
	c := k.current.Clone()
	c.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) { return k.config(), nil }
	return c, nil
}

// keys holds the configuration made from the newest good files.
type keyReloader struct {
	files TLSFiles

	mu      sync.Mutex
	current *tls.Config
	pems    [3][]byte
}

// config returns the configuration after a look at the files.
func (k *keyReloader) config() *tls.Config {
	k.mu.Lock()
	defer k.mu.Unlock()
	_ = k.reload() // the last good keys stay in use; Expiry reports the fault
	return k.current
}

func (k *keyReloader) reload() error {
	pems, err := k.files.read()
	if err != nil {
		return err
	}
	if k.current != nil && equalPEMs(pems, k.pems) {
		return nil
	}
	c, err := NodeTLS(pems[0], pems[1], pems[2])
	if err != nil {
		return err
	}
	k.current, k.pems = c, pems
	return nil
}

func equalPEMs(a, b [3][]byte) bool {
	for i := range a {
		if !bytes.Equal(a[i], b[i]) {
			return false
		}
	}
	return true
}

func (f TLSFiles) read() (pems [3][]byte, err error) {
	for i, name := range []string{f.AuthorityFile, f.CertFile, f.KeyFile} {
		if pems[i], err = os.ReadFile(name); err != nil {
			return pems, fmt.Errorf("read key file: %w", err)
		}
	}
	return pems, nil
}

// Expiry returns when the certificate in the files expires, or the fault of the
// files. Operators are warned by it before connections fail.
func (f TLSFiles) Expiry() (time.Time, error) {
	pems, err := f.read()
	if err != nil {
		return time.Time{}, err
	}
	pair, err := tls.X509KeyPair(pems[1], pems[2])
	if err != nil {
		return time.Time{}, fmt.Errorf("node certificate and key: %w", err)
	}
	cert, err := x509.ParseCertificate(pair.Certificate[0])
	if err != nil {
		return time.Time{}, fmt.Errorf("node certificate: %w", err)
	}
	return cert.NotAfter, nil
}

// currentTLS returns the configuration to use for one connection.
func currentTLS(c *tls.Config) *tls.Config {
	if c.GetConfigForClient == nil {
		return c
	}
	if fresh, err := c.GetConfigForClient(nil); err == nil && fresh != nil {
		return fresh
	}
	return c
}
