package keys_test

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailstack/foxtailstack/keys"
)

// writePair issues a certificate and writes it, its key and the certificate of its
// authority to dir.
func writePair(t *testing.T, dir string, authority *keys.Authority) keys.Files {
	t.Helper()
	pair, err := authority.Issue("node", "127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	files := keys.Files{
		Cert:      filepath.Join(dir, "node.pem"),
		Key:       filepath.Join(dir, "node.key"),
		Authority: filepath.Join(dir, "authority.pem"),
	}
	for path, data := range map[string][]byte{
		files.Cert:      pair.Cert,
		files.Key:       pair.Key,
		files.Authority: authority.Cert,
	} {
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return files
}

func newAuthority(t *testing.T) *keys.Authority {
	t.Helper()
	authority, err := keys.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	return authority
}

// serial returns the serial number of the certificate that a server with cfg uses.
func serial(t *testing.T, cfg *tls.Config) string {
	t.Helper()
	cert, err := cfg.GetCertificate(nil)
	if err != nil {
		t.Fatal(err)
	}
	return cert.Leaf.SerialNumber.String()
}

func TestLoadFollowsFiles(t *testing.T) {
	authority := newAuthority(t)
	dir := t.TempDir()
	files := writePair(t, dir, authority)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		config, err := keys.Load(ctx, files)
		if err != nil {
			t.Fatal(err)
		}
		first := serial(t, config.Listen)
		writePair(t, dir, authority)
		time.Sleep(time.Minute)
		second := serial(t, config.Listen)
		if first == second {
			t.Error("the new certificate is not in use")
		}
		if err := os.WriteFile(files.Key, []byte("damaged"), 0o600); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
		if got := serial(t, config.Listen); got != second {
			t.Error("a damaged key replaced the certificate in use")
		}
	})
}

func TestPeerNeedsCertificateOfAuthority(t *testing.T) {
	server := peerConfig(t, newAuthority(t))
	stranger := peerConfig(t, newAuthority(t))
	tests := []struct {
		name   string
		client *tls.Config
		ok     bool
	}{
		{
			name:   "own authority",
			client: server,
			ok:     true,
		},
		{
			name:   "another authority",
			client: stranger,
		},
		{
			name:   "no certificate",
			client: &tls.Config{RootCAs: server.RootCAs},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			err := handshake(server, test.client)
			if (err == nil) != test.ok {
				t.Errorf("got error %v, want one: %t", err, !test.ok)
			}
		})
	}
}

func peerConfig(t *testing.T, authority *keys.Authority) *tls.Config {
	t.Helper()
	pair, err := authority.Issue("node", "127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	config, err := keys.NewConfig(pair, authority.Cert)
	if err != nil {
		t.Fatal(err)
	}
	return config.Peer
}

// handshake runs a handshake over a pipe and returns the result of the end that
// finishes first.
func handshake(server, client *tls.Config) error {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	own := client.Clone()
	own.ServerName = "127.0.0.1"
	results := make(chan error, 2)
	go func() { results <- tls.Server(a, server).Handshake() }()
	go func() {
		conn := tls.Client(b, own)
		err := conn.Handshake()
		if err == nil {
			_, err = conn.Read(make([]byte, 1)) // receives the server's alert, if any
			if errors.Is(err, net.ErrClosed) || err.Error() == "EOF" {
				err = nil
			}
		}
		results <- err
	}()
	err := <-results
	if err == nil {
		_ = a.Close()
		return nil
	}
	return err
}
