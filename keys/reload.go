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

// Load returns TLS configurations from files. Until ctx ends it reloads the
// certificate and its key every reloadInterval and uses them for new connections,
// without a restart of the process. If a reload fails, the previous pair stays in
// use. The authority is read only once.
func Load(ctx context.Context, files Files) (Config, error) {
	authorityCert, err := os.ReadFile(files.Authority)
	if err != nil {
		return Config{}, fmt.Errorf("read certificate of authority: %w", err)
	}
	cert, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return Config{}, fmt.Errorf("load certificate %s and key %s: %w", files.Cert, files.Key, err)
	}
	var current atomic.Pointer[tls.Certificate]
	current.Store(&cert)
	go reloadPeriodically(ctx, files, &current)
	return newConfig(current.Load, authorityCert)
}

// reloadPeriodically reloads the certificate and its key every reloadInterval until
// ctx ends. It ignores a failed reload and logs nothing.
func reloadPeriodically(ctx context.Context, files Files, current *atomic.Pointer[tls.Certificate]) {
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
