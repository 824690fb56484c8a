package group

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/internal/clock"
)

// pathForward is the path of orders that a sidecar carries out, confirms and forwards
// to other sidecars.
const pathForward = "/forward"

const (
	// localConfirmTimeout bounds the time that a sidecar waits until the report of its
	// rank shows that an order was carried out, other than one to prepare.
	localConfirmTimeout = 60 * time.Millisecond
	// confirmPollInterval is the time between two reports that it asks for meanwhile.
	confirmPollInterval = 8 * time.Millisecond
)

// Forwarder is a member whose sidecar forwards messages to the sidecars of other
// members.
type Forwarder interface {
	// Forward makes the sidecar carry out an order and forward it. It returns the
	// members whose reports have not shown that they carried it out.
	Forward(ctx context.Context, order Order, to []Member) []Member
	// Gather observes the member and those in to. It returns the observations of those
	// that answered, and the sum of the samples if withSample is set. A non-nil status
	// is passed on to all of them.
	Gather(ctx context.Context, to []Member, withSample bool, status *StatusMessage) (Gathered, error)
	// Groups asks for the groups of the member and those in to, without a fencing token.
	// It returns those of the members that answered.
	Groups(ctx context.Context, to []Member) map[Member]Name
}

// forwardRequest is an order with the sidecars to which it is to be forwarded.
type forwardRequest struct {
	Order Order                  `cbor:"1,keyasint"`
	To    []foxtailstack.Address `cbor:"2,keyasint,omitempty"`
}

// forwardReply lists the sidecars whose ranks have not shown that they carried out an
// order. OwnFailed is set if the rank of the replying sidecar has not.
type forwardReply struct {
	OwnFailed bool                   `cbor:"1,keyasint,omitempty"`
	Failed    []foxtailstack.Address `cbor:"2,keyasint,omitempty"`
}

// doneIn reports whether a report of the rank shows that the order was carried out. A
// rank that already uses a map counts as armed for it.
func (o Order) doneIn(r Report) bool {
	switch o.Action {
	case Prepare:
		return r.Prepared == o.Map
	case Arm:
		return r.Armed && r.ArmedMap == o.Map && r.ArmedStep == o.Step || r.Map == o.Map
	case Disarm:
		return !r.Armed
	case Hold:
		return r.Held && r.HeldStep == o.Step
	case Release:
		return !r.Held || r.HeldStep != o.Step
	}
	return false
}

// localTimeout bounds the time that a sidecar needs until its rank has carried out the
// order and the report shows it.
func (o Order) localTimeout() time.Duration {
	if o.Action == Prepare {
		return localPrepareTimeout
	}
	return localAttempts*localOrderTimeout + localConfirmTimeout
}

// forward makes the sidecar carry out an order, confirm it and forward it to other
// sidecars. The order is sent with its patch alone: a sidecar that lacks the base fails,
// and the planner sends it the whole map. forward returns the sidecars that failed,
// which may include the peer's own.
func (p *Peer) forward(ctx context.Context, order Order, to []foxtailstack.Address) []foxtailstack.Address {
	message := forwardRequest{
		Order: order,
		To:    to,
	}
	message.Order.Layers = nil
	var answer forwardReply
	err := p.callWithExtra(ctx, order.localTimeout()+forwardTimeout(len(to)), http.MethodPost, pathForward, message, &answer)
	if err != nil {
		return append([]foxtailstack.Address{p.Sidecar}, to...)
	}
	failed := answer.Failed
	if answer.OwnFailed {
		failed = append(failed, p.Sidecar)
	}
	return failed
}

// Forward makes the peer's sidecar carry out an order and forward it.
func (p *Peer) Forward(ctx context.Context, order Order, to []Member) []Member {
	members, addresses := membersBySidecar(p, to)
	var failed []Member
	for _, address := range p.forward(ctx, order, addresses) {
		failed = append(failed, members[address])
	}
	return failed
}

// membersBySidecar returns the members of a branch by the addresses of their sidecars,
// and the addresses of those in rest. Members that are no peers have none.
func membersBySidecar(head *Peer, rest []Member) (map[foxtailstack.Address]Member, []foxtailstack.Address) {
	members := map[foxtailstack.Address]Member{head.Sidecar: head}
	addresses := make([]foxtailstack.Address, 0, len(rest))
	for _, member := range rest {
		peer, ok := member.(*Peer)
		if !ok {
			continue
		}
		members[peer.Sidecar] = member
		addresses = append(addresses, peer.Sidecar)
	}
	return members, addresses
}

// serveForward carries out an order and forwards it to other sidecars at the same time.
func (s *Sidecar) serveForward(w http.ResponseWriter, r *http.Request) {
	var message forwardRequest
	if !decodeRequest(w, r, &message) {
		return
	}
	var answer forwardReply
	var mu sync.Mutex
	var wg sync.WaitGroup
	wg.Go(func() {
		err := s.orderAndConfirm(r.Context(), message.Order)
		mu.Lock()
		defer mu.Unlock()
		answer.OwnFailed = err != nil
	})
	for _, part := range split(message.To, treeFanOut) {
		wg.Go(func() {
			peer := &Peer{
				Sidecar: part[0],
				Client:  s.Client,
			}
			failed := peer.forward(r.Context(), message.Order, part[1:])
			mu.Lock()
			defer mu.Unlock()
			answer.Failed = append(answer.Failed, failed...)
		})
	}
	wg.Wait()
	writeReply(w, nil, answer)
}

// orderAndConfirm forwards an order to the rank and waits until the rank's report shows
// that it was carried out. An answer alone does not show that: the order may be in
// progress. A report alone does not show that the rank knows the fencing token.
func (s *Sidecar) orderAndConfirm(ctx context.Context, order Order) error {
	err := s.Order(ctx, order)
	if order.Action == Prepare || err != nil && !errors.Is(err, ErrStateMismatch) {
		return err // Order itself waits until a map is prepared
	}
	ctx, cancel := context.WithTimeout(ctx, localConfirmTimeout)
	defer cancel()
	for {
		report, reportErr := s.Rank.Report(ctx)
		confirmed := reportErr == nil && report.Formation == order.Formation && report.Open && order.doneIn(report)
		if confirmed {
			return nil
		}
		if err != nil {
			return err
		}
		if clock.Sleep(ctx, confirmPollInterval) != nil {
			return ErrTimeout
		}
	}
}
