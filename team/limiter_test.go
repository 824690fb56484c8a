package team

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/fleet"
	"github.com/foxtailstack/foxtailstack/wire"
	"github.com/google/go-cmp/cmp"
)

const (
	limitedTeam = foxtailstack.TeamName("blenders")
	limitRate   = 1000
	callCost    = 10
)

// network connects limiters; it is the Client and the InstanceList of each.
type network struct {
	limiters []*Limiter
	// unreachable is set for each entry, by its number, that cannot be called.
	unreachable [4]atomic.Bool
	// listEmpty makes Instances return an empty list.
	listEmpty atomic.Bool
}

func (n *network) Call(ctx context.Context, address foxtailstack.Address, _ wire.Kind, request, response any) error {
	time.Sleep(5 * time.Millisecond)
	var at int
	if _, err := fmt.Sscanf(string(address), "entry%d", &at); err != nil || n.unreachable[at].Load() {
		return errors.Join(wire.ErrUnreachable, err)
	}
	grant, err := n.limiters[at].grantLocally(ctx, request.(GrantRequest))
	*response.(*Grant) = grant
	return err
}

func (n *network) Instances(context.Context) ([]foxtailstack.Instance, error) {
	var list []foxtailstack.Instance
	if n.listEmpty.Load() {
		return list, nil
	}
	for i := range n.limiters {
		name := fmt.Sprintf("entry%d", i)
		list = append(list, foxtailstack.Instance{
			Name:    foxtailstack.InstanceName(name),
			Role:    foxtailstack.RoleEntry,
			Address: foxtailstack.Address(name),
		})
	}
	return list, nil
}

// singleInstance is an InstanceList of one instance.
type singleInstance struct{ foxtailstack.Instance }

func (a singleInstance) Instances(context.Context) ([]foxtailstack.Instance, error) {
	return []foxtailstack.Instance{a.Instance}, nil
}

// start runs n limiters of a team with limitRate tokens per second. If split is
// set, each limiter lists only itself, so that each owns the team.
func start(ctx context.Context, t *testing.T, n int, split bool) *network {
	t.Helper()
	replica := &fleet.Replica{}
	err := replica.Apply([]fleet.Change{{Resource: fleet.Resource{
		ID: fleet.ID{
			Kind: fleet.KindTeam,
			Name: string(limitedTeam),
		},
		Version:  1,
		Revision: 1,
		Spec:     fmt.Appendf(nil, `{"tokens":%d}`, limitRate),
	}}})
	if err != nil {
		t.Fatalf("apply configuration: %v", err)
	}
	net := &network{}
	for range n {
		net.limiters = append(net.limiters, &Limiter{})
	}
	instances, _ := net.Instances(ctx) // the error is always nil
	for i, l := range net.limiters {
		l.Replica = replica
		l.Client = net
		l.Instances = net
		l.Name = instances[i].Name
		if split {
			l.Instances = singleInstance{instances[i]}
		}
		go l.Run(ctx)
	}
	synctest.Wait()
	return net
}

// offer sends calls round-robin to the reachable entries, at times*limitRate tokens
// per second for the duration length. It returns the admitted rate as a fraction of
// the limit.
func (n *network) offer(times float64, cost foxtailstack.Tokens, length time.Duration) float64 {
	var limiters []*Limiter
	for i, l := range n.limiters {
		if !n.unreachable[i].Load() {
			limiters = append(limiters, l)
		}
	}
	calls := int(times * limitRate / float64(cost) * length.Seconds())
	admitted := foxtailstack.Tokens(0)
	for i := range calls {
		if _, ok := limiters[i%len(limiters)].Admit(limitedTeam, cost); ok {
			admitted += cost
		}
		time.Sleep(length / time.Duration(calls))
	}
	return float64(admitted) / limitRate / length.Seconds()
}

func TestLimiterHoldsTheLimit(t *testing.T) {
	tests := []struct {
		name  string
		times float64
		// fail causes a failure after the first ten seconds.
		fail func(n *network, owner int)
		// minUsed and maxUsed bound the fraction of the limit that is used afterwards.
		minUsed, maxUsed float64
		// split makes each entry list only itself, so that each owns the team.
		split bool
		// cost is the cost of a call; zero means callCost.
		cost foxtailstack.Tokens
	}{
		{
			name:    "calls that cost seconds of the limit",
			times:   5,
			cost:    5 * limitRate,
			minUsed: 0.7,
			maxUsed: 1.25,
		},
		{
			name:    "below the limit",
			times:   0.8,
			fail:    nil,
			minUsed: 0.8,
			maxUsed: 0.8,
			split:   false,
		},
		{
			name:    "far above the limit",
			times:   5,
			fail:    nil,
			minUsed: 0.9,
			maxUsed: 1.05,
			split:   false,
		},
		{
			name:    "owner unreachable by the other three",
			times:   5,
			fail:    func(n *network, owner int) { n.unreachable[owner].Store(true) },
			minUsed: 0.7,
			maxUsed: 0.8,
			split:   false,
		},
		{
			name:    "two owners",
			times:   5,
			fail:    nil,
			minUsed: 1.8,
			maxUsed: 2.1,
			split:   true,
		},
		{
			name:  "debts of costly responses",
			times: 0.8,
			fail: func(n *network, _ int) {
				for _, l := range n.limiters {
					l.Settle(limitedTeam, 0, 4*limitRate)
				}
			},
			minUsed: 0.6,
			maxUsed: 0.7, // 4 entries owe 4 s each: 16 of 100 s pay the debts, 0.8*0.84 = 0.67 remain
			split:   false,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				entries := 4
				if test.split {
					entries = 2
				}
				n := start(ctx, t, entries, test.split)
				instances, _ := n.Instances(ctx) // the error is always nil
				owner, _ := ownerOf(limitedTeam, instances)
				n.offer(test.times, max(test.cost, callCost), 10*time.Second)
				if test.fail != nil {
					var at int
					if _, err := fmt.Sscanf(string(owner.Name), "entry%d", &at); err != nil {
						t.Fatalf("parse owner's name: %v", err)
					}
					test.fail(n, at)
				}
				got := n.offer(test.times, max(test.cost, callCost), 100*time.Second)
				if got < test.minUsed-1e-9 || got > test.maxUsed+1e-9 {
					t.Errorf("%.3f of the limit used, expected %.2f to %.2f", got, test.minUsed, test.maxUsed)
				}
				time.Sleep(requestTimeout) // lets pending requests time out before the bubble ends
			})
		})
	}
}

// An instance list that becomes empty must not replace the last list: each entry
// would then take itself for the only one and spend the whole limit.
func TestLimiterKeepsListedEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		n := start(ctx, t, 4, false)
		l := n.limiters[0]
		n.listEmpty.Store(true)
		time.Sleep(2 * listInterval)
		synctest.Wait()
		if diff := cmp.Diff(4, len(l.currentEntries())); diff != "" {
			t.Errorf("number of currentEntries (-want +got):\n%s", diff)
		}
	})
}

func TestLimiterZeroAdmits(t *testing.T) {
	var l Limiter
	retry, ok := l.Admit(limitedTeam, math.MaxInt32)
	if diff := cmp.Diff(time.Duration(0), retry); diff != "" || !ok {
		t.Errorf("Admit: ok %t, retry delay (-want +got):\n%s", ok, diff)
	}
	l.Settle(limitedTeam, 1, 2)
}

// Callers refused at the same moment get retry delays that are spread out, so that
// they do not all retry at once.
func TestAccountSpreadsRetries(t *testing.T) {
	now := time.Unix(0, 0)
	limit := Limit{
		Rate:    limitRate,
		Entries: 1,
	}
	retries := map[time.Duration]int{}
	for range 500 {
		a := Account{}
		a.Admit(now, limit, 2*limitRate)
		if retry, ok := a.Admit(now, limit, callCost); !ok {
			retries[retry/(100*time.Millisecond)]++
		}
	}
	if len(retries) < 10 {
		t.Errorf("got %d distinct retry delays in tenths of a second, want at least 10: %v", len(retries), retries)
	}
}
