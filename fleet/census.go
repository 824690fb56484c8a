package fleet

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

const (
	// reportLife is how long a report of a subscriber counts without a further
	// one, and summaryLife that of another root.
	reportLife  = 2500 * time.Millisecond
	summaryLife = 4500 * time.Millisecond
	// settleTime is how long a process that has changed its relay stays
	// uncounted, so that it is never counted twice: the report lives on at the
	// relay and then in the last summary with it.
	settleTime = reportLife + summaryLife
	// maxCounts bounds the revisions told apart in a report.
	maxCounts = 8
)

// Count is the number of processes in which a revision is in force.
type Count struct {
	Revision foxtailstack.Revision `cbor:"1,keyasint"`
	N        int                   `cbor:"2,keyasint"`
}

// Status says how far a revision has spread.
type Status struct {
	// InForce is the number of processes that have the revision or a later one.
	InForce int
	// Total is the number of processes that are listed or report, whichever is
	// higher.
	Total int
}

// heard is a report with the time of its arrival.
type heard struct {
	counts []Count
	at     time.Time
}

// census counts the processes by their revision in force. The zero value is
// ready for use.
type census struct {
	mu       sync.Mutex
	children map[Stream]heard
	roots    map[foxtailstack.InstanceName]heard
	// above is the count of the whole system as the relay tells it.
	above heard
}

// setChild keeps the report of a subscriber.
func (c *census) setChild(s Stream, counts []Count) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.children == nil {
		c.children = map[Stream]heard{}
	}
	c.children[s] = heard{
		counts: counts,
		at:     time.Now(),
	}
}

// dropChild forgets a subscriber.
func (c *census) dropChild(s Stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.children, s)
}

// setRoot keeps the summary of another root.
func (c *census) setRoot(s summary) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.roots == nil {
		c.roots = map[foxtailstack.InstanceName]heard{}
	}
	c.roots[s.Instance] = heard{
		counts: s.Counts,
		at:     time.Now(),
	}
}

// setAbove keeps the count of the whole system.
func (c *census) setAbove(counts []Count) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.above = heard{
		counts: counts,
		at:     time.Now(),
	}
}

// subtree returns the counts of the process, whose revision is own, and of its
// subscribers.
func (c *census) subtree(own foxtailstack.Revision) []Count {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := []Count{{
		Revision: own,
		N:        1,
	}}
	for stream, child := range c.children {
		if time.Since(child.at) >= reportLife {
			delete(c.children, stream)
			continue
		}
		all = append(all, child.counts...)
	}
	return merge(all)
}

// total returns the counts of the whole system as a process that follows another
// knows them.
func (c *census) total(own foxtailstack.Revision) []Count {
	all := c.subtree(own)
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.above.at) < reportLife {
		return c.above.counts
	}
	return all
}

// rootTotal returns the counts of the whole system as a poller knows them. One that
// has not settled may be counted by the other roots still, so that it counts what
// they tell and not itself.
func (c *census) rootTotal(own foxtailstack.Revision, settled bool) []Count {
	all := c.subtree(own)
	c.mu.Lock()
	defer c.mu.Unlock()
	var others []Count
	for name, other := range c.roots {
		if time.Since(other.at) >= summaryLife {
			delete(c.roots, name)
			continue
		}
		others = append(others, other.counts...)
	}
	if !settled && len(others) > 0 {
		return merge(others)
	}
	return merge(append(all, others...))
}

// merge adds up counts by revision, the highest first. Beyond maxCounts, the
// lowest revisions count as the lowest of all.
func merge(counts []Count) []Count {
	byRevision := map[foxtailstack.Revision]int{}
	for _, count := range counts {
		byRevision[count.Revision] += count.N
	}
	merged := make([]Count, 0, len(byRevision))
	for revision, n := range byRevision {
		merged = append(merged, Count{
			Revision: revision,
			N:        n,
		})
	}
	slices.SortFunc(merged, func(a, b Count) int { return cmp.Compare(b.Revision, a.Revision) })
	if len(merged) <= maxCounts {
		return merged
	}
	last := merged[len(merged)-1]
	for _, count := range merged[maxCounts-1 : len(merged)-1] {
		last.N += count.N
	}
	return append(merged[:maxCounts-1], last)
}

// statusOf returns how far a revision has spread among counted processes, of
// which at least listed ones exist.
func statusOf(counts []Count, revision foxtailstack.Revision, listed int) Status {
	var s Status
	for _, count := range counts {
		s.Total += count.N
		if count.Revision >= revision {
			s.InForce += count.N
		}
	}
	s.Total = max(s.Total, listed)
	return s
}
