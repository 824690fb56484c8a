package expert

import (
	"sort"

	"github.com/foxtailstack/foxtailstack"
)

const (
	// maxSourceSlots is the number of slots of the most loaded rank whose
	// experts are considered for a change.
	maxSourceSlots = 8
	// maxTargetRanks is the number of least loaded ranks that are considered as
	// targets of a change.
	maxTargetRanks = 16
	// minRelativeGain is the minimum gain of a change relative to the potential
	// of the most loaded rank.
	minRelativeGain = 1e-6
)

// change is one change to a layer. It puts expert into a slot of the target rank
// in place of displaced. Without swap, expert gets a further replica there, and
// displaced, which must have other replicas, loses one. With swap, the two
// experts swap slots.
type change struct {
	targetRank, targetSlot int
	expert, displaced      foxtailstack.Expert
	// sourceRank and sourceSlot locate the slot that expert leaves in a swap.
	swap                   bool
	sourceRank, sourceSlot int
}

// moves returns how many experts the change loads.
func (c change) moves() int {
	if c.swap {
		return 2
	}
	return 1
}

// placement is a layer during a search, with the rank loads that result from it.
type placement struct {
	layer  foxtailstack.ExpertLayer
	tokens []float64
	// holders are the ranks that hold each expert.
	holders [][]int
	loads   []float64
	// inverseMeanLoad is one over the mean load of a rank, or zero without load.
	inverseMeanLoad float64
}

// newPlacement returns a placement with a copy of layer.
func newPlacement(layer foxtailstack.ExpertLayer, tokens []float64) *placement {
	p := &placement{
		layer:   make(foxtailstack.ExpertLayer, len(layer)),
		tokens:  tokens,
		holders: make([][]int, len(tokens)),
		loads:   RankLoads(layer, tokens),
	}
	sum := 0.0
	for r, slots := range layer {
		p.layer[r] = append([]foxtailstack.Expert(nil), slots...)
		for _, e := range slots {
			p.holders[e] = append(p.holders[e], r)
		}
		sum += p.loads[r]
	}
	if sum > 0 {
		p.inverseMeanLoad = float64(len(layer)) / sum
	}
	return p
}

// replicaLoad returns the load of each replica of e if it has n replicas.
func (p *placement) replicaLoad(e foxtailstack.Expert, n int) float64 {
	return p.tokens[e] / float64(n)
}

// potential returns the contribution of a rank with the given load to the sum
// that a search minimises. It is the eighth power of the load relative to the
// mean, so that the most loaded ranks dominate the sum but the others still
// count.
func (p *placement) potential(load float64) float64 {
	x := load * p.inverseMeanLoad
	x *= x
	x *= x
	return x * x
}

// bestChange returns the change that lowers the potential most for each move,
// and false if none lowers it enough.
func (p *placement) bestChange() (change, bool) {
	if p.inverseMeanLoad == 0 {
		return change{}, false
	}
	source := p.mostLoadedRank()
	targets := p.leastLoadedRanks(source)
	var best change
	gain := minRelativeGain * p.potential(p.loads[source])
	for _, sourceSlot := range p.mostLoadedSlots(source) {
		e := p.layer[source][sourceSlot]
		for _, target := range targets {
			if holds(p.layer[target], e) {
				continue
			}
			for targetSlot, displaced := range p.layer[target] {
				c := change{
					targetRank: target,
					targetSlot: targetSlot,
					expert:     e,
					displaced:  displaced,
				}
				if reduction := p.replicateGain(c); reduction > gain {
					best, gain = c, reduction
				}
				c.swap = true
				c.sourceRank = source
				c.sourceSlot = sourceSlot
				if reduction := p.swapGain(c) / float64(c.moves()); reduction > gain {
					best, gain = c, reduction
				}
			}
		}
	}
	return best, best.expert != best.displaced
}

// mostLoadedRank returns the rank with the highest load.
func (p *placement) mostLoadedRank() int {
	mostLoaded := 0
	for r, load := range p.loads {
		if load > p.loads[mostLoaded] {
			mostLoaded = r
		}
	}
	return mostLoaded
}

// leastLoadedRanks returns up to maxTargetRanks ranks with the lowest loads,
// except the excluded one, in increasing order of load.
func (p *placement) leastLoadedRanks(excluded int) []int {
	ranks := make([]int, 0, maxTargetRanks+1)
	for r, load := range p.loads {
		if r == excluded || len(ranks) == maxTargetRanks && load >= p.loads[ranks[maxTargetRanks-1]] {
			continue
		}
		i := len(ranks)
		ranks = append(ranks, r)
		for ; i > 0 && p.loads[ranks[i-1]] > load; i-- {
			ranks[i] = ranks[i-1]
		}
		ranks[i] = r
		ranks = ranks[:min(maxTargetRanks, len(ranks))]
	}
	return ranks
}

// mostLoadedSlots returns up to maxSourceSlots slots of a rank whose replicas
// have the highest loads.
func (p *placement) mostLoadedSlots(rank int) []int {
	slots := make([]int, len(p.layer[rank]))
	for i := range slots {
		slots[i] = i
	}
	load := func(i int) float64 {
		e := p.layer[rank][slots[i]]
		return p.replicaLoad(e, len(p.holders[e]))
	}
	sort.SliceStable(slots, func(i, j int) bool { return load(i) > load(j) })
	return slots[:min(maxSourceSlots, len(slots))]
}

// replicateGain returns by how much the potential falls if c adds a replica. It
// is negative if the displaced expert has no other replica. n and k are the
// numbers of replicas of the two experts before the change; less is the load that
// each replica of expert loses, and more what each remaining replica of displaced
// gains.
func (p *placement) replicateGain(c change) float64 {
	n := len(p.holders[c.expert])
	k := len(p.holders[c.displaced])
	if k == 1 {
		return -1
	}
	less := p.replicaLoad(c.expert, n) - p.replicaLoad(c.expert, n+1)
	more := p.replicaLoad(c.displaced, k-1) - p.replicaLoad(c.displaced, k)
	gain := 0.0
	for _, r := range p.holders[c.expert] {
		load := p.loads[r] - less
		if holds(p.layer[r], c.displaced) {
			load += more
		}
		gain += p.potential(p.loads[r]) - p.potential(load)
	}
	for _, r := range p.holders[c.displaced] {
		if r == c.targetRank || holds(p.layer[r], c.expert) {
			continue
		}
		gain += p.potential(p.loads[r]) - p.potential(p.loads[r]+more)
	}
	load := p.loads[c.targetRank] + p.replicaLoad(c.expert, n+1) - p.replicaLoad(c.displaced, k)
	return gain + p.potential(p.loads[c.targetRank]) - p.potential(load)
}

// swapGain returns by how much the potential falls if c swaps two experts. It is
// negative if the source rank already holds the displaced expert.
func (p *placement) swapGain(c change) float64 {
	if holds(p.layer[c.sourceRank], c.displaced) {
		return -1
	}
	moved := p.replicaLoad(c.expert, len(p.holders[c.expert])) - p.replicaLoad(c.displaced, len(p.holders[c.displaced]))
	return p.potential(p.loads[c.sourceRank]) - p.potential(p.loads[c.sourceRank]-moved) +
		p.potential(p.loads[c.targetRank]) - p.potential(p.loads[c.targetRank]+moved)
}

// apply applies a change and updates the loads.
func (p *placement) apply(c change) {
	p.addExpertLoad(c.expert, -1)
	p.addExpertLoad(c.displaced, -1)
	p.layer[c.targetRank][c.targetSlot] = c.expert
	p.holders[c.displaced] = removeRank(p.holders[c.displaced], c.targetRank)
	p.holders[c.expert] = append(p.holders[c.expert], c.targetRank)
	if c.swap {
		p.layer[c.sourceRank][c.sourceSlot] = c.displaced
		p.holders[c.expert] = removeRank(p.holders[c.expert], c.sourceRank)
		p.holders[c.displaced] = append(p.holders[c.displaced], c.sourceRank)
	}
	p.addExpertLoad(c.expert, 1)
	p.addExpertLoad(c.displaced, 1)
}

// addExpertLoad adds the load of an expert, times sign, to the ranks that hold
// it.
func (p *placement) addExpertLoad(e foxtailstack.Expert, sign float64) {
	for _, r := range p.holders[e] {
		p.loads[r] += sign * p.replicaLoad(e, len(p.holders[e]))
	}
}

// removeRank removes a rank from ranks, in place.
func removeRank(ranks []int, rank int) []int {
	for i, r := range ranks {
		if r == rank {
			return append(ranks[:i], ranks[i+1:]...)
		}
	}
	return ranks
}
