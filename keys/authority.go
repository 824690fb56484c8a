package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"time"
)

const (
	// certValidity is the time for which an issued certificate is valid.
	certValidity = 365 * 24 * time.Hour
	// maxClockSkew is how far certificates are dated back, so that a process whose
	// clock is behind accepts them.
	maxClockSkew = time.Hour
	// serialNumberBits is the size of a random serial number in bits.
	serialNumberBits = 120
)

// Pair is a certificate and its private key, both PEM-encoded.
type Pair struct {
	Cert []byte
	Key  []byte
}

// Authority is a certificate authority for tests and demonstrations. Pair holds
// its certificate and key PEM-encoded; cert and key are the same, parsed.
type Authority struct {
	Pair
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority returns an authority with a new key and a self-signed certificate.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate key of authority: %w", err)
	}
	template, err := newTemplate("foxtailstack test authority")
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("sign certificate of authority: %w", err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("parse certificate of authority: %w", err)
	}
	pair, err := encodePEM(der, key)
	if err != nil {
		return nil, err
	}
	return &Authority{
		Pair: pair,
		cert: cert,
		key:  key,
	}, nil
}

// Issue returns a certificate for an instance that listens on the given hosts,
// each an IP address or a DNS name. The certificate is valid for servers and for
// clients.
func (a *Authority) Issue(name string, hosts ...string) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, fmt.Errorf("generate key of %s: %w", name, err)
	}
	template, err := newTemplate(name)
	if err != nil {
		return Pair{}, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	for _, host := range hosts {
		if ip := net.ParseIP(host); ip != nil {
			template.IPAddresses = append(template.IPAddresses, ip)
		} else {
			template.DNSNames = append(template.DNSNames, host)
		}
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return Pair{}, fmt.Errorf("sign certificate of %s: %w", name, err)
	}
	return encodePEM(der, key)
}

// newTemplate returns a certificate template with a random serial number, the
// common name and the period of validity.
func newTemplate(name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialNumberBits))
	if err != nil {
		return nil, fmt.Errorf("draw serial number of certificate of %s: %w", name, err)
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-maxClockSkew),
		NotAfter:     now.Add(certValidity),
	}, nil
}

// encodePEM returns the PEM encoding of a DER certificate and its private key.
func encodePEM(der []byte, key *ecdsa.PrivateKey) (Pair, error) {
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, fmt.Errorf("encode private key: %w", err)
	}
	return Pair{
		Cert: pem.EncodeToMemory(&pem.Block{
			Type:  "CERTIFICATE",
			Bytes: der,
		}),
		Key: pem.EncodeToMemory(&pem.Block{
			Type:  "PRIVATE KEY",
			Bytes: private,
		}),
	}, nil
}
