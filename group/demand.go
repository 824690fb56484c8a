package group

import (
	"math"
	"time"
)

const (
	// demandTimeConstant is the time in which the weight of a past choice
	// decays to 1/e.
	demandTimeConstant = 2500 * time.Millisecond
	// A window counts as a shift of demand if its distance to the estimate is
	// at least minShiftDistance and at least shiftFactor times the average
	// distance. A distance of certainShiftDistance or more is a shift in any
	// case.
	minShiftDistance     = 0.10
	shiftFactor          = 2.1
	certainShiftDistance = 0.21
	// maxUnsteadyWindows is the number of windows in a row that may be shifts.
	// After more than that the estimate is used although it still changes.
	maxUnsteadyWindows = 4
	// distanceWeight is the weight of the newest distance in the average
	// distance. outlierWeight is its weight if it is more than outlierFactor
	// times the average.
	distanceWeight = 0.2
	outlierWeight  = 0.03
	outlierFactor  = 1.5
	// initialAvgDistance is the average distance assumed before the first
	// window.
	initialAvgDistance = 0.08
	// minWindowChoices is the number of choices below which a window is too
	// small to compare with the estimate.
	minWindowChoices = 2000
)

// Demand estimates how often each expert will be chosen, from samples of the
// choices of the requests at the ranks. Past choices decay exponentially while
// the demand is steady and are dropped once it shifts. The zero value has no
// estimate. It is not safe for concurrent use.
type Demand struct {
	lastUpdate time.Time
	// weights holds the estimated weights of the experts of all layer sets, one
	// set after the other. window holds the choices that were added since the
	// last call of EndWindow, and windowChoices their sum.
	weights       []float64
	window        []float64
	windowChoices float64
	// avgDistance is the exponentially weighted moving average of the distance
	// between a window and the estimate.
	avgDistance float64
	steady      bool
	// unsteadyWindows is the number of windows in a row that were shifts.
	unsteadyWindows int
}

// Add adds a sample of one rank to the current window. It discards the window
// first if the sample has another length.
func (d *Demand) Add(sample Sample) {
	if len(d.window) != len(sample.Levels) {
		d.window = make([]float64, len(sample.Levels))
		d.windowChoices = 0
	}
	for i, level := range sample.Levels {
		n := float64(level) * sample.Unit
		d.window[i] += n
		d.windowChoices += n
	}
}

// EndWindow ends the current window at time now and adds it to the
// estimate; sets is the number of layer sets. If the window is a shift, it replaces
// the estimate. It returns the distance between the window and the previous
// estimate, from 0 to 1. A window with fewer choices than minWindowChoices is
// continued, and the distance is 0.
func (d *Demand) EndWindow(now time.Time, sets int) float64 {
	if d.windowChoices < minWindowChoices {
		return 0
	}
	if d.avgDistance == 0 {
		d.avgDistance = initialAvgDistance
	}
	distance := 0.0
	if len(d.weights) != len(d.window) {
		d.weights = make([]float64, len(d.window))
	} else {
		distance = d.distance(sets)
	}
	agrees := distance < min(certainShiftDistance, max(minShiftDistance, shiftFactor*d.avgDistance))
	d.unsteadyWindows++
	if agrees {
		d.unsteadyWindows = 0
	}
	d.steady = agrees || d.unsteadyWindows > maxUnsteadyWindows
	if agrees {
		d.updateAvgDistance(distance)
		d.scale(math.Exp(-float64(now.Sub(d.lastUpdate)) / float64(demandTimeConstant)))
	} else {
		d.scale(0)
	}
	d.lastUpdate = now
	for i, n := range d.window {
		d.weights[i] += n
	}
	clear(d.window)
	d.windowChoices = 0
	return distance
}

// updateAvgDistance adds a distance to the average. A distance far above the
// average may be the rest of a shift, so it has little weight; otherwise the
// next shift would not be detected.
func (d *Demand) updateAvgDistance(distance float64) {
	weight := distanceWeight
	if distance > outlierFactor*d.avgDistance {
		weight = outlierWeight
	}
	d.avgDistance += weight * (distance - d.avgDistance)
}

// distance returns the total variation distance between the window and the
// estimate, averaged over the layer sets.
func (d *Demand) distance(sets int) float64 {
	total := 0.0
	n := len(d.weights) / sets
	for s := range sets {
		window, weights := d.window[s*n:(s+1)*n], d.weights[s*n:(s+1)*n]
		a, b := sum(window), sum(weights)
		if a == 0 || b == 0 {
			continue
		}
		for i := range window {
			total += math.Abs(window[i]/a-weights[i]/b) / 2
		}
	}
	return total / float64(sets)
}

// sum returns the sum of x.
func sum(x []float64) float64 {
	total := 0.0
	for _, v := range x {
		total += v
	}
	return total
}

// scale multiplies all weights of the estimate by x.
func (d *Demand) scale(x float64) {
	for i := range d.weights {
		d.weights[i] *= x
	}
}

// Steady reports whether there is an estimate and the last window was not a
// shift, or shifts have lasted for more than maxUnsteadyWindows windows. A
// restored estimate is steady.
func (d *Demand) Steady() bool {
	return d.steady
}

// ForSet returns the weights of the experts of one layer set, where sets is
// the number of layer sets.
func (d *Demand) ForSet(set, sets int) []float64 {
	n := len(d.weights) / sets
	return d.weights[set*n : (set+1)*n]
}

// hasLength reports whether the estimate has the length of one for the given
// numbers of layer sets and experts of a set.
func (d *Demand) hasLength(sets, experts int) bool {
	return len(d.weights) == sets*experts
}
