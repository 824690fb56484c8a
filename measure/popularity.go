package measure

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// popularitySpread is the standard deviation of the logarithm of the load
	// of the experts of a layer.
	popularitySpread = 0.7
	// driftTime is the time constant of slow drift.
	driftTime = 12 * time.Hour
	// jumpMean and returnMean are the mean times until a jump, and back.
	jumpMean   = 2 * time.Hour
	returnMean = time.Hour
	// jumpExperts get jumpFactor times their load in a jump.
	jumpExperts = 8
	jumpFactor  = 4
	// swingSize is the amplitude of daily swings of the logarithm of a load.
	swingSize = 0.8

	day = 24 * time.Hour
)

// popularity is how the load of experts changes.
type popularity struct {
	kind   string
	rng    *rand.Rand
	layers []popularityLayer
}

// popularityLayer is the popularity of the experts of one layer.
type popularityLayer struct {
	// logs are the logarithms of the loads.
	logs   []float64
	phases []float64
	raised map[int]bool
	// jump is when raised next changes.
	jump time.Duration
}

// newPopularity returns the popularity at the start.
func newPopularity(kind string, layers int, rng *rand.Rand) *popularity {
	p := &popularity{
		kind:   kind,
		rng:    rng,
		layers: make([]popularityLayer, layers),
	}
	for l := range p.layers {
		layer := &p.layers[l]
		layer.jump = exponential(rng, jumpMean)
		for range expertCount {
			layer.logs = append(layer.logs, popularitySpread*rng.NormFloat64())
			layer.phases = append(layer.phases, rng.Float64())
		}
	}
	return p
}

// next returns the true loads an interval later, at a time since the start.
func (p *popularity) next(at time.Duration) [][]float64 {
	tokens := make([][]float64, len(p.layers))
	for l := range p.layers {
		layer := &p.layers[l]
		switch p.kind {
		case "drift":
			p.drift(layer)
		case "jump":
			p.jump(layer, at)
		}
		tokens[l] = layer.tokens(p.kind, at)
	}
	return tokens
}

// drift moves each load a little, back towards the middle.
func (p *popularity) drift(layer *popularityLayer) {
	keep := math.Exp(-expertInterval.Seconds() / driftTime.Seconds())
	for e := range layer.logs {
		layer.logs[e] = keep*layer.logs[e] + math.Sqrt(1-keep*keep)*popularitySpread*p.rng.NormFloat64()
	}
}

// jump raises a few loads at once, and later takes that back.
func (p *popularity) jump(layer *popularityLayer, at time.Duration) {
	if at < layer.jump {
		return
	}
	if len(layer.raised) > 0 {
		layer.raised = nil
		layer.jump = at + exponential(p.rng, jumpMean)
		return
	}
	layer.raised = map[int]bool{}
	for _, e := range p.rng.Perm(len(layer.logs))[:jumpExperts] {
		layer.raised[e] = true
	}
	layer.jump = at + exponential(p.rng, returnMean)
}

// tokens returns the loads of a layer.
func (l *popularityLayer) tokens(kind string, at time.Duration) []float64 {
	tokens := make([]float64, len(l.logs))
	sum := 0.0
	for e, x := range l.logs {
		if kind == "swing" {
			x += swingSize * math.Sin(2*math.Pi*(at.Seconds()/day.Seconds()+l.phases[e]))
		}
		tokens[e] = math.Exp(x)
		if l.raised[e] {
			tokens[e] *= jumpFactor
		}
		sum += tokens[e]
	}
	for e := range tokens {
		tokens[e] *= expertTokens * float64(len(tokens)) / sum
	}
	return tokens
}

// exponential returns a random time with an average.
func exponential(rng *rand.Rand, average time.Duration) time.Duration {
	return time.Duration(rng.ExpFloat64() * float64(average))
}
