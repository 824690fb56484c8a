package balance

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/entry"
	"github.com/foxtailstack/foxtailstack/fleet"
	"github.com/foxtailstack/foxtailstack/upstream"
)

const (
	// tickInterval is the time between two looks at the health of upstreams.
	tickInterval = time.Second
	// listInterval is the time between two reads of the list of instances.
	listInterval = 2 * time.Second
	// maxSuspects is the number of upstreams without work that are probed at
	// each look.
	maxSuspects = 4
	// backlog is the number of messages to the owner that may wait.
	backlog = 1024
)

var dropped = metrics.NewCounter("foxtailstack_balance_dropped_total")

// Chooser picks upstreams by the load that probes see, cache affinity and
// distance. It is an entry.Chooser. Without Run it probes and ejects nothing.
type Chooser struct {
	// Replica holds the configuration.
	Replica *fleet.Replica
	// Client carries the probes; nil sends none.
	Client PeerClient
	// Centre is the data centre of the entry.
	Centre foxtailstack.DataCentre
	// Instances is the platform's list; nil means that no instance leaves.
	Instances foxtailstack.InstanceList

	once      sync.Once
	directory Directory
	mu        sync.Mutex
	// owned is set while Run owns the directory; otherwise mu guards it.
	owned bool
	// work holds what the owner of the directory is to do.
	work   chan func(now time.Time)
	prober prober
}

// start makes the parts that the zero value lacks.
func (c *Chooser) start() {
	c.once.Do(func() {
		c.work = make(chan func(time.Time), backlog)
		c.directory.Centre = c.Centre
	})
}

// Run owns the directory until ctx ends.
func (c *Chooser) Run(ctx context.Context) {
	c.start()
	c.prober.enable(ctx, c.Client)
	c.own(true)
	defer c.own(false)
	go c.list(ctx)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var leaving map[foxtailstack.Address]bool
	for {
		changed := c.Replica.Changed()
		c.directory.Update(c.Replica.Snapshot(), leaving)
		if !c.serve(ctx, ticker, changed, &leaving) {
			return
		}
	}
}

// own notes whether Run owns the directory.
func (c *Chooser) own(owned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owned = owned
}

// serve does the owner's work until the configuration or the list changes. It
// returns false once ctx ends.
func (c *Chooser) serve(
	ctx context.Context,
	ticker *time.Ticker,
	changed <-chan struct{},
	leaving *map[foxtailstack.Address]bool,
) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-changed:
			return true
		case *leaving = <-c.prober.leaving:
			return true
		case <-ticker.C:
			c.directory.Tick(time.Now())
			c.probe(c.directory.RecheckTargets(maxSuspects))
		case do := <-c.work:
			do(time.Now())
		}
	}
}

// tell gives the owner work. It drops the work if the owner lags far behind.
func (c *Chooser) tell(do func(now time.Time)) {
	select {
	case c.work <- do:
	default:
		dropped.Inc()
	}
}

// list reads the list of instances until ctx ends.
func (c *Chooser) list(ctx context.Context) {
	if c.Instances == nil {
		return
	}
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	var known map[foxtailstack.Address]bool
	for {
		instances, err := c.Instances.Instances(ctx)
		if leaving := leavingOf(instances); err == nil && !maps.Equal(known, leaving) {
			c.prober.tellLeaving(ctx, leaving)
			known = leaving
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Choose returns an upstream that takes new work, preferably an untried one. It
// waits for probes only if too few candidates have been seen lately.
func (c *Chooser) Choose(ctx context.Context, q entry.Query) (fleet.Member, bool) {
	c.start()
	c.refresh(ctx)
	proposal := c.directory.Candidates(time.Now(), q)
	awaited, rest := proposal.ProbeTargets(time.Now())
	settled, asked := c.probe(awaited)
	c.probe(rest)
	await(ctx, settled, asked)
	return proposal.Pick(time.Now())
}

// refresh brings the directory up to the configuration in force.
func (c *Chooser) refresh(ctx context.Context) {
	snapshot := c.Replica.Snapshot()
	if c.directory.Revision() >= snapshot.Revision {
		return
	}
	for c.directory.Revision() < snapshot.Revision && ctx.Err() == nil {
		c.mu.Lock()
		if !c.owned {
			c.directory.Update(snapshot, nil)
		}
		c.mu.Unlock()
		done := make(chan struct{})
		c.tell(func(time.Time) { close(done) })
		select {
		case <-done:
		case <-time.After(maxAwait):
		}
	}
}

// Report tells how the attempt on a chosen upstream went.
func (c *Chooser) Report(member fleet.Member, result entry.AttemptResult) {
	c.start()
	c.directory.FinishAttempt(time.Now(), member, result)
	c.tell(func(now time.Time) { c.directory.UpdateHealth(now, member, result) })
}

// probe asks upstreams for their loads. It returns the number asked and a
// channel that receives one value for each that has been settled.
func (c *Chooser) probe(targets []Target) (<-chan struct{}, int) {
	settled := make(chan struct{}, len(targets))
	asked := 0
	for _, target := range targets {
		sent := c.prober.ask(target, func(seen upstream.Sighting, way time.Duration, err error) {
			c.tell(func(now time.Time) {
				if err != nil || seen.Wrong {
					c.directory.RecordProbeFailure(target)
				} else {
					c.directory.RecordLoad(now, target, seen, way)
				}
				settled <- struct{}{}
			})
		})
		if sent {
			asked++
		}
	}
	return settled, asked
}

// await waits until n probes are settled, for a short time.
func await(ctx context.Context, settled <-chan struct{}, n int) {
	if n == 0 {
		return
	}
	timer := time.NewTimer(maxAwait)
	defer timer.Stop()
	for range n {
		select {
		case <-settled:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}
