package group

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/route"
	"go.uber.org/zap"
)

// simService simulates a service of several groups. Each rank has a Sidecar and a
// Candidate, which exchange messages without a network.
type simService struct {
	groups []*simGroup
	mu     sync.Mutex
	// rows are the rows of the election; all versions come from one counter.
	rows    map[string]simRow
	version foxtailstack.StoreVersion
	// claims counts the planners of each group.
	claims map[string]int
	// sidecars are the handlers of the sidecars by their addresses.
	sidecars map[string]http.Handler
	all      map[foxtailstack.Address]*Sidecar
	// ranks are the ranks by their addresses.
	ranks map[foxtailstack.Address]*simRank
	// messages counts the messages to sidecars by their paths.
	messages map[string]int
}

// simRow is one row of an election.
type simRow struct {
	value   []byte
	version foxtailstack.StoreVersion
}

// newSimService returns a service of some groups, each of some ranks.
func newSimService(groups, ranks int) *simService {
	s := &simService{
		rows:     make(map[string]simRow),
		claims:   make(map[string]int),
		sidecars: make(map[string]http.Handler),
		all:      make(map[foxtailstack.Address]*Sidecar),
		ranks:    make(map[foxtailstack.Address]*simRank),
		messages: make(map[string]int),
	}
	for i := range groups {
		g := newSimGroup(ranks)
		g.name = Name(fmt.Sprintf("g%d", i))
		s.groups = append(s.groups, g)
		for _, r := range g.ranks {
			s.ranks[r.address()] = r
		}
	}
	return s
}

// start starts the passes of all groups, their sidecars and candidates until ctx ends.
func (s *simService) start(ctx context.Context) {
	for _, g := range s.groups {
		go g.run(ctx)
		for _, r := range g.ranks {
			s.startSidecar(ctx, r.address())
		}
	}
}

// startSidecar starts the sidecar beside an upstream and its candidate until ctx ends.
func (s *simService) startSidecar(ctx context.Context, address foxtailstack.Address) {
	sidecar := &Sidecar{
		Rank:   s.rank(address),
		Client: &http.Client{Transport: s},
		RankAt: func(at foxtailstack.Address) Rank { return s.rank(at) },
		Log:    zap.NewNop(),
	}
	s.mu.Lock()
	s.sidecars[string(address)] = newHandler(sidecar)
	s.all[address] = sidecar
	s.mu.Unlock()
	candidate := &Candidate{
		Name:     foxtailstack.InstanceName(address),
		Address:  address,
		Sidecar:  sidecar,
		Election: s,
		Members: func(planner PlannerInfo, _ []foxtailstack.Address) []Member {
			return s.members(address, sidecar, planner)
		},
		StartUpdates: func(context.Context) {},
		GroupConfig:  func() *route.Group { return simConfig },
		Log:          zap.NewNop(),
	}
	go candidate.Run(ctx)
}

// rank returns the rank at an address, which may change.
func (s *simService) rank(address foxtailstack.Address) addressedRank {
	return addressedRank{
		service: s,
		address: address,
	}
}

// exchange lets two upstreams exchange their ranks. Both groups open anew.
func (s *simService) exchange(a, b foxtailstack.Address) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ranks[a], s.ranks[b] = s.ranks[b], s.ranks[a]
	for _, r := range []*simRank{s.ranks[a], s.ranks[b]} {
		r.group.mu.Lock()
		r.group.reopen()
		r.group.mu.Unlock()
	}
}

// members returns all ranks of the service as the planner at an address reaches them.
func (s *simService) members(self foxtailstack.Address, sidecar *Sidecar, planner PlannerInfo) []Member {
	s.mu.Lock()
	addresses := slices.Sorted(maps.Keys(s.ranks))
	s.mu.Unlock()
	var members []Member
	for _, address := range addresses {
		if address == self {
			members = append(members, &Local{
				Sidecar:  sidecar,
				Planner:  planner,
				Upstream: self,
			})
			continue
		}
		members = append(members, &Peer{
			Sidecar:    address,
			Client:     sidecar.Client,
			Planner:    planner,
			Upstream:   address,
			DirectRank: s.rank(address),
		})
	}
	return members
}

// RoundTrip hands a request to the sidecar at its host.
func (s *simService) RoundTrip(request *http.Request) (*http.Response, error) {
	s.mu.Lock()
	handler, ok := s.sidecars[request.URL.Host]
	s.messages[request.URL.Path]++
	s.mu.Unlock()
	if !ok {
		return nil, errUnreachable
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return recorder.Result(), nil
}

// Holder returns a row.
func (s *simService) Holder(_ context.Context, name string) ([]byte, foxtailstack.StoreVersion, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row := s.rows[name]
	return row.value, row.version, nil
}

// versionOf returns the version of a row.
func (s *simService) versionOf(name string) foxtailstack.StoreVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[name].version
}

// Claim replaces a row.
func (s *simService) Claim(_ context.Context, name string, expect foxtailstack.StoreVersion, value []byte) (foxtailstack.StoreVersion, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rows[name].version != expect {
		return 0, foxtailstack.ErrConflict
	}
	s.version++
	s.rows[name] = simRow{
		value:   slices.Clone(value),
		version: s.version,
	}
	if !strings.Contains(name, "/") {
		s.claims[name]++
	}
	return s.version, nil
}

// plannersOf returns the numbers of planners that began, by group.
func (s *simService) plannersOf() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[string]int)
	for name, n := range s.claims {
		counts[name] = n
	}
	return counts
}

// checkPasses checks the passes of all groups.
func (s *simService) checkPasses(t *testing.T) {
	t.Helper()
	for _, g := range s.groups {
		g.checkPasses(t)
	}
}

// addressedRank is the rank at an address, reached directly. It implements LocalRank.
type addressedRank struct {
	service *simService
	address foxtailstack.Address
}

// member returns the rank that is at the address now.
func (r addressedRank) member() *simMember {
	r.service.mu.Lock()
	defer r.service.mu.Unlock()
	rank := r.service.ranks[r.address]
	rank.group.mu.Lock()
	defer rank.group.mu.Unlock()
	return &simMember{
		rank:    rank,
		local:   !rank.unreachable,
		planner: &simPlanner{},
	}
}

func (r addressedRank) Report(ctx context.Context) (Report, error) {
	return r.member().Report(ctx)
}

func (r addressedRank) Counts(ctx context.Context) (Counts, error) {
	return r.member().Counts(ctx)
}

func (r addressedRank) Experts(ctx context.Context) (foxtailstack.Epoch, [][]foxtailstack.Expert, error) {
	return r.member().Experts(ctx)
}

func (r addressedRank) Order(ctx context.Context, order Order) error {
	return r.member().Order(ctx, order)
}
