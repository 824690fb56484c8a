package group

import (
	"slices"
	"sort"

	"github.com/foxtailstack/foxtailstack"
)

// PlacementLimits bounds what a map may look like.
type PlacementLimits struct {
	// Places is the number of experts that one rank holds in a set.
	Places int
	// Spare is the most experts of a set that may be new to a rank.
	Spare int
	// TargetImbalance is the time of the slowest rank, relative to the ideal, at which a
	// search ends. Zero stands for the least there is use for.
	TargetImbalance float64
}

// enough returns when a search ends.
func (r PlacementLimits) enough() float64 {
	return max(r.TargetImbalance, leastEnough)
}

const (
	// leastEnough is the least time of the slowest rank, relative to the ideal, that
	// a search aims at.
	leastEnough = 1.10
	// leastGain is the least relative gain of a change that is made.
	leastGain = 0.002
	// maxChanges bounds the changes to one set for each rank.
	maxChanges = 6
	// coolRanks is the number of ranks that are considered for an expert.
	coolRanks = 16
	// none is the expert of a place that is free.
	none = foxtailstack.Expert(-1)
)

// InitialMap returns the map that a group opens with: experts dealt in turn.
func InitialMap(ranks, experts, sets int) []foxtailstack.ExpertLayer {
	layers := make([]foxtailstack.ExpertLayer, sets)
	for s := range layers {
		layers[s] = make(foxtailstack.ExpertLayer, ranks)
		for e := range experts {
			r := e % ranks
			layers[s][r] = append(layers[s][r], foxtailstack.Expert(e))
		}
	}
	return layers
}

// Skew returns the time of the slowest rank over the time that all would take
// if none was slow and the demand was spread evenly. Pace is by rank; one is the
// usual and more is slower.
func Skew(layer foxtailstack.ExpertLayer, demand, pace []float64) float64 {
	s := newSearch(layer, demand, pace, PlacementLimits{})
	total := 0.0
	for _, load := range s.loads {
		total += load
	}
	if total == 0 {
		return 1
	}
	return s.slowest() * s.ideal * float64(len(layer)) / total
}

// Place returns a layer like base on which the demand is spread more evenly over
// the ranks, less to those of a slow pace. Few changes that gain much go before
// many that gain little.
func Place(base foxtailstack.ExpertLayer, demand, pace []float64, room PlacementLimits) foxtailstack.ExpertLayer {
	s := newSearch(base, demand, pace, room)
	for range maxChanges * len(base) {
		if s.ideal == 0 || s.slowest() <= room.enough() {
			break
		}
		c, ok := s.best()
		if !ok {
			break
		}
		s.apply(c)
	}
	return s.layer
}

// Copies returns how many experts ranks have to copy to get from base to next.
func Copies(base, next foxtailstack.ExpertLayer) int {
	n := 0
	for r := range next {
		for _, e := range next[r] {
			if !slices.Contains(base[r], e) {
				n++
			}
		}
	}
	return n
}

// search is the state of a search for one set.
type search struct {
	base   foxtailstack.ExpertLayer
	layer  foxtailstack.ExpertLayer
	demand []float64
	pace   []float64
	room   PlacementLimits
	// homes are the ranks that hold each expert.
	homes [][]int
	loads []float64
	// ideal is the time of every rank if the demand was spread perfectly.
	ideal float64
	// changed holds what the change under consideration does to the loads.
	changed []delta
	// fresh counts the experts of each rank that are not in base.
	fresh []int
}

// newSearch returns a search that begins at base.
func newSearch(base foxtailstack.ExpertLayer, demand, pace []float64, room PlacementLimits) *search {
	s := &search{
		base:   base,
		layer:  make(foxtailstack.ExpertLayer, len(base)),
		demand: demand,
		pace:   pace,
		room:   room,
		homes:  make([][]int, len(demand)),
		loads:  make([]float64, len(base)),
		fresh:  make([]int, len(base)),
	}
	for r, experts := range base {
		s.layer[r] = slices.Clone(experts)
		for _, e := range experts {
			s.homes[e] = append(s.homes[e], r)
		}
	}
	total, speed := 0.0, 0.0
	for e, homes := range s.homes {
		for _, r := range homes {
			s.loads[r] += demand[e] / float64(len(homes))
		}
		total += demand[e]
	}
	for _, x := range pace {
		speed += 1 / x
	}
	s.ideal = total / speed
	return s
}

// time returns the time of a rank with a load, relative to the ideal.
func (s *search) time(r int, load float64) float64 {
	return load * s.pace[r] / s.ideal
}

// hottest returns the rank that takes the longest.
func (s *search) hottest() int {
	hot := 0
	for r, load := range s.loads {
		if s.time(r, load) > s.time(hot, s.loads[hot]) {
			hot = r
		}
	}
	return hot
}

// slowest returns the time of the rank that takes the longest.
func (s *search) slowest() float64 {
	hot := s.hottest()
	return s.time(hot, s.loads[hot])
}

// nowhere is the rank that an expert goes to which loses a replica.
const nowhere = -1

// change puts expert on rank to, in place of gone unless that is none. It takes
// expert away from rank from, unless that keeps it. What is gone goes to rank next
// unless that is nowhere.
type change struct {
	expert, gone   foxtailstack.Expert
	from, to, next int
	keep           bool
}

// best returns the change that lowers the potential most.
func (s *search) best() (change, bool) {
	hot := s.hottest()
	var found change
	gain := leastGain * s.potential(hot, s.loads[hot])
	consider := func(c change) {
		won := s.gain(c)
		if won > gain {
			found, gain = c, won
		}
	}
	cool := s.coolest(hot)
	for _, e := range s.layer[hot] {
		considered := 0
		for _, r := range cool {
			if slices.Contains(s.layer[r], e) || !s.mayTake(r, e) {
				continue
			}
			s.candidates(e, hot, r, consider)
			considered++
			if considered == coolRanks {
				break
			}
		}
	}
	if found.from == found.to {
		s.chains(hot, cool, consider)
	}
	return found, found.from != found.to
}

// chains considers changes that bring an expert from the hottest rank to one that
// is full, and one of that rank's to a third. They are many, so they are considered
// only if nothing simpler helps.
func (s *search) chains(hot int, cool []int, consider func(change)) {
	var free []int
	for _, r := range cool {
		if len(s.layer[r]) < s.room.Places && s.fresh[r] < s.room.Spare && len(free) < coolRanks {
			free = append(free, r)
		}
	}
	for _, e := range s.layer[hot] {
		considered := 0
		for _, r := range cool {
			if len(s.layer[r]) < s.room.Places || slices.Contains(s.layer[r], e) || !s.mayTake(r, e) {
				continue
			}
			s.chainsThrough(e, hot, r, free, consider)
			considered++
			if considered == coolRanks {
				break
			}
		}
	}
}

// chainsThrough considers the chains of expert e from rank hot to rank r.
func (s *search) chainsThrough(e foxtailstack.Expert, hot, r int, free []int, consider func(change)) {
	for _, f := range s.layer[r] {
		for _, next := range free {
			if next == r || slices.Contains(s.layer[next], f) {
				continue
			}
			for _, keep := range []bool{true, false} {
				consider(change{
					expert: e,
					gone:   f,
					from:   hot,
					to:     r,
					next:   next,
					keep:   keep,
				})
			}
		}
	}
}

// candidates considers every change that brings expert e from rank hot to rank r.
func (s *search) candidates(e foxtailstack.Expert, hot, r int, consider func(change)) {
	if len(s.layer[r]) < s.room.Places {
		for _, keep := range []bool{true, false} {
			consider(change{
				expert: e,
				gone:   none,
				from:   hot,
				to:     r,
				next:   nowhere,
				keep:   keep,
			})
		}
	}
	for _, f := range s.layer[r] {
		if len(s.homes[f]) > 1 {
			for _, keep := range []bool{true, false} {
				consider(change{
					expert: e,
					gone:   f,
					from:   hot,
					to:     r,
					next:   nowhere,
					keep:   keep,
				})
			}
		}
		if !slices.Contains(s.layer[hot], f) && s.mayTake(hot, f) {
			consider(change{
				expert: e,
				gone:   f,
				from:   hot,
				to:     r,
				next:   hot,
			})
		}
	}
}

// mayTake reports whether a rank may get an expert within the bound on new ones.
func (s *search) mayTake(r int, e foxtailstack.Expert) bool {
	return s.fresh[r] < s.room.Spare || slices.Contains(s.base[r], e)
}

// coolest returns all ranks but one, those that take the least time first.
func (s *search) coolest(but int) []int {
	ranks := make([]int, 0, len(s.loads))
	for r := range s.loads {
		if r != but {
			ranks = append(ranks, r)
		}
	}
	sort.Slice(ranks, func(i, j int) bool {
		return s.time(ranks[i], s.loads[ranks[i]]) < s.time(ranks[j], s.loads[ranks[j]])
	})
	return ranks
}

// potential returns the term of one rank in the sum that a search lowers: a high
// power of its time, so that the slowest ranks count most.
func (s *search) potential(r int, load float64) float64 {
	x := s.time(r, load)
	x *= x
	x *= x
	return x * x
}

// gain returns how much a change lowers the potential.
func (s *search) gain(c change) float64 {
	s.deltas(c)
	won := 0.0
	for _, d := range s.changed {
		won += s.potential(d.rank, s.loads[d.rank]) - s.potential(d.rank, max(0, s.loads[d.rank]+d.load))
	}
	return won
}

// delta is by how much a change raises the load of a rank.
type delta struct {
	rank int
	load float64
}

// raise adds to the change of one rank's load.
func (s *search) raise(rank int, load float64) {
	for i := range s.changed {
		if s.changed[i].rank == rank {
			s.changed[i].load += load
			return
		}
	}
	s.changed = append(s.changed, delta{
		rank: rank,
		load: load,
	})
}

// deltas sets changed to what a change does to the load of each rank.
func (s *search) deltas(c change) {
	s.changed = s.changed[:0]
	n := len(s.homes[c.expert])
	old := s.demand[c.expert] / float64(n)
	if c.keep {
		n++
	}
	share := s.demand[c.expert] / float64(n)
	for _, r := range s.homes[c.expert] {
		s.raise(r, share-old)
	}
	s.raise(c.to, share)
	if !c.keep {
		s.raise(c.from, -share)
	}
	if c.gone == none {
		return
	}
	n = len(s.homes[c.gone])
	old = s.demand[c.gone] / float64(n)
	if c.next != nowhere {
		s.raise(c.to, -old)
		s.raise(c.next, old)
		return
	}
	share = s.demand[c.gone] / float64(n-1)
	for _, r := range s.homes[c.gone] {
		s.raise(r, share-old)
	}
	s.raise(c.to, -share)
}

// apply makes a change.
func (s *search) apply(c change) {
	s.deltas(c)
	for _, d := range s.changed {
		s.loads[d.rank] += d.load
	}
	if c.gone != none {
		s.drop(c.to, c.gone)
	}
	if !c.keep {
		s.drop(c.from, c.expert)
	}
	s.add(c.to, c.expert)
	if c.next != nowhere {
		s.add(c.next, c.gone)
	}
}

// add puts an expert on a rank.
func (s *search) add(r int, e foxtailstack.Expert) {
	s.layer[r] = append(s.layer[r], e)
	s.homes[e] = append(s.homes[e], r)
	if !slices.Contains(s.base[r], e) {
		s.fresh[r]++
	}
}

// drop takes an expert from a rank.
func (s *search) drop(r int, e foxtailstack.Expert) {
	at := slices.Index(s.layer[r], e)
	s.layer[r] = slices.Delete(s.layer[r], at, at+1)
	at = slices.Index(s.homes[e], r)
	s.homes[e] = slices.Delete(s.homes[e], at, at+1)
	if !slices.Contains(s.base[r], e) {
		s.fresh[r]--
	}
}
