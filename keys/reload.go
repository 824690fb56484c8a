package keys

import (
	"context"
	"crypto/tls"
	"fmt"
	"os"
	"sync/atomic"
	"time"
)

// reloadInterval is the time between two reads of the certificate files.
const reloadInterval = 30 * time.Second

// Files holds the paths of a certificate, its private key and the certificate of
// its authority, all PEM files.
type Files struct {
	Cert      string
	Key       string
	Authority string
}

// Load returns TLS configurations from files. Until ctx ends it reads the certificate
// and its key again at intervals and uses them for new connections. If they do not
// load, the previous certificate stays in use. The authority is read only once.
func Load(ctx context.Context, files Files) (Config, error) {
	authority, err := os.ReadFile(files.Authority)
	if err != nil {
		return Config{}, fmt.Errorf("read authority: %w", err)
	}
	cert, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return Config{}, fmt.Errorf("load certificate: %w", err)
	}
	var current atomic.Pointer[tls.Certificate]
	current.Store(&cert)
	go watch(ctx, files, &current)
	return newConfig(current.Load, authority)
}

// watch reloads the certificate every reloadInterval until ctx ends.
func watch(ctx context.Context, files Files, current *atomic.Pointer[tls.Certificate]) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		cert, err := tls.LoadX509KeyPair(files.Cert, files.Key)
		if err == nil {
			current.Store(&cert)
		}
	}
}
