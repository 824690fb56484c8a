package keys

import (
	"context"
	"crypto/tls"
	"fmt"
	"os"
	"sync/atomic"
	"time"
)

// reloadInterval is the time between two looks at the certificate's files.
const reloadInterval = 30 * time.Second

// Files names the files of a certificate, its key and its authority.
type Files struct {
	Cert      string
	Key       string
	Authority string
}

// Load returns TLS settings that follow the files: a new certificate and key
// are used for new connections without a restart. Files that do not load leave
// the former certificate in use. The watch ends with ctx.
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

// watch replaces the certificate when its files change.
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
