package group

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

// Peer is a rank that is reached through its sidecar, or straight if that does
// not answer. It implements Member and Lister.
type Peer struct {
	// Sidecar is the address of the sidecar.
	Sidecar foxtailstack.Address
	Client  *http.Client
	// Planner is the one that asks.
	Planner PlannerInfo
	// Upstream is the address of the rank.
	Upstream foxtailstack.Address
	// DirectRank is the rank itself.
	DirectRank Rank
}

// Address returns the address of the rank.
func (p *Peer) Address() foxtailstack.Address {
	return p.Upstream
}

// nearTimeout bounds the wait for a sidecar, after which its rank is asked itself.
// For long messages it is longer by a time for each byte.
const (
	nearTimeout = 130 * time.Millisecond
	timePerByte = 50 * time.Microsecond
)

// errUnreachable means that a sidecar did not answer.
var errUnreachable = errors.New("sidecar does not answer")

// Heartbeat tells the rank's sidecar that the planner is at work on a switch. One that
// is lost is followed by another.
func (p *Peer) Heartbeat(ctx context.Context) {
	planner := p.Planner
	planner.Switching = true
	var answer Observation
	_ = p.call(ctx, http.MethodPost, pathLook, planner, &answer) // the next one tells the same
}

// Direct returns the rank itself, without its sidecar.
func (p *Peer) Direct() Rank {
	return p.DirectRank
}

// Observe returns the report and a sample of the rank at once. There is nothing but
// the report if the sidecar does not answer.
func (p *Peer) Observe(ctx context.Context, withSample bool) (Observation, error) {
	var answer Observation
	planner := p.Planner
	planner.Sample = withSample
	err := p.call(ctx, http.MethodPost, pathLook, planner, &answer)
	if errors.Is(err, errUnreachable) && ctx.Err() == nil {
		report, err := p.DirectRank.Report(ctx)
		return Observation{Report: report}, err
	}
	return answer, err
}

// Report returns the state of the rank.
func (p *Peer) Report(ctx context.Context) (Report, error) {
	var report Report
	err := p.call(ctx, http.MethodGet, pathReport, nil, &report)
	if errors.Is(err, errUnreachable) && ctx.Err() == nil {
		return p.DirectRank.Report(ctx)
	}
	return report, err
}

// Counts returns what the rank's requests chose.
func (p *Peer) Counts(ctx context.Context) (Counts, error) {
	return p.DirectRank.Counts(ctx)
}

// Experts returns the map in use and the experts of the rank by set.
func (p *Peer) Experts(ctx context.Context) (foxtailstack.Epoch, [][]foxtailstack.Expert, error) {
	var answer listed
	err := p.call(ctx, http.MethodGet, pathExperts, nil, &answer)
	return answer.Map, answer.Experts, err
}

// Order gives an order, by way of the sidecar if that answers.
func (p *Peer) Order(ctx context.Context, order Order) error {
	err := p.pass(ctx, order)
	if errors.Is(err, errUnreachable) && ctx.Err() == nil {
		return p.DirectRank.Order(ctx, order)
	}
	return err
}

// pass gives an order to the sidecar. A map is told by its patch if the sidecar
// can apply it.
func (p *Peer) pass(ctx context.Context, order Order) error {
	wait := time.Duration(0)
	if order.Action == Prepare {
		wait = prepareWait
	}
	short := order
	if order.Patch != nil {
		short.Layers = nil
	}
	err := p.callWithin(ctx, wait, http.MethodPost, pathOrder, short, nil)
	if errors.Is(err, ErrUnknownBase) && order.Layers != nil {
		whole := order
		whole.Patch = nil
		err = p.callWithin(ctx, wait, http.MethodPost, pathOrder, whole, nil)
	}
	return err
}

// call sends a message to the sidecar and reads its answer.
func (p *Peer) call(ctx context.Context, method, path string, message, answer any) error {
	return p.callWithin(ctx, 0, method, path, message, answer)
}

// callWithin does the same and lets the sidecar take a time longer.
func (p *Peer) callWithin(
	ctx context.Context,
	more time.Duration,
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
	ctx, cancel := context.WithTimeout(ctx, nearTimeout+more+time.Duration(len(body))*timePerByte)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+string(p.Sidecar)+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("message to a sidecar: %w", err)
	}
	response, err := p.Client.Do(request)
	if err != nil {
		return fmt.Errorf("%w: %w", errUnreachable, err)
	}
	defer response.Body.Close()
	err = errorOf(response.StatusCode)
	if err != nil || answer == nil {
		return err
	}
	err = decode(response.Body, answer)
	if err != nil {
		return fmt.Errorf("%w: %w", errUnreachable, err)
	}
	return nil
}
