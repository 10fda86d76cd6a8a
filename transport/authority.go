package transport

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"time"
)

// Authority is a certificate authority that issues node certificates. Nodes
// accept only peers whose certificates it has signed.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

// serverName is the DNS name in every node certificate. Nodes dial peers by IP
// address, so a certificate proves membership in the system, not an address.
const serverName = "oriole-node"

// NewAuthority returns an authority with a new key and a self-signed certificate
// that is valid for the given duration.
func NewAuthority(validity time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate authority key: %w", err)
	}
	template := &x509.Certificate{
		SerialNumber:          serialNumber(),
		Subject:               pkix.Name{CommonName: "oriolerelay"},
		NotBefore:             time.Now().Add(-time.Minute),
		NotAfter:              time.Now().Add(validity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("create authority certificate: %w", err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("parse authority certificate: %w", err)
	}
	return &Authority{cert: cert, key: key, pem: pemBlock("CERTIFICATE", der)}, nil
}

// CertificatePEM returns the authority's certificate in PEM format.
func (a *Authority) CertificatePEM() []byte { return a.pem }

// KeyPEM returns the authority's private key in PEM format. Anyone with this key
// can issue node certificates.
func (a *Authority) KeyPEM() ([]byte, error) {
	der, err := x509.MarshalECPrivateKey(a.key)
	if err != nil {
		return nil, fmt.Errorf("encode authority key: %w", err)
	}
	return pemBlock("EC PRIVATE KEY", der), nil
}

// LoadAuthority restores an authority from the output of CertificatePEM and
// KeyPEM.
func LoadAuthority(certPEM, keyPEM []byte) (*Authority, error) {
	pair, err := tls.X509KeyPair(certPEM, keyPEM)
	if err != nil {
		return nil, fmt.Errorf("authority certificate and key: %w", err)
	}
	cert, err := x509.ParseCertificate(pair.Certificate[0])
	if err != nil {
		return nil, fmt.Errorf("parse authority certificate: %w", err)
	}
	key, ok := pair.PrivateKey.(*ecdsa.PrivateKey)
	if !ok || !cert.IsCA {
		return nil, fmt.Errorf("the certificate is not a certificate authority")
	}
	return &Authority{cert: cert, key: key, pem: certPEM}, nil
}

// Issue returns a certificate and key for the named node in PEM format.
func (a *Authority) Issue(node string, validity time.Duration) (certPEM, keyPEM []byte, err error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, fmt.Errorf("generate key of %s: %w", node, err)
	}
	tmpl := &x509.Certificate{
		SerialNumber: serialNumber(),
		Subject:      pkix.Name{CommonName: node},
		DNSNames:     []string{serverName},
		NotBefore:    time.Now().Add(-time.Minute),
		NotAfter:     time.Now().Add(validity),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return nil, nil, fmt.Errorf("create certificate of %s: %w", node, err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return nil, nil, fmt.Errorf("encode key of %s: %w", node, err)
	}
	return pemBlock("CERTIFICATE", der), pemBlock("EC PRIVATE KEY", keyDER), nil
}

// NodeTLS returns the TLS configuration with which a node dials and accepts
// connections. Both sides must present a certificate signed by the authority.
func NodeTLS(authorityPEM, certPEM, keyPEM []byte) (*tls.Config, error) {
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authorityPEM) {
		return nil, fmt.Errorf("authority file contains no certificate")
	}
	pair, err := tls.X509KeyPair(certPEM, keyPEM)
	if err != nil {
		return nil, fmt.Errorf("node certificate and key: %w", err)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ServerName:   serverName,
		MinVersion:   tls.VersionTLS13,
	}, nil
}

func serialNumber() *big.Int {
	n, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120)) // fails only if the system has no source of randomness
	return n
}

func pemBlock(blockType string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
}
