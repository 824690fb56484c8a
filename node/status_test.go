package node

import (
	"crypto/tls"
	"net"
	"testing"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/keys"
)

// The status listener is plain on loopback and speaks TLS on other addresses.
func TestStatusIsPlainOnLoopbackOnly(t *testing.T) {
	config, err := keys.NewLoopback()
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name    string
		address foxtailstack.Address
		plain   bool
	}{
		{
			name:    "loopback",
			address: "127.0.0.1:0",
			plain:   true,
		},
		{
			name:    "every address",
			address: "0.0.0.0:0",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			listener, err := listenStatus(test.address, config.Listen)
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			go func() {
				conn, err := listener.Accept()
				if err == nil {
					_, _ = conn.Write([]byte("plain"))
					_ = conn.Close()
				}
			}()
			_, port, err := net.SplitHostPort(listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			conn, err := net.Dial("tcp", net.JoinHostPort("127.0.0.1", port))
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			dial := config.Dial.Clone()
			dial.ServerName = "127.0.0.1"
			err = tls.Client(conn, dial).Handshake()
			if (err != nil) != test.plain {
				t.Errorf("TLS handshake: got error %v, want one: %t", err, test.plain)
			}
		})
	}
}
