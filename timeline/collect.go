package timeline

import (
	"context"
	"errors"
	"io"
	"sort"
	"sync"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/wire"
)

// StreamEvents is the kind of the streams that carry events.
const StreamEvents wire.Kind = "timeline"

const (
	// pageSize is the number of events in one message.
	pageSize = 512
	// collectTimeout bounds the collection from one process.
	collectTimeout = 2 * time.Second
	// collectParallel is the number of processes asked at once.
	collectParallel = 32
)

// Filter selects events. Its zero value selects all; a set field must match.
type Filter struct {
	Attempt  string `cbor:"1,keyasint,omitempty"`
	Upstream string `cbor:"2,keyasint,omitempty"`
	Resource string `cbor:"3,keyasint,omitempty"`
}

// Match reports whether the filter selects e.
func (f Filter) Match(e Event) bool {
	return (f.Attempt == "" || f.Attempt == e.Attempt) &&
		(f.Upstream == "" || f.Upstream == e.Upstream) &&
		(f.Resource == "" || f.Resource == e.Resource)
}

// page is a message with events.
type page struct {
	Events []Event `cbor:"1,keyasint"`
}

// Select returns the kept events that a filter selects, in order.
func (r *Ring) Select(filter Filter) []Event {
	var selected []Event
	for _, e := range r.Events() {
		if filter.Match(e) {
			selected = append(selected, e)
		}
	}
	return selected
}

// ServeEvents is the handler of StreamEvents.
func (r *Ring) ServeEvents(_ context.Context, stream *wire.Stream) {
	var filter Filter
	err := stream.Receive(&filter)
	if err != nil {
		stream.Cancel()
		return
	}
	events := r.Select(filter)
	for len(events) > 0 {
		n := min(pageSize, len(events))
		err = stream.Send(page{Events: events[:n]})
		if err != nil {
			return
		}
		events = events[n:]
	}
}

// Collector merges the events of all processes.
type Collector struct {
	Client *wire.Client
	// Ring holds the events of this process.
	Ring *Ring
	// Peers returns the addresses of the other processes.
	Peers func(ctx context.Context) []foxtailstack.Address
}

// Collection is the result of a Collector.
type Collection struct {
	Events []Event `json:"events"`
	// Missing lists the processes that did not answer.
	Missing []foxtailstack.Address `json:"missing"`
}

// Collect returns the events that a filter selects, in the order of their
// timestamps.
func (c *Collector) Collect(ctx context.Context, filter Filter) Collection {
	collection := Collection{
		Events:  c.Ring.Select(filter),
		Missing: []foxtailstack.Address{},
	}
	var mu sync.Mutex
	var group sync.WaitGroup
	slots := make(chan struct{}, collectParallel)
	for _, address := range c.Peers(ctx) {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			events, err := c.ask(ctx, address, filter)
			mu.Lock()
			defer mu.Unlock()
			collection.Events = append(collection.Events, events...)
			if err != nil {
				collection.Missing = append(collection.Missing, address)
			}
		})
	}
	group.Wait()
	collection.sort()
	return collection
}

// sort puts the collection into an order that does not depend on who answered
// first.
func (c *Collection) sort() {
	sort.SliceStable(c.Events, func(i, j int) bool {
		a, b := c.Events[i], c.Events[j]
		if a.At != b.At {
			return a.At.Before(b.At)
		}
		return a.Instance < b.Instance
	})
	sort.Slice(c.Missing, func(i, j int) bool { return c.Missing[i] < c.Missing[j] })
}

// ask returns the events of one process.
func (c *Collector) ask(ctx context.Context, address foxtailstack.Address, filter Filter) ([]Event, error) {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	stream, err := c.Client.Open(ctx, address, StreamEvents)
	if err != nil {
		return nil, err
	}
	defer stream.Cancel()
	stop := context.AfterFunc(ctx, stream.Cancel)
	defer stop()
	err = stream.Send(filter)
	if err != nil {
		return nil, err
	}
	var events []Event
	for {
		var next page
		err = stream.Receive(&next)
		if errors.Is(err, io.EOF) {
			return events, nil
		}
		if err != nil {
			return events, err
		}
		events = append(events, next.Events...)
	}
}
