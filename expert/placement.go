package expert

import (
	"sort"

	"github.com/foxtailstack/foxtailstack"
)

const (
	// hotSlots is the number of slots of the hottest rank that are considered.
	hotSlots = 8
	// coolRanks is the number of the least loaded ranks that are considered.
	coolRanks = 16
	// potentialGain is the least relative gain of a change.
	potentialGain = 1e-6
)

// change is one change to a layer. A change either puts a replica of an expert
// on another rank, in place of an expert that has further replicas, or swaps
// the experts of two slots.
type change struct {
	rank, slot   int
	expert, gone foxtailstack.Expert
	// from and fromSlot are the slot that expert is swapped out of.
	swap           bool
	from, fromSlot int
}

// moves returns how many experts a change loads.
func (c change) moves() int {
	if c.swap {
		return 2
	}
	return 1
}

// placement is a layer under search.
type placement struct {
	layer  foxtailstack.ExpertLayer
	tokens []float64
	// homes are the ranks that hold each expert.
	homes [][]int
	loads []float64
	// scale is one over the mean load, or zero without load.
	scale float64
}

// newPlacement returns a copy of layer for a search.
func newPlacement(layer foxtailstack.ExpertLayer, tokens []float64) *placement {
	p := &placement{
		layer:  make(foxtailstack.ExpertLayer, len(layer)),
		tokens: tokens,
		homes:  make([][]int, len(tokens)),
		loads:  RankLoads(layer, tokens),
	}
	sum := 0.0
	for r, slots := range layer {
		p.layer[r] = append([]foxtailstack.Expert(nil), slots...)
		for _, e := range slots {
			p.homes[e] = append(p.homes[e], r)
		}
		sum += p.loads[r]
	}
	if sum > 0 {
		p.scale = float64(len(layer)) / sum
	}
	return p
}

// share returns the load of one of n replicas of e.
func (p *placement) share(e foxtailstack.Expert, n int) float64 {
	return p.tokens[e] / float64(n)
}

// potential returns the term of a rank's load in the sum that a search lowers:
// a high power, so that the hottest ranks count most and a rank below the
// hottest still counts.
func (p *placement) potential(load float64) float64 {
	x := load * p.scale
	x *= x
	x *= x
	return x * x
}

// improve returns the change that lowers the potential most for each move.
func (p *placement) improve() (change, bool) {
	if p.scale == 0 {
		return change{}, false
	}
	hot := p.hot()
	cools := p.coolest(hot)
	var best change
	gain := potentialGain * p.potential(p.loads[hot])
	for _, fromSlot := range p.hottest(hot) {
		e := p.layer[hot][fromSlot]
		for _, cool := range cools {
			if holds(p.layer[cool], e) {
				continue
			}
			for slot, gone := range p.layer[cool] {
				c := change{
					rank:   cool,
					slot:   slot,
					expert: e,
					gone:   gone,
				}
				if won := p.replicateGain(c); won > gain {
					best, gain = c, won
				}
				c.swap = true
				c.from = hot
				c.fromSlot = fromSlot
				if won := p.swapGain(c) / float64(c.moves()); won > gain {
					best, gain = c, won
				}
			}
		}
	}
	return best, best.expert != best.gone
}

// hot returns the most loaded rank.
func (p *placement) hot() int {
	hot := 0
	for r, load := range p.loads {
		if load > p.loads[hot] {
			hot = r
		}
	}
	return hot
}

// coolest returns the least loaded ranks but for hot, in order.
func (p *placement) coolest(hot int) []int {
	ranks := make([]int, 0, coolRanks+1)
	for r, load := range p.loads {
		if r == hot || len(ranks) == coolRanks && load >= p.loads[ranks[coolRanks-1]] {
			continue
		}
		i := len(ranks)
		ranks = append(ranks, r)
		for ; i > 0 && p.loads[ranks[i-1]] > load; i-- {
			ranks[i] = ranks[i-1]
		}
		ranks[i] = r
		ranks = ranks[:min(coolRanks, len(ranks))]
	}
	return ranks
}

// hottest returns the slots of a rank that carry most.
func (p *placement) hottest(rank int) []int {
	slots := make([]int, len(p.layer[rank]))
	for i := range slots {
		slots[i] = i
	}
	load := func(i int) float64 {
		e := p.layer[rank][slots[i]]
		return p.share(e, len(p.homes[e]))
	}
	sort.SliceStable(slots, func(i, j int) bool { return load(i) > load(j) })
	return slots[:min(hotSlots, len(slots))]
}

// replicateGain returns how much a further replica lowers the potential. It is
// negative if the expert in its way has no other one.
func (p *placement) replicateGain(c change) float64 {
	n := len(p.homes[c.expert])
	k := len(p.homes[c.gone])
	if k == 1 {
		return -1
	}
	less := p.share(c.expert, n) - p.share(c.expert, n+1)
	more := p.share(c.gone, k-1) - p.share(c.gone, k)
	gain := 0.0
	for _, r := range p.homes[c.expert] {
		load := p.loads[r] - less
		if holds(p.layer[r], c.gone) {
			load += more
		}
		gain += p.potential(p.loads[r]) - p.potential(load)
	}
	for _, r := range p.homes[c.gone] {
		if r == c.rank || holds(p.layer[r], c.expert) {
			continue
		}
		gain += p.potential(p.loads[r]) - p.potential(p.loads[r]+more)
	}
	load := p.loads[c.rank] + p.share(c.expert, n+1) - p.share(c.gone, k)
	return gain + p.potential(p.loads[c.rank]) - p.potential(load)
}

// swapGain returns how much a swap lowers the potential. It is negative if the
// rank that is to take the expert gone holds it already.
func (p *placement) swapGain(c change) float64 {
	if holds(p.layer[c.from], c.gone) {
		return -1
	}
	moved := p.share(c.expert, len(p.homes[c.expert])) - p.share(c.gone, len(p.homes[c.gone]))
	return p.potential(p.loads[c.from]) - p.potential(p.loads[c.from]-moved) +
		p.potential(p.loads[c.rank]) - p.potential(p.loads[c.rank]+moved)
}

// apply makes a change.
func (p *placement) apply(c change) {
	p.lift(c.expert, -1)
	p.lift(c.gone, -1)
	p.layer[c.rank][c.slot] = c.expert
	p.homes[c.gone] = without(p.homes[c.gone], c.rank)
	p.homes[c.expert] = append(p.homes[c.expert], c.rank)
	if c.swap {
		p.layer[c.from][c.fromSlot] = c.gone
		p.homes[c.expert] = without(p.homes[c.expert], c.from)
		p.homes[c.gone] = append(p.homes[c.gone], c.from)
	}
	p.lift(c.expert, 1)
	p.lift(c.gone, 1)
}

// lift adds the load of an expert, times a sign, to its ranks.
func (p *placement) lift(e foxtailstack.Expert, sign float64) {
	for _, r := range p.homes[e] {
		p.loads[r] += sign * p.share(e, len(p.homes[e]))
	}
}

// without returns ranks but for one.
func without(ranks []int, rank int) []int {
	for i, r := range ranks {
		if r == rank {
			return append(ranks[:i], ranks[i+1:]...)
		}
	}
	return ranks
}
