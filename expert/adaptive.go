package expert

import (
	"fmt"
	"sort"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

const (
	// defaultCost is the step time lost by one move if no other is named.
	defaultCost = 100 * time.Millisecond
	// maxChanges bounds the changes considered for one layer in one plan.
	maxChanges = 32
)

// Adaptive changes the present map only where it pays: a change is made once the
// step time lost without it, since the load last jumped or the layer last
// changed, exceeds what its moves cost. Waiting until then costs at most as much
// again as knowing how long the shift lasts (Karlin et al., Competitive Snoopy
// Caching, 1988). The zero value is ready for use.
type Adaptive struct {
	// SkewWeight and Moves weigh step-time skew against moves; zero means 1.
	SkewWeight float64
	MoveWeight float64
	// MaxMoves is the highest number of experts moved in one plan; zero means no cap.
	MaxMoves int
	// QuietHours lists the hours of the day, in UTC, in which no expert moves.
	QuietHours []int
	// MoveCost is the step time lost by one move; zero means 100 ms.
	MoveCost time.Duration

	changed []time.Time
}

// Check returns ErrOptions if an option is out of range.
func (a *Adaptive) Check() error {
	if a.SkewWeight < 0 || a.MoveWeight < 0 || a.MaxMoves < 0 || a.MoveCost < 0 {
		return fmt.Errorf("%w: skew, moves, cap and cost must not be negative", ErrOptions)
	}
	for _, hour := range a.QuietHours {
		if hour < 0 || hour > 23 {
			return fmt.Errorf("%w: quiet hour %d is not in 0 to 23", ErrOptions, hour)
		}
	}
	return nil
}

// Plan returns the map after the changes that pay. It returns ErrOptions and the
// errors of CheckMap.
func (a *Adaptive) Plan(now time.Time, current foxtailstack.ExpertMap, loads []foxtailstack.ExpertLoad) (foxtailstack.ExpertMap, error) {
	err := a.Check()
	if err == nil {
		err = CheckMap(current, loads)
	}
	if err != nil || a.quiet(now) {
		return current, err
	}
	if len(a.changed) != len(loads) {
		a.changed = make([]time.Time, len(loads))
		for l := range a.changed {
			a.changed[l] = now.Add(-loads[l].SinceShift)
		}
	}
	var offers []offer
	for l, layer := range current.Layers {
		age := min(loads[l].SinceShift, now.Sub(a.changed[l]))
		o := a.offer(layer, loads[l].Tokens, age.Seconds()/float64(len(loads)))
		if o.net > 0 {
			o.index = l
			offers = append(offers, o)
		}
	}
	return a.accept(now, current, offers), nil
}

// quiet reports whether now is in a quiet hour.
func (a *Adaptive) quiet(now time.Time) bool {
	for _, hour := range a.QuietHours {
		if now.UTC().Hour() == hour {
			return true
		}
	}
	return false
}

// offer is the best change of one layer.
type offer struct {
	index int
	layer foxtailstack.ExpertLayer
	moves int
	// net is the step time won over the moves' cost, both weighted, in seconds.
	net float64
}

// offer looks for changes to a layer: a few that lower the load of the hottest
// ranks, or a new placement on the ranks that hold most of it. worth is the step time in seconds that a
// skew higher by one has cost.
func (a *Adaptive) offer(layer foxtailstack.ExpertLayer, tokens []float64, worth float64) offer {
	worth *= weight(a.SkewWeight)
	cost := weight(a.MoveWeight) * a.cost().Seconds()
	skew := Skew(RankLoads(layer, tokens))
	if (skew-1)*worth <= cost {
		return offer{}
	}
	best := a.consider(offer{}, layer, a.search(layer, tokens, skew, worth, cost), tokens, skew, worth, cost)
	return a.consider(best, layer, match(layer, pack(layer, tokens)), tokens, skew, worth, cost)
}

// consider returns the better of an offer and another layer.
func (a *Adaptive) consider(best offer, layer, next foxtailstack.ExpertLayer, tokens []float64, skew, worth, cost float64) offer {
	moves := Moves(layer, next)
	net := (skew-Skew(RankLoads(next, tokens)))*worth - float64(moves)*cost
	if net <= best.net || (a.MaxMoves > 0 && moves > a.MaxMoves) {
		return best
	}
	return offer{
		layer: next,
		moves: moves,
		net:   net,
	}
}

// search returns the best layer on the way of a greedy search from layer.
func (a *Adaptive) search(layer foxtailstack.ExpertLayer, tokens []float64, skew, worth, cost float64) foxtailstack.ExpertLayer {
	p := newPlacement(layer, tokens)
	var changes []change
	best, most, moves := 0, 0.0, 0
	for range maxChanges {
		c, ok := p.improve()
		if !ok {
			break
		}
		p.apply(c)
		changes = append(changes, c)
		moves += c.moves()
		net := (skew-Skew(p.loads))*worth - float64(moves)*cost
		if net > most && (a.MaxMoves == 0 || moves <= a.MaxMoves) {
			best, most = len(changes), net
		}
	}
	p = newPlacement(layer, tokens)
	for _, c := range changes[:best] {
		p.apply(c)
	}
	return p.layer
}

// accept makes the offers that win most for each move, within the cap.
func (a *Adaptive) accept(now time.Time, current foxtailstack.ExpertMap, offers []offer) foxtailstack.ExpertMap {
	sort.SliceStable(offers, func(i, j int) bool {
		return offers[i].net*float64(offers[j].moves) > offers[j].net*float64(offers[i].moves)
	})
	next := current
	moves := 0
	for _, o := range offers {
		if a.MaxMoves > 0 && moves+o.moves > a.MaxMoves {
			continue
		}
		if moves == 0 {
			next.Epoch++
			next.Layers = append([]foxtailstack.ExpertLayer(nil), current.Layers...)
		}
		moves += o.moves
		next.Layers[o.index] = o.layer
		a.changed[o.index] = now
	}
	return next
}

// cost returns the step time lost by one move.
func (a *Adaptive) cost() time.Duration {
	if a.MoveCost == 0 {
		return defaultCost
	}
	return a.MoveCost
}

// weight returns a weight, of which zero means 1.
func weight(w float64) float64 {
	if w == 0 {
		return 1
	}
	return w
}
