package node

import (
	"context"
	"net"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/platform/standin"
)

// Standin is a stand-in for the platform and, if it names an engine's address,
// for one engine.
type Standin struct {
	Platform standin.Server
	Engine   standin.Engine

	platform net.Listener
	engine   net.Listener
}

// Listen binds the addresses; an empty one is not served.
func (s *Standin) Listen(platform, engine foxtailstack.Address) error {
	var err error
	if platform != "" {
		s.platform, err = listenHTTP(platform, nil, true)
	}
	if err == nil && engine != "" {
		s.engine, err = listenHTTP(engine, nil, true)
	}
	return err
}

// PlatformURL returns the URL of the platform's services.
func (s *Standin) PlatformURL() string {
	return "http://" + s.platform.Addr().String()
}

// EngineURL returns the URL of the engine.
func (s *Standin) EngineURL() string {
	return "http://" + s.engine.Addr().String()
}

// Run serves until ctx ends.
func (s *Standin) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error)
	n := 0
	if s.platform != nil {
		n++
		go func() { results <- serveHTTP(ctx, s.platform, s.Platform.Handler(), defaultGrace, nil) }()
	}
	if s.engine != nil {
		n++
		go func() { results <- serveHTTP(ctx, s.engine, &s.Engine, defaultGrace, nil) }()
	}
	var first error
	for range n {
		err := <-results
		if first == nil && err != nil {
			first = err
			cancel()
		}
	}
	return first
}
