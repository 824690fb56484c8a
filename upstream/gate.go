package upstream

import (
	"errors"
	"sync"
)

// Errors of the Gate. Test for them with errors.Is.
var (
	// ErrFull means that all slots are taken.
	ErrFull = errors.New("all slots are taken")
	// ErrDraining means that the upstream is leaving.
	ErrDraining = errors.New("upstream is draining")
)

// Gate counts the calls that run on the engine and refuses those beyond its
// slots.
type Gate struct {
	mu       sync.Mutex
	slots    int
	running  int
	draining bool
	idle     chan struct{}
}

// NewGate returns a gate with a number of slots.
func NewGate(slots int) *Gate {
	return &Gate{
		slots: slots,
		idle:  make(chan struct{}),
	}
}

// Resize changes the number of slots. Calls that run are not affected.
func (g *Gate) Resize(slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slots = slots
}

// Enter takes a slot. It returns ErrFull or ErrDraining if it takes none.
func (g *Gate) Enter() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining {
		return ErrDraining
	}
	if g.running >= g.slots {
		return ErrFull
	}
	g.running++
	return nil
}

// Leave gives a slot back.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	if g.draining && g.running == 0 {
		close(g.idle)
	}
}

// Drain refuses new calls from now on and returns a channel that is closed
// once none runs.
func (g *Gate) Drain() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.draining {
		g.draining = true
		if g.running == 0 {
			close(g.idle)
		}
	}
	return g.idle
}
