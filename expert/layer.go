package expert

import (
	"fmt"

	"github.com/foxtailstack/foxtailstack"
)

// CheckMap returns ErrSlots unless each expert of each layer is in at least one
// slot, no rank holds an expert twice and all layers have the same number of
// ranks. It returns ErrLoad if the number of loads differs from the number of
// layers or a load is negative or not finite. If the loads of a layer have fewer
// or more experts than the layer, the result is ErrSlots.
func CheckMap(m foxtailstack.ExpertMap, loads []foxtailstack.ExpertLoad) error {
	if len(loads) != len(m.Layers) {
		return fmt.Errorf("%w: loads of %d layers, expected %d", ErrLoad, len(loads), len(m.Layers))
	}
	for l, layer := range m.Layers {
		if len(layer) != len(m.Layers[0]) || len(layer) == 0 {
			return fmt.Errorf("%w: layer %d has %d ranks, expected %d as in layer 0 and at least 1", ErrSlots, l, len(layer), len(m.Layers[0]))
		}
		err := checkTokens(l, loads[l].Tokens)
		if err != nil {
			return err
		}
		err = checkLayer(layer, len(loads[l].Tokens))
		if err != nil {
			return fmt.Errorf("layer %d: %w", l, err)
		}
	}
	return nil
}

// checkLayer returns ErrSlots unless the slots of a layer hold all experts, none
// twice on one rank.
func checkLayer(layer foxtailstack.ExpertLayer, experts int) error {
	filled := make([]int, experts)
	for r, slots := range layer {
		for i, e := range slots {
			if e < 0 || int(e) >= experts {
				return fmt.Errorf("%w: slot %d of rank %d holds expert %d, not in 0 to %d", ErrSlots, i, r, e, experts-1)
			}
			if filled[e] == r+1 {
				return fmt.Errorf("%w: rank %d holds expert %d twice", ErrSlots, r, e)
			}
			filled[e] = r + 1
		}
	}
	for e, n := range filled {
		if n == 0 {
			return fmt.Errorf("%w: no slot holds expert %d", ErrSlots, e)
		}
	}
	return nil
}

// RoundRobinLayer returns a layer that assigns the experts to the slots in
// round-robin order. It returns ErrSlots if the slots cannot hold all experts or
// a rank has more slots than there are experts.
func RoundRobinLayer(ranks, slots, experts int) (foxtailstack.ExpertLayer, error) {
	if ranks < 1 || slots < 1 || slots > experts || ranks*slots < experts {
		return nil, fmt.Errorf("%w: %d ranks of %d slots, %d experts", ErrSlots, ranks, slots, experts)
	}
	layer := make(foxtailstack.ExpertLayer, ranks)
	next := 0
	for r := range layer {
		for range slots {
			layer[r] = append(layer[r], foxtailstack.Expert(next%experts))
			next++
		}
	}
	return layer, nil
}

// Moves returns how many experts the ranks hold in next but not in current. A
// switch loads the weights of that many experts.
func Moves(current, next foxtailstack.ExpertLayer) int {
	n := 0
	for r := range next {
		for _, e := range next[r] {
			if !holds(current[r], e) {
				n++
			}
		}
	}
	return n
}

// RankLoads returns the load of each rank in tokens per pass. The replicas of an
// expert share its load equally.
func RankLoads(layer foxtailstack.ExpertLayer, tokens []float64) []float64 {
	replicas := make([]float64, len(tokens))
	for _, slots := range layer {
		for _, e := range slots {
			replicas[e]++
		}
	}
	loads := make([]float64, len(layer))
	for r, slots := range layer {
		for _, e := range slots {
			loads[r] += tokens[e] / replicas[e]
		}
	}
	return loads
}

// Skew returns the highest load of a rank divided by the mean load, which is at
// least 1. It estimates the time of a pass relative to one with balanced ranks.
// It returns 1 if there is no load.
func Skew(rankLoads []float64) float64 {
	highest, sum := 0.0, 0.0
	for _, n := range rankLoads {
		highest = max(highest, n)
		sum += n
	}
	if sum == 0 {
		return 1
	}
	return highest * float64(len(rankLoads)) / sum
}
