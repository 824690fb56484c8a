package gateway

import (
	"hash/maphash"
	"net/http"
	"sync"
	"time"
)

const (
	// onceMemory is the time for which a request that may run once is remembered at least,
	// unless there are more than maxOnceRequests in it. Callers wait less long.
	onceMemory = time.Minute
	// maxOnceRequests bounds the requests that are remembered in half of the memory, besides
	// those in progress.
	maxOnceRequests = 1 << 15
)

// onceSeed is the seed of the hashes by which requests are remembered.
var onceSeed = maphash.MakeSeed()

// onceState is what became of a request that may run once.
type onceState uint8

const (
	// onceSent means that it is in progress, or was sent to an upstream without a promise to
	// its caller. Those in progress are remembered apart.
	onceSent onceState = iota + 1
	// oncePromised means that its caller was told that it has not run and never will.
	oncePromised
)

// onceRequests remembers requests that may run once, so that one that comes a second time,
// with its ID, is not sent again. The zero value is ready to use.
type onceRequests struct {
	mu sync.Mutex
	// running holds the requests in progress.
	running map[uint64]bool
	// recent holds the requests since turned, earlier those of onceMemory before that.
	recent, earlier map[uint64]onceState
	turned          time.Time
}

// begin records that a request is in progress unless it is remembered. It returns what became
// of it before, or zero.
func (o *onceRequests) begin(key uint64, now time.Time) onceState {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.running[key] {
		return onceSent
	}
	o.turn(now)
	state := max(o.recent[key], o.earlier[key])
	if state == 0 {
		if o.running == nil {
			o.running = make(map[uint64]bool)
		}
		o.running[key] = true
	}
	return state
}

// end records what became of a request in progress; zero forgets it.
func (o *onceRequests) end(key uint64, state onceState, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.running, key)
	o.turn(now)
	if state != 0 {
		o.recent[key] = state
	}
}

// turn forgets the requests that are old enough. The caller holds mu.
func (o *onceRequests) turn(now time.Time) {
	age := now.Sub(o.turned)
	if o.recent != nil && age < onceMemory && len(o.recent) < maxOnceRequests {
		return
	}
	o.earlier = o.recent
	if age >= 2*onceMemory {
		o.earlier = nil
	}
	o.recent = make(map[uint64]onceState)
	o.turned = now
}

// onceKey returns the key of the request in onceRequests. Two requests have the same one if
// they have the same ID, API key and target: callers of different teams may use equal IDs.
func (c *call) onceKey() uint64 {
	var h maphash.Hash
	h.SetSeed(onceSeed)
	for _, text := range []string{
		string(c.requestInfo.ID),
		c.requestInfo.APIKey,
		c.r.Method,
		c.r.Host,
		c.r.RequestURI,
	} {
		_, _ = h.WriteString(text) // never fails
		_ = h.WriteByte(0)
	}
	return h.Sum64()
}

// firstTime reports whether a request that may run once has not come before. One that has is
// answered: its caller, or a library that sends for it, got an answer that may have promised
// that it never runs, or it may have run.
func (c *call) firstTime() bool {
	if c.route.Idempotent() || c.requestInfo.ID == "" {
		return true
	}
	c.once = c.onceKey()
	switch c.gateway.once.begin(c.once, time.Now()) {
	case onceSent:
		c.once = 0
		c.respondError(http.StatusBadGateway, reasonRepeated)
		return false
	case oncePromised:
		c.once = 0
		c.respondUnavailable(reasonRepeated, retryAfterQueue)
		return false
	}
	return true
}

// endOnce records what became of a request that may run once, by the status of its answer.
func (c *call) endOnce(status int) {
	if c.once == 0 {
		return
	}
	state := onceSent
	switch {
	case refuses(status):
		state = oncePromised
	case c.belief() == beliefNotSent:
		state = 0
	}
	c.gateway.once.end(c.once, state, time.Now())
}
