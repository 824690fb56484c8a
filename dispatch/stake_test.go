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

// Pattern: all ranks of a group are nearly full and requests wait at all entries,
// which are told of the same free slots at the same time. Together they send little
// more than there is room for, and not as much each: no entry takes more than its part
// and the half more that it may, rounded up.
func TestEntriesShareFreeSlots(t *testing.T) {
	const (
		entries = 12
		ranks   = 60
		slots   = 12
		taken   = 11
		each    = 4 // requests that wait at an entry for each free slot of the group
		free    = ranks * (slots - taken)
		most    = free*3/2/entries + 1
	)
	synctest.Test(t, func(t *testing.T) {
		boards := make([]*dispatch.Scheduler, entries)
		for i := range boards {
			boards[i] = newBoard(ranks, slots)
			for range ranks * taken / entries {
				take(t, boards[i], dispatch.Request{Grouped: true})
			}
		}
		tell := func() {
			for _, b := range boards {
				loads := make(map[foxtailstack.Address]dispatch.RankLoad, ranks)
				for i := range ranks {
					loads[herdAddress(i)] = dispatch.RankLoad{
						Load:     exchange.Load{Running: taken},
						Slowdown: 1,
					}
				}
				b.ObserveGroup(service, groupName, loads, 0)
			}
		}
		for range 40 { // until each knows its part
			tell()
			time.Sleep(200 * time.Millisecond)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		sent := make(chan int, entries*ranks*each)
		tell()
		for i, b := range boards {
			for range ranks * each {
				go func() {
					ask := dispatch.Request{
						Service: service,
						Grouped: true,
					}
					_, err := b.Acquire(ctx, ask)
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
		for range entries * ranks * each {
			if i := <-sent; i >= 0 {
				got[i]++
				total++
			}
		}
		for i, n := range got {
			if n > most {
				t.Errorf("entry %d sent %d requests, more than %d of %d free slots", i, n, most, free)
			}
		}
		if total < free/2 || total > 2*free {
			t.Errorf("%d requests were sent for %d free slots", total, free)
		}
	})
}

// A process that has nothing at a group yet gets its part of it as time goes on.
func TestNewEntryGetsItsPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const ranks, slots = 10, 10
		b := newBoard(ranks, slots)
		others := 90 // requests of other entries, which give way as this one sends
		own := 0
		for range 50 {
			loads := make(map[foxtailstack.Address]dispatch.RankLoad, ranks)
			for i := range ranks {
				loads[herdAddress(i)] = dispatch.RankLoad{
					Load:     exchange.Load{Running: (others + own) / ranks},
					Slowdown: 1,
				}
			}
			b.ObserveGroup(service, groupName, loads, 0)
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			for {
				ask := dispatch.Request{
					Service: service,
					Grouped: true,
				}
				_, err := b.Acquire(ctx, ask)
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
			t.Errorf("after 10 s a new entry has %d requests at a group with 10 free slots", own)
		}
	})
}
