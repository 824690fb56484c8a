package fleet

import (
	"context"
	"errors"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/internal/clock"
	"go.uber.org/zap"
)

// peerGrace is how much longer than the table a starting process waits for
// the answers of peers.
const peerGrace = 300 * time.Millisecond

// errNotReady means that a peer has no configuration itself.
var errNotReady = errors.New("peer is not ready")

// start makes the process ready: it takes the highest revision among the table
// and several peers, or among the peers alone while the table is down.
func (s *Spreader) start(ctx context.Context) {
	for ctx.Err() == nil {
		if s.tryStart(ctx) {
			s.ready.Store(true)
			s.logger().Info("configuration in force", zap.Uint64("revision", uint64(s.Replica.Snapshot().Revision)))
			return
		}
		s.lookAgain()
		_ = clock.Sleep(ctx, jitter(startPause)) // the loop sees the end of ctx
	}
}

// probe is the answer of one peer.
type probe struct {
	address  foxtailstack.Address
	revision foxtailstack.Revision
	err      error
}

// tryStart asks the table and the peers once.
func (s *Spreader) tryStart(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	peers := s.planned().peers
	answers := make(chan probe, len(peers))
	for _, address := range peers {
		go func() { answers <- s.ask(ctx, address) }()
	}
	tableErr := s.read(ctx)
	if tableErr == nil {
		time.AfterFunc(peerGrace, cancel)
	}
	var best probe
	peerKnown := false
	for range peers {
		answer := <-answers
		if answer.err != nil {
			continue
		}
		peerKnown = true
		if answer.revision >= best.revision {
			best = answer
		}
	}
	if tableErr == nil && best.revision <= s.Replica.Snapshot().Revision {
		return true
	}
	if !peerKnown {
		return tableErr == nil
	}
	err := s.fetch(best.address)
	return err == nil || tableErr == nil
}

// ask returns the revision in force in a peer.
func (s *Spreader) ask(ctx context.Context, address foxtailstack.Address) probe {
	answer := probe{address: address}
	answer.err = s.exchangeWith(ctx, address, subscribe{Mode: modeProbe}, func(u update) bool {
		answer.revision = u.Revision
		return false
	})
	return answer
}

// fetch takes the configuration in force in a peer.
func (s *Spreader) fetch(address foxtailstack.Address) error {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	request := subscribe{
		Revision: s.Replica.Snapshot().Revision,
		Mode:     modeFetch,
	}
	var parts assembly
	var applied error
	err := s.exchangeWith(ctx, address, request, func(u update) bool {
		applied = s.apply(u, &parts)
		return applied == nil && u.More
	})
	return errors.Join(err, applied)
}

// exchangeWith sends a request to a peer and hands its updates to take until
// that returns false.
func (s *Spreader) exchangeWith(
	ctx context.Context,
	address foxtailstack.Address,
	request subscribe,
	take func(update) bool,
) error {
	stream, err := s.Dialer.Open(ctx, address, StreamConfig)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, stream.Cancel)
	defer stop()
	defer stream.Cancel()
	err = stream.Send(request)
	if err != nil {
		return err
	}
	for {
		var u update
		err = stream.Receive(&u)
		if err != nil {
			return errors.Join(errNotReady, err)
		}
		if !take(u) {
			return nil
		}
	}
}

// logger returns the log, which may be nil before Run.
func (s *Spreader) logger() *zap.Logger {
	if s.Log == nil {
		return zap.NewNop()
	}
	return s.Log
}
