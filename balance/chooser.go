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
	// tickInterval is the time between two calls of Directory.Tick.
	tickInterval = time.Second
	// instancePollInterval is the time between two reads of the list of instances.
	instancePollInterval = 2 * time.Second
	// maxRechecks is the maximum number of upstreams without work that are
	// probed after each call of Directory.Tick.
	maxRechecks = 4
	// taskQueueSize is the capacity of the queue of tasks for the goroutine
	// that owns the directory.
	taskQueueSize = 1024
)

var tasksDropped = metrics.NewCounter("foxtailstack_balance_dropped_total")

// Chooser picks upstreams by probed load, cache affinity and round-trip time. It
// implements entry.Chooser. While Run is not running, it sends no probes and ejects
// no upstream.
type Chooser struct {
	// Replica provides the configuration.
	Replica *fleet.Replica
	// Client sends the probes. If it is nil, none are sent.
	Client ProbeClient
	// Centre is the data centre of the entry.
	Centre foxtailstack.DataCentre
	// Instances is the platform's list of instances. If it is nil, no instance
	// counts as leaving.
	Instances foxtailstack.InstanceList

	once      sync.Once
	directory Directory
	mu        sync.Mutex
	// running is set while Run owns the directory. Otherwise mu guards the
	// directory.
	running bool
	// tasks is the queue of updates that Run applies to the directory.
	tasks  chan func(now time.Time)
	prober prober
}

// initialize creates the task queue and sets the data centre of the directory. The
// exported fields of the Chooser must not change afterwards. It may be called any
// number of times.
func (c *Chooser) initialize() {
	c.once.Do(func() {
		c.tasks = make(chan func(time.Time), taskQueueSize)
		c.directory.Centre = c.Centre
	})
}

// Run sends probes and maintains the directory until ctx ends.
func (c *Chooser) Run(ctx context.Context) {
	c.initialize()
	c.prober.enable(ctx, c.Client)
	c.setRunning(true)
	defer c.setRunning(false)
	go c.pollInstances(ctx)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var leaving map[foxtailstack.Address]bool
	for {
		changed := c.Replica.Changed()
		c.directory.Update(c.Replica.Snapshot(), leaving)
		if !c.handleEvents(ctx, ticker, changed, &leaving) {
			return
		}
	}
}

// setRunning records whether Run owns the directory.
func (c *Chooser) setRunning(running bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running = running
}

// handleEvents calls Directory.Tick and runs queued tasks until the configuration or
// the set of leaving instances changes. It stores a new set of leaving instances in
// *leaving. It returns false once ctx ends.
func (c *Chooser) handleEvents(
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
		case *leaving = <-c.prober.leavingUpdates:
			return true
		case <-ticker.C:
			c.directory.Tick(time.Now())
			c.probe(c.directory.RecheckTargets(maxRechecks))
		case task := <-c.tasks:
			task(time.Now())
		}
	}
}

// enqueue passes a task to Run. It drops the task if the queue is full.
func (c *Chooser) enqueue(task func(now time.Time)) {
	select {
	case c.tasks <- task:
	default:
		tasksDropped.Inc()
	}
}

// pollInstances reads the list of instances until ctx ends and passes each change
// of the leaving instances to Run. If a read fails, the last set stays in force.
func (c *Chooser) pollInstances(ctx context.Context) {
	if c.Instances == nil {
		return
	}
	ticker := time.NewTicker(instancePollInterval)
	defer ticker.Stop()
	var lastLeaving map[foxtailstack.Address]bool
	for {
		instances, err := c.Instances.Instances(ctx)
		if leaving := leavingAddresses(instances); err == nil && !maps.Equal(lastLeaving, leaving) {
			c.prober.sendLeaving(ctx, leaving)
			lastLeaving = leaving
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Choose returns an upstream that takes new work, preferably none of q.Avoid. It
// waits for probes only if too few candidates have a recent load.
func (c *Chooser) Choose(ctx context.Context, q entry.Query) (fleet.Member, bool) {
	c.initialize()
	c.refresh(ctx)
	candidates := c.directory.Candidates(time.Now(), q)
	awaited, background := candidates.ProbeTargets(time.Now())
	completed, started := c.probe(awaited)
	c.probe(background)
	awaitProbes(ctx, completed, started)
	return candidates.Pick(time.Now())
}

// refresh waits until the directory has the configuration in force, or applies
// that configuration itself if Run is not running.
func (c *Chooser) refresh(ctx context.Context) {
	snapshot := c.Replica.Snapshot()
	if c.directory.Revision() >= snapshot.Revision {
		return
	}
	for c.directory.Revision() < snapshot.Revision && ctx.Err() == nil {
		c.mu.Lock()
		if !c.running {
			c.directory.Update(snapshot, nil)
		}
		c.mu.Unlock()
		// Run closes done once it has worked off the queue up to here. While Run is
		// not running, nothing closes done, and the wait lasts maxProbeWait.
		done := make(chan struct{})
		c.enqueue(func(time.Time) { close(done) })
		select {
		case <-done:
		case <-time.After(maxProbeWait):
		}
	}
}

// Report records the result of the attempt on a chosen upstream.
func (c *Chooser) Report(member fleet.Member, result entry.AttemptResult) {
	c.initialize()
	c.directory.FinishAttempt(time.Now(), member, result)
	c.enqueue(func(now time.Time) { c.directory.UpdateHealth(now, member, result) })
}

// probe requests the loads of upstreams. It returns the number of probes that it
// started or joined in flight, and a channel that receives one value for each of them
// once its result is recorded. There is no value for a result that enqueue drops
// because the queue is full; awaitProbes then waits until its timeout.
func (c *Chooser) probe(targets []Target) (<-chan struct{}, int) {
	completed := make(chan struct{}, len(targets))
	started := 0
	for _, target := range targets {
		accepted := c.prober.start(target, func(answer upstream.ProbeResponse, roundTrip time.Duration, err error) {
			c.enqueue(func(now time.Time) {
				if err != nil || answer.WrongUpstream {
					c.directory.RecordProbeFailure(target)
				} else {
					c.directory.RecordLoad(now, target, answer, roundTrip)
				}
				completed <- struct{}{}
			})
		})
		if accepted {
			started++
		}
	}
	return completed, started
}

// awaitProbes waits until n probes have completed, for at most maxProbeWait.
func awaitProbes(ctx context.Context, completed <-chan struct{}, n int) {
	if n == 0 {
		return
	}
	timer := time.NewTimer(maxProbeWait)
	defer timer.Stop()
	for range n {
		select {
		case <-completed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}
