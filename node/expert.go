package node

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/expert"
	"github.com/foxtailstack/foxtailstack/fleet"
	"go.uber.org/zap"
)

// pathStep is the path at which an engine asks for the map of a step.
const pathStep = "/expert/step"

// group is the part of a sidecar in an expert-parallel group.
type group struct {
	inbox expert.Inbox
	agent atomic.Pointer[expert.Agent]
}

// stepAnswer tells an engine which map to use.
type stepAnswer struct {
	Epoch foxtailstack.Epoch `json:"epoch"`
	// Begin is false while the engine must wait and ask again.
	Begin bool `json:"begin"`
}

// ServeHTTP answers an engine that asks for the map of the step in the query
// parameter step. It answers 404 while the upstream is in no group.
func (g *group) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	agent := g.agent.Load()
	if agent == nil {
		http.Error(w, "upstream is in no group", http.StatusNotFound)
		return
	}
	step, err := strconv.ParseUint(r.URL.Query().Get("step"), 10, 64)
	if err != nil {
		http.Error(w, "step is not a number", http.StatusBadRequest)
		return
	}
	epoch, ok := agent.Begin(foxtailstack.Step(step))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(stepAnswer{
		Epoch: epoch,
		Begin: ok,
	})
}

// joinGroup runs the agent of the upstream's group, once the configuration names
// all of its ranks. A group whose ranks change later needs new sidecars.
func (s *Sidecar) joinGroup(ctx context.Context) {
	id, err := fleet.ParseUpstreamID(s.settings.Upstream.Name)
	if err != nil {
		return
	}
	for {
		changed := s.replica.Changed()
		own, ranks := groupOf(s.replica.Snapshot(), id)
		if ranks != nil {
			s.runAgent(ctx, id, own, len(ranks))
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// runAgent runs the agent of a rank until ctx ends.
func (s *Sidecar) runAgent(ctx context.Context, id fleet.UpstreamID, own fleet.Upstream, size int) {
	name := string(id.Fleet) + "/" + own.Group
	agent := &expert.Agent{
		Transport: &expert.PeerTransport{
			Client:  s.client,
			Group:   name,
			Context: ctx,
			Address: func(r foxtailstack.Rank) (foxtailstack.Address, bool) {
				_, ranks := groupOf(s.replica.Snapshot(), id)
				member, ok := ranks[r]
				return member.Address, ok
			},
		},
		Store: expert.Store{
			Table: s.table,
			Group: name,
		},
		Ring: s.ring,
	}
	err := agent.Init(own.Rank, size)
	if err != nil {
		s.log.Error("upstream cannot join its group", zap.String("group", name), zap.Error(err))
		return
	}
	s.group.inbox.SetAgent(name, agent)
	s.group.agent.Store(agent)
	s.log.Info("joining group", zap.String("group", name), zap.Int("rank", int(own.Rank)), zap.Int("ranks", size))
	agent.Run(ctx)
}

// groupOf returns the upstream of an id and the ranks of its group, which are
// nil unless every rank from zero on is named once.
func groupOf(snapshot *fleet.Snapshot, id fleet.UpstreamID) (fleet.Upstream, map[foxtailstack.Rank]fleet.Upstream) {
	own := snapshot.Upstreams[id.ServiceID][id.Upstream].Upstream
	if own.Group == "" {
		return own, nil
	}
	ranks := map[foxtailstack.Rank]fleet.Upstream{}
	n := 0
	for service, members := range snapshot.Upstreams {
		for _, member := range members {
			if service.Fleet == id.Fleet && member.Group == own.Group {
				n++
				ranks[member.Rank] = member.Upstream
			}
		}
	}
	for r := range n {
		if _, ok := ranks[foxtailstack.Rank(r)]; !ok {
			return own, nil
		}
	}
	return own, ranks
}
