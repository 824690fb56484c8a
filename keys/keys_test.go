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
		t.Fatalf("issue certificate: %v", err)
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
			t.Fatalf("write certificate files: %v", err)
		}
	}
	return files
}

func newAuthority(t *testing.T) *keys.Authority {
	t.Helper()
	authority, err := keys.NewAuthority()
	if err != nil {
		t.Fatalf("create authority: %v", err)
	}
	return authority
}

// serial returns the serial number of the certificate that a server with cfg uses.
func serial(t *testing.T, cfg *tls.Config) string {
	t.Helper()
	cert, err := cfg.GetCertificate(nil)
	if err != nil {
		t.Fatalf("get certificate: %v", err)
	}
	return cert.Leaf.SerialNumber.String()
}

func TestLoadReloadsFiles(t *testing.T) {
	authority := newAuthority(t)
	dir := t.TempDir()
	files := writePair(t, dir, authority)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		config, err := keys.Load(ctx, files)
		if err != nil {
			t.Fatalf("load certificate files: %v", err)
		}
		first := serial(t, config.Listen)
		writePair(t, dir, authority)
		time.Sleep(time.Minute) // longer than reloadInterval, 30 s
		second := serial(t, config.Listen)
		if first == second {
			t.Error("the new certificate is not in use")
		}
		if err := os.WriteFile(files.Key, []byte("damaged"), 0o600); err != nil {
			t.Fatalf("damage key: %v", err)
		}
		time.Sleep(time.Minute) // longer than reloadInterval, 30 s
		if got := serial(t, config.Listen); got != second {
			t.Error("a damaged key replaced the certificate in use")
		}
	})
}

func TestPeerNeedsCertificateOfAuthority(t *testing.T) {
	server := peerConfig(t, newAuthority(t))
	otherPeer := peerConfig(t, newAuthority(t))
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
			client: otherPeer,
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
				t.Errorf("handshake: error %v, want success %t", err, test.ok)
			}
		})
	}
}

func peerConfig(t *testing.T, authority *keys.Authority) *tls.Config {
	t.Helper()
	pair, err := authority.Issue("node", "127.0.0.1")
	if err != nil {
		t.Fatalf("issue certificate: %v", err)
	}
	config, err := keys.NewConfig(pair, authority.Cert)
	if err != nil {
		t.Fatalf("create configuration: %v", err)
	}
	return config.Peer
}

// handshake runs a handshake over a pipe and returns the result of the end that
// finishes first.
func handshake(server, client *tls.Config) error {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	clientConfig := client.Clone()
	clientConfig.ServerName = "127.0.0.1"
	results := make(chan error, 2)
	go func() { results <- tls.Server(a, server).Handshake() }()
	go func() {
		conn := tls.Client(b, clientConfig)
		err := conn.Handshake()
		if err == nil {
			// In TLS 1.3 the client's handshake ends before the server has verified the
			// client's certificate: Read receives the server's alert, if any.
			_, err = conn.Read(make([]byte, 1))
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
