package watch_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/watch"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
)

// Guards against a call to the store for each of the changes that several writers make at
// nearly the same time: a Follower with a ChangePause gets the first at once, and the
// others together.
func TestFollowerPausesAfterChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &fakeFeed{}
		f.put("a", "1")
		var updates [][]string
		follower := &watch.Follower{
			Feed:            f,
			LongPollTimeout: time.Minute,
			ChangePause:     time.Second,
			Replace:         func([]foxtailstack.Record, foxtailstack.StoreVersion) {},
			Update: func(records []foxtailstack.Record, _ foxtailstack.StoreVersion) {
				var names []string
				for _, r := range records {
					names = append(names, r.Name)
				}
				slices.Sort(names)
				updates = append(updates, names)
			},
			Now: func() time.Duration { return 0 },
			Log: zap.NewNop(),
		}
		go follower.Run(ctx)
		time.Sleep(time.Second)
		for _, name := range []string{"b", "c", "d"} {
			f.put(name, "1")
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		cancel()
		time.Sleep(time.Minute) // lets the goroutine of the Follower end before the bubble does
		synctest.Wait()
		if diff := cmp.Diff([][]string{{"b"}, {"c", "d"}}, updates); diff != "" {
			t.Errorf("updates (-want +got):\n%s", diff)
		}
	})
}

// Guards against a call to the store for each of the upstreams of a large fleet that start
// together, at each entry: 129 of them within four seconds. And against a long pause after the
// first of them, in which requests go to upstreams that are gone.
func TestFollowerOfStartingFleetMakesFewCalls(t *testing.T) {
	const (
		upstreams   = 129
		soonRows    = 4
		startTime   = 4 * time.Second
		firstPause  = 60 * time.Millisecond
		changePause = 500 * time.Millisecond
		maxCalls    = int(startTime/changePause) + 4
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &fakeFeed{}
		f.put("first", "1")
		updates, rows := 0, 0
		soonAt := time.Time{}
		follower := &watch.Follower{
			Feed:            f,
			LongPollTimeout: time.Minute,
			ChangePause:     firstPause,
			MaxChangePause:  changePause,
			Replace:         func([]foxtailstack.Record, foxtailstack.StoreVersion) {},
			Update: func(records []foxtailstack.Record, _ foxtailstack.StoreVersion) {
				updates++
				rows += len(records)
				if rows >= soonRows && soonAt.IsZero() {
					soonAt = time.Now()
				}
			},
			Now: func() time.Duration { return 0 },
			Log: zap.NewNop(),
		}
		go follower.Run(ctx)
		time.Sleep(time.Second)
		began := time.Now()
		for i := range upstreams {
			f.put(fmt.Sprintf("upstream-%d", i), "1")
			time.Sleep(startTime / upstreams)
		}
		time.Sleep(2 * changePause)
		cancel()
		time.Sleep(time.Minute) // lets the goroutine of the Follower end before the bubble does
		synctest.Wait()
		if soon := soonAt.Sub(began); soon > changePause/2 {
			t.Errorf("the first %d upstreams were known after %s, want at most %s", soonRows, soon, changePause/2)
		}
		if rows != upstreams {
			t.Errorf("got %d rows, want %d", rows, upstreams)
		}
		if updates > maxCalls {
			t.Errorf("got %d responses with changes, want at most %d", updates, maxCalls)
		}
	})
}
