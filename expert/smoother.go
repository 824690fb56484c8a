package expert

import (
	"fmt"
	"math"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

const (
	// defaultTimeConstant is the time constant of the slow average if
	// Smoother.TimeConstant is zero.
	defaultTimeConstant = 10 * time.Minute
	// fastRatio is the time constant of the fast average relative to that of the
	// slow one.
	fastRatio = 0.2
	// defaultShiftThreshold is the threshold if Smoother.ShiftThreshold is zero.
	defaultShiftThreshold = 0.15
)

// Smoother computes exponentially weighted moving averages of the expert loads
// of each layer and detects shifts, abrupt changes of the load. It keeps a fast
// and a slow average. If the share of the load by which they differ exceeds a
// threshold, the load has shifted, and the slow average restarts from the fast
// one. The zero value is ready for use.
type Smoother struct {
	// TimeConstant is the time constant of the slow average; zero means 10 min.
	TimeConstant time.Duration
	// ShiftThreshold is the share of the load, in 0 to 1, that must have moved
	// between experts for a shift; zero means 0.15.
	ShiftThreshold float64

	layers []layerAverages
}

// layerAverages holds the averages of one layer and the time since its load last
// shifted.
type layerAverages struct {
	fast, slow []float64
	sinceShift time.Duration
}

// Add updates the averages with the tokens per pass that went to each expert of
// each layer during the last interval and returns the slow averages. It returns
// ErrLoad if a load is negative or not finite, if the number of layers or
// experts changes, or if the interval is not positive.
func (s *Smoother) Add(interval time.Duration, tokens [][]float64) ([]foxtailstack.ExpertLoad, error) {
	err := s.check(interval, tokens)
	if err != nil {
		return nil, err
	}
	if s.layers == nil {
		s.layers = make([]layerAverages, len(tokens))
	}
	loads := make([]foxtailstack.ExpertLoad, len(tokens))
	for l := range tokens {
		// The interval is scaled by 1/fastRatio to get the weight of the sample
		// in the fast average.
		s.layers[l].add(s.sampleWeight(interval), s.sampleWeight(scaleDuration(interval, 1/fastRatio)), tokens[l])
		s.layers[l].detectShift(interval, s.shiftThreshold())
		loads[l] = foxtailstack.ExpertLoad{
			Tokens:     append([]float64(nil), s.layers[l].slow...),
			SinceShift: s.layers[l].sinceShift,
		}
	}
	return loads, nil
}

// check returns ErrLoad if the arguments of Add are invalid.
func (s *Smoother) check(interval time.Duration, tokens [][]float64) error {
	if interval <= 0 {
		return fmt.Errorf("%w: interval %s is not positive", ErrLoad, interval)
	}
	if s.layers != nil && len(tokens) != len(s.layers) {
		return fmt.Errorf("%w: %d layers, expected %d", ErrLoad, len(tokens), len(s.layers))
	}
	for l, layer := range tokens {
		if s.layers != nil && len(layer) != len(s.layers[l].slow) {
			return fmt.Errorf("%w: %d experts in layer %d, expected %d", ErrLoad, len(layer), l, len(s.layers[l].slow))
		}
		err := checkTokens(l, layer)
		if err != nil {
			return err
		}
	}
	return nil
}

// checkTokens returns ErrLoad if a load is negative or not finite.
func checkTokens(layer int, tokens []float64) error {
	for e, n := range tokens {
		if n < 0 || math.IsNaN(n) || math.IsInf(n, 0) {
			return fmt.Errorf("%w: expert %d of layer %d has load %g", ErrLoad, e, layer, n)
		}
	}
	return nil
}

// sampleWeight returns the weight of a sample that covers an interval, for the
// time constant of the slow average.
func (s *Smoother) sampleWeight(interval time.Duration) float64 {
	constant := s.TimeConstant
	if constant == 0 {
		constant = defaultTimeConstant
	}
	return 1 - math.Exp(-interval.Seconds()/constant.Seconds())
}

// shiftThreshold returns the share of the load that must have moved for a shift.
func (s *Smoother) shiftThreshold() float64 {
	if s.ShiftThreshold == 0 {
		return defaultShiftThreshold
	}
	return s.ShiftThreshold
}

// add updates both averages with a sample.
func (s *layerAverages) add(slowWeight, fastWeight float64, sample []float64) {
	if s.slow == nil {
		s.slow = append([]float64(nil), sample...)
		s.fast = append([]float64(nil), sample...)
		return
	}
	for e, n := range sample {
		s.slow[e] += slowWeight * (n - s.slow[e])
		s.fast[e] += fastWeight * (n - s.fast[e])
	}
}

// detectShift restarts the slow average from the fast one if they differ by more
// than the threshold. The distance is summed over the experts and counts the load
// that has moved twice, where it leaves and where it arrives; therefore it is
// compared with twice the threshold.
func (s *layerAverages) detectShift(interval time.Duration, threshold float64) {
	s.sinceShift += interval
	total, distance := 0.0, 0.0
	for e := range s.slow {
		total += s.slow[e]
		distance += math.Abs(s.fast[e] - s.slow[e])
	}
	if distance <= 2*threshold*total {
		return
	}
	copy(s.slow, s.fast)
	s.sinceShift = 0
}

// scaleDuration returns d times factor.
func scaleDuration(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
