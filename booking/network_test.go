package booking_test

import (
	"context"
	"errors"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/alexedwards/flow"
	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/booking"
	"github.com/foxtailstack/foxtailstack/entry"
	"github.com/foxtailstack/foxtailstack/fleet"
	"github.com/foxtailstack/foxtailstack/team"
	"github.com/foxtailstack/foxtailstack/timeline"
	"github.com/foxtailstack/foxtailstack/wire"
	"github.com/fxamacker/cbor/v2"
)

// open connects an entry to the present sidecar at an address.
func (w *world) open(h *host, address foxtailstack.Address, kind wire.Kind) (*wire.Stream, error) {
	w.mu.Lock()
	s := w.sidecars[address]
	w.mu.Unlock()
	if h.step(w.rate()) != nil || s.dead.Err() != nil {
		return nil, wire.ErrUnreachable
	}
	near, nearEnd := wire.Pipe()
	farEnd, far := wire.Pipe()
	h.hold(near)
	s.hold(far)
	go w.carry(h, nearEnd, farEnd)
	go w.carry(s.host, farEnd, nearEnd)
	go func() {
		if kind == booking.StreamInquiry {
			s.responder.ServeInquiry(s.dead, far)
		} else {
			s.server.ServeAttempt(s.dead, far)
		}
		_ = far.CloseSend()
	}()
	return near, nil
}

// carry moves messages from one end to another, late and now and then not at all.
func (w *world) carry(h *host, from, to *wire.Stream) {
	for {
		var message cbor.RawMessage
		err := from.Receive(&message)
		if errors.Is(err, io.EOF) {
			_ = to.CloseSend()
			return
		}
		time.Sleep(rand.N(w.delay))
		if err != nil || h.step(w.rate()) != nil || rand.Float64() < w.rate() || to.Send(message) != nil {
			to.Cancel()
			from.Cancel()
			return
		}
	}
}

// chooser picks an upstream at random.
type chooser struct{ world *world }

func (c chooser) Choose(context.Context, entry.Query) (fleet.Member, bool) {
	members := slices.Collect(maps.Values(c.world.replica.Snapshot().Upstreams[orders]))
	return members[rand.IntN(len(members))], true
}

func (c chooser) Report(fleet.Member, entry.AttemptResult) {}

// entryServer returns an entry whose ring holds the attempts of one request.
func (w *world) entryServer(h *host) (*flow.Mux, *entry.Server) {
	server := &entry.Server{
		Replica: &w.replica,
		Client: wire.NewLocalClient(func(_ context.Context, address foxtailstack.Address, kind wire.Kind) (*wire.Stream, error) {
			return w.open(h, address, kind)
		}),
		Recorder: booking.Recorder{Table: w.table(h)},
		Ring:     &timeline.Ring{},
		Chooser:  chooser{world: w},
		Limiter:  &team.Limiter{},
	}
	mux := flow.New()
	server.Routes(mux)
	return mux, server
}
