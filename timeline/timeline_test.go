package timeline_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/keys"
	"github.com/foxtailstack/foxtailstack/timeline"
	"github.com/foxtailstack/foxtailstack/wire"
	"github.com/google/go-cmp/cmp"
)

func TestRingKeepsLastEvents(t *testing.T) {
	ring := &timeline.Ring{Size: 3}
	for _, text := range []string{"a", "b", "c", "d", "e"} {
		ring.Record(timeline.Event{Text: text})
	}
	if diff := cmp.Diff([]string{"c", "d", "e"}, texts(ring.Events())); diff != "" {
		t.Errorf("events differ (-want +got):\n%s", diff)
	}
}

func TestObserveOrdersAcrossClocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ahead := timeline.Timestamp{Wall: time.Now().Add(time.Hour).UnixNano()}
		ring := &timeline.Ring{}
		ring.Observe(ahead)
		ring.Record(timeline.Event{Text: "effect"})
		time.Sleep(time.Second)
		ring.Record(timeline.Event{Text: "later"})
		events := ring.Events()
		if !ahead.Before(events[0].At) || !events[0].At.Before(events[1].At) {
			t.Errorf("timestamps do not rise: %+v, %+v", ahead, events)
		}
	})
}

func TestCollectMergesProcesses(t *testing.T) {
	authority, err := keys.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	pair, err := authority.Issue("node", "127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	config, err := keys.NewConfig(pair, authority.Cert)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	own := &timeline.Ring{Instance: "entry1"}
	other := &timeline.Ring{Instance: "sidecar1"}
	var mux wire.Mux
	mux.Handle(timeline.StreamEvents, other.ServeEvents)
	addr, err := mux.Listen("127.0.0.1:0", config.Peer)
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = mux.Serve(ctx) }()

	client := wire.NewClient(config.Peer)
	defer client.Close()
	own.Record(timeline.Event{
		Attempt: "1",
		Text:    "sent",
	})
	other.Observe(own.Now())
	other.Record(timeline.Event{
		Attempt: "1",
		Text:    "run",
	})
	other.Record(timeline.Event{
		Attempt: "2",
		Text:    "run of another attempt",
	})
	own.Observe(other.Now())
	own.Record(timeline.Event{
		Attempt: "1",
		Text:    "answered",
	})
	collector := &timeline.Collector{
		Client: client,
		Ring:   own,
		Peers: func(context.Context) []foxtailstack.Address {
			return []foxtailstack.Address{foxtailstack.Address(addr.String()), "127.0.0.1:1"}
		},
	}
	got := collector.Collect(ctx, timeline.Filter{Attempt: "1"})
	if diff := cmp.Diff([]string{"sent", "run", "answered"}, texts(got.Events)); diff != "" {
		t.Errorf("events differ (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]foxtailstack.Address{"127.0.0.1:1"}, got.Missing); diff != "" {
		t.Errorf("missing processes differ (-want +got):\n%s", diff)
	}
}

func texts(events []timeline.Event) []string {
	var all []string
	for _, e := range events {
		all = append(all, e.Text)
	}
	return all
}
