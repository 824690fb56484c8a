package timeline

import (
	"sync"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

// defaultSize is the number of events in a Ring that names none.
const defaultSize = 4096

// Kind is the kind of an event.
type Kind string

// Timestamp is a hybrid logical timestamp.
type Timestamp struct {
	Wall    int64  `json:"wall" cbor:"1,keyasint"`
	Counter uint32 `json:"counter" cbor:"2,keyasint"`
}

// Before reports whether t orders before other.
func (t Timestamp) Before(other Timestamp) bool {
	if t.Wall != other.Wall {
		return t.Wall < other.Wall
	}
	return t.Counter < other.Counter
}

// Event is something that happened in a process.
type Event struct {
	At       Timestamp                 `json:"at" cbor:"1,keyasint"`
	Instance foxtailstack.InstanceName `json:"instance" cbor:"2,keyasint"`
	Kind     Kind                      `json:"kind" cbor:"3,keyasint"`
	// Attempt, Upstream and Resource say what the event is about; each may be empty.
	Attempt  string `json:"attempt,omitempty" cbor:"4,keyasint,omitempty"`
	Upstream string `json:"upstream,omitempty" cbor:"5,keyasint,omitempty"`
	Resource string `json:"resource,omitempty" cbor:"6,keyasint,omitempty"`
	Text     string `json:"text,omitempty" cbor:"7,keyasint,omitempty"`
}

// Ring keeps the last events of a process. The zero value is ready for use.
type Ring struct {
	// Instance is the name of the process.
	Instance foxtailstack.InstanceName
	// Size is the number of events kept; zero means 4096.
	Size int

	mu     sync.Mutex
	last   Timestamp
	events []Event
	next   int
}

// Record stamps an event and keeps it in place of the oldest.
func (r *Ring) Record(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.At = r.tick()
	e.Instance = r.Instance
	size := r.Size
	if size == 0 {
		size = defaultSize
	}
	if len(r.events) < size {
		r.events = append(r.events, e)
		return
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % size
}

// Now returns a new timestamp, to be sent along with a message.
func (r *Ring) Now() Timestamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tick()
}

// Observe orders the events to come after a timestamp received.
func (r *Ring) Observe(t Timestamp) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.last.Before(t) {
		r.last = t
	}
}

// Events returns the kept events in order.
func (r *Ring) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	events := make([]Event, 0, len(r.events))
	events = append(events, r.events[r.next:]...)
	return append(events, r.events[:r.next]...)
}

// tick advances the clock. The caller holds r.mu.
func (r *Ring) tick() Timestamp {
	now := time.Now().UnixNano()
	if now > r.last.Wall {
		r.last = Timestamp{Wall: now}
	} else {
		r.last.Counter++
	}
	return r.last
}
