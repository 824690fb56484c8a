package measure

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/foxtailstack/foxtailstack/internal/clock"
)

const (
	// ranksStep is the time of a pass that serves nothing, ranksWriter what each
	// stream of the most loaded rank adds, and ranksShared what each stream adds on
	// the average of all ranks while the expert map is even.
	ranksStep   = 20 * time.Millisecond
	ranksWriter = 2 * time.Millisecond
	ranksShared = 2 * time.Millisecond
	// ranksRead is the time to read a token of a prompt, and ranksChunk the most
	// tokens that a rank reads in a pass.
	ranksRead  = 16 * time.Microsecond
	ranksChunk = 2048
	// ranksSlots is the number of streams that a rank serves at once, ranksHeld that
	// of those it takes at most, so that some wait there. It refuses what goes beyond.
	ranksSlots = 12
	ranksHeld  = 36
	// ranksIdle is how often a group that has no streams looks for some.
	ranksIdle = time.Millisecond
)

// rankStream is one request at a rank.
type rankStream struct {
	// unread is the number of prompt tokens to be read, left that of passes to be
	// written after that.
	unread, left int
	// events tells each event with the pause since the one before; it is closed at
	// the end.
	events chan time.Duration
	last   time.Time
}

// rankGroup is a model of ranks that work in lock-step: a pass takes as long as the
// most loaded rank, in reading, in writing and in its part of the experts' work.
type rankGroup struct {
	mu      sync.Mutex
	streams [][]*rankStream
	// pace is over one for slow ranks, skew the load of the most loaded rank in the
	// experts' work over the mean.
	pace   []float64
	skew   float64
	passes int
	spent  time.Duration
}

// newRankGroup returns a group of ranks that are all as fast.
func newRankGroup(ranks int) *rankGroup {
	g := &rankGroup{
		streams: make([][]*rankStream, ranks),
		pace:    make([]float64, ranks),
		skew:    1,
	}
	for i := range g.pace {
		g.pace[i] = 1
	}
	return g
}

// add gives a stream to a rank. It returns false if that is full.
func (g *rankGroup) add(rank int, stream *rankStream) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.streams[rank]) >= ranksHeld {
		return false
	}
	g.streams[rank] = append(g.streams[rank], stream)
	return true
}

// state returns the number of streams and the pace of each rank.
func (g *rankGroup) state() (running []int, pace []float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	running = make([]int, len(g.streams))
	for i, streams := range g.streams {
		running[i] = len(streams)
	}
	return running, slices.Clone(g.pace)
}

// setPace changes how slow a rank is.
func (g *rankGroup) setPace(rank int, pace float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pace[rank] = pace
}

// setSkew changes how uneven the experts' work is.
func (g *rankGroup) setSkew(skew float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.skew = skew
}

// drop takes the stream of a caller that has left from its rank.
func (g *rankGroup) drop(stream *rankStream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := range g.streams {
		g.streams[i] = slices.DeleteFunc(g.streams[i], func(s *rankStream) bool { return s == stream })
	}
}

// run makes passes until ctx ends.
func (g *rankGroup) run(ctx context.Context) {
	for ctx.Err() == nil {
		began, took := g.begin()
		if took == 0 {
			_ = clock.Sleep(ctx, ranksIdle) // the loop sees the end of ctx
			continue
		}
		_ = clock.Sleep(ctx, took)
		g.end(began, took)
	}
}

// begin returns the streams that a pass serves and the time that it takes, or zero
// if there are none.
func (g *rankGroup) begin() ([][]*rankStream, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := make([][]*rankStream, len(g.streams))
	total := 0
	longest := time.Duration(0)
	for i, streams := range g.streams {
		all[i] = slices.Clone(streams[:min(len(streams), ranksSlots)])
		total += len(all[i])
		longest = max(longest, time.Duration(g.pace[i]*float64(workOf(all[i]))))
	}
	if total == 0 {
		return nil, 0
	}
	mean := float64(total) / float64(len(g.streams))
	return all, ranksStep + longest + time.Duration(g.skew*mean*float64(ranksShared))
}

// workOf returns the time of a rank's own part of a pass.
func workOf(streams []*rankStream) time.Duration {
	tokens := 0
	writers := 0
	for _, s := range streams {
		tokens += s.unread
		if s.unread == 0 {
			writers++
		}
	}
	return time.Duration(min(tokens, ranksChunk))*ranksRead + time.Duration(writers)*ranksWriter
}

// end lets the streams of a pass go on.
func (g *rankGroup) end(served [][]*rankStream, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.passes++
	g.spent += took
	now := time.Now()
	for i, streams := range served {
		chunk := ranksChunk
		for _, s := range streams {
			if s.unread > 0 {
				read := min(s.unread, chunk)
				chunk -= read
				s.unread -= read
				continue
			}
			s.write(now)
		}
		g.streams[i] = unended(g.streams[i])
	}
}

// write makes one event of a stream.
func (s *rankStream) write(now time.Time) {
	pause := time.Duration(0)
	if !s.last.IsZero() {
		pause = now.Sub(s.last)
	}
	s.last = now
	s.left--
	s.events <- pause
	if s.left == 0 {
		close(s.events)
	}
}

// unended returns the streams that have something left to write.
func unended(streams []*rankStream) []*rankStream {
	var rest []*rankStream
	for _, s := range streams {
		if s.left > 0 {
			rest = append(rest, s)
		}
	}
	return rest
}
