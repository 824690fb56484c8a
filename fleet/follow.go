package fleet

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

const (
	// silenceLimit is how long a relay may be silent.
	silenceLimit = 1500 * time.Millisecond
	// triedLimit is how long ago the root may have tried the table; beyond it,
	// there is none, as when processes follow one another in a circle.
	triedLimit = 4500 * time.Millisecond
	// checkedLimit is how long ago the root may have read the table before its
	// followers look for a better one.
	checkedLimit = 4500 * time.Millisecond
	// firstDoubt and lastDoubt bound the time between two such looks.
	firstDoubt = 4 * time.Second
	lastDoubt  = 32 * time.Second
	// firstAvoid and lastAvoid bound the mean time for which a relay that has
	// failed is avoided; it doubles while the relay goes on failing.
	firstAvoid = 500 * time.Millisecond
	lastAvoid  = 20 * time.Second
	// reportInterval and reportCheck are the time between two reports without
	// and with a change.
	reportInterval = 1200 * time.Millisecond
	reportCheck    = 500 * time.Millisecond
)

// Reasons to leave a relay.
var (
	errSilent   = errors.New("relay is silent")
	errRootless = errors.New("relay has no root")
	errStale    = errors.New("relay does not reach the table")
	errReplaced = errors.New("relay is no longer listed")
)

// followAny follows one relay after another until none is left or the process
// becomes a poller.
func (s *Spreader) followAny(ctx context.Context) trigger {
	for ctx.Err() == nil {
		p := s.planned()
		if p.poll {
			return triggerReview
		}
		address, ok := s.candidate(p)
		if !ok {
			return triggerExhausted
		}
		began := time.Now()
		attached, err := s.follow(ctx, address)
		if attached {
			s.move()
			lossesTotal.Inc()
		}
		if attached && time.Since(began) > lastAvoid {
			delete(s.avoided, address)
		}
		if !errors.Is(err, errReplaced) {
			s.avoid(address)
		}
		s.lookAgain()
	}
	return triggerReview
}

// avoidance is how long a relay is passed over.
type avoidance struct {
	until time.Time
	pause time.Duration
}

// candidate returns the first relay of a plan that is not avoided.
func (s *Spreader) candidate(p *plan) (foxtailstack.Address, bool) {
	for _, address := range p.sources {
		if time.Now().After(s.avoided[address].until) {
			return address, true
		}
	}
	return "", false
}

// avoid passes a relay over for a while.
func (s *Spreader) avoid(address foxtailstack.Address) {
	if s.avoided == nil {
		s.avoided = map[foxtailstack.Address]avoidance{}
	}
	now := time.Now()
	maps.DeleteFunc(s.avoided, func(_ foxtailstack.Address, a avoidance) bool { return now.Sub(a.until) > lastAvoid })
	pause := min(max(2*s.avoided[address].pause, firstAvoid), lastAvoid)
	s.avoided[address] = avoidance{
		until: now.Add(jitter(pause)),
		pause: pause,
	}
}

// follow applies what a relay sends until it has to be left, and reports to it.
// It tells whether the relay has sent anything.
func (s *Spreader) follow(ctx context.Context, address foxtailstack.Address) (attached bool, err error) {
	opening, stop := context.WithTimeout(ctx, silenceLimit)
	stream, err := s.Dialer.Open(opening, address, StreamConfig)
	stop()
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer func() { leave(stream, err) }()
	err = stream.Send(subscribe{
		Revision: s.Replica.Snapshot().Revision,
		Mode:     modeFollow,
	})
	if err != nil {
		return false, err
	}
	updates, failed := receive(ctx, stream)
	silence := time.NewTimer(silenceLimit)
	defer silence.Stop()
	reports := time.NewTicker(reportCheck)
	defer reports.Stop()
	reporter := reporter{stream: stream}
	var parts assembly
	for {
		select {
		case <-ctx.Done():
			return attached, ctx.Err()
		case <-silence.C:
			return attached, errSilent
		case err = <-failed:
			return attached, err
		case <-reports.C:
			if p := s.planned(); p.poll || !slices.Contains(p.sources, address) {
				return attached, errReplaced
			}
			err = reporter.report(s)
		case u := <-updates:
			attached = true
			if u.Tried <= triedLimit {
				s.heard.Store(time.Now().UnixNano())
			}
			silence.Reset(silenceLimit)
			err = s.take(u, &parts)
		}
		if err != nil {
			return attached, err
		}
	}
}

// leave ends the stream to a relay. That to a silent one stays open until the
// connection has been given up as well, so that the next attempt makes another.
func leave(stream Stream, reason error) {
	if errors.Is(reason, errSilent) {
		time.AfterFunc(2*silenceLimit, stream.Cancel)
		return
	}
	stream.Cancel()
}

// receive reads updates from a stream until it ends.
func receive(ctx context.Context, stream Stream) (<-chan update, <-chan error) {
	updates := make(chan update)
	failed := make(chan error, 1)
	go func() {
		for {
			var u update
			err := stream.Receive(&u)
			if err != nil {
				failed <- err
				return
			}
			select {
			case updates <- u:
			case <-ctx.Done():
				return
			}
		}
	}()
	return updates, failed
}

// assembly collects the parts of a whole configuration.
type assembly struct {
	changes []Change
}

// take applies one update and says whether the relay has to be left.
func (s *Spreader) take(u update, parts *assembly) error {
	err := s.apply(u, parts)
	if err != nil {
		return err
	}
	s.census.setAbove(u.Counts)
	s.fresh.set(u.Checked, u.Tried)
	if u.Tried > triedLimit {
		return errRootless
	}
	if u.Checked <= checkedLimit {
		s.doubt = 0
		return nil
	}
	if s.doubt == 0 {
		s.doubt = firstDoubt
		s.doubted = time.Now().Add(jitter(s.doubt))
	}
	if time.Now().Before(s.doubted) {
		return nil
	}
	s.doubt = min(2*s.doubt, lastDoubt)
	s.doubted = time.Now().Add(jitter(s.doubt))
	return errStale
}

// apply brings the changes of an update into force. It returns ErrGap if some
// are missing.
func (s *Spreader) apply(u update, parts *assembly) error {
	var err error
	switch {
	case u.Whole:
		parts.changes = append(parts.changes, u.Changes...)
		if u.More {
			return nil
		}
		err = s.Replica.Load(parts.changes, u.Revision)
		parts.changes = nil
	case len(u.Changes) > 0:
		err = s.Replica.Apply(u.Changes)
	}
	if errors.Is(err, ErrGap) {
		return err
	}
	if err != nil {
		s.logger().Error("configuration: resource does not decode: " + err.Error())
	}
	return nil
}

// reporter sends the reports of a process to its relay.
type reporter struct {
	stream Stream
	last   []Count
	at     time.Time
}

// report sends what is in force below the process if that has changed or the
// last report is old. A process that has just left another relay is silent
// until it counts no longer there.
func (r *reporter) report(s *Spreader) error {
	if !s.settled() {
		return nil
	}
	counts := s.census.subtree(s.Replica.Snapshot().Revision)
	if slices.Equal(counts, r.last) && time.Since(r.at) < reportInterval {
		return nil
	}
	r.last = counts
	r.at = time.Now()
	return r.stream.Send(report{Counts: counts})
}
