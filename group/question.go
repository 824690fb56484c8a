package group

import (
	"context"
	"net/http"
	"sync"

	"github.com/foxtailstack/foxtailstack"
)

// pathGroups is the path of questions to a sidecar, and to those to which it forwards them,
// for the groups of their ranks. They carry no fencing token and change nothing.
const pathGroups = "/groups"

// groupsRequest asks a sidecar for the group of its rank and for those of others.
type groupsRequest struct {
	To []foxtailstack.Address `cbor:"1,keyasint,omitempty"`
}

// groupsReply holds the groups of the ranks that answered.
type groupsReply struct {
	Ranks []rankGroup `cbor:"1,keyasint"`
}

// rankGroup is the group of a rank, by its Index as in rankState.
type rankGroup struct {
	_     struct{} `cbor:",toarray"`
	Index int
	Group Name
}

// groups sends a question to the peer's sidecar.
func (p *Peer) groups(ctx context.Context, request groupsRequest) (groupsReply, error) {
	extra := forwardTimeout(len(request.To))
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout+extra)
	defer cancel()
	var reply groupsReply
	err := p.callWithExtra(ctx, extra, http.MethodPost, pathGroups, request, &reply)
	return reply, err
}

// Groups asks for the groups of the peer and the members in to through the peer's sidecar.
func (p *Peer) Groups(ctx context.Context, to []Member) map[Member]Name {
	var request groupsRequest
	_, request.To = membersBySidecar(p, to)
	reply, _ := p.groups(ctx, request) // those that are missing are asked directly
	members := branch{
		head: p,
		rest: to,
	}.members()
	return namesByMember(reply.Ranks, members)
}

// namesByMember returns the groups of members from a list by their indexes.
func namesByMember(ranks []rankGroup, members []Member) map[Member]Name {
	names := make(map[Member]Name, len(ranks))
	for _, r := range ranks {
		if r.Index >= 0 && r.Index < len(members) {
			names[members[r.Index]] = r.Group
		}
	}
	return names
}

// serveGroups answers with the group of the sidecar's rank and with the answers of the
// sidecars to which it forwards the question.
func (s *Sidecar) serveGroups(w http.ResponseWriter, r *http.Request) {
	var request groupsRequest
	if !decodeRequest(w, r, &request) {
		return
	}
	var reply groupsReply
	var mu sync.Mutex
	var wg sync.WaitGroup
	wg.Go(func() {
		ctx, cancel := context.WithTimeout(r.Context(), localTimeout)
		defer cancel()
		report, err := s.localReport(ctx)
		if err != nil {
			return // the planner asks the rank itself
		}
		mu.Lock()
		defer mu.Unlock()
		reply.Ranks = append(reply.Ranks, rankGroup{Group: report.Group})
	})
	first := 1
	for _, part := range split(request.To, treeFanOut) {
		index := first
		first += len(part)
		wg.Go(func() {
			peer := &Peer{
				Sidecar: part[0],
				Client:  s.Client,
			}
			other, _ := peer.groups(r.Context(), groupsRequest{To: part[1:]}) // likewise
			mu.Lock()
			defer mu.Unlock()
			for _, rank := range other.Ranks {
				rank.Index += index
				reply.Ranks = append(reply.Ranks, rank)
			}
		})
	}
	wg.Wait()
	writeReply(w, nil, reply)
}

// askGroups asks members for their groups, which it returns by address. Those whose
// sidecars do not answer are asked directly; those that do not answer then are missing.
func askGroups(ctx context.Context, members []Member, fanOut int) map[foxtailstack.Address]Name {
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	answers := make(map[foxtailstack.Address]Name, len(members))
	var mu sync.Mutex
	record := func(member Member, name Name) {
		mu.Lock()
		defer mu.Unlock()
		answers[member.Address()] = name
	}
	_ = concurrently(newTree(members, fanOut), func(branch branch) error {
		var names map[Member]Name
		head, ok := branch.head.(Forwarder)
		if ok {
			names = head.Groups(ctx, branch.rest)
		}
		return concurrently(branch.members(), func(member Member) error {
			name, ok := names[member]
			if ok {
				record(member, name)
				return nil
			}
			report, err := member.Direct().Report(ctx)
			if err == nil {
				record(member, report.Group)
			}
			return err
		})
	}) // who does not answer stays unknown
	return answers
}
