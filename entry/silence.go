package entry

import (
	"context"
	"sync"
	"time"

	"github.com/foxtailstack/foxtailstack/upstream"
)

const (
	// maxSilence is how long a sidecar may send nothing before it is probed.
	maxSilence = time.Second
	// silenceTimeout bounds the probe.
	silenceTimeout = time.Second
)

// silence gives an attempt up once its sidecar answers no probe. The connection
// itself notices only after its idle timeout that the other end is gone, and
// never that the process there stands still.
type silence struct {
	server  *Server
	attempt *attempt

	mu    sync.Mutex
	timer *time.Timer
	over  bool
}

// newSilence watches an attempt until stop.
func newSilence(ctx context.Context, s *Server, a *attempt) *silence {
	w := &silence{
		server:  s,
		attempt: a,
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(maxSilence, func() { w.check(ctx) })
	return w
}

// broken tells that the sidecar has sent something. It may be called on nil.
func (w *silence) broken() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.over {
		w.timer.Reset(maxSilence)
	}
}

// stop ends the watch.
func (w *silence) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.over = true
	w.timer.Stop()
}

// check probes the sidecar and gives the attempt up if it does not answer.
func (w *silence) check(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, silenceTimeout)
	defer cancel()
	member := w.attempt.member
	var sighting upstream.Sighting
	err := w.server.Client.Call(ctx, member.Address, upstream.StreamProbe, upstream.Probe{Upstream: member.ID.String()}, &sighting)
	if err != nil {
		w.attempt.stream.Cancel()
		return
	}
	w.broken()
}
