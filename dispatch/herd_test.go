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
	// herdEntries send to herdRanks, each with herdSlots.
	herdEntries = 12
	herdRanks   = 63
	herdSlots   = 10
	// herdRate is the number of requests a second, herdLasts how long each runs:
	// 500 of the 630 slots are taken.
	herdRate  = 250
	herdLasts = 2 * time.Second
	// herdTold is the time between two statuses, herdAge how old they are then.
	herdTold = 300 * time.Millisecond
	herdAge  = 150 * time.Millisecond
	// herdTime is the time that is played.
	herdTime = 10 * time.Second
)

// chooser is how one entry chooses ranks.
type chooser interface {
	// told takes the requests at each rank as they were herdAge ago.
	told(running []int)
	// send returns the rank for a request and what is to be called at its end.
	send(t *testing.T) (rank int, done func())
}

// boardChooser chooses by a Board.
type boardChooser struct {
	board *dispatch.Scheduler
	index map[foxtailstack.Address]int
}

func newBoardChooser() *boardChooser {
	c := &boardChooser{
		board: newBoard(herdRanks, herdSlots),
		index: make(map[foxtailstack.Address]int),
	}
	for i := range herdRanks {
		c.index[herdAddress(i)] = i
	}
	return c
}

// herdAddress returns the address of a rank of newBoard.
func herdAddress(rank int) foxtailstack.Address {
	return foxtailstack.Address(fmt.Sprintf("10.0.0.%d:1", rank))
}

func (c *boardChooser) told(running []int) {
	ranks := make(map[foxtailstack.Address]dispatch.RankLoad, len(running))
	for i, n := range running {
		ranks[herdAddress(i)] = dispatch.RankLoad{
			Load:     exchange.Load{Running: n},
			Slowdown: 1,
		}
	}
	c.board.ObserveGroup(service, groupName, ranks, herdAge)
}

func (c *boardChooser) send(t *testing.T) (int, func()) {
	// An entry that has taken its part of the free slots waits for the next status.
	ctx, cancel := context.WithTimeout(t.Context(), 2*herdTold)
	defer cancel()
	ticket, err := c.board.Acquire(ctx, dispatch.Request{
		Service: service,
		Grouped: true,
	})
	if err != nil {
		t.Fatalf("no ticket: %v", err)
	}
	return c.index[ticket.Upstream.Address], func() {
		ticket.Release(dispatch.Report{Outcome: dispatch.Answered})
	}
}

// leastChooser takes the rank with the least requests: those told last and those
// that the entry has sent since.
type leastChooser struct {
	mu   sync.Mutex
	load [herdRanks]int
}

func (c *leastChooser) told(running []int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	copy(c.load[:], running)
}

func (c *leastChooser) send(*testing.T) (int, func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	start := rand.IntN(herdRanks)
	least := start
	for i := range herdRanks {
		rank := (start + i) % herdRanks
		if c.load[rank] < c.load[least] {
			least = rank
		}
	}
	c.load[least]++
	return least, func() {}
}

// playHerd lets entries send steadily and returns how many of their requests met a
// rank without a free slot.
func playHerd(t *testing.T, seed uint64, choosers []chooser) int {
	rng := rand.New(rand.NewPCG(seed, 2))
	var mu sync.Mutex // guards running, which timers change
	running := make([]int, herdRanks)
	full := 0
	next := time.Now()
	for began := time.Now(); time.Since(began) < herdTime; {
		if !time.Now().Before(next) {
			mu.Lock()
			said := append([]int(nil), running...)
			mu.Unlock()
			time.AfterFunc(herdAge, func() {
				for _, c := range choosers {
					c.told(said)
				}
			})
			next = next.Add(herdTold)
		}
		rank, done := choosers[rng.IntN(len(choosers))].send(t)
		mu.Lock()
		if running[rank] >= herdSlots {
			full++
		}
		running[rank]++
		mu.Unlock()
		time.AfterFunc(herdLasts, func() {
			mu.Lock()
			running[rank]--
			mu.Unlock()
			done()
		})
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(time.Second) / herdRate))
	}
	time.Sleep(2 * herdLasts) // lets all requests end
	return full
}

// Pattern: many entries are told the loads of all ranks at the same times, a good
// while after they were so, and send steadily. A third less requests or fewer meet a
// full rank than when each entry takes the rank with the least load.
func TestEntriesDoNotHerd(t *testing.T) {
	const plays = 4
	got, yardstick := 0, 0
	for seed := range uint64(plays) {
		synctest.Test(t, func(t *testing.T) {
			var boards, least []chooser
			for range herdEntries {
				boards = append(boards, newBoardChooser())
				least = append(least, &leastChooser{})
			}
			got += playHerd(t, seed, boards)
			yardstick += playHerd(t, seed, least)
		})
	}
	if got > yardstick*2/3 {
		t.Errorf("%d requests met a full rank, %d if each goes to the rank with the least load", got, yardstick)
	}
}
