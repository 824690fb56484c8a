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
	// statusInterval is the time between two rounds of requests for the status.
	statusInterval = 300 * time.Millisecond
	// statusTimeout bounds one request.
	statusTimeout = 400 * time.Millisecond
	// maxPlannersPerRound is the maximum number of planners that are asked in
	// one round.
	maxPlannersPerRound = 3
	// roundsPerSearch is the number of rounds after which the watcher also asks
	// a sidecar whose upstream is in no status, to find further planners.
	// While no planner is known, every round does so.
	roundsPerSearch = 5
)

// RankEndpoints holds the addresses of an upstream and of the sidecar beside
// it.
type RankEndpoints struct {
	Upstream foxtailstack.Address
	Sidecar  foxtailstack.Address
}

// Watcher polls the planners of the groups behind a service for the status of
// their groups.
type Watcher struct {
	Client *http.Client
	// Endpoints returns the endpoints of all upstreams of the service.
	Endpoints func() []RankEndpoints
	// OnStatus is called with each status received.
	OnStatus func(Status)
	Log      *zap.Logger

	mu sync.Mutex
	// planners holds the sidecars whose planners run, each with the ranks of
	// its last status; nil for one that another sidecar named and that has not
	// answered yet.
	planners map[foxtailstack.Address][]RankStatus
	round    int
	// statusLost is set from the failure of a request until the next status. A
	// failed search while planners are known does not set it.
	statusLost bool
}

// Run polls until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	for clock.Sleep(ctx, statusInterval) == nil {
		var wg sync.WaitGroup
		for _, address := range w.nextSidecars() {
			wg.Go(func() { w.query(ctx, address) })
		}
		wg.Wait()
	}
}

// nextSidecars returns the sidecars to ask in this round: known planners in
// turn, and a random sidecar whose upstream is in no status, which may know another
// planner. The latter is asked every roundsPerSearch rounds, and in each round while
// no planner is known.
func (w *Watcher) nextSidecars() []foxtailstack.Address {
	endpoints := w.Endpoints()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.round++
	planners := make([]foxtailstack.Address, 0, len(w.planners))
	for address := range w.planners {
		planners = append(planners, address)
	}
	slices.Sort(planners)
	due := make([]foxtailstack.Address, 0, maxPlannersPerRound+1)
	for i := range min(maxPlannersPerRound, len(planners)) {
		due = append(due, planners[(w.round*maxPlannersPerRound+i)%len(planners)])
	}
	if len(planners) > 0 && w.round%roundsPerSearch != 0 {
		return due
	}
	uncovered := w.uncoveredSidecars(endpoints)
	if len(uncovered) > 0 {
		due = append(due, uncovered[rand.IntN(len(uncovered))])
	}
	return due
}

// uncoveredSidecars returns the sidecars whose upstreams are in no planner's
// status. The caller holds mu.
func (w *Watcher) uncoveredSidecars(endpoints []RankEndpoints) []foxtailstack.Address {
	covered := make(map[foxtailstack.Address]bool)
	for _, ranks := range w.planners {
		for _, rank := range ranks {
			covered[rank.Address] = true
		}
	}
	var uncovered []foxtailstack.Address
	for _, endpoint := range endpoints {
		if !covered[endpoint.Upstream] {
			uncovered = append(uncovered, endpoint.Sidecar)
		}
	}
	return uncovered
}

// query asks one sidecar and hands its status to OnStatus.
func (w *Watcher) query(ctx context.Context, address foxtailstack.Address) {
	answer, err := w.fetchStatus(ctx, address)
	if err != nil {
		w.recordFailure(address, err)
		return
	}
	w.recordReply(address, answer)
	if answer.Status != nil {
		w.OnStatus(*answer.Status)
	}
}

// recordReply updates the known planners from the reply of a sidecar.
func (w *Watcher) recordReply(address foxtailstack.Address, answer statusReply) {
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
	if w.statusLost {
		w.statusLost = false
		w.Log.Info("group status regained", zap.String("sidecar", string(address)))
	}
}

// recordFailure removes a sidecar that did not answer from the known planners,
// and logs the loss of the status, once until a status arrives.
func (w *Watcher) recordFailure(address foxtailstack.Address, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, planned := w.planners[address]
	delete(w.planners, address)
	if w.statusLost || !planned && len(w.planners) > 0 {
		return
	}
	w.statusLost = true
	w.Log.Info("group status lost", zap.String("sidecar", string(address)), zap.Error(err))
}

// fetchStatus asks one sidecar for its status.
func (w *Watcher) fetchStatus(ctx context.Context, address foxtailstack.Address) (statusReply, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(address)+pathStatus, nil)
	if err != nil {
		return statusReply{}, fmt.Errorf("create status request: %w", err)
	}
	response, err := w.Client.Do(request)
	if err != nil {
		return statusReply{}, fmt.Errorf("%w: %w", errUnreachable, err)
	}
	defer response.Body.Close()
	var answer statusReply
	err = decode(response.Body, &answer)
	if err != nil {
		return statusReply{}, fmt.Errorf("%w: %w", errUnreachable, err)
	}
	return answer, nil
}
