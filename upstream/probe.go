package upstream

import (
	"context"

	"github.com/foxtailstack/foxtailstack/wire"
)

// StreamProbe is the kind of the streams that carry load probes.
const StreamProbe wire.Kind = "probe"

// Probe requests the load of an upstream.
type Probe struct {
	// Upstream is the name of the upstream's resource.
	Upstream string `cbor:"1,keyasint"`
}

// ProbeResponse is the response to a Probe.
type ProbeResponse struct {
	Load Load `cbor:"1,keyasint"`
	// WrongUpstream is set if the sidecar serves another upstream than the requested one.
	WrongUpstream bool `cbor:"2,keyasint,omitempty"`
	// CachedPrefixes are the prefixes that the prefix cache of the engine probably holds.
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
	_ = stream.Send(ProbeResponse{ // an error means that the entry has disconnected
		Load:           s.Admission.Load(),
		WrongUpstream:  probe.Upstream != s.Upstream,
		CachedPrefixes: s.prefixes.Set(),
	})
}
