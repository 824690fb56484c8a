package upstream

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

// Errors of the Gate. Test for them with errors.Is.
var (
	// ErrFull means that all slots are taken.
	ErrFull = errors.New("all slots are taken")
	// ErrDraining means that the upstream is leaving.
	ErrDraining = errors.New("upstream is draining")
)

// Ticket is a call that asks for a slot.
type Ticket struct {
	Team     foxtailstack.TeamName
	Priority foxtailstack.Priority
	// Left is the time left until the call's deadline.
	Left time.Duration
}

// Load is what the gate knows of its queue.
type Load struct {
	Running int `cbor:"1,keyasint"`
	Queued  int `cbor:"2,keyasint"`
	Slots   int `cbor:"3,keyasint"`
	// Wait is the expected wait of a call that comes now.
	Wait time.Duration `cbor:"4,keyasint"`
}

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
func (g *Gate) Enter(_ context.Context, _ Ticket) error {
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

// Load returns the present load.
func (g *Gate) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Load{
		Running: g.running,
		Slots:   g.slots,
	}
}
