package group

import (
	"context"
	"net/http"
	"sync"

	"github.com/foxtailstack/foxtailstack"
)

const (
	// pathRelay is the path of orders that a sidecar also forwards to other
	// sidecars.
	pathRelay = "/relay"
	// relayFanOut is the number of sidecars to which one sidecar forwards an
	// order. Only orders to prepare are relayed, and only in groups of more than
	// twice as many ranks.
	relayFanOut = 8
)

// Relayer is a member whose sidecar carries out an order and forwards it to the
// sidecars of other members. Relay returns the members that may not have
// carried it out.
type Relayer interface {
	Relay(ctx context.Context, order Order, to []Member) []Member
}

// relayRequest is an order with the sidecars to which it is to be forwarded.
type relayRequest struct {
	Order Order                  `cbor:"1,keyasint"`
	To    []foxtailstack.Address `cbor:"2,keyasint"`
}

// relayReply lists the sidecars that may not have carried out an order, since an
// answer may have been lost. OwnFailed is set if the rank of the replying sidecar
// may not have.
type relayReply struct {
	OwnFailed bool                   `cbor:"1,keyasint,omitempty"`
	Failed    []foxtailstack.Address `cbor:"2,keyasint,omitempty"`
}

// Relay makes the sidecar carry out an order and forward it to the sidecars of
// the members in to. The order is sent with its patch alone: a sidecar that lacks
// the base fails, and the planner sends it the whole map. The timeout includes
// localPrepareTimeout twice, since the relaying sidecar waits for the others.
func (p *Peer) Relay(ctx context.Context, order Order, to []Member) []Member {
	all := append([]Member{p}, to...)
	message := relayRequest{Order: order}
	message.Order.Layers = nil
	members := make(map[foxtailstack.Address]Member, len(to))
	for _, member := range to {
		peer, ok := member.(*Peer)
		if !ok {
			return all
		}
		members[peer.Sidecar] = member
		message.To = append(message.To, peer.Sidecar)
	}
	var answer relayReply
	err := p.callWithExtra(ctx, 2*localPrepareTimeout, http.MethodPost, pathRelay, message, &answer)
	if err != nil {
		return all
	}
	var failed []Member
	if answer.OwnFailed {
		failed = append(failed, p)
	}
	for _, address := range answer.Failed {
		failed = append(failed, members[address])
	}
	return failed
}

// serveRelay carries out an order and forwards it to other sidecars at the same
// time.
func (s *Sidecar) serveRelay(w http.ResponseWriter, r *http.Request) {
	var message relayRequest
	if !decodeRequest(w, r, &message) {
		return
	}
	var answer relayReply
	var mu sync.Mutex
	var wg sync.WaitGroup
	wg.Go(func() {
		err := s.Order(r.Context(), message.Order)
		mu.Lock()
		defer mu.Unlock()
		answer.OwnFailed = err != nil
	})
	for _, address := range message.To {
		wg.Go(func() {
			peer := &Peer{
				Sidecar: address,
				Client:  s.Client,
			}
			err := peer.orderSidecar(r.Context(), message.Order)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				answer.Failed = append(answer.Failed, address)
			}
		})
	}
	wg.Wait()
	writeReply(w, nil, answer)
}

// relayToAll sends an order to the ranks of a large group through relaying
// sidecars. It returns the ranks that may not have carried it out, which
// include all ranks of a small group and all members that are no Relayer.
func (s *switcher) relayToAll(ctx context.Context, order Order) map[foxtailstack.Rank]Member {
	order.Fence = s.fence
	order.Formation = s.formation
	pending := make(map[foxtailstack.Rank]Member)
	ranks := make(map[Member]foxtailstack.Rank, len(s.members))
	var chunks [][]Member
	for rank, member := range s.members {
		ranks[member] = rank
		_, ok := member.(Relayer)
		if !ok || len(s.members) <= relayFanOut*2 {
			pending[rank] = member
			continue
		}
		if len(chunks) == 0 || len(chunks[len(chunks)-1]) > relayFanOut {
			chunks = append(chunks, nil)
		}
		chunks[len(chunks)-1] = append(chunks[len(chunks)-1], member)
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, chunk := range chunks {
		wg.Go(func() {
			relayer, _ := chunk[0].(Relayer)
			failed := relayer.Relay(ctx, order, chunk[1:])
			mu.Lock()
			defer mu.Unlock()
			for _, member := range failed {
				pending[ranks[member]] = member
			}
		})
	}
	wg.Wait()
	return pending
}
