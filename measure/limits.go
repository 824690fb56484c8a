package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/team"
)

const (
	limitEntries = 50
	// limitRate is the limit of the team in tokens a second.
	limitRate = 20000
	limitCost = 100
	limitTime = 90 * time.Second
	// limitFails and limitMends bound the time of a failure.
	limitFails = 30 * time.Second
	limitMends = 60 * time.Second
	// listLag is the time until the list of instances drops a dead one.
	listLag = 10 * time.Second
	// limitWay is the time of one way between entries, and limitTimeout that
	// until an ask counts as lost.
	limitWay     = 2 * time.Millisecond
	limitTimeout = 500 * time.Millisecond
	// limitWindow is the window whose worst one is reported.
	limitWindow = 5 * time.Second
	// limitSkew is the share of the calls that go to the first tenth of the
	// entries.
	limitSkew = 0.5
)

// limits is one run of the limit of one team over many entries.
type limits struct {
	agenda
	random   *rand.Rand
	accounts []*team.Account
	pools    []*team.Pool
	// owner returns the entry that another one asks, and whether it answers.
	owner func(entry int) (int, bool)
	// admitted holds the tokens admitted in each tenth of a second.
	admitted []float64
	static   bool
	// dies is set if entry 0 dies.
	dies bool
	asks int
}

// teamLimits compares what a team gets above its limit under failures.
func teamLimits(ctx context.Context, options Options) error {
	for _, load := range []float64{0.8, 2, 5} {
		for _, policy := range []string{"staticshare", "limit", "limit-ownerdies", "limit-cutoff", "limit-twoowners"} {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			err := options.Report(runLimits(options.Seed, policy, load))
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// runLimits runs one policy at a load against the limit.
func runLimits(seed uint64, policy string, load float64) Line {
	l := &limits{
		random:   rand.New(rand.NewPCG(seed, uint64(10*load))),
		admitted: make([]float64, int(limitTime/(100*time.Millisecond))+1),
		static:   policy == "staticshare",
		dies:     policy == "limit-ownerdies",
	}
	l.now = time.Unix(0, 0)
	for range limitEntries {
		l.accounts = append(l.accounts, &team.Account{Rand: l.random})
		l.pools = append(l.pools, &team.Pool{Rand: l.random})
	}
	l.owner = func(entry int) (int, bool) { return l.ownerUnder(policy, entry) }
	if l.static {
		for _, a := range l.accounts {
			a.RequestFailed(l.now)
		}
	}
	l.arrive(load)
	l.run(limitTime)
	return Line{
		{
			Key:   "policy",
			Value: policy,
		},
		{
			Key:   "load",
			Value: strconv.FormatFloat(load, 'g', -1, 64),
		},
		{
			Key:   "goodput",
			Value: l.used(limitWindow, limitTime),
		},
		{
			Key:   "overshoot",
			Value: max(0, l.worst()-1),
		},
		{
			Key:   "asks",
			Value: float64(l.asks) / limitTime.Seconds() / limitEntries,
		},
	}
}

// ownerUnder returns whom an entry asks, under the failure of a policy.
func (l *limits) ownerUnder(policy string, entry int) (int, bool) {
	at := l.now.Sub(time.Unix(0, 0))
	failing := at >= limitFails && at < limitMends
	switch {
	case policy == "limit-ownerdies" && failing && at < limitFails+listLag:
		return 0, false
	case policy == "limit-ownerdies" && at >= limitFails+listLag:
		return 1, true
	case policy == "limit-cutoff" && failing:
		return 0, entry < limitEntries/2
	case policy == "limit-twoowners" && failing && entry >= limitEntries/2:
		return 1, true
	}
	return 0, !l.static
}

// dead reports whether an entry takes no calls now.
func (l *limits) dead(entry int) bool {
	return l.dies && entry == 0 && l.now.Sub(time.Unix(0, 0)) >= limitFails
}

// arrive lets calls of the team arrive, more of them at the first entries.
func (l *limits) arrive(load float64) {
	rate := load * limitRate / limitCost
	l.in(time.Duration(l.random.ExpFloat64()/rate*float64(time.Second)), func() {
		entry := l.random.IntN(limitEntries)
		if l.random.Float64() < limitSkew {
			entry = l.random.IntN(limitEntries / 10)
		}
		if !l.dead(entry) {
			l.call(entry)
		}
		l.arrive(load)
	})
}

// call takes one call at an entry.
func (l *limits) call(entry int) {
	limit := team.Limit{
		Rate:    limitRate,
		Entries: limitEntries,
	}
	a := l.accounts[entry]
	cost := foxtailstack.Tokens(limitCost/2 + l.random.IntN(limitCost+1))
	_, ok := a.Admit(l.now, limit, limitCost)
	if ok {
		a.Settle(limitCost, cost)
		l.admitted[int(l.now.Sub(time.Unix(0, 0))/(100*time.Millisecond))] += float64(cost)
	}
	ask, needed := a.NextRequest(l.now, limit)
	if !needed {
		return
	}
	ask.Entry = foxtailstack.InstanceName(fmt.Sprint(entry))
	l.asks++
	owner, reachable := l.owner(entry)
	if !reachable {
		l.in(limitTimeout, func() { a.RequestFailed(l.now) })
		return
	}
	l.in(limitWay, func() {
		grant := l.pools[owner].Grant(l.now, limitRate, ask)
		l.in(limitWay, func() { a.ApplyGrant(l.now, grant) })
	})
}

// used returns the share of the limit used between two times.
func (l *limits) used(from, to time.Duration) float64 {
	sum := 0.0
	for i := int(from / (100 * time.Millisecond)); i < int(to/(100*time.Millisecond)); i++ {
		sum += l.admitted[i]
	}
	return sum / limitRate / (to - from).Seconds()
}

// worst returns the highest share of the limit used in a window.
func (l *limits) worst() float64 {
	worst := 0.0
	for at := time.Duration(0); at+limitWindow <= limitTime; at += 100 * time.Millisecond {
		worst = max(worst, l.used(at, at+limitWindow))
	}
	return worst
}
