package expert

import (
	"container/heap"
	"sort"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

// Static is a planner that never changes the map.
type Static struct{}

// Plan returns current. It returns the errors of CheckMap.
func (Static) Plan(_ time.Time, current foxtailstack.ExpertMap, loads []foxtailstack.ExpertLoad) (foxtailstack.ExpertMap, error) {
	return current, CheckMap(current, loads)
}

// Repack is a planner that places all experts anew at each plan, regardless of
// the current map. Experts get replicas in proportion to their loads, and each
// replica, in decreasing order of load, goes to the least loaded rank (Graham,
// Bounds on Multiprocessing Timing Anomalies, 1969).
type Repack struct{}

// Plan returns a new placement of all layers, under the next epoch. It returns
// the errors of CheckMap.
func (Repack) Plan(_ time.Time, current foxtailstack.ExpertMap, loads []foxtailstack.ExpertLoad) (foxtailstack.ExpertMap, error) {
	err := CheckMap(current, loads)
	if err != nil {
		return current, err
	}
	next := foxtailstack.ExpertMap{Epoch: current.Epoch + 1}
	for l, layer := range current.Layers {
		next.Layers = append(next.Layers, pack(layer, loads[l].Tokens))
	}
	return next, nil
}

// replica is one replica of an expert, to be placed in a slot.
type replica struct {
	expert foxtailstack.Expert
	load   float64
}

// replicatedExpert is an expert with its load and its number of replicas.
type replicatedExpert struct {
	expert   foxtailstack.Expert
	tokens   float64
	replicas int
}

// replicaHeap is a heap of experts, ordered by decreasing load per replica.
type replicaHeap []replicatedExpert

// Len implements heap.Interface.
func (s replicaHeap) Len() int { return len(s) }

// Less reports whether the replicas of expert i have a higher load than those of
// expert j. Ties go to the lower expert number.
func (s replicaHeap) Less(i, j int) bool {
	a := s[i].tokens * float64(s[j].replicas)
	b := s[j].tokens * float64(s[i].replicas)
	if a != b {
		return a > b
	}
	return s[i].expert < s[j].expert
}

// Swap implements heap.Interface.
func (s replicaHeap) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push implements heap.Interface. It does nothing, as no expert is ever added to
// the heap.
func (s *replicaHeap) Push(any) {}

// Pop implements heap.Interface.
func (s *replicaHeap) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}

// replicate distributes the slots over the experts in proportion to their loads,
// at least one and at most ranks slots each. It returns the replicas in
// decreasing order of load.
func replicate(tokens []float64, slots, ranks int) []replica {
	queue := make(replicaHeap, len(tokens))
	for e, n := range tokens {
		queue[e] = replicatedExpert{
			expert:   foxtailstack.Expert(e),
			tokens:   n,
			replicas: 1,
		}
	}
	heap.Init(&queue)
	var capped replicaHeap
	for n := len(tokens); n < slots && len(queue) > 0; {
		if queue[0].replicas == ranks {
			full, _ := heap.Pop(&queue).(replicatedExpert)
			capped = append(capped, full)
			continue
		}
		queue[0].replicas++
		heap.Fix(&queue, 0)
		n++
	}
	var replicas []replica
	for _, s := range append(capped, queue...) {
		for range s.replicas {
			replicas = append(replicas, replica{
				expert: s.expert,
				load:   s.tokens / float64(s.replicas),
			})
		}
	}
	sort.Slice(replicas, func(i, j int) bool {
		if replicas[i].load != replicas[j].load {
			return replicas[i].load > replicas[j].load
		}
		return replicas[i].expert < replicas[j].expert
	})
	return replicas
}

// pack places the experts of one layer anew, with at most as many slots on each
// rank as in layer. A replica that fits on no rank is omitted, and a rank then has
// fewer slots than in layer; matchRanks rejects such a result, and Adaptive leaves
// the slots as they are. If the result lacks an expert, pack returns layer
// unchanged.
func pack(layer foxtailstack.ExpertLayer, tokens []float64) foxtailstack.ExpertLayer {
	slots := 0
	for _, s := range layer {
		slots += len(s)
	}
	next := make(foxtailstack.ExpertLayer, len(layer))
	loads := make([]float64, len(layer))
	for _, rep := range replicate(tokens, slots, len(layer)) {
		best := -1
		for r := range next {
			full := len(next[r]) == len(layer[r]) || holds(next[r], rep.expert)
			if !full && (best < 0 || loads[r] < loads[best]) {
				best = r
			}
		}
		if best < 0 {
			continue
		}
		next[best] = append(next[best], rep.expert)
		loads[best] += rep.load
	}
	if checkLayer(next, len(tokens)) != nil {
		return layer
	}
	return next
}

// holds reports whether an expert is in one of the slots.
func holds(slots []foxtailstack.Expert, e foxtailstack.Expert) bool {
	for _, other := range slots {
		if other == e {
			return true
		}
	}
	return false
}

// overlap is a bin, the experts that pack has put on one rank, and a rank that
// currently holds some of them.
type overlap struct {
	bin, rank int
}

// matchRanks assigns the bins, the experts that pack has put on each rank of
// next, to the ranks that hold most of them in layer, in decreasing order of
// overlap. Only ranks with as many slots as the bin has experts are considered.
// If a bin fits on no rank that is left, matchRanks returns layer unchanged.
func matchRanks(layer, next foxtailstack.ExpertLayer) foxtailstack.ExpertLayer {
	matched := make(foxtailstack.ExpertLayer, len(layer))
	assigned := make([]bool, len(next))
	for _, o := range overlaps(layer, next) {
		if !assigned[o.bin] && matched[o.rank] == nil && len(next[o.bin]) == len(layer[o.rank]) {
			assigned[o.bin] = true
			matched[o.rank] = next[o.bin]
		}
	}
	for bin := range next {
		for r := 0; r < len(matched) && !assigned[bin]; r++ {
			if matched[r] == nil && len(next[bin]) == len(layer[r]) {
				assigned[bin] = true
				matched[r] = next[bin]
			}
		}
		if !assigned[bin] {
			return layer
		}
	}
	return matched
}

// overlaps returns the overlapping pairs of bins of next and ranks of layer, in
// decreasing order of the number of experts that they have in common.
func overlaps(layer, next foxtailstack.ExpertLayer) []overlap {
	var holders [][]int
	for r, slots := range layer {
		for _, e := range slots {
			for int(e) >= len(holders) {
				holders = append(holders, nil)
			}
			holders[e] = append(holders[e], r)
		}
	}
	byCount := make([][]overlap, 1)
	count := make([]int, len(layer))
	for bin, slots := range next {
		clear(count)
		for _, e := range slots {
			for _, r := range holders[e] {
				count[r]++
			}
		}
		for r, n := range count {
			for n >= len(byCount) {
				byCount = append(byCount, nil)
			}
			if n > 0 {
				byCount[n] = append(byCount[n], overlap{
					bin:  bin,
					rank: r,
				})
			}
		}
	}
	var all []overlap
	for n := len(byCount) - 1; n > 0; n-- {
		all = append(all, byCount[n]...)
	}
	return all
}
