package upstream

import (
	"context"

	"github.com/foxtailstack/foxtailstack/wire"
)

// StreamProbe is the kind of the streams that ask for the load of a gate.
const StreamProbe wire.Kind = "probe"

// Probe asks for the load of an upstream.
type Probe struct {
	// Upstream is the name of the upstream's resource.
	Upstream string `cbor:"1,keyasint"`
}

// Sighting is the answer to a Probe.
type Sighting struct {
	Load Load `cbor:"1,keyasint"`
	// Wrong is set if the sidecar stands beside another upstream.
	Wrong bool `cbor:"2,keyasint,omitempty"`
	// Held are the prefixes that the engine probably holds.
	Held PrefixSet `cbor:"3,keyasint,omitempty"`
}

// ServeProbe is the handler of StreamProbe.
func (s *Server) ServeProbe(_ context.Context, stream *wire.Stream) {
	var probe Probe
	err := stream.Receive(&probe)
	if err != nil {
		stream.Cancel()
		return
	}
	_ = stream.Send(Sighting{ // the entry may be gone
		Load:  s.Gate.Load(),
		Wrong: probe.Upstream != s.Upstream,
		Held:  s.recent.Set(),
	})
}
