package group

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

// pathGather is the path of requests for the observations of a sidecar and of those to
// which it forwards the request.
const pathGather = "/gather"

// gatherTimeout bounds the wait for the observation of one sidecar; forwardTimeout is
// added to it.
const gatherTimeout = 120 * time.Millisecond

// gatherRequest asks a sidecar for its observation and for those of others.
type gatherRequest struct {
	Planner PlannerInfo            `cbor:"1,keyasint"`
	To      []foxtailstack.Address `cbor:"2,keyasint,omitempty"`
	// Status is passed on to all of them, if it is set.
	Status *StatusMessage `cbor:"3,keyasint,omitempty"`
}

// gatherReply holds the observations of the sidecars that answered. Ranks mostly have
// the same state, which is sent once.
type gatherReply struct {
	States []sharedState `cbor:"1,keyasint"`
	Ranks  []rankState   `cbor:"2,keyasint"`
	// Sample is the sum of the samples.
	Sample Sample `cbor:"3,keyasint"`
	// LacksTable is set if a sidecar does not know the table of ranks of the status.
	LacksTable bool `cbor:"4,keyasint,omitempty"`
	// Fenced is set if a sidecar has seen a newer planner.
	Fenced bool `cbor:"5,keyasint,omitempty"`
	// Entries is the sum of the numbers of entries.
	Entries int `cbor:"6,keyasint,omitempty"`
	// Uses is the sum of the uses by urgency.
	Uses []UrgencyUse `cbor:"8,keyasint,omitempty"`
	// Others holds the sidecars whose ranks belong to other groups.
	Others []rankGroup `cbor:"7,keyasint,omitempty"`
}

// sharedState is what a report and an arm record have in common at several ranks. The
// fields of the report that rankState has are zero.
type sharedState struct {
	Report    Report    `cbor:"1,keyasint"`
	ArmRecord ArmRecord `cbor:"2,keyasint"`
}

// rankState is what differs from rank to rank.
type rankState struct {
	_ struct{} `cbor:",toarray"`
	// Index is the place of the sidecar in the To of the request, counted from one;
	// zero is the sidecar that replies.
	Index int
	// State is the index of the shared state.
	State    int
	Rank     foxtailstack.Rank
	Running  int
	Waiting  int
	Slowdown float32
}

// Gathered is the result of Gather.
type Gathered struct {
	// Observations holds those of the members that answered, without samples.
	Observations map[Member]Observation
	// Sample is the sum of the samples.
	Sample Sample
	// LacksTable is set if a member does not know the table of ranks of the status.
	LacksTable bool
	// Fenced is set if a member has seen a newer planner.
	Fenced bool
	// Entries is the number of entries that ask the members for the status.
	Entries int
	// Uses is the use of these entries by urgency.
	Uses []UrgencyUse
	// Others holds the groups of members that belong to other groups than the planner.
	Others map[Member]Name
}

// add adds the observation of the sidecar with an index.
func (g *gatherReply) add(index int, o Observation) {
	shared := sharedState{
		Report:    o.Report,
		ArmRecord: o.ArmRecord,
	}
	shared.Report.Rank = 0
	shared.Report.Running = 0
	shared.Report.Waiting = 0
	shared.Report.Slowdown = 0
	g.Entries += o.Entries
	g.Uses = sumUses(g.Uses, o.Uses)
	g.Ranks = append(g.Ranks, rankState{
		Index:    index,
		State:    g.stateIndex(shared),
		Rank:     o.Report.Rank,
		Running:  o.Report.Running,
		Waiting:  o.Report.Waiting,
		Slowdown: float32(o.Report.Slowdown),
	})
}

// stateIndex returns the index of a shared state, which is added if it is new.
func (g *gatherReply) stateIndex(shared sharedState) int {
	for i, state := range g.States {
		if state == shared {
			return i
		}
	}
	g.States = append(g.States, shared)
	return len(g.States) - 1
}

// merge adds the reply of another sidecar, whose place in To is first, and which has
// forwarded the request to those after it.
func (g *gatherReply) merge(first int, other gatherReply) {
	for _, r := range other.Ranks {
		if r.State < 0 || r.State >= len(other.States) {
			continue
		}
		r.State = g.stateIndex(other.States[r.State])
		r.Index += first
		g.Ranks = append(g.Ranks, r)
	}
	g.Sample = addSamples(g.Sample, other.Sample)
	g.LacksTable = g.LacksTable || other.LacksTable
	g.Fenced = g.Fenced || other.Fenced
	g.Entries += other.Entries
	g.Uses = sumUses(g.Uses, other.Uses)
	for _, o := range other.Others {
		o.Index += first
		g.Others = append(g.Others, o)
	}
}

// observation returns the observation of one rank, without a sample. It returns false
// if the reply is invalid.
func (g *gatherReply) observation(r rankState) (Observation, bool) {
	if r.State < 0 || r.State >= len(g.States) {
		return Observation{}, false
	}
	shared := g.States[r.State]
	shared.Report.Rank = r.Rank
	shared.Report.Running = r.Running
	shared.Report.Waiting = r.Waiting
	shared.Report.Slowdown = float64(r.Slowdown)
	return Observation{
		Report:    shared.Report,
		ArmRecord: shared.ArmRecord,
	}, true
}

// gather sends a request to the peer's sidecar.
func (p *Peer) gather(ctx context.Context, request gatherRequest) (gatherReply, error) {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout+forwardTimeout(len(request.To)))
	defer cancel()
	var reply gatherReply
	err := p.callWithExtra(ctx, forwardTimeout(len(request.To)), http.MethodPost, pathGather, request, &reply)
	return reply, err
}

// Gather observes the peer and the members in to through the peer's sidecar.
func (p *Peer) Gather(ctx context.Context, to []Member, withSample bool, status *StatusMessage) (Gathered, error) {
	request := gatherRequest{
		Planner: p.Planner,
		Status:  status,
	}
	request.Planner.Sample = withSample
	_, request.To = membersBySidecar(p, to)
	reply, err := p.gather(ctx, request)
	if err != nil {
		return Gathered{}, err
	}
	result := Gathered{
		Observations: make(map[Member]Observation, len(reply.Ranks)),
		Sample:       reply.Sample,
		LacksTable:   reply.LacksTable,
		Fenced:       reply.Fenced,
		Entries:      reply.Entries,
		Uses:         reply.Uses,
	}
	members := branch{
		head: p,
		rest: to,
	}.members()
	for _, r := range reply.Ranks {
		observation, ok := reply.observation(r)
		if ok && r.Index >= 0 && r.Index < len(members) {
			result.Observations[members[r.Index]] = observation
		}
	}
	result.Others = namesByMember(reply.Others, members)
	return result, nil
}

// serveGather answers with the sidecar's own observation and those of the sidecars to
// which it forwards the request.
func (s *Sidecar) serveGather(w http.ResponseWriter, r *http.Request) {
	var request gatherRequest
	if !decodeRequest(w, r, &request) {
		return
	}
	err := s.admitPlanner(r.Context(), request.Planner)
	if err != nil {
		writeError(w, err)
		return
	}
	reply := gatherReply{LacksTable: !s.learnStatus(request.Status)}
	var mu sync.Mutex
	var wg sync.WaitGroup
	wg.Go(func() {
		own, err := s.Observe(r.Context(), request.Planner.Sample)
		if err != nil {
			return // the planner sees that the rank is missing
		}
		mu.Lock()
		defer mu.Unlock()
		reply.add(0, own)
		reply.Sample = addSamples(reply.Sample, own.Sample)
	})
	first := 1
	for _, part := range split(request.To, treeFanOut) {
		index := first
		first += len(part)
		wg.Go(func() {
			forwarded := request
			forwarded.To = part[1:]
			peer := &Peer{
				Sidecar: part[0],
				Client:  s.Client,
			}
			other, err := peer.gather(r.Context(), forwarded)
			mu.Lock()
			defer mu.Unlock()
			reply.Fenced = reply.Fenced || errors.Is(err, ErrFenced)
			if name, ok := otherGroup(err); ok {
				reply.Others = append(reply.Others, rankGroup{
					Index: index,
					Group: name,
				})
			}
			if err == nil {
				reply.merge(index, other)
			}
		})
	}
	wg.Wait()
	writeReply(w, nil, reply)
}
