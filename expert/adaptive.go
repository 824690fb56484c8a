package expert

import (
	"fmt"
	"sort"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

const (
	// defaultMoveCost is the step time lost by one move if Adaptive.MoveCost is
	// zero.
	defaultMoveCost = 100 * time.Millisecond
	// maxChangesPerLayer limits the greedy search for changes to one layer in
	// one plan.
	maxChangesPerLayer = 32
)

// Adaptive is a planner that changes a layer of the map only if the change pays
// for itself. It changes a layer once the step time lost without the change
// exceeds the cost of its moves. The loss is counted from the last shift of the
// load or the last change of the layer, whichever is later. By the competitive
// analysis of renting against buying, waiting until then costs at most twice as
// much as knowing in advance how long the new load lasts (Karlin et al.,
// Competitive Snoopy Caching, 1988). The zero value is ready for use.
type Adaptive struct {
	// SkewWeight and MoveWeight weigh the step time lost to skew against that
	// lost to moves; zero means 1.
	SkewWeight float64
	MoveWeight float64
	// MaxMoves is the maximum number of experts moved in one plan; zero means no
	// limit.
	MaxMoves int
	// QuietHours are the hours of the day, in UTC, in which no expert is moved.
	QuietHours []int
	// MoveCost is the step time lost by one move; zero means 100 ms.
	MoveCost time.Duration

	// lastChanged is the time of the last change of each layer. At the first
	// plan, it is the time of the last shift of the load of the layer.
	lastChanged []time.Time
}

// Check returns ErrOptions if an option is negative or a quiet hour is not in 0
// to 23.
func (a *Adaptive) Check() error {
	if a.SkewWeight < 0 || a.MoveWeight < 0 || a.MaxMoves < 0 || a.MoveCost < 0 {
		return fmt.Errorf("%w: skew weight %g, move weight %g, maximum of moves %d and move cost %s must not be negative", ErrOptions, a.SkewWeight, a.MoveWeight, a.MaxMoves, a.MoveCost)
	}
	for _, hour := range a.QuietHours {
		if hour < 0 || hour > 23 {
			return fmt.Errorf("%w: quiet hour %d is not in 0 to 23", ErrOptions, hour)
		}
	}
	return nil
}

// Plan returns current with the changes that pay for themselves, under the next
// epoch if there are any. In a quiet hour, it returns current. It returns
// ErrOptions if an option is out of range and the errors of CheckMap.
func (a *Adaptive) Plan(now time.Time, current foxtailstack.ExpertMap, loads []foxtailstack.ExpertLoad) (foxtailstack.ExpertMap, error) {
	err := a.Check()
	if err == nil {
		err = CheckMap(current, loads)
	}
	if err != nil || a.inQuietHour(now) {
		return current, err
	}
	if len(a.lastChanged) != len(loads) {
		a.lastChanged = make([]time.Time, len(loads))
		for l := range a.lastChanged {
			a.lastChanged[l] = now.Add(-loads[l].SinceShift)
		}
	}
	var candidates []candidate
	for l, layer := range current.Layers {
		accrued := min(loads[l].SinceShift, now.Sub(a.lastChanged[l]))
		// Each layer takes an equal part of the step time, here in seconds.
		best := a.bestCandidate(layer, loads[l].Tokens, accrued.Seconds()/float64(len(loads)))
		if best.netGain > 0 {
			best.layerIndex = l
			candidates = append(candidates, best)
		}
	}
	return a.applyCandidates(now, current, candidates), nil
}

// inQuietHour reports whether now is in one of the quiet hours.
func (a *Adaptive) inQuietHour(now time.Time) bool {
	for _, hour := range a.QuietHours {
		if now.UTC().Hour() == hour {
			return true
		}
	}
	return false
}

// candidate is the best change found for one layer.
type candidate struct {
	layerIndex int
	layer      foxtailstack.ExpertLayer
	moveCount  int
	// netGain is the weighted step time saved minus the weighted cost of the
	// moves, in seconds.
	netGain float64
}

// bestCandidate returns the better of two changes to a layer: a few replications
// and swaps that unload its most loaded ranks, or a new placement of all its
// experts that is matched to the ranks for few moves. It returns the zero
// candidate if neither pays. skewCost is the step time in seconds lost so far
// for each unit of skew above 1, which is weighted here.
func (a *Adaptive) bestCandidate(layer foxtailstack.ExpertLayer, tokens []float64, skewCost float64) candidate {
	skewCost *= weightOrOne(a.SkewWeight)
	weightedMoveCost := weightOrOne(a.MoveWeight) * a.moveCost().Seconds()
	skew := Skew(RankLoads(layer, tokens))
	// Not even a perfect balance would pay for one move.
	if (skew-1)*skewCost <= weightedMoveCost {
		return candidate{}
	}
	best := a.betterCandidate(candidate{}, layer, a.greedySearch(layer, tokens, skew, skewCost, weightedMoveCost), tokens, skew, skewCost, weightedMoveCost)
	return a.betterCandidate(best, layer, matchRanks(layer, pack(layer, tokens)), tokens, skew, skewCost, weightedMoveCost)
}

// betterCandidate returns the candidate that replaces layer by next if it gains
// more than best within MaxMoves moves, and otherwise best.
func (a *Adaptive) betterCandidate(best candidate, layer, next foxtailstack.ExpertLayer, tokens []float64, skew, weightedSkewCost, weightedMoveCost float64) candidate {
	moves := Moves(layer, next)
	netGain := (skew-Skew(RankLoads(next, tokens)))*weightedSkewCost - float64(moves)*weightedMoveCost
	if netGain <= best.netGain || (a.MaxMoves > 0 && moves > a.MaxMoves) {
		return best
	}
	return candidate{
		layer:     next,
		moveCount: moves,
		netGain:   netGain,
	}
}

// greedySearch repeats the best single change from layer on and returns the
// intermediate layer with the highest net gain.
func (a *Adaptive) greedySearch(layer foxtailstack.ExpertLayer, tokens []float64, skew, weightedSkewCost, weightedMoveCost float64) foxtailstack.ExpertLayer {
	p := newPlacement(layer, tokens)
	var changes []change
	bestLength, bestGain, moves := 0, 0.0, 0
	for range maxChangesPerLayer {
		c, ok := p.bestChange()
		if !ok {
			break
		}
		p.apply(c)
		changes = append(changes, c)
		moves += c.moves()
		netGain := (skew-Skew(p.loads))*weightedSkewCost - float64(moves)*weightedMoveCost
		if netGain > bestGain && (a.MaxMoves == 0 || moves <= a.MaxMoves) {
			bestLength, bestGain = len(changes), netGain
		}
	}
	p = newPlacement(layer, tokens)
	for _, c := range changes[:bestLength] {
		p.apply(c)
	}
	return p.layer
}

// applyCandidates returns current with the candidates applied that fit within
// MaxMoves, in order of net gain for each move, and records now as the time of
// the last change of their layers.
func (a *Adaptive) applyCandidates(now time.Time, current foxtailstack.ExpertMap, candidates []candidate) foxtailstack.ExpertMap {
	sort.SliceStable(candidates, func(i, j int) bool {
		return candidates[i].netGain*float64(candidates[j].moveCount) > candidates[j].netGain*float64(candidates[i].moveCount)
	})
	next := current
	moves := 0
	for _, selected := range candidates {
		if a.MaxMoves > 0 && moves+selected.moveCount > a.MaxMoves {
			continue
		}
		if moves == 0 {
			next.Epoch++
			next.Layers = append([]foxtailstack.ExpertLayer(nil), current.Layers...)
		}
		moves += selected.moveCount
		next.Layers[selected.layerIndex] = selected.layer
		a.lastChanged[selected.layerIndex] = now
	}
	return next
}

// moveCost returns the step time lost by one move.
func (a *Adaptive) moveCost() time.Duration {
	if a.MoveCost == 0 {
		return defaultMoveCost
	}
	return a.MoveCost
}

// weightOrOne returns w, or 1 if w is zero.
func weightOrOne(w float64) float64 {
	if w == 0 {
		return 1
	}
	return w
}
