package expert

import (
	"fmt"
	"math"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

const (
	// defaultSmoothing is the time constant of a Smoother that names none.
	defaultSmoothing = 10 * time.Minute
	// fastShare is the time constant of the fast average over that of the slow one.
	fastShare = 0.2
	// defaultJump is the threshold of a Smoother that names none.
	defaultJump = 0.15
)

// Smoother averages the loads of experts exponentially and detects jumps. The
// zero value is ready for use. A jump is a share of the load that the fast
// average has moved away from the slow one; the slow one then starts over.
type Smoother struct {
	// TimeConstant is the time constant of the slow average; zero means 10 min.
	TimeConstant time.Duration
	// JumpThreshold is the share of the load, in 0 to 1, that makes a jump; zero means 0.15.
	JumpThreshold float64

	layers []smoothed
}

// smoothed holds the averages of one layer.
type smoothed struct {
	fast, slow []float64
	age        time.Duration
}

// Add takes the tokens a step that went to each expert of each layer within the
// last interval and returns the smoothed loads. It returns ErrLoad if a load is
// negative or not finite, if the number of layers or experts changes, or if the
// interval is not positive.
func (s *Smoother) Add(interval time.Duration, tokens [][]float64) ([]foxtailstack.ExpertLoad, error) {
	err := s.check(interval, tokens)
	if err != nil {
		return nil, err
	}
	if s.layers == nil {
		s.layers = make([]smoothed, len(tokens))
	}
	loads := make([]foxtailstack.ExpertLoad, len(tokens))
	for l := range tokens {
		s.layers[l].add(s.weight(interval), s.weight(scale(interval, 1/fastShare)), tokens[l])
		s.layers[l].detect(interval, s.jump())
		loads[l] = foxtailstack.ExpertLoad{
			Tokens:     append([]float64(nil), s.layers[l].slow...),
			SinceShift: s.layers[l].age,
		}
	}
	return loads, nil
}

// check checks the arguments of Add.
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

// weight returns the weight of a sample that stands for an interval.
func (s *Smoother) weight(interval time.Duration) float64 {
	constant := s.TimeConstant
	if constant == 0 {
		constant = defaultSmoothing
	}
	return 1 - math.Exp(-interval.Seconds()/constant.Seconds())
}

// jump returns the threshold of a jump.
func (s *Smoother) jump() float64 {
	if s.JumpThreshold == 0 {
		return defaultJump
	}
	return s.JumpThreshold
}

// add moves both averages towards a sample.
func (s *smoothed) add(slow, fast float64, sample []float64) {
	if s.slow == nil {
		s.slow = append([]float64(nil), sample...)
		s.fast = append([]float64(nil), sample...)
		return
	}
	for e, n := range sample {
		s.slow[e] += slow * (n - s.slow[e])
		s.fast[e] += fast * (n - s.fast[e])
	}
}

// detect starts the slow average over if the fast one has left it.
func (s *smoothed) detect(interval time.Duration, jump float64) {
	s.age += interval
	total, apart := 0.0, 0.0
	for e := range s.slow {
		total += s.slow[e]
		apart += math.Abs(s.fast[e] - s.slow[e])
	}
	if apart <= 2*jump*total {
		return
	}
	copy(s.slow, s.fast)
	s.age = 0
}

// scale returns d times a factor.
func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
