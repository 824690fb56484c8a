package group

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

// Peer is a rank that is reached through its sidecar. Observe, Report and Order
// reach it directly if the sidecar does not answer. It implements Member and
// ExpertLister.
type Peer struct {
	// Sidecar is the address of the sidecar.
	Sidecar foxtailstack.Address
	Client  *http.Client
	// Planner is the planner that calls.
	Planner PlannerInfo
	// Upstream is the address of the rank.
	Upstream foxtailstack.Address
	// DirectRank reaches the rank without its sidecar.
	DirectRank Rank
}

// Address returns the address of the rank.
func (p *Peer) Address() foxtailstack.Address {
	return p.Upstream
}

// sidecarTimeout bounds the wait for an answer of a sidecar, after which the
// rank is called directly. timeoutPerByte is added to it for each byte of the
// request.
const (
	sidecarTimeout = 130 * time.Millisecond
	timeoutPerByte = 50 * time.Microsecond
)

// errUnreachable means that a sidecar did not answer or that its answer could not
// be decoded.
var errUnreachable = errors.New("sidecar does not answer")

// Heartbeat tells the rank's sidecar that the planner is executing a switch.
// The sidecar then uses the shorter switchingPlannerTimeout.
func (p *Peer) Heartbeat(ctx context.Context) {
	planner := p.Planner
	planner.Switching = true
	var answer Observation
	_ = p.call(ctx, http.MethodPost, pathObserve, planner, &answer) // the next heartbeat makes up for a lost one
}

// Direct returns the rank itself, without its sidecar.
func (p *Peer) Direct() Rank {
	return p.DirectRank
}

// Observe returns the report of the rank, the arm record of its sidecar and, if
// withSample is set, a sample. If the sidecar does not answer, it returns the
// rank's report alone.
func (p *Peer) Observe(ctx context.Context, withSample bool) (Observation, error) {
	var answer Observation
	planner := p.Planner
	planner.Sample = withSample
	err := p.call(ctx, http.MethodPost, pathObserve, planner, &answer)
	if errors.Is(err, errUnreachable) && ctx.Err() == nil {
		report, err := p.DirectRank.Report(ctx)
		return Observation{Report: report}, err
	}
	return answer, err
}

// Report returns the state of the rank.
func (p *Peer) Report(ctx context.Context) (Report, error) {
	var report Report
	path := pathReport + "?" + url.Values{
		paramGroup: {string(p.Planner.Group)},
		paramFence: {strconv.FormatUint(uint64(p.Planner.Fence), 10)},
	}.Encode()
	err := p.call(ctx, http.MethodGet, path, nil, &report)
	if errors.Is(err, errUnreachable) && ctx.Err() == nil {
		return p.DirectRank.Report(ctx)
	}
	return report, err
}

// Counts returns how often the rank's requests chose each expert. It always asks
// the rank directly.
func (p *Peer) Counts(ctx context.Context) (Counts, error) {
	return p.DirectRank.Counts(ctx)
}

// Experts returns the version of the map in use and the experts of the rank, by
// layer set. It fails if the sidecar does not answer.
func (p *Peer) Experts(ctx context.Context) (foxtailstack.Epoch, [][]foxtailstack.Expert, error) {
	var answer expertsReply
	err := p.call(ctx, http.MethodGet, pathExperts, nil, &answer)
	return answer.Map, answer.Experts, err
}

// Order sends an order through the sidecar, or directly to the rank if the
// sidecar does not answer.
func (p *Peer) Order(ctx context.Context, order Order) error {
	err := p.orderSidecar(ctx, order)
	if errors.Is(err, errUnreachable) && ctx.Err() == nil {
		return p.DirectRank.Order(ctx, order)
	}
	return err
}

// orderSidecar sends an order to the sidecar. If the order has a patch, it
// first sends the order without the whole map. If the sidecar does not know the
// base of the patch, it sends the whole map.
func (p *Peer) orderSidecar(ctx context.Context, order Order) error {
	extra := time.Duration(0)
	if order.Action == Prepare {
		extra = localPrepareTimeout
	}
	compact := order
	if order.Patch != nil {
		compact.Layers = nil
	}
	err := p.callWithExtra(ctx, extra, http.MethodPost, pathOrder, compact, nil)
	if errors.Is(err, ErrUnknownBase) && order.Layers != nil {
		full := order
		full.Patch = nil
		err = p.callWithExtra(ctx, extra, http.MethodPost, pathOrder, full, nil)
	}
	return err
}

// call sends a message to the sidecar and decodes the answer.
func (p *Peer) call(ctx context.Context, method, path string, message, answer any) error {
	return p.callWithExtra(ctx, 0, method, path, message, answer)
}

// callWithExtra does the same as call and adds extra to the timeout.
func (p *Peer) callWithExtra(
	ctx context.Context,
	extra time.Duration,
	method, path string,
	message, answer any,
) error {
	var body []byte
	if message != nil {
		var err error
		body, err = encode(message)
		if err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, sidecarTimeout+extra+time.Duration(len(body))*timeoutPerByte)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+string(p.Sidecar)+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("create request to sidecar: %w", err)
	}
	response, err := p.Client.Do(request)
	if err != nil {
		return fmt.Errorf("%w: %w", errUnreachable, err)
	}
	defer response.Body.Close()
	err = errorForResponse(response)
	if err != nil || answer == nil {
		return err
	}
	err = decode(response.Body, answer)
	if err != nil {
		return fmt.Errorf("%w: %w", errUnreachable, err)
	}
	return nil
}
