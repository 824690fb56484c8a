package group

import (
	"math"
	"time"
)

const (
	// memory is the time in which a past choice loses all but 1/e of its weight.
	memory = 2500 * time.Millisecond
	// leastShift is the least distance between what was chosen lately and before
	// that counts as a shift of demand, and usualShifts how many times the usual
	// distance it has to be. From surelyShift on it is one in any case.
	leastShift  = 0.10
	usualShifts = 2.1
	surelyShift = 0.21
	// maxUnsteady is the number of windows in a row that may differ from each
	// other until the estimate is used all the same.
	maxUnsteady = 4
	// usualWeight is the weight of the newest distance in the usual one, and
	// strangeWeight that of one which is more than usualNoise times the usual.
	usualWeight   = 0.2
	strangeWeight = 0.03
	usualNoise    = 1.5
	// firstUsual is the usual distance until one is known.
	firstUsual = 0.08
	// leastWindow is the number of choices below which a window tells nothing.
	leastWindow = 2000
)

// Demand estimates how often each expert will be chosen, from samples of what
// the requests of ranks chose. Choices of the past lose weight slowly while the demand is steady, and
// are dropped once it shifts. The zero value knows nothing. It is not safe for
// concurrent use.
type Demand struct {
	at time.Time
	// weights holds the estimate of all sets, one after the other, and window
	// what was added since the last call of End.
	weights []float64
	window  []float64
	chosen  float64
	// usual is the usual distance between a window and the estimate.
	usual  float64
	steady bool
	// unsteady counts the last windows that did not agree with the estimate.
	unsteady int
}

// Add takes a sample of one rank.
func (d *Demand) Add(sample Sample) {
	if len(d.window) != len(sample.Levels) {
		d.window = make([]float64, len(sample.Levels))
		d.chosen = 0
	}
	for i, level := range sample.Levels {
		n := float64(level) * sample.Unit
		d.window[i] += n
		d.chosen += n
	}
}

// EndWindow ends a window at now and takes it into the estimate, for a number of sets.
// It returns how far the window is from what was chosen before, from 0 to 1.
func (d *Demand) EndWindow(now time.Time, sets int) float64 {
	if d.chosen < leastWindow {
		return 0
	}
	if d.usual == 0 {
		d.usual = firstUsual
	}
	distance := 0.0
	if len(d.weights) != len(d.window) {
		d.weights = make([]float64, len(d.window))
	} else {
		distance = d.distance(sets)
	}
	agrees := distance < min(surelyShift, max(leastShift, usualShifts*d.usual))
	d.unsteady++
	if agrees {
		d.unsteady = 0
	}
	d.steady = agrees || d.unsteady > maxUnsteady
	if agrees {
		d.learn(distance)
		d.scale(math.Exp(-float64(now.Sub(d.at)) / float64(memory)))
	} else {
		d.scale(0)
	}
	d.at = now
	for i, n := range d.window {
		d.weights[i] += n
	}
	clear(d.window)
	d.chosen = 0
	return distance
}

// learn takes a distance into the usual one. What may be the rest of a shift has
// little weight, so that shifts go on being told.
func (d *Demand) learn(distance float64) {
	weight := usualWeight
	if distance > usualNoise*d.usual {
		weight = strangeWeight
	}
	d.usual += weight * (distance - d.usual)
}

// distance returns the mean total variation between the window and the estimate
// over the sets.
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

// scale multiplies the estimate by x.
func (d *Demand) scale(x float64) {
	for i := range d.weights {
		d.weights[i] *= x
	}
}

// Steady reports whether there is an estimate that the last window agrees with.
func (d *Demand) Steady() bool {
	return d.steady
}

// ForSet returns the estimate for one of a number of sets.
func (d *Demand) ForSet(set, sets int) []float64 {
	n := len(d.weights) / sets
	return d.weights[set*n : (set+1)*n]
}

// fits reports whether the estimate is of so many sets of experts.
func (d *Demand) fits(sets, experts int) bool {
	return len(d.weights) == sets*experts
}
