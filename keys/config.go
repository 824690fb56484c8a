package keys

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
)

// ErrNoAuthority means that the PEM data of the authority holds no certificate.
var ErrNoAuthority = errors.New("no certificate in the authority's PEM data")

// Config holds the TLS configurations of the three kinds of connections.
type Config struct {
	// Listen is for listeners that serve callers and operators. It requests no client
	// certificate.
	Listen *tls.Config
	// Peer is for both ends of connections between processes of the system. Each end
	// verifies the certificate of the other.
	Peer *tls.Config
	// Dial is for clients of listeners that use Listen. It presents no certificate.
	Dial *tls.Config
}

// NewConfig returns the TLS configurations for a certificate and the certificate of
// its authority, both PEM-encoded.
func NewConfig(pair Pair, authorityCert []byte) (Config, error) {
	cert, err := tls.X509KeyPair(pair.Cert, pair.Key)
	if err != nil {
		return Config{}, fmt.Errorf("parse certificate and key: %w", err)
	}
	return newConfig(func() *tls.Certificate { return &cert }, authorityCert)
}

// newConfig returns the TLS configurations for a certificate that may be replaced.
// Each handshake uses the certificate that current returns.
func newConfig(current func() *tls.Certificate, authorityCert []byte) (Config, error) {
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authorityCert) {
		return Config{}, ErrNoAuthority
	}
	getCertificate := func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return current(), nil }
	getClientCertificate := func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return current(), nil }
	return Config{
		Listen: &tls.Config{
			MinVersion:     tls.VersionTLS13,
			GetCertificate: getCertificate,
		},
		Peer: &tls.Config{
			MinVersion:           tls.VersionTLS13,
			GetCertificate:       getCertificate,
			GetClientCertificate: getClientCertificate,
			ClientAuth:           tls.RequireAndVerifyClientCert,
			ClientCAs:            pool,
			RootCAs:              pool,
		},
		Dial: &tls.Config{
			MinVersion: tls.VersionTLS13,
			RootCAs:    pool,
		},
	}, nil
}
