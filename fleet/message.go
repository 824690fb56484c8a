package fleet

import (
	"context"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/wire"
)

// Kinds of streams of this package.
const (
	// StreamConfig spreads the configuration and collects reports.
	StreamConfig wire.Kind = "config"
	// StreamSummary exchanges the reports of data centres.
	StreamSummary wire.Kind = "configsummary"
)

// maxChunk bounds the changes in one message in bytes, but for a single one.
const maxChunk = 256 << 10

// Stream carries the messages of one exchange with a peer.
type Stream interface {
	Send(v any) error
	Receive(v any) error
	// Cancel ends the stream in both directions.
	Cancel()
}

// Dialer opens streams to peers.
type Dialer interface {
	Open(ctx context.Context, address foxtailstack.Address, kind wire.Kind) (Stream, error)
}

// WireDialer is a Dialer over the connections of a wire.Client.
type WireDialer struct {
	Client *wire.Client
}

// Open opens a stream of a kind.
func (d WireDialer) Open(ctx context.Context, address foxtailstack.Address, kind wire.Kind) (Stream, error) {
	stream, err := d.Client.Open(ctx, address, kind)
	if err != nil {
		return nil, err
	}
	return stream, nil
}

// mode says what a subscriber asks for.
type mode uint8

const (
	// modeFollow asks for all changes from now on.
	modeFollow mode = iota
	// modeProbe asks for the revision in force alone.
	modeProbe
	// modeFetch asks for the changes up to now.
	modeFetch
)

// subscribe is the first message of a subscriber.
type subscribe struct {
	Revision foxtailstack.Revision `cbor:"1,keyasint"`
	Mode     mode                  `cbor:"2,keyasint,omitempty"`
}

// report is what a subscriber tells of itself and of its own subscribers.
type report struct {
	Counts []Count `cbor:"1,keyasint,omitempty"`
}

// summary is what the root of a tree tells the other roots.
type summary struct {
	Instance foxtailstack.InstanceName `cbor:"1,keyasint"`
	Counts   []Count                   `cbor:"2,keyasint"`
}

// update is what a relay sends: changes, a part of the whole configuration, or
// neither as a heartbeat.
type update struct {
	// Revision is that in force after the update.
	Revision foxtailstack.Revision `cbor:"1,keyasint"`
	// Checked and Tried are the times since the table was last read, and since
	// that was last tried, by the process at the root of the tree.
	Checked time.Duration `cbor:"2,keyasint"`
	Tried   time.Duration `cbor:"3,keyasint"`
	Changes []Change      `cbor:"4,keyasint,omitempty"`
	// Whole tells that Changes are a part of the whole configuration.
	Whole bool `cbor:"5,keyasint,omitempty"`
	// More tells that further parts follow.
	More bool `cbor:"6,keyasint,omitempty"`
	// Counts are the revisions in force in the whole system.
	Counts []Count `cbor:"7,keyasint,omitempty"`
}

// chunks splits changes into parts that fit messages; there is at least one.
func chunks(changes []Change) [][]Change {
	var parts [][]Change
	size, start := 0, 0
	for i, change := range changes {
		n := changeOverhead + len(change.Resource.Spec)
		if size+n > maxChunk && i > start {
			parts = append(parts, changes[start:i])
			size, start = 0, i
		}
		size += n
	}
	return append(parts, changes[start:])
}

// wholeOf returns the resources of a snapshot as changes.
func wholeOf(s *Snapshot) []Change {
	changes := make([]Change, 0, len(s.Resources))
	for _, resource := range s.Resources {
		changes = append(changes, Change{Resource: resource})
	}
	return changes
}
