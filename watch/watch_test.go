package watch_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/route"
	"github.com/foxtailstack/foxtailstack/watch"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
)

// fakeFeed is a foxtailstack.Feed in memory whose calls can be made to fail.
type fakeFeed struct {
	mu          sync.Mutex
	rows        map[string]foxtailstack.Record
	version     foxtailstack.StoreVersion
	historyGone bool
	unavailable bool
	reads       int
	// calls counts the calls of Read and the checks for changes, of which one call of
	// Changes makes one every 10 ms until it returns.
	calls int
}

func (f *fakeFeed) put(name, value string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rows == nil {
		f.rows = make(map[string]foxtailstack.Record)
	}
	f.version++
	f.rows[name] = foxtailstack.Record{
		Name:    name,
		Version: f.version,
		Value:   []byte(value),
	}
}

func (f *fakeFeed) Read(context.Context, string) ([]foxtailstack.Record, foxtailstack.StoreVersion, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	f.calls++
	if f.unavailable {
		return nil, 0, foxtailstack.ErrUnavailable
	}
	var all []foxtailstack.Record
	for _, r := range f.rows {
		all = append(all, r)
	}
	f.historyGone = false
	return all, f.version, nil
}

func (f *fakeFeed) Changes(
	ctx context.Context,
	_ string,
	after foxtailstack.StoreVersion,
	wait time.Duration,
) ([]foxtailstack.Record, foxtailstack.StoreVersion, error) {
	deadline := time.Now().Add(wait)
	for {
		f.mu.Lock()
		f.calls++
		var changed []foxtailstack.Record
		for _, r := range f.rows {
			if r.Version > after {
				changed = append(changed, r)
			}
		}
		version, historyGone, unavailable := f.version, f.historyGone, f.unavailable
		f.mu.Unlock()
		switch {
		case unavailable:
			return nil, after, foxtailstack.ErrUnavailable
		case historyGone:
			return nil, after, foxtailstack.ErrHistoryGone
		case len(changed) > 0 || time.Now().After(deadline):
			return changed, version, nil
		}
		time.Sleep(10 * time.Millisecond)
		if ctx.Err() != nil {
			return nil, after, ctx.Err()
		}
	}
}

// modify calls change with the mutex held.
func (f *fakeFeed) modify(change func(f *fakeFeed)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// received records the rows and confirmations that a Follower passes on.
type received struct {
	mu sync.Mutex
	// rows maps the name of a row to its value.
	rows        map[string]string
	confirmedAt time.Duration
}

func (s *received) replace(records []foxtailstack.Record, version foxtailstack.StoreVersion) {
	s.mu.Lock()
	s.rows = make(map[string]string)
	s.mu.Unlock()
	s.update(records, version)
}

func (s *received) update(records []foxtailstack.Record, _ foxtailstack.StoreVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		s.rows[r.Name] = string(r.Value)
	}
}

func (s *received) snapshot() map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := make(map[string]string)
	for k, v := range s.rows {
		rows[k] = v
	}
	return rows
}

// startFollower runs a Follower of f that reports to s until ctx is done.
func startFollower(ctx context.Context, f *fakeFeed, s *received) {
	start := time.Now()
	follower := &watch.Follower{
		Feed:            f,
		Table:           "t",
		LongPollTimeout: time.Second,
		Replace:         s.replace,
		Update:          s.update,
		ConfirmCurrent: func(at time.Duration) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.confirmedAt = at
		},
		Now: func() time.Duration { return time.Since(start) },
		Log: zap.NewNop(),
	}
	go follower.Run(ctx)
}

// A Follower passes on a change within a second of its commit. After an outage it does
// so within a second of the store's return. Both hold also if it has to read the whole
// table again.
func TestFollower(t *testing.T) {
	tests := map[string]func(f *fakeFeed){
		"change": func(f *fakeFeed) {
			f.put("a", "2")
		},
		"history gone": func(f *fakeFeed) {
			f.modify(func(f *fakeFeed) { f.historyGone = true })
			f.put("a", "2")
		},
		"outage": func(f *fakeFeed) {
			f.modify(func(f *fakeFeed) { f.unavailable = true })
			time.Sleep(5 * time.Second)
			f.put("a", "2")
			f.modify(func(f *fakeFeed) { f.unavailable = false })
		},
		"outage that loses the history": func(f *fakeFeed) {
			f.modify(func(f *fakeFeed) { f.unavailable, f.historyGone = true, true })
			time.Sleep(5 * time.Second)
			f.put("a", "2")
			f.modify(func(f *fakeFeed) { f.unavailable = false })
		},
	}
	for name, disturb := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				f := &fakeFeed{}
				s := &received{}
				f.put("a", "1")
				startFollower(ctx, f, s)
				time.Sleep(2 * time.Second)
				disturb(f)
				time.Sleep(time.Second)
				if diff := cmp.Diff(map[string]string{"a": "2"}, s.snapshot()); diff != "" {
					t.Errorf("rows differ 1 s after the change (-want +got):\n%s", diff)
				}
				cancel()
				time.Sleep(time.Minute) // lets the goroutine of the Follower end before the bubble does
			})
		})
	}
}

// During an outage a Follower backs off and makes at most a few calls a second.
func TestFollowerPausesInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &fakeFeed{unavailable: true}
		startFollower(ctx, f, &received{})
		time.Sleep(20 * time.Second)
		f.mu.Lock()
		calls := f.calls
		f.mu.Unlock()
		if calls > 120 {
			t.Errorf("got %d calls to the store in a 20 s outage, want at most 120", calls)
		}
		cancel()
		time.Sleep(time.Minute) // lets the goroutine of the Follower end before the bubble does
	})
}

// A Follower confirms that its rows are current while the store answers, and stops
// doing so during an outage.
func TestFollowerConfirmsCurrency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		start := time.Now()
		f := &fakeFeed{}
		s := &received{}
		startFollower(ctx, f, s)
		age := func() time.Duration {
			s.mu.Lock()
			defer s.mu.Unlock()
			return time.Since(start) - s.confirmedAt
		}
		time.Sleep(10 * time.Second)
		if age() > 2500*time.Millisecond {
			t.Errorf("last confirmation is %v old while the store answers, want at most 2.5 s", age())
		}
		f.modify(func(f *fakeFeed) { f.unavailable = true })
		time.Sleep(5 * time.Second)
		if age() < 5*time.Second {
			t.Errorf("last confirmation is %v old after an outage of 5 s, want at least 5 s", age())
		}
		cancel()
		time.Sleep(time.Minute) // lets the goroutine of the Follower end before the bubble does
	})
}

// newView returns a View with a decoder for tests: the one byte of a configuration
// row is the version, and the value of an upstream row is its state. The value
// "strange" cannot be decoded.
func newView() *watch.View {
	return &watch.View{
		Decoder: watch.Decoder{
			ConfigRow: "config",
			Config: func(data []byte) (*route.Config, error) {
				if len(data) != 1 {
					return nil, errors.New("not one byte")
				}
				return &route.Config{Version: route.Version(data[0])}, nil
			},
			Upstream: func(name string, data []byte) (route.Upstream, error) {
				if string(data) == "strange" {
					return route.Upstream{}, errors.New("strange")
				}
				return route.Upstream{
					Name:     foxtailstack.UpstreamName(name),
					Service:  "s",
					Draining: string(data) == "draining",
				}, nil
			},
		},
		Log: zap.NewNop(),
	}
}

// configRows returns the configuration row with a version.
func configRows(version byte) []foxtailstack.Record {
	return []foxtailstack.Record{{
		Name:  "config",
		Value: []byte{version},
	}}
}

// A View keeps its configuration when it receives an older version, a deletion, a row
// that cannot be decoded or a row of another name.
func TestViewKeepsConfig(t *testing.T) {
	v := newView()
	steps := []struct {
		rows []foxtailstack.Record
		want route.Version
	}{
		{
			rows: configRows(3),
			want: 3,
		},
		{
			rows: configRows(2),
			want: 3,
		},
		{
			rows: []foxtailstack.Record{{
				Name:    "config",
				Deleted: true,
			}},
			want: 3,
		},
		{
			rows: []foxtailstack.Record{{
				Name:  "config",
				Value: []byte("cannot be read"),
			}},
			want: 3,
		},
		{
			rows: []foxtailstack.Record{{
				Name:  "another",
				Value: []byte{9},
			}},
			want: 3,
		},
		{
			rows: configRows(7),
			want: 7,
		},
	}
	if v.Config() != nil {
		t.Error("got a configuration from an empty View, want nil")
	}
	for i, step := range steps {
		v.SetConfig(step.rows, 0)
		if got := v.Config().Version; got != step.want {
			t.Errorf("SetConfig in step %d: got version %d, want %d", i, got, step.want)
		}
	}
}

// Other writers may put rows into the upstream table. An upstream row that cannot be
// decoded is skipped and the other rows are applied.
func TestViewSkipsUnreadableRows(t *testing.T) {
	v := newView()
	changes := 0
	v.OnFleetChange = func() { changes++ }
	v.ReplaceFleet([]foxtailstack.Record{
		{
			Name:  "u1",
			Value: []byte("ready"),
		},
		{
			Name:  "u2",
			Value: []byte("strange"),
		},
		{
			Name:  "u3",
			Value: []byte("ready"),
		},
	}, 5)
	if got := len(v.Fleet().Ready("s")); got != 2 {
		t.Errorf("got %d ready upstreams, want 2", got)
	}
	v.UpdateFleet([]foxtailstack.Record{
		{
			Name:  "u1",
			Value: []byte("draining"),
		},
		{
			Name:    "u3",
			Deleted: true,
		},
	}, 6)
	if got := len(v.Fleet().Ready("s")); got != 0 || v.Fleet().Len() != 1 {
		t.Errorf("got %d ready of %d upstreams, want 0 of 1", got, v.Fleet().Len())
	}
	if changes != 2 || v.Fleet().StoreVersion != 6 {
		t.Errorf("got %d calls of OnFleetChange and store version %d, want 2 and 6", changes, v.Fleet().StoreVersion)
	}
}
