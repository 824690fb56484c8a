package expert

import (
	"context"
	"testing"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/internal/memstore"
	"github.com/foxtailstack/foxtailstack/keys"
	"github.com/foxtailstack/foxtailstack/platform/standin"
	"github.com/foxtailstack/foxtailstack/timeline"
	"github.com/foxtailstack/foxtailstack/wire"
)

// TestPeers switches a group of three ranks to a new map over real sockets.
func TestPeers(t *testing.T) {
	const size = 3
	authority, err := keys.NewAuthority()
	if err != nil {
		t.Fatalf("create authority: %v", err)
	}
	pair, err := authority.Issue("test", "127.0.0.1")
	if err != nil {
		t.Fatalf("issue certificate: %v", err)
	}
	config, err := keys.NewConfig(pair, authority.Cert)
	if err != nil {
		t.Fatalf("create TLS configuration: %v", err)
	}
	table := &memstore.Store{}
	client := wire.NewClient(config.Peer)
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	var addresses [size]foxtailstack.Address
	var inboxes [size]Inbox
	for r := range size {
		mux := &wire.Mux{}
		mux.Handle(StreamExpert, inboxes[r].Serve)
		addr, err := mux.Listen("127.0.0.1:0", config.Peer)
		if err != nil {
			t.Fatalf("listen as rank %d: %v", r, err)
		}
		addresses[r] = foxtailstack.Address(addr.String())
		go func() { _ = mux.Serve(ctx) }()
	}
	layer := foxtailstack.ExpertLayer{{0, 1}, {1, 2}, {2, 0}}
	initial := foxtailstack.ExpertMap{Layers: []foxtailstack.ExpertLayer{layer}}
	var agents [size]*Agent
	for r := range size {
		agents[r] = &Agent{
			Transport: &PeerTransport{
				Client:  client,
				Group:   "g",
				Context: ctx,
				Address: func(r foxtailstack.Rank) (foxtailstack.Address, bool) { return addresses[r], true },
			},
			Store: Store{
				Table: table,
				Group: "g",
			},
			Weights:    &standin.Weights{},
			Ring:       &timeline.Ring{},
			InitialMap: initial,
		}
		err := agents[r].Init(foxtailstack.Rank(r), size)
		if err != nil {
			t.Fatalf("init agent of rank %d: %v", r, err)
		}
		inboxes[r].SetAgent("g", agents[r])
		go agents[r].Run(ctx)
	}
	next := foxtailstack.ExpertMap{
		Epoch:  1,
		Layers: []foxtailstack.ExpertLayer{{{1, 0}, {2, 1}, {0, 2}}},
	}
	err = agents[0].Propose(ctx, next)
	if err != nil {
		t.Fatalf("propose epoch 1: %v", err)
	}
	for step := foxtailstack.Step(1); ; step++ {
		var epochs [size]foxtailstack.Epoch
		for r, a := range agents {
			ok := false
			for !ok {
				if ctx.Err() != nil {
					t.Fatalf("rank %d cannot start step %d", r, step)
				}
				epochs[r], ok = a.Begin(step)
				time.Sleep(time.Millisecond)
			}
		}
		if epochs[0] != epochs[1] || epochs[0] != epochs[2] {
			t.Fatalf("step %d starts on different epochs: %v", step, epochs)
		}
		if epochs[0] == 1 {
			return
		}
	}
}
