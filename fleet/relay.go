package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/wire"
)

// heartbeat is the time between two updates of a relay without changes.
const heartbeat = 700 * time.Millisecond

// freshness says when the table was last read and when that was last tried.
type freshness struct {
	mu      sync.Mutex
	checked time.Time
	tried   time.Time
}

// set takes the ages that a relay tells, or zero ones for an own read.
func (f *freshness) set(checked, tried time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.checked = now.Add(-checked)
	f.tried = now.Add(-tried)
}

// fail tells that an own read failed.
func (f *freshness) fail() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tried = time.Now()
}

// ages returns the times since the last read and the last try.
func (f *freshness) ages() (checked, tried time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.checked), time.Since(f.tried)
}

// ServeConfig serves a subscriber of this process.
func (s *Spreader) ServeConfig(ctx context.Context, stream *wire.Stream) {
	s.serve(ctx, stream)
}

// ServeSummary takes the summary of another root and answers with the own one.
func (s *Spreader) ServeSummary(_ context.Context, stream *wire.Stream) {
	s.takeSummary(stream)
}

// serve sends updates until the stream or ctx ends.
func (s *Spreader) serve(ctx context.Context, stream Stream) {
	var first subscribe
	err := stream.Receive(&first)
	if err != nil || !s.Ready() {
		return
	}
	switch first.Mode {
	case modeProbe:
		_ = stream.Send(s.beat())
		return
	case modeFetch:
		_, _ = s.send(stream, first.Revision)
		return
	}
	defer s.followers.Add(-1)
	if s.followers.Add(1) > s.planned().capacity {
		return // the follower tries the next relay
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer s.census.dropChild(stream)
	go func() {
		defer cancel()
		s.takeReports(ctx, stream)
	}()
	s.feed(ctx, stream, first.Revision)
}

// feed sends changes as they come into force and heartbeats in between.
func (s *Spreader) feed(ctx context.Context, stream Stream, revision foxtailstack.Revision) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		changed := s.Replica.Changed()
		sent, err := s.send(stream, revision)
		if err != nil {
			return
		}
		revision = sent
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
		}
	}
}

// takeReports keeps the reports of a subscriber until the stream ends.
func (s *Spreader) takeReports(ctx context.Context, stream Stream) {
	for ctx.Err() == nil {
		var r report
		if stream.Receive(&r) != nil {
			return
		}
		if ctx.Err() == nil {
			s.census.setChild(stream, r.Counts)
		}
	}
}

// beat returns an update without changes.
func (s *Spreader) beat() update {
	u := update{
		Revision: s.Replica.Snapshot().Revision,
		Counts:   s.counts(),
	}
	u.Checked, u.Tried = s.fresh.ages()
	return u
}

// send brings a subscriber from a revision to the one in force, which it
// returns. It sends the whole configuration only if the history does not reach
// back far enough.
func (s *Spreader) send(stream Stream, revision foxtailstack.Revision) (foxtailstack.Revision, error) {
	base := s.beat()
	changes, ok := s.Replica.Since(revision)
	if !ok {
		snapshot := s.Replica.Snapshot()
		base.Revision = snapshot.Revision
		base.Whole = true
		changes = wholeOf(snapshot)
	}
	parts := chunks(changes)
	for i, part := range parts {
		u := base
		u.Changes = part
		u.More = i < len(parts)-1
		if !base.Whole && len(part) > 0 {
			u.Revision = part[len(part)-1].Resource.Revision
		}
		err := stream.Send(u)
		if err != nil {
			return revision, err
		}
		revision = max(revision, u.Revision)
	}
	return revision, nil
}
