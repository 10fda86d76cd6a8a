package transport

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"time"

	"oriolerelay/event"
)

// ErrCertificateExpired is the reason for closing a connection whose peer
// certificate has expired.
var ErrCertificateExpired = errors.New("peer certificate has expired")

// dialTLS returns the TLS configuration of one outgoing connection.
func dialTLS(opts Options) *tls.Config {
	if opts.TLS == nil {
		return withProtocol(&tls.Config{InsecureSkipVerify: true})
	}
	c := currentTLS(opts.TLS).Clone()
	c.GetConfigForClient = nil
	return withProtocol(c)
}

// listenTLS returns the TLS configuration of a listener. Client certificates are
// verified by verifyClient instead of crypto/tls, which offers no hook for
// logging refused peers.
func listenTLS(opts Options) *tls.Config {
	if opts.TLS == nil {
		return withProtocol(&tls.Config{Certificates: []tls.Certificate{selfSignedCertificate()}})
	}
	c := withProtocol(opts.TLS.Clone())
	c.GetConfigForClient = func(clientHello *tls.ClientHelloInfo) (*tls.Config, error) {
		fresh := withProtocol(currentTLS(opts.TLS).Clone())
		fresh.GetConfigForClient = nil
		roots, remote := fresh.ClientCAs, clientHello.Conn.RemoteAddr()
		fresh.ClientAuth = tls.RequestClientCert
		fresh.VerifyConnection = func(s tls.ConnectionState) error {
			err := verifyClient(s.PeerCertificates, roots, time.Now())
			if err != nil {
				logRefusedPeer(opts.Log, remote, err)
			}
			return err
		}
		return fresh, nil
	}
	return c
}

// selfSignedCertificate returns a certificate for a listener without configured
// keys. TLS requires a server certificate, but insecure clients do not verify it.
func selfSignedCertificate() tls.Certificate {
	_, key, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		panic(fmt.Errorf("generate key: %w", err))
	}
	template := &x509.Certificate{SerialNumber: serialNumber()}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		panic(fmt.Errorf("create certificate: %w", err))
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
}

func withProtocol(c *tls.Config) *tls.Config {
	c.NextProtos = []string{protocolName}
	c.MinVersion = tls.VersionTLS13
	return c
}

// verifyClient verifies that chain starts with a client certificate that is valid
// at now and signed by one of roots.
func verifyClient(chain []*x509.Certificate, roots *x509.CertPool, now time.Time) error {
	if len(chain) == 0 {
		return errors.New("peer has no certificate")
	}
	if roots == nil {
		return errors.New("no certificate authority is configured")
	}
	intermediates := x509.NewCertPool()
	for _, c := range chain[1:] {
		intermediates.AddCert(c)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: intermediates,
		CurrentTime:   now,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	})
	if err != nil {
		return fmt.Errorf("certificate of %q: %w", chain[0].Subject.CommonName, err)
	}
	return nil
}

func logRefusedPeer(l *event.Logger, remote net.Addr, err error) {
	l.Log(event.PeerRefused, "address", remote, "error", err)
}
