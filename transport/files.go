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

// TLSFiles holds the paths of a node's PEM files. It is part of the settings of
// every process that dials or accepts connections.
type TLSFiles struct {
	AuthorityFile string `json:"authority_file"`
	CertFile      string `json:"cert_file"`
	KeyFile       string `json:"key_file"`
}

// Check reports each missing file path as a problem below path.
func (f TLSFiles) Check(p *settings.Problems, path string) {
	for _, v := range []struct{ key, value string }{
		{"authority_file", f.AuthorityFile}, {"cert_file", f.CertFile}, {"key_file", f.KeyFile},
	} {
		if v.value == "" {
			p.Add(path+"."+v.key, "is required")
		}
	}
}

// Load reads the files and returns the TLS configuration of the node. Dial and
// Listen reload the files for each new connection, so keys can be replaced
// without a restart. If the files are incomplete or do not match, the last valid
// configuration stays in use.
func (f TLSFiles) Load() (*tls.Config, error) {
	k := &keyReloader{files: f}
	if err := k.reload(); err != nil {
		return nil, err
	}
	c := k.current.Clone()
	c.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) { return k.config(), nil }
	return c, nil
}

// keyReloader holds the TLS configuration from the last valid set of files.
type keyReloader struct {
	files TLSFiles

	mu      sync.Mutex
	current *tls.Config
	pems    [3][]byte
}

// config reloads the files if they changed and returns the last valid
// configuration.
func (k *keyReloader) config() *tls.Config {
	k.mu.Lock()
	defer k.mu.Unlock()
	_ = k.reload() // the last valid keys stay in use; Expiry reports the error
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

// Expiry returns the expiry time of the certificate file, or an error if the
// files are invalid. It allows operators to be warned before connections fail.
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

// currentTLS returns the TLS configuration for a new connection, with reloaded
// keys if c supports reloading.
func currentTLS(c *tls.Config) *tls.Config {
	if c.GetConfigForClient == nil {
		return c
	}
	if fresh, err := c.GetConfigForClient(nil); err == nil && fresh != nil {
		return fresh
	}
	return c
}
