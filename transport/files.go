package transport

import (
	"crypto/tls"
	"fmt"
	"os"

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

// Load reads the files and returns the TLS configuration of the node.
func (f TLSFiles) Load() (*tls.Config, error) {
	var pems [3][]byte
	for i, name := range []string{f.AuthorityFile, f.CertFile, f.KeyFile} {
		b, err := os.ReadFile(name)
		if err != nil {
			return nil, fmt.Errorf("read key file: %w", err)
		}
		pems[i] = b
	}
	return NodeTLS(pems[0], pems[1], pems[2])
}
