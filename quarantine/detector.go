package quarantine

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/route"
)

const (
	// probeTimeout bounds the time for which an attempt waits to learn whether its
	// upstream refuses connections. A crash that shows later is still recorded.
	probeTimeout = 100 * time.Millisecond
	// probeTTL is how long the result of a probe holds for other attempts.
	probeTTL = 200 * time.Millisecond
	// firstReprobeDelay is the time from a lost connection to an upstream that still
	// accepts connections to the next probe; it doubles up to maxReprobes probes. The
	// connections of a process that ends are not all closed at the same moment.
	firstReprobeDelay = 20 * time.Millisecond
	maxReprobes       = 5
	// unansweredTTL is the time within which an upstream must start again for its
	// unanswered attempts to count as its crash. It covers a restart and the delay of
	// the list of upstreams.
	unansweredTTL = 20 * time.Second
	// maxUnanswered is the maximum number of unanswered attempts that are kept.
	maxUnanswered = 1 << 12
)

// Prober connects to upstreams.
type Prober interface {
	// Refuses reports whether an upstream refuses connections, as it does once its
	// process has ended. It returns false if that is not certain.
	Refuses(ctx context.Context, name foxtailstack.UpstreamName, address foxtailstack.Address) bool
}

// Detector finds out which attempts remained without an answer because their upstream
// crashed. A lost connection alone does not show that, nor does silence: the upstream
// has to refuse connections right after, or to announce a later start within
// unansweredTTL. Upstreams that drain or have left the list end as planned; that is no
// crash. The fields must be set before use.
type Detector struct {
	// Fleet returns the present list of upstreams.
	Fleet  func() *route.Fleet
	Prober Prober
	// Report receives each crash under an attempt, once for the request and once for each
	// part of its prompt; a crash may be reported more than once.
	Report func(crashes []Crash)

	mu         sync.Mutex
	unanswered []unanswered
	probes     map[CrashID]*probe
	// reprobed holds the upstreams whose connections were lost and that are probed again.
	reprobed map[CrashID]bool
}

// unanswered is an attempt without an answer whose upstream may have crashed.
type unanswered struct {
	attempt  Attempt
	upstream route.Upstream
	at       time.Time
}

// probe is the check of whether an upstream refuses connections.
type probe struct {
	// done is closed when the result is known.
	done    chan struct{}
	refused bool
}

// ConnectionLost records that the connection to an upstream was lost while it may have
// been running a request. It returns when it is known whether the upstream refuses
// connections, and after probeTimeout or the end of ctx at the latest.
func (d *Detector) ConnectionLost(ctx context.Context, a Attempt, u route.Upstream) {
	if d.leaving(u) {
		return
	}
	if d.refuses(ctx, u) {
		d.Report(a.crashes(u))
		return
	}
	d.Unanswered(a, u)
	d.startReprobes(u)
}

// Unanswered records that an upstream did not answer a request that it may have been
// running.
func (d *Detector) Unanswered(a Attempt, u route.Upstream) {
	if d.leaving(u) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dropOld()
	if len(d.unanswered) >= maxUnanswered {
		return
	}
	d.unanswered = append(d.unanswered, unanswered{
		attempt:  a,
		upstream: u,
		at:       time.Now(),
	})
}

// FleetChanged reports the crashes that the present list of upstreams shows: an upstream
// has started anew since an attempt that it did not answer.
func (d *Detector) FleetChanged() {
	fleet := d.Fleet()
	d.reportUnanswered(fleet.StartedAfter)
}

// reportUnanswered reports the crashes of the upstreams that have ended, under all
// attempts that they did not answer.
func (d *Detector) reportUnanswered(ended func(u route.Upstream) bool) {
	var crashes []Crash
	d.mu.Lock()
	d.dropOld()
	kept := d.unanswered[:0]
	for _, a := range d.unanswered {
		if ended(a.upstream) {
			crashes = append(crashes, a.attempt.crashes(a.upstream)...)
			continue
		}
		kept = append(kept, a)
	}
	d.unanswered = kept
	d.mu.Unlock()
	if len(crashes) > 0 {
		d.Report(crashes)
	}
}

// startReprobes probes an upstream again unless that is in progress.
func (d *Detector) startReprobes(u route.Upstream) {
	id := crashIDOf(u)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.reprobed[id] {
		return
	}
	if d.reprobed == nil {
		d.reprobed = make(map[CrashID]bool)
	}
	d.reprobed[id] = true
	d.scheduleReprobe(id, u, 0)
}

// scheduleReprobe probes an upstream again after the delay of the nth probe. If that is
// not refused, it schedules the next one, up to maxReprobes.
func (d *Detector) scheduleReprobe(id CrashID, u route.Upstream, n int) {
	time.AfterFunc(firstReprobeDelay<<n, func() {
		refused := !d.leaving(u) && d.probe(u)
		if refused {
			d.reportUnanswered(func(other route.Upstream) bool { return crashIDOf(other) == id })
		}
		if !refused && n+1 < maxReprobes {
			d.scheduleReprobe(id, u, n+1)
			return
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.reprobed, id)
	})
}

// probe reports whether an upstream refuses connections.
func (d *Detector) probe(u route.Upstream) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	return d.Prober.Refuses(ctx, u.Name, u.Address)
}

// leaving reports whether an upstream drains or has left the list.
func (d *Detector) leaving(u route.Upstream) bool {
	current, ok := d.Fleet().Lookup(u.Name)
	return !ok || current.Draining
}

// dropOld drops the attempts that ended unansweredTTL ago. The caller holds mu.
func (d *Detector) dropOld() {
	old := 0
	for old < len(d.unanswered) && time.Since(d.unanswered[old].at) > unansweredTTL {
		old++
	}
	d.unanswered = d.unanswered[old:]
}

// refuses reports whether an upstream refuses connections. Attempts that ask at nearly
// the same time share one probe.
func (d *Detector) refuses(ctx context.Context, u route.Upstream) bool {
	id := crashIDOf(u)
	d.mu.Lock()
	p, ok := d.probes[id]
	if !ok {
		p = &probe{done: make(chan struct{})}
		if d.probes == nil {
			d.probes = make(map[CrashID]*probe)
		}
		d.probes[id] = p
		go d.runProbe(p, id, u)
	}
	d.mu.Unlock()
	select {
	case <-p.done:
		return p.refused
	case <-ctx.Done():
		return false
	}
}

// runProbe makes a probe and removes it after probeTTL.
func (d *Detector) runProbe(p *probe, id CrashID, u route.Upstream) {
	p.refused = d.probe(u)
	close(p.done)
	time.AfterFunc(probeTTL, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.probes, id)
	})
}

// startSeparator stands between the name and the start of an upstream in a CrashID.
const startSeparator = "@"

// crashIDOf identifies the crash of an upstream by its incarnation, which can crash only
// once.
func crashIDOf(u route.Upstream) CrashID {
	return CrashID(string(u.Name) + startSeparator + strconv.FormatInt(u.StartUnixMilli, 10))
}

// upstream returns the upstream that crashed.
func (id CrashID) upstream() foxtailstack.UpstreamName {
	end := strings.LastIndex(string(id), startSeparator)
	return foxtailstack.UpstreamName(id[:max(end, 0)])
}
