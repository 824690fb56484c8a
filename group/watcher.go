package group

import (
	"context"
	"errors"
	"fmt"
	"maps"
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
	// urgentInterval replaces it while the watcher is urgent.
	urgentInterval = 100 * time.Millisecond
	// statusTimeout bounds one request.
	statusTimeout = 400 * time.Millisecond
	// maxGroupsPerRound is the maximum number of groups whose status is asked for in
	// one round.
	maxGroupsPerRound = 16
	// roundsPerSearch is the number of rounds after which the watcher also asks
	// sidecars whose upstreams are in no status, to find further groups. While no group
	// is known, and after a round that has found one, every round does so.
	roundsPerSearch = 5
	// searchWidth is the number of sidecars asked in such a round while searches succeed;
	// otherwise it is one.
	searchWidth = 4
)

// RankEndpoints holds the addresses of an upstream and of the sidecar beside
// it.
type RankEndpoints struct {
	Upstream foxtailstack.Address
	Sidecar  foxtailstack.Address
}

// Watcher polls sidecars for the status of the groups behind a service. It asks one
// sidecar of each group, and another one when that has no recent status: all sidecars
// of a group know its status, so that the entries do not all ask the same one.
type Watcher struct {
	Client *http.Client
	// Endpoints returns the endpoints of all upstreams of the service.
	Endpoints func() []RankEndpoints
	// OnStatus is called with each status received.
	OnStatus func(Status)
	// Use returns the entry's own use by urgency, the most urgent first; it may be nil.
	Use func() []UrgencyUse
	// Urgent reports that requests wait for a group that is broken, so that the watcher
	// asks more often; it may be nil.
	Urgent func() bool
	Log    *zap.Logger

	mu     sync.Mutex
	groups map[Name]*watchedGroup
	round  int
	// found is set if a group was found since the last round.
	found bool
	// statusLost is set from the failure of a request until the next status. A
	// failed search while groups are known does not set it.
	statusLost bool
}

// watchedGroup is what a watcher knows of a group.
type watchedGroup struct {
	// sidecar is the sidecar to ask; empty if another one has to be chosen.
	sidecar foxtailstack.Address
	// addresses is the table of ranks with the ID table.
	table     tableID
	addresses []foxtailstack.Address
	// moved holds those of them that are in a newer table of another group.
	moved map[foxtailstack.Address]bool
}

// statusQuery is a request to a sidecar for the status of its group.
type statusQuery struct {
	sidecar foxtailstack.Address
	// group is the group whose status is expected; empty if any is.
	group Name
	table tableID
}

// Run polls until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	for clock.Sleep(ctx, w.interval()) == nil {
		var wg sync.WaitGroup
		for _, query := range w.nextQueries() {
			wg.Go(func() { w.run(ctx, query) })
		}
		wg.Wait()
	}
}

// interval returns the time between two rounds.
func (w *Watcher) interval() time.Duration {
	if w.Urgent != nil && w.Urgent() {
		return urgentInterval
	}
	return statusInterval
}

// nextQueries returns the queries of this round: for known groups in turn, and to
// random sidecars whose upstreams are in no status, which may belong to other groups. The
// latter are asked every roundsPerSearch rounds, and in each round while no group is
// known or the last search has found one.
func (w *Watcher) nextQueries() []statusQuery {
	endpoints := w.Endpoints()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.round++
	w.chooseSidecars(endpoints)
	names := slices.Sorted(maps.Keys(w.groups))
	queries := make([]statusQuery, 0, maxGroupsPerRound+1)
	for i := range min(maxGroupsPerRound, len(names)) {
		name := names[(w.round*maxGroupsPerRound+i)%len(names)]
		queries = append(queries, statusQuery{
			sidecar: w.groups[name].sidecar,
			group:   name,
			table:   w.groups[name].table,
		})
	}
	searching := w.found || len(names) == 0
	w.found = false
	if !searching && w.round%roundsPerSearch != 0 {
		return queries
	}
	width := 1
	if searching {
		width = searchWidth
	}
	uncovered := w.uncoveredSidecars(endpoints)
	rand.Shuffle(len(uncovered), func(i, j int) { uncovered[i], uncovered[j] = uncovered[j], uncovered[i] })
	for _, sidecar := range uncovered[:min(width, len(uncovered))] {
		queries = append(queries, statusQuery{sidecar: sidecar})
	}
	return queries
}

// chooseSidecars chooses a random sidecar of each group that has none, and drops the
// groups that have no upstream any more. The caller holds mu.
func (w *Watcher) chooseSidecars(endpoints []RankEndpoints) {
	sidecars := make(map[foxtailstack.Address]foxtailstack.Address, len(endpoints))
	for _, endpoint := range endpoints {
		sidecars[endpoint.Upstream] = endpoint.Sidecar
	}
	for name, group := range w.groups {
		var present []foxtailstack.Address
		for _, address := range group.addresses {
			sidecar, ok := sidecars[address]
			if ok && !group.moved[address] {
				present = append(present, sidecar)
			}
		}
		if len(present) == 0 {
			delete(w.groups, name)
			continue
		}
		if !slices.Contains(present, group.sidecar) {
			group.sidecar = present[rand.IntN(len(present))]
		}
	}
}

// uncoveredSidecars returns the sidecars whose upstreams are in no status. The caller
// holds mu.
func (w *Watcher) uncoveredSidecars(endpoints []RankEndpoints) []foxtailstack.Address {
	covered := make(map[foxtailstack.Address]bool)
	for _, group := range w.groups {
		for _, address := range group.addresses {
			covered[address] = true
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

// errNoStatus means that a sidecar has no recent status.
var errNoStatus = errors.New("sidecar has no recent status of its group")

// run asks one sidecar and hands its status to OnStatus.
func (w *Watcher) run(ctx context.Context, query statusQuery) {
	answer, err := w.fetchStatus(ctx, query)
	if err == nil && answer.Status == nil {
		err = errNoStatus
	}
	if err != nil {
		w.recordFailure(query, err)
		return
	}
	status, ok := w.recordStatus(query, answer.Status)
	if ok {
		w.OnStatus(status)
	}
}

// recordStatus updates the known groups from the status that a sidecar has sent, and
// returns it. It returns false if its table of ranks is not known; the next query then
// asks for that.
func (w *Watcher) recordStatus(query statusQuery, message *StatusMessage) (Status, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	group, known := w.groups[message.Group]
	w.found = w.found || !known
	if query.group != message.Group {
		w.releaseSidecar(query)
	}
	if !known {
		group = &watchedGroup{}
		if w.groups == nil {
			w.groups = make(map[Name]*watchedGroup)
		}
		w.groups[message.Group] = group
	}
	if message.Addresses != nil {
		if !slices.Equal(group.addresses, message.Addresses) {
			w.recordMoves(message.Group, message.Addresses)
			group.moved = nil
		}
		group.table = message.Table
		group.addresses = message.Addresses
	}
	if group.sidecar == "" {
		group.sidecar = query.sidecar
	}
	status, ok := message.status(group.addresses)
	if !ok || group.table != message.Table {
		group.table = 0
		return Status{}, false
	}
	status.Ranks = slices.DeleteFunc(status.Ranks, func(rank RankStatus) bool { return group.moved[rank.Address] })
	if w.statusLost {
		w.statusLost = false
		w.Log.Info("group status regained", zap.String("sidecar", string(query.sidecar)))
	}
	return status, true
}

// releaseSidecar lets the next query for the status of the group that was expected go to
// another sidecar, since the rank of this one has joined another group. The caller holds mu.
func (w *Watcher) releaseSidecar(query statusQuery) {
	group, known := w.groups[query.group]
	if known && group.sidecar == query.sidecar {
		group.sidecar = ""
	}
}

// recordMoves records that the upstreams in the new table of a group have left the other
// groups in whose tables they are. The caller holds mu.
func (w *Watcher) recordMoves(name Name, table []foxtailstack.Address) {
	for other, group := range w.groups {
		if other == name {
			continue
		}
		for _, address := range group.addresses {
			if !slices.Contains(table, address) {
				continue
			}
			if group.moved == nil {
				group.moved = make(map[foxtailstack.Address]bool)
			}
			group.moved[address] = true
		}
	}
}

// recordFailure lets the next query for the status of the group go to another sidecar,
// and logs the loss of the status, once until a status arrives.
func (w *Watcher) recordFailure(query statusQuery, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, known := w.groups[query.group]
	w.releaseSidecar(query)
	if w.statusLost || !known && len(w.groups) > 0 {
		return
	}
	w.statusLost = true
	w.Log.Info("group status lost", zap.String("sidecar", string(query.sidecar)), zap.Error(err))
}

// fetchStatus asks one sidecar for its status.
func (w *Watcher) fetchStatus(ctx context.Context, query statusQuery) (statusReply, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s%s?%s=%x", query.sidecar, pathStatus, paramTable, uint64(query.table))
	if w.Use != nil {
		url += "&" + paramUse + "=" + encodeUses(w.Use())
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return statusReply{}, fmt.Errorf("create status request: %w", err)
	}
	response, err := w.Client.Do(request)
	if err != nil {
		return statusReply{}, fmt.Errorf("%w: %w", errUnreachable, err)
	}
	defer response.Body.Close()
	err = errorForStatus(response.StatusCode)
	if err != nil {
		return statusReply{}, err
	}
	var answer statusReply
	err = decode(response.Body, &answer)
	if err != nil {
		return statusReply{}, fmt.Errorf("%w: %w", errUnreachable, err)
	}
	return answer, nil
}
