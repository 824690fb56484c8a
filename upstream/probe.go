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

// ProbeResponse is the answer to a Probe.
type ProbeResponse struct {
	Load Load `cbor:"1,keyasint"`
	// WrongUpstream is set if the sidecar stands beside another upstream.
	WrongUpstream bool `cbor:"2,keyasint,omitempty"`
	// CachedPrefixes are the prefixes that the engine probably holds.
	CachedPrefixes PrefixSet `cbor:"3,keyasint,omitempty"`
}

// ServeProbe is the handler of StreamProbe.
func (s *Server) ServeProbe(_ context.Context, stream *wire.Stream) {
	var probe Probe
	err := stream.Receive(&probe)
	if err != nil {
		stream.Cancel()
		return
	}
	_ = stream.Send(ProbeResponse{ // the entry may be gone
		Load:           s.Admission.Load(),
		WrongUpstream:  probe.Upstream != s.Upstream,
		CachedPrefixes: s.recent.Set(),
	})
}
