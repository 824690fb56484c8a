package keys

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
)

// ErrNoAuthority means that the authority's file holds no certificate.
var ErrNoAuthority = errors.New("no certificate in the authority's file")

// Config holds the TLS settings of the three kinds of connections.
type Config struct {
	// Listen is for callers and operators; it asks for no client certificate.
	Listen *tls.Config
	// Peer is for both ends of connections between processes of the system.
	Peer *tls.Config
	// Dial is for connections to the listeners of callers and operators.
	Dial *tls.Config
}

// NewConfig returns the TLS settings for a certificate and an authority's
// certificate, both in PEM form.
func NewConfig(pair Pair, authority []byte) (Config, error) {
	cert, err := tls.X509KeyPair(pair.Cert, pair.Key)
	if err != nil {
		return Config{}, fmt.Errorf("certificate and key: %w", err)
	}
	return newConfig(func() *tls.Certificate { return &cert }, authority)
}

// newConfig returns the TLS settings for a certificate that may change.
func newConfig(current func() *tls.Certificate, authority []byte) (Config, error) {
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return Config{}, ErrNoAuthority
	}
	serve := func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return current(), nil }
	present := func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return current(), nil }
	return Config{
		Listen: &tls.Config{
			MinVersion:     tls.VersionTLS13,
			GetCertificate: serve,
		},
		Peer: &tls.Config{
			MinVersion:           tls.VersionTLS13,
			GetCertificate:       serve,
			GetClientCertificate: present,
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
