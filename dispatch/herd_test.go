package dispatch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/dispatch"
	"github.com/foxtailstack/foxtailstack/exchange"
)

const (
	// herdEntries entries send to herdRanks ranks with herdSlots slots each.
	herdEntries = 12
	herdRanks   = 63
	herdSlots   = 10
	// herdRate is the number of requests per second, herdDuration how long each runs.
	// On average 500 of the 630 slots are taken.
	herdRate     = 250
	herdDuration = 2 * time.Second
	// herdStatusInterval is the time between two statuses, herdStatusAge the age of a
	// status on arrival.
	herdStatusInterval = 300 * time.Millisecond
	herdStatusAge      = 150 * time.Millisecond
	// herdRunTime is the simulated time.
	herdRunTime = 10 * time.Second
)

// chooser is the policy by which one entry chooses ranks.
type chooser interface {
	// observe records the number of requests at each rank herdStatusAge ago.
	observe(running []int)
	// choose returns the rank for a request and a function to call when it ends.
	choose(t *testing.T) (rank int, release func())
}

// schedulerChooser chooses with a Scheduler.
type schedulerChooser struct {
	scheduler *dispatch.Scheduler
	index     map[foxtailstack.Address]int
}

func newSchedulerChooser() *schedulerChooser {
	c := &schedulerChooser{
		scheduler: newScheduler(herdRanks, herdSlots),
		index:     make(map[foxtailstack.Address]int),
	}
	for i := range herdRanks {
		c.index[rankAddress(i)] = i
	}
	return c
}

// rankAddress returns the address of a rank of newScheduler.
func rankAddress(rank int) foxtailstack.Address {
	return foxtailstack.Address(fmt.Sprintf("10.0.0.%d:1", rank))
}

func (c *schedulerChooser) observe(running []int) {
	ranks := make(map[foxtailstack.Address]dispatch.RankLoad, len(running))
	for i, n := range running {
		ranks[rankAddress(i)] = dispatch.RankLoad{
			Load:     exchange.Load{Running: n},
			Slowdown: 1,
		}
	}
	c.scheduler.ObserveGroup(service, groupName, ranks, herdStatusAge)
}

func (c *schedulerChooser) choose(t *testing.T) (int, func()) {
	// An entry that has used up its share of the free slots waits for the next status.
	ctx, cancel := context.WithTimeout(t.Context(), 2*herdStatusInterval)
	defer cancel()
	reservation, err := c.scheduler.Acquire(ctx, dispatch.Request{
		Service: service,
		Grouped: true,
	})
	if err != nil {
		t.Fatalf("no reservation within two status intervals: %v", err)
	}
	return c.index[reservation.Upstream.Address], func() {
		reservation.Release(dispatch.Report{Outcome: dispatch.Answered})
	}
}

// leastLoadedChooser chooses the rank with the fewest requests, counting those of
// the last status and those that the entry has sent since.
type leastLoadedChooser struct {
	mu   sync.Mutex
	load [herdRanks]int
}

func (c *leastLoadedChooser) observe(running []int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	copy(c.load[:], running)
}

func (c *leastLoadedChooser) choose(*testing.T) (int, func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := rand.IntN(herdRanks)
	leastLoaded := first
	for i := range herdRanks {
		rank := (first + i) % herdRanks
		if c.load[rank] < c.load[leastLoaded] {
			leastLoaded = rank
		}
	}
	c.load[leastLoaded]++
	return leastLoaded, func() {}
}

// simulateHerd sends requests at random times, herdRate per second on average, from
// one entry per chooser. It returns the number of those sent to a rank without a free
// slot.
func simulateHerd(t *testing.T, seed uint64, choosers []chooser) int {
	rng := rand.New(rand.NewPCG(seed, 2))
	var mu sync.Mutex // guards running, which timers change
	running := make([]int, herdRanks)
	sentToFull := 0
	nextStatus := time.Now()
	for start := time.Now(); time.Since(start) < herdRunTime; {
		if !time.Now().Before(nextStatus) {
			mu.Lock()
			snapshot := append([]int(nil), running...)
			mu.Unlock()
			time.AfterFunc(herdStatusAge, func() {
				for _, c := range choosers {
					c.observe(snapshot)
				}
			})
			nextStatus = nextStatus.Add(herdStatusInterval)
		}
		rank, release := choosers[rng.IntN(len(choosers))].choose(t)
		mu.Lock()
		if running[rank] >= herdSlots {
			sentToFull++
		}
		running[rank]++
		mu.Unlock()
		time.AfterFunc(herdDuration, func() {
			mu.Lock()
			running[rank]--
			mu.Unlock()
			release()
		})
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(time.Second) / herdRate))
	}
	time.Sleep(2 * herdDuration) // until all requests have ended
	return sentToFull
}

// Guards against a thundering herd: many entries learn the loads of all ranks at the
// same time, from a status that is out of date already, and all send to the ranks
// that were the least loaded. Compared with entries that always choose the least
// loaded rank, at most two thirds as many requests may be sent to a full one.
func TestEntriesAvoidThunderingHerd(t *testing.T) {
	const runs = 4
	got, baseline := 0, 0
	for seed := range uint64(runs) {
		synctest.Test(t, func(t *testing.T) {
			var schedulers, leastLoaded []chooser
			for range herdEntries {
				schedulers = append(schedulers, newSchedulerChooser())
				leastLoaded = append(leastLoaded, &leastLoadedChooser{})
			}
			got += simulateHerd(t, seed, schedulers)
			baseline += simulateHerd(t, seed, leastLoaded)
		})
	}
	if got > baseline*2/3 {
		t.Errorf("%d requests were sent to a full rank, want at most 2/3 of the %d of the least loaded policy", got, baseline)
	}
}
