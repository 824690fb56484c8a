package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/dispatch"
	"github.com/foxtailstack/foxtailstack/exchange"
	routes "github.com/foxtailstack/foxtailstack/route"
)

const (
	ranksService foxtailstack.ServiceName = "drafting"
	ranksGroup   dispatch.GroupName       = "g0"
)

// rankPolicy is how one entry chooses the rank for a request.
type rankPolicy interface {
	// told takes the streams and the pace of each rank as they were some time ago.
	told(running []int, pace []float64, age time.Duration)
	// acquire returns a rank and what is to be called with the outcome.
	acquire(ctx context.Context, ask dispatch.Request) (rank int, done func(dispatch.Outcome), err error)
	// paused takes the pause between two events of a stream.
	paused(pause time.Duration)
	// pass returns the time of a pass; zero if it is not known.
	pass() time.Duration
}

// newRankPolicy returns a policy by its name.
func newRankPolicy(name string, ranks int) rankPolicy {
	if name == "ours" {
		return newBoardPolicy(ranks)
	}
	return &leastPolicy{
		shared: name == "shortest",
		own:    make([]int, ranks),
		others: make([]int, ranks),
	}
}

// leastPolicy sends at once to the rank with the fewest requests: those that the
// entry has there itself, or those that were told last and that it has sent since.
type leastPolicy struct {
	shared bool

	mu          sync.Mutex
	own, others []int
}

func (p *leastPolicy) told(running []int, _ []float64, _ time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.shared {
		return
	}
	for i, n := range running {
		p.others[i] = max(0, n-p.own[i])
	}
}

func (p *leastPolicy) acquire(_ context.Context, ask dispatch.Request) (int, func(dispatch.Outcome), error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best := -1
	start := rand.IntN(len(p.own))
	for i := range p.own {
		rank := (start + i) % len(p.own)
		if ask.Excluded[rankName(rank)] {
			continue
		}
		if best < 0 || p.own[rank]+p.others[rank] < p.own[best]+p.others[best] {
			best = rank
		}
	}
	if best < 0 {
		return 0, nil, dispatch.ErrNoUpstream
	}
	p.own[best]++
	return best, func(dispatch.Outcome) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.own[best]--
	}, nil
}

func (p *leastPolicy) paused(time.Duration) {}

func (p *leastPolicy) pass() time.Duration { return 0 }

// boardPolicy is the system's own.
type boardPolicy struct {
	board *dispatch.Scheduler
	ranks map[foxtailstack.UpstreamName]int
}

// newBoardPolicy returns a board over all ranks.
func newBoardPolicy(ranks int) *boardPolicy {
	p := &boardPolicy{ranks: make(map[foxtailstack.UpstreamName]int, ranks)}
	upstreams := make([]routes.Upstream, 0, ranks)
	for i := range ranks {
		p.ranks[rankName(i)] = i
		upstreams = append(upstreams, routes.Upstream{
			Name:    rankName(i),
			Service: ranksService,
			Address: rankAddress(i),
			Slots:   ranksSlots,
		})
	}
	fleet := routes.NewFleet(1, upstreams)
	p.board = &dispatch.Scheduler{Fleet: func() *routes.Fleet { return fleet }}
	return p
}

// rankName returns the name of a rank's upstream.
func rankName(rank int) foxtailstack.UpstreamName {
	return foxtailstack.UpstreamName(fmt.Sprintf("r%d", rank))
}

// rankAddress returns the address of a rank's upstream.
func rankAddress(rank int) foxtailstack.Address {
	return foxtailstack.Address(fmt.Sprintf("r%d:1", rank))
}

func (p *boardPolicy) told(running []int, pace []float64, age time.Duration) {
	loads := make(map[foxtailstack.Address]dispatch.RankLoad, len(running))
	for i, n := range running {
		loads[rankAddress(i)] = dispatch.RankLoad{
			Load: exchange.Load{
				Running: n,
				Slots:   ranksSlots,
			},
			Slowdown: pace[i],
		}
	}
	p.board.ObserveGroup(ranksService, ranksGroup, loads, age)
}

func (p *boardPolicy) acquire(ctx context.Context, ask dispatch.Request) (int, func(dispatch.Outcome), error) {
	ticket, err := p.board.Acquire(ctx, ask)
	if err != nil {
		return 0, nil, err
	}
	done := func(outcome dispatch.Outcome) { ticket.Release(dispatch.Report{Outcome: outcome}) }
	return p.ranks[ticket.Upstream.Name], done, nil
}

func (p *boardPolicy) paused(pause time.Duration) {
	p.board.ObserveEventGap(ranksService, rankName(0), pause)
}

func (p *boardPolicy) pass() time.Duration {
	return p.board.PassTime(ranksService)
}
