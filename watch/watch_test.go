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

// feed is a table in memory whose calls can fail.
type feed struct {
	mu      sync.Mutex
	rows    map[string]foxtailstack.Record
	version foxtailstack.StoreVersion
	gone    bool
	down    bool
	reads   int
	calls   int
}

func (f *feed) put(name, value string) {
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

func (f *feed) Read(context.Context, string) ([]foxtailstack.Record, foxtailstack.StoreVersion, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	f.calls++
	if f.down {
		return nil, 0, foxtailstack.ErrUnavailable
	}
	var all []foxtailstack.Record
	for _, r := range f.rows {
		all = append(all, r)
	}
	f.gone = false
	return all, f.version, nil
}

func (f *feed) Changes(
	ctx context.Context,
	_ string,
	after foxtailstack.StoreVersion,
	wait time.Duration,
) ([]foxtailstack.Record, foxtailstack.StoreVersion, error) {
	until := time.Now().Add(wait)
	for {
		f.mu.Lock()
		f.calls++
		var changed []foxtailstack.Record
		for _, r := range f.rows {
			if r.Version > after {
				changed = append(changed, r)
			}
		}
		version, gone, down := f.version, f.gone, f.down
		f.mu.Unlock()
		switch {
		case down:
			return nil, after, foxtailstack.ErrUnavailable
		case gone:
			return nil, after, foxtailstack.ErrHistoryGone
		case len(changed) > 0 || time.Now().After(until):
			return changed, version, nil
		}
		time.Sleep(10 * time.Millisecond)
		if ctx.Err() != nil {
			return nil, after, ctx.Err()
		}
	}
}

// set changes the state of the feed.
func (f *feed) set(change func(f *feed)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// seen collects what a follower is told.
type seen struct {
	mu      sync.Mutex
	rows    map[string]string
	current time.Duration
}

func (s *seen) replace(records []foxtailstack.Record, version foxtailstack.StoreVersion) {
	s.mu.Lock()
	s.rows = make(map[string]string)
	s.mu.Unlock()
	s.update(records, version)
}

func (s *seen) update(records []foxtailstack.Record, _ foxtailstack.StoreVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		s.rows[r.Name] = string(r.Value)
	}
}

func (s *seen) get() map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := make(map[string]string)
	for k, v := range s.rows {
		rows[k] = v
	}
	return rows
}

// follow starts a follower of f.
func follow(ctx context.Context, f *feed, s *seen) {
	began := time.Now()
	follower := &watch.Follower{
		Feed:            f,
		Table:           "t",
		LongPollTimeout: time.Second,
		Replace:         s.replace,
		Update:          s.update,
		ConfirmCurrent: func(at time.Duration) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.current = at
		},
		Now: func() time.Duration { return time.Since(began) },
		Log: zap.NewNop(),
	}
	go follower.Run(ctx)
}

func TestFollower(t *testing.T) {
	tests := map[string]func(f *feed){
		"change": func(f *feed) {
			f.put("a", "2")
		},
		"history gone": func(f *feed) {
			f.set(func(f *feed) { f.gone = true })
			f.put("a", "2")
		},
		"outage": func(f *feed) {
			f.set(func(f *feed) { f.down = true })
			time.Sleep(5 * time.Second)
			f.put("a", "2")
			f.set(func(f *feed) { f.down = false })
		},
		"outage that loses the history": func(f *feed) {
			f.set(func(f *feed) { f.down, f.gone = true, true })
			time.Sleep(5 * time.Second)
			f.put("a", "2")
			f.set(func(f *feed) { f.down = false })
		},
	}
	for name, trouble := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				f := &feed{}
				s := &seen{}
				f.put("a", "1")
				follow(ctx, f, s)
				time.Sleep(2 * time.Second)
				trouble(f)
				time.Sleep(time.Second)
				if diff := cmp.Diff(map[string]string{"a": "2"}, s.get()); diff != "" {
					t.Errorf("rows differ a second later (-want +got):\n%s", diff)
				}
				cancel()
				time.Sleep(time.Minute)
			})
		})
	}
}

// An outage does not make a follower call the store more than a few times a second.
func TestFollowerPausesInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &feed{down: true}
		follow(ctx, f, &seen{})
		time.Sleep(20 * time.Second)
		f.mu.Lock()
		calls := f.calls
		f.mu.Unlock()
		if calls > 120 {
			t.Errorf("%d calls in 20 s of outage", calls)
		}
		cancel()
		time.Sleep(time.Minute)
	})
}

// What is known is proved current while the store answers, and not in an outage.
func TestFollowerProvesCurrency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		began := time.Now()
		f := &feed{}
		s := &seen{}
		follow(ctx, f, s)
		age := func() time.Duration {
			s.mu.Lock()
			defer s.mu.Unlock()
			return time.Since(began) - s.current
		}
		time.Sleep(10 * time.Second)
		if age() > 2500*time.Millisecond {
			t.Errorf("age %v while the store answers", age())
		}
		f.set(func(f *feed) { f.down = true })
		time.Sleep(5 * time.Second)
		if age() < 5*time.Second {
			t.Errorf("age %v after 5 s of outage", age())
		}
		cancel()
		time.Sleep(time.Minute)
	})
}

// newView returns a view whose rows are named by their value.
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

// config returns the row of a configuration.
func config(version byte) []foxtailstack.Record {
	return []foxtailstack.Record{{
		Name:  "config",
		Value: []byte{version},
	}}
}

// A view never goes back, whoever tells it of an older configuration.
func TestViewNeverGoesBack(t *testing.T) {
	v := newView()
	steps := []struct {
		rows []foxtailstack.Record
		want route.Version
	}{
		{
			rows: config(3),
			want: 3,
		},
		{
			rows: config(2),
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
			rows: config(7),
			want: 7,
		},
	}
	if v.Config() != nil {
		t.Error("an empty view has a configuration")
	}
	for i, step := range steps {
		v.SetConfig(step.rows, 0)
		if got := v.Config().Version; got != step.want {
			t.Errorf("step %d: got version %d, want %d", i, got, step.want)
		}
	}
}

// Rows of other writers name no upstream, and the others hold.
func TestViewSkipsStrangeRows(t *testing.T) {
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
		t.Errorf("got %d ready of %d upstreams, want none of one", got, v.Fleet().Len())
	}
	if changes != 2 || v.Fleet().Revision != 6 {
		t.Errorf("got %d changes and revision %d, want 2 and 6", changes, v.Fleet().Revision)
	}
}
