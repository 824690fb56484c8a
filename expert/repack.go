package expert

import (
	"container/heap"
	"sort"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

// Static keeps the map as it is.
type Static struct{}

// Plan returns current.
func (Static) Plan(_ time.Time, current foxtailstack.ExpertMap, loads []foxtailstack.ExpertLoad) (foxtailstack.ExpertMap, error) {
	return current, CheckMap(current, loads)
}

// Repack places all experts anew at each plan, whatever the present map: replicas
// in proportion to load, the heaviest first on the least loaded rank (Graham,
// Bounds on Multiprocessing Timing Anomalies, 1969).
type Repack struct{}

// Plan returns a new placement of all layers. It returns the errors of CheckMap.
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

// replica is one of the slots that an expert is to fill.
type replica struct {
	expert foxtailstack.Expert
	load   float64
}

// share is the load of one replica of an expert.
type share struct {
	expert   foxtailstack.Expert
	tokens   float64
	replicas int
}

// shares orders experts by the load of a replica, the highest first.
type shares []share

// Len returns the number of experts.
func (s shares) Len() int { return len(s) }

// Less reports whether expert i comes before expert j.
func (s shares) Less(i, j int) bool {
	a := s[i].tokens * float64(s[j].replicas)
	b := s[j].tokens * float64(s[i].replicas)
	if a != b {
		return a > b
	}
	return s[i].expert < s[j].expert
}

// Swap swaps two experts.
func (s shares) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push is not used: the number of experts is constant.
func (s *shares) Push(any) {}

// Pop removes the last expert.
func (s *shares) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}

// replicate divides slots among experts in proportion to load, at least one and
// at most ranks each.
func replicate(tokens []float64, slots, ranks int) []replica {
	queue := make(shares, len(tokens))
	for e, n := range tokens {
		queue[e] = share{
			expert:   foxtailstack.Expert(e),
			tokens:   n,
			replicas: 1,
		}
	}
	heap.Init(&queue)
	var done shares
	for n := len(tokens); n < slots && len(queue) > 0; {
		if queue[0].replicas == ranks {
			full, _ := heap.Pop(&queue).(share)
			done = append(done, full)
			continue
		}
		queue[0].replicas++
		heap.Fix(&queue, 0)
		n++
	}
	var replicas []replica
	for _, s := range append(done, queue...) {
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

// pack places the experts of one layer anew, with as many slots on each rank as
// before. A replica that no rank can take is left out, so that slots stay as
// they are where the last ones cannot be filled.
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

// holds reports whether slots hold an expert.
func holds(slots []foxtailstack.Expert, e foxtailstack.Expert) bool {
	for _, other := range slots {
		if other == e {
			return true
		}
	}
	return false
}

// overlap is a rank that holds experts of those placed together.
type overlap struct {
	group, rank int
}

// match deals the groups of experts in next to the ranks that hold most of them,
// the best fit first. Ranks with other numbers of slots than a group has are not
// considered.
func match(layer, next foxtailstack.ExpertLayer) foxtailstack.ExpertLayer {
	matched := make(foxtailstack.ExpertLayer, len(layer))
	dealt := make([]bool, len(next))
	for _, o := range overlaps(layer, next) {
		if !dealt[o.group] && matched[o.rank] == nil && len(next[o.group]) == len(layer[o.rank]) {
			dealt[o.group] = true
			matched[o.rank] = next[o.group]
		}
	}
	for g := range next {
		for r := 0; r < len(matched) && !dealt[g]; r++ {
			if matched[r] == nil && len(next[g]) == len(layer[r]) {
				dealt[g] = true
				matched[r] = next[g]
			}
		}
		if !dealt[g] {
			return layer
		}
	}
	return matched
}

// overlaps returns the overlaps of groups and ranks, the largest first.
func overlaps(layer, next foxtailstack.ExpertLayer) []overlap {
	var homes [][]int
	for r, slots := range layer {
		for _, e := range slots {
			for int(e) >= len(homes) {
				homes = append(homes, nil)
			}
			homes[e] = append(homes[e], r)
		}
	}
	byExperts := make([][]overlap, 1)
	count := make([]int, len(layer))
	for g, slots := range next {
		clear(count)
		for _, e := range slots {
			for _, r := range homes[e] {
				count[r]++
			}
		}
		for r, n := range count {
			for n >= len(byExperts) {
				byExperts = append(byExperts, nil)
			}
			if n > 0 {
				byExperts[n] = append(byExperts[n], overlap{
					group: g,
					rank:  r,
				})
			}
		}
	}
	var all []overlap
	for n := len(byExperts) - 1; n > 0; n-- {
		all = append(all, byExperts[n]...)
	}
	return all
}
