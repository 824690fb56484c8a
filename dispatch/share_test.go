package dispatch_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/dispatch"
	"github.com/foxtailstack/foxtailstack/exchange"
)

// All ranks of a group are nearly full and requests wait at all entries, which learn
// of the same free slots at the same time. If each filled all free slots, the ranks
// would get many times what they have room for. No entry may send more than its load
// share of the free slots and half as much again, rounded up; together they may send
// no more than twice the number of free slots, and must send half of it.
func TestEntriesShareFreeSlots(t *testing.T) {
	const (
		entries        = 12
		ranks          = 60
		slots          = 12
		taken          = 11
		waitersPerRank = 4 // waiting requests at an entry, per rank of the group
		free           = ranks * (slots - taken)
		maxSent        = free*3/2/entries + 1
	)
	synctest.Test(t, func(t *testing.T) {
		schedulers := make([]*dispatch.Scheduler, entries)
		for i := range schedulers {
			schedulers[i] = newScheduler(ranks, slots)
			for range ranks * taken / entries {
				reserve(t, schedulers[i], dispatch.Request{Grouped: true})
			}
		}
		report := func() {
			for _, s := range schedulers {
				loads := make(map[foxtailstack.Address]dispatch.RankLoad, ranks)
				for i := range ranks {
					loads[rankAddress(i)] = dispatch.RankLoad{
						Load:     exchange.Load{Running: taken},
						Slowdown: 1,
					}
				}
				s.ObserveGroup(service, groupName, loads, 0)
			}
		}
		for range 40 { // until the load shares have settled
			report()
			time.Sleep(200 * time.Millisecond)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		sent := make(chan int, entries*ranks*waitersPerRank)
		report()
		for i, s := range schedulers {
			for range ranks * waitersPerRank {
				go func() {
					request := dispatch.Request{
						Service: service,
						Grouped: true,
					}
					_, err := s.Acquire(ctx, request)
					if err != nil {
						sent <- -1
						return
					}
					sent <- i
				}()
			}
		}
		total := 0
		var got [entries]int
		for range entries * ranks * waitersPerRank {
			if i := <-sent; i >= 0 {
				got[i]++
				total++
			}
		}
		for i, n := range got {
			if n > maxSent {
				t.Errorf("entry %d sent %d requests, more than %d of %d free slots", i, n, maxSent, free)
			}
		}
		if total < free/2 || total > 2*free {
			t.Errorf("%d requests were sent for %d free slots, want half to twice as many", total, free)
		}
	})
}

// A new entry has no requests at a group that other entries fill. Its load share must
// grow from the minimum, so that it gets a fair number of slots with time.
func TestNewEntryReachesItsLoadShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const ranks, slots = 10, 10
		s := newScheduler(ranks, slots)
		others := 90 // requests of other entries; they send fewer as this one sends more
		own := 0
		for range 50 {
			loads := make(map[foxtailstack.Address]dispatch.RankLoad, ranks)
			for i := range ranks {
				loads[rankAddress(i)] = dispatch.RankLoad{
					Load:     exchange.Load{Running: (others + own) / ranks},
					Slowdown: 1,
				}
			}
			s.ObserveGroup(service, groupName, loads, 0)
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			for {
				request := dispatch.Request{
					Service: service,
					Grouped: true,
				}
				_, err := s.Acquire(ctx, request)
				if err != nil {
					break
				}
				own++
			}
			cancel()
			others = min(others, 90-own)
			time.Sleep(200 * time.Millisecond)
		}
		if own < 10 {
			t.Errorf("after 50 statuses a new entry has %d requests at a group with 10 free slots, want at least 10", own)
		}
	})
}

// Guards against entries of a large fleet that start together, as after a loss of power, and
// each take the share of one of a few: the ranks would get many times what they have slots
// for, and the retries of all entries together would exceed the budget. The group has no
// load yet, or does not work at all.
func TestStartingEntriesTakeEqualShares(t *testing.T) {
	const (
		entries = 53
		ranks   = 129
		slots   = 6
	)
	synctest.Test(t, func(t *testing.T) {
		loads := make(map[foxtailstack.Address]dispatch.RankLoad, ranks)
		for i := range ranks {
			loads[rankAddress(i)] = dispatch.RankLoad{Slowdown: 1}
		}
		taken, shares := 0, 0.0
		for range entries {
			s := newScheduler(ranks, slots)
			s.ObserveEntries(service, groupName, entries)
			s.ObserveGroup(service, groupName, loads, 0)
			shares += s.LoadShare()
			taken += takeAll(t, s, 0)
		}
		const free = ranks * slots
		if taken < free/2 || taken > 2*free {
			t.Errorf("%d entries take %d of %d free slots, want at least half and at most twice as many", entries, taken, free)
		}
		if shares > 1.01 {
			t.Errorf("the load shares of %d entries add up to %.2f, want at most 1", entries, shares)
		}
	})
}

// Guards against a rank that comes back into the list, or all ranks while no status comes,
// getting the slots of all entries together: requests wait there until their callers leave.
func TestEntriesShareRanksWithoutReport(t *testing.T) {
	const (
		entries = 14
		ranks   = 20
		slots   = 10
	)
	tests := map[string]struct {
		// reported is the number of ranks in the status, age its age.
		reported int
		age      time.Duration
	}{
		"some ranks are in no status": {
			reported: ranks / 2,
		},
		"no status has come for long": {
			reported: ranks,
			age:      10 * time.Second,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				loads := make(map[foxtailstack.Address]dispatch.RankLoad, ranks)
				for i := range test.reported {
					loads[rankAddress(i)] = dispatch.RankLoad{
						Load:     exchange.Load{Running: slots},
						Slowdown: 1,
					}
				}
				taken := 0
				for range entries {
					s := newScheduler(ranks, slots)
					s.ObserveEntries(service, groupName, entries)
					s.ObserveGroup(service, groupName, loads, 0)
					time.Sleep(test.age)
					taken += takeAll(t, s, 0)
				}
				free := ranks * slots
				if test.age == 0 {
					free = (ranks - test.reported) * slots
				}
				if taken < free/2 || taken > 2*free {
					t.Errorf("%d entries take %d of %d slots, want at least half and at most twice as many", entries, taken, free)
				}
			})
		})
	}
}

// takeAll reserves all slots that a scheduler grants requests of an urgency, and returns their number.
func takeAll(t *testing.T, s *dispatch.Scheduler, urgency int) int {
	t.Helper()
	for n := 0; ; n++ {
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		_, err := s.Acquire(ctx, dispatch.Request{
			Service: service,
			Grouped: true,
			Urgency: urgency,
		})
		cancel()
		if err != nil {
			return n
		}
	}
}

// arrive lets a request of an urgency arrive that ends at once, with a slot or without.
func arrive(t *testing.T, s *dispatch.Scheduler, urgency int) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	reservation, err := s.Acquire(ctx, dispatch.Request{
		Service: service,
		Grouped: true,
		Urgency: urgency,
	})
	if err == nil {
		reservation.Release(dispatch.Report{})
	}
}

// Guards against the least urgent requests of many entries that find no rank while slots are
// free: where an entry may take one slot at few of the ranks, at others than those where the
// same requests leave enough for more urgent ones, or where the ranks that are full lower what
// it may take at the others. Each entry takes its load share and half as much again, rounded
// up, and together they take at least half of the slots.
func TestLeastUrgentTakeFreeSlots(t *testing.T) {
	const entries, ranks, slots = 53, 129, 6
	tests := map[string][2]int{ // requests at every other rank
		"all ranks have free slots": {3, 3},
		"every other rank is full":  {4, 6},
	}
	for name, running := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				loads := make([]int, ranks)
				free, taken := 0, 0
				for i := range loads {
					loads[i] = running[i%2]
					free += slots - loads[i]
				}
				for range entries {
					n := takeLeastUrgent(t, entries, slots, loads)
					if most := free*3/2/entries + 1; n > most {
						t.Errorf("an entry takes %d of %d free slots, want at most %d", n, free, most)
					}
					taken += n
				}
				if taken < free/2 || taken > 2*free {
					t.Errorf("%d entries take %d of %d free slots, want at least half and at most twice as many", entries, taken, free)
				}
			})
		})
	}
}

// takeLeastUrgent returns how many slots one of some entries takes for the less urgent of two
// kinds of requests at a group whose ranks have the given numbers of requests.
func takeLeastUrgent(t *testing.T, entries, slots int, loads []int) int {
	const leastUrgent = 2
	s := newScheduler(len(loads), slots)
	arrive(t, s, leastUrgent)
	s.ObserveEntries(service, groupName, entries)
	s.ObserveUrgencyUse(service, []dispatch.UrgencyUse{
		{
			Running:  40,
			Arrivals: 30,
		},
		{
			Urgency:  leastUrgent,
			Running:  350,
			Arrivals: 260,
		},
	}, 0)
	for range 2 { // the first tells the group of the ranks
		observeLoads(s, groupName, 0, 0, loads...)
		time.Sleep(time.Millisecond)
	}
	return takeAll(t, s, leastUrgent)
}
