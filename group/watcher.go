package group

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/internal/clock"
	"go.uber.org/zap"
)

const (
	// statusPause is the time between two rounds of questions of an entry.
	statusPause = 300 * time.Millisecond
	// statusTimeout bounds one question.
	statusTimeout = 400 * time.Millisecond
	// maxAsked is the number of planners that are asked in one round.
	maxAsked = 3
	// searchRounds is the number of rounds after which a sidecar is asked whose
	// upstream no planner has told of.
	searchRounds = 5
)

// RankEndpoints is an upstream with the sidecar beside it.
type RankEndpoints struct {
	Upstream foxtailstack.Address
	Sidecar  foxtailstack.Address
}

// Watcher asks the planners of the groups behind a service for their status.
type Watcher struct {
	Client *http.Client
	// Endpoints returns the upstreams of the service.
	Endpoints func() []RankEndpoints
	// OnStatus is given each status.
	OnStatus func(Status)
	Log      *zap.Logger

	mu sync.Mutex
	// planners are the sidecars that plan, with the ranks that they told of last.
	planners map[foxtailstack.Address][]RankStatus
	round    int
	lost     bool
}

// Run asks until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	for clock.Sleep(ctx, statusPause) == nil {
		var wg sync.WaitGroup
		for _, address := range w.due() {
			wg.Go(func() { w.question(ctx, address) })
		}
		wg.Wait()
	}
}

// due returns the sidecars to ask in this round: known planners in turn, and one
// that may know of another if there is need of that.
func (w *Watcher) due() []foxtailstack.Address {
	pairs := w.Endpoints()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.round++
	known := make([]foxtailstack.Address, 0, len(w.planners))
	for address := range w.planners {
		known = append(known, address)
	}
	slices.Sort(known)
	due := make([]foxtailstack.Address, 0, maxAsked+1)
	for i := range min(maxAsked, len(known)) {
		due = append(due, known[(w.round*maxAsked+i)%len(known)])
	}
	if len(known) > 0 && w.round%searchRounds != 0 {
		return due
	}
	untold := w.untold(pairs)
	if len(untold) > 0 {
		due = append(due, untold[rand.IntN(len(untold))])
	}
	return due
}

// untold returns the sidecars whose upstreams no planner has told of. The caller
// holds mu.
func (w *Watcher) untold(pairs []RankEndpoints) []foxtailstack.Address {
	told := make(map[foxtailstack.Address]bool)
	for _, ranks := range w.planners {
		for _, rank := range ranks {
			told[rank.Address] = true
		}
	}
	var untold []foxtailstack.Address
	for _, pair := range pairs {
		if !told[pair.Upstream] {
			untold = append(untold, pair.Sidecar)
		}
	}
	return untold
}

// question asks one sidecar and passes on what it tells.
func (w *Watcher) question(ctx context.Context, address foxtailstack.Address) {
	answer, err := w.ask(ctx, address)
	if err != nil {
		w.missed(address, err)
		return
	}
	w.learn(address, answer)
	if answer.Status != nil {
		w.OnStatus(*answer.Status)
	}
}

// learn takes who plans from an answer.
func (w *Watcher) learn(address foxtailstack.Address, answer guide) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.planners == nil {
		w.planners = make(map[foxtailstack.Address][]RankStatus)
	}
	if answer.Status == nil {
		delete(w.planners, address)
		_, known := w.planners[answer.Planner]
		if answer.Planner != "" && answer.Planner != address && !known {
			w.planners[answer.Planner] = nil
		}
		return
	}
	w.planners[address] = answer.Status.Ranks
	if w.lost {
		w.lost = false
		w.Log.Info("group status regained", zap.String("sidecar", string(address)))
	}
}

// missed records a question without an answer.
func (w *Watcher) missed(address foxtailstack.Address, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, planned := w.planners[address]
	delete(w.planners, address)
	if w.lost || !planned && len(w.planners) > 0 {
		return
	}
	w.lost = true
	w.Log.Info("group status lost", zap.String("sidecar", string(address)), zap.Error(err))
}

// ask asks one sidecar.
func (w *Watcher) ask(ctx context.Context, address foxtailstack.Address) (guide, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(address)+pathStatus, nil)
	if err != nil {
		return guide{}, fmt.Errorf("question for the status: %w", err)
	}
	response, err := w.Client.Do(request)
	if err != nil {
		return guide{}, fmt.Errorf("%w: %w", errUnreachable, err)
	}
	defer response.Body.Close()
	var answer guide
	err = decode(response.Body, &answer)
	if err != nil {
		return guide{}, fmt.Errorf("%w: %w", errUnreachable, err)
	}
	return answer, nil
}
