package group

import (
	"slices"
	"sort"

	"github.com/foxtailstack/foxtailstack"
)

const (
	// minTargetImbalance is the lowest time of the slowest rank, relative to
	// the ideal, that a search aims at.
	minTargetImbalance = 1.10
	// minGain is the minimum gain of a change, as a fraction of the potential
	// of the slowest rank.
	minGain = 0.002
	// maxChangesPerRank times the number of ranks is the maximum number of
	// changes to one layer set.
	maxChangesPerRank = 6
	// maxTargetRanks is the number of target ranks considered for one expert.
	maxTargetRanks = 16
	// noExpert stands for a free slot: no expert is displaced.
	noExpert = foxtailstack.Expert(-1)
)

// search is the state of a search for the layer of one layer set.
type search struct {
	base     foxtailstack.ExpertLayer
	layer    foxtailstack.ExpertLayer
	demand   []float64
	slowdown []float64
	limits   PlacementLimits
	// holders lists the ranks that hold each expert.
	holders [][]int
	// loads holds the demand for each rank, where the demand for an expert is
	// split evenly over the ranks that hold it.
	loads []float64
	// idealTime is the time of every rank if the demand was spread perfectly,
	// in units of demand.
	idealTime float64
	// deltas holds the changes of load that the change under consideration
	// causes.
	deltas []loadDelta
	// newExperts is the number of experts of each rank that it does not hold in
	// base.
	newExperts []int
	// changes is the number of changes made.
	changes int
}

// newSearch returns a search that starts from base.
func newSearch(base foxtailstack.ExpertLayer, demand, slowdown []float64, limits PlacementLimits) *search {
	s := &search{
		base:       base,
		layer:      make(foxtailstack.ExpertLayer, len(base)),
		demand:     demand,
		slowdown:   slowdown,
		limits:     limits,
		holders:    make([][]int, len(demand)),
		loads:      make([]float64, len(base)),
		newExperts: make([]int, len(base)),
	}
	for r, experts := range base {
		s.layer[r] = slices.Clone(experts)
		for _, e := range experts {
			s.holders[e] = append(s.holders[e], r)
		}
	}
	total, speed := 0.0, 0.0
	for e, holders := range s.holders {
		for _, r := range holders {
			s.loads[r] += demand[e] / float64(len(holders))
		}
		total += demand[e]
	}
	for _, x := range slowdown {
		speed += 1 / x
	}
	s.idealTime = total / speed
	return s
}

// improve makes the change with the highest gain. It returns false if the layer is even
// enough, no change helps or the number of changes has reached its limit.
func (s *search) improve() bool {
	if s.even() || s.changes == maxChangesPerRank*len(s.base) {
		return false
	}
	c, ok := s.best()
	if !ok {
		return false
	}
	s.apply(c)
	s.changes++
	return true
}

// even reports whether the slowest rank takes no longer than the target imbalance allows.
func (s *search) even() bool {
	return s.idealTime == 0 || s.maxTime() <= s.limits.effectiveTargetImbalance()
}

// relativeTime returns the time of rank r with a given load, relative to the
// ideal time.
func (s *search) relativeTime(r int, load float64) float64 {
	return load * s.slowdown[r] / s.idealTime
}

// slowestRank returns the rank with the longest time.
func (s *search) slowestRank() int {
	slowest := 0
	for r, load := range s.loads {
		if s.relativeTime(r, load) > s.relativeTime(slowest, s.loads[slowest]) {
			slowest = r
		}
	}
	return slowest
}

// maxTime returns the time of the slowest rank, relative to the ideal time.
func (s *search) maxTime() float64 {
	rank := s.slowestRank()
	return s.relativeTime(rank, s.loads[rank])
}

// skew returns the skew of the layer found so far (see Skew).
func (s *search) skew() float64 {
	total := sum(s.loads)
	if total == 0 {
		return 1
	}
	return s.maxTime() * s.idealTime * float64(len(s.layer)) / total
}

// noRank is the destination of a displaced expert that loses a replica and
// moves to no other rank.
const noRank = -1

// change places expert on rank to, in place of displaced unless that is
// noExpert. It removes expert from rank from, unless replicate is set. The
// displaced expert moves to rank displacedTo, unless that is noRank.
type change struct {
	expert, displaced     foxtailstack.Expert
	from, to, displacedTo int
	replicate             bool
}

// best returns the change that lowers the sum of the potentials most. It
// returns false if no change gains minGain times the potential of the slowest
// rank. While none is found, from and to of found are both zero.
func (s *search) best() (change, bool) {
	source := s.slowestRank()
	var found change
	gain := minGain * s.potential(source, s.loads[source])
	consider := func(c change) {
		improvement := s.gain(c)
		if improvement > gain {
			found, gain = c, improvement
		}
	}
	targets := s.ranksByTime(source)
	for _, e := range s.layer[source] {
		considered := 0
		for _, r := range targets {
			if slices.Contains(s.layer[r], e) || !s.mayAdd(r, e) {
				continue
			}
			s.considerMoves(e, source, r, consider)
			considered++
			if considered == maxTargetRanks {
				break
			}
		}
	}
	if found.from == found.to {
		s.considerChains(source, targets, consider)
	}
	return found, found.from != found.to
}

// considerChains considers changes that move an expert from the slowest
// rank to one that is full, and displace one of that rank's experts to a third
// rank. There are many of them, so best considers them only if no simpler
// change helps.
func (s *search) considerChains(source int, targets []int, consider func(change)) {
	var free []int
	for _, r := range targets {
		if len(s.layer[r]) < s.limits.ExpertsPerRank && s.limits.allowsNew(r, s.newExperts[r]) && len(free) < maxTargetRanks {
			free = append(free, r)
		}
	}
	for _, e := range s.layer[source] {
		considered := 0
		for _, r := range targets {
			if len(s.layer[r]) < s.limits.ExpertsPerRank || slices.Contains(s.layer[r], e) || !s.mayAdd(r, e) {
				continue
			}
			s.considerChainsThrough(e, source, r, free, consider)
			considered++
			if considered == maxTargetRanks {
				break
			}
		}
	}
}

// considerChainsThrough considers the chains that move expert e from rank
// source to rank r. The ranks in free have a free slot and may get
// a new expert.
func (s *search) considerChainsThrough(e foxtailstack.Expert, source, r int, free []int, consider func(change)) {
	for _, f := range s.layer[r] {
		for _, next := range free {
			if next == r || slices.Contains(s.layer[next], f) {
				continue
			}
			for _, keep := range []bool{true, false} {
				consider(change{
					expert:      e,
					displaced:   f,
					from:        source,
					to:          r,
					displacedTo: next,
					replicate:   keep,
				})
			}
		}
	}
}

// considerMoves considers every change that moves or copies expert e from rank
// source to rank r and displaces no expert to a third rank: e takes a free slot,
// replaces a replica of another expert, or is swapped with another expert, which
// moves to source.
func (s *search) considerMoves(e foxtailstack.Expert, source, r int, consider func(change)) {
	if len(s.layer[r]) < s.limits.ExpertsPerRank {
		for _, keep := range []bool{true, false} {
			consider(change{
				expert:      e,
				displaced:   noExpert,
				from:        source,
				to:          r,
				displacedTo: noRank,
				replicate:   keep,
			})
		}
	}
	for _, f := range s.layer[r] {
		if len(s.holders[f]) > 1 {
			for _, keep := range []bool{true, false} {
				consider(change{
					expert:      e,
					displaced:   f,
					from:        source,
					to:          r,
					displacedTo: noRank,
					replicate:   keep,
				})
			}
		}
		if !slices.Contains(s.layer[source], f) && s.mayAdd(source, f) {
			consider(change{
				expert:      e,
				displaced:   f,
				from:        source,
				to:          r,
				displacedTo: source,
			})
		}
	}
}

// mayAdd reports whether rank r may get expert e within the limit on new
// experts.
func (s *search) mayAdd(r int, e foxtailstack.Expert) bool {
	return s.limits.allowsNew(r, s.newExperts[r]) || slices.Contains(s.base[r], e)
}

// ranksByTime returns all ranks except one, in the order of increasing time.
func (s *search) ranksByTime(except int) []int {
	ranks := make([]int, 0, len(s.loads))
	for r := range s.loads {
		if r != except {
			ranks = append(ranks, r)
		}
	}
	sort.Slice(ranks, func(i, j int) bool {
		return s.relativeTime(ranks[i], s.loads[ranks[i]]) < s.relativeTime(ranks[j], s.loads[ranks[j]])
	})
	return ranks
}

// potential returns the term of one rank in the sum that the search lowers. It
// is the eighth power of the rank's time, so that the slowest ranks dominate
// the sum.
func (s *search) potential(r int, load float64) float64 {
	x := s.relativeTime(r, load)
	x *= x
	x *= x
	return x * x
}

// gain returns by how much a change lowers the sum of the potentials.
func (s *search) gain(c change) float64 {
	s.computeDeltas(c)
	improvement := 0.0
	for _, d := range s.deltas {
		improvement += s.potential(d.rank, s.loads[d.rank]) - s.potential(d.rank, max(0, s.loads[d.rank]+d.load))
	}
	return improvement
}

// loadDelta is the change of one rank's load.
type loadDelta struct {
	rank int
	load float64
}

// addDelta adds to the change of a rank's load.
func (s *search) addDelta(rank int, load float64) {
	for i := range s.deltas {
		if s.deltas[i].rank == rank {
			s.deltas[i].load += load
			return
		}
	}
	s.deltas = append(s.deltas, loadDelta{
		rank: rank,
		load: load,
	})
}

// computeDeltas sets s.deltas to the changes of load that c causes.
func (s *search) computeDeltas(c change) {
	s.deltas = s.deltas[:0]
	n := len(s.holders[c.expert])
	old := s.demand[c.expert] / float64(n)
	if c.replicate {
		n++
	}
	share := s.demand[c.expert] / float64(n)
	for _, r := range s.holders[c.expert] {
		s.addDelta(r, share-old)
	}
	s.addDelta(c.to, share)
	if !c.replicate {
		s.addDelta(c.from, -share)
	}
	if c.displaced == noExpert {
		return
	}
	n = len(s.holders[c.displaced])
	old = s.demand[c.displaced] / float64(n)
	if c.displacedTo != noRank {
		s.addDelta(c.to, -old)
		s.addDelta(c.displacedTo, old)
		return
	}
	share = s.demand[c.displaced] / float64(n-1)
	for _, r := range s.holders[c.displaced] {
		s.addDelta(r, share-old)
	}
	s.addDelta(c.to, -share)
}

// apply carries out a change.
func (s *search) apply(c change) {
	s.computeDeltas(c)
	for _, d := range s.deltas {
		s.loads[d.rank] += d.load
	}
	if c.displaced != noExpert {
		s.remove(c.to, c.displaced)
	}
	if !c.replicate {
		s.remove(c.from, c.expert)
	}
	s.add(c.to, c.expert)
	if c.displacedTo != noRank {
		s.add(c.displacedTo, c.displaced)
	}
}

// add adds an expert to a rank.
func (s *search) add(r int, e foxtailstack.Expert) {
	s.layer[r] = append(s.layer[r], e)
	s.holders[e] = append(s.holders[e], r)
	if !slices.Contains(s.base[r], e) {
		s.newExperts[r]++
		s.limits.use(r, 1)
	}
}

// remove removes an expert from a rank.
func (s *search) remove(r int, e foxtailstack.Expert) {
	at := slices.Index(s.layer[r], e)
	s.layer[r] = slices.Delete(s.layer[r], at, at+1)
	at = slices.Index(s.holders[e], r)
	s.holders[e] = slices.Delete(s.holders[e], at, at+1)
	if !slices.Contains(s.base[r], e) {
		s.newExperts[r]--
		s.limits.use(r, -1)
	}
}
