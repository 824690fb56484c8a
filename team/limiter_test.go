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
	limited   = foxtailstack.TeamName("blenders")
	limitRate = 1000
	callCost  = 10
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

// start runs n limiters of a team with limitRate tokens a second.
func start(ctx context.Context, t *testing.T, n int, split bool) *network {
	t.Helper()
	replica := &fleet.Replica{}
	err := replica.Apply([]fleet.Change{{Resource: fleet.Resource{
		ID: fleet.ID{
			Kind: fleet.KindTeam,
			Name: string(limited),
		},
		Version:  1,
		Revision: 1,
		Spec:     fmt.Appendf(nil, `{"tokens":%d}`, limitRate),
	}}})
	if err != nil {
		t.Fatal(err)
	}
	net := &network{}
	for range n {
		net.limiters = append(net.limiters, &Limiter{})
	}
	instances, _ := net.Instances(ctx)
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

// offer sends calls round-robin to the reachable entries, at a rate of times the
// limit, and returns the admitted rate as a fraction of the limit.
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
		if _, ok := limiters[i%len(limiters)].Admit(limited, cost); ok {
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
		// do makes something fail after the first ten seconds.
		do func(n *network, owner int)
		// least and most bound the share of the limit that is used afterwards.
		least, most float64
		split       bool
		// cost is the cost of a call; zero means callCost.
		cost foxtailstack.Tokens
	}{
		{
			name:  "calls that cost seconds of the limit",
			times: 5,
			cost:  5 * limitRate,
			least: 0.7,
			most:  1.25,
		},
		{
			name:  "below the limit",
			times: 0.8,
			do:    nil,
			least: 0.8,
			most:  0.8,
			split: false,
		},
		{
			name:  "far above the limit",
			times: 5,
			do:    nil,
			least: 0.9,
			most:  1.05,
			split: false,
		},
		{
			name:  "owner unreachable by the other three",
			times: 5,
			do:    func(n *network, owner int) { n.unreachable[owner].Store(true) },
			least: 0.7,
			most:  0.8,
			split: false,
		},
		{
			name:  "two owners",
			times: 5,
			do:    nil,
			least: 1.8,
			most:  2.1,
			split: true,
		},
		{
			name:  "debts of dear answers",
			times: 0.8,
			do: func(n *network, _ int) {
				for _, l := range n.limiters {
					l.Settle(limited, 0, 4*limitRate)
				}
			},
			least: 0.6,
			most:  0.7, // 16 s of 100 go to the debts
			split: false,
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
				instances, _ := n.Instances(ctx)
				owner, _ := ownerOf(limited, instances)
				n.offer(test.times, max(test.cost, callCost), 10*time.Second)
				if test.do != nil {
					var at int
					if _, err := fmt.Sscanf(string(owner.Name), "entry%d", &at); err != nil {
						t.Fatal(err)
					}
					test.do(n, at)
				}
				got := n.offer(test.times, max(test.cost, callCost), 100*time.Second)
				if got < test.least-1e-9 || got > test.most+1e-9 {
					t.Errorf("%.3f of the limit used, expected %.2f to %.2f", got, test.least, test.most)
				}
				time.Sleep(requestTimeout)
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
			t.Error(diff)
		}
	})
}

func TestLimiterZeroAdmits(t *testing.T) {
	var l Limiter
	retry, ok := l.Admit(limited, math.MaxInt32)
	if diff := cmp.Diff(time.Duration(0), retry); diff != "" || !ok {
		t.Error(ok, diff)
	}
	l.Settle(limited, 1, 2)
}

// Callers refused at the same moment get retry delays that are spread out, so that
// they do not all return at once.
func TestAccountSpreadsReturns(t *testing.T) {
	now := time.Unix(0, 0)
	limit := Limit{
		Rate:    limitRate,
		Entries: 1,
	}
	returns := map[time.Duration]int{}
	for range 500 {
		a := Account{}
		a.Admit(now, limit, 2*limitRate)
		if retry, ok := a.Admit(now, limit, callCost); !ok {
			returns[retry/(100*time.Millisecond)]++
		}
	}
	if len(returns) < 10 {
		t.Errorf("refused callers come back in %d different tenths of a second: %v", len(returns), returns)
	}
}
