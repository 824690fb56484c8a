package measure

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/group"
)

const (
	// mapsShifts is the number of shifts of demand in a run.
	mapsShifts = 12
	// mapsSkew is the exponent of the popularity of experts by rank.
	mapsSkew = 1.3
	// mapsCommon is the part of the choices that does not shift, mapsMoved the part
	// of the rest that moves to other experts in a shift.
	mapsCommon = 0.65
	mapsMoved  = 0.7
	// mapsRounds is the most maps in a row that are planned for one demand.
	mapsRounds = 4
	// mapsEven is the skew that a map should come under.
	mapsEven = 1.2
)

// mapsSize is the size of a group.
type mapsSize struct {
	ranks, experts, sets, places, spare int
}

// mapsSizes are the groups of the users' sites and that of two years on.
var mapsSizes = []mapsSize{
	{
		ranks:   12,
		experts: 72,
		sets:    4,
		places:  8,
		spare:   3,
	},
	{
		ranks:   63,
		experts: 252,
		sets:    8,
		places:  5,
		spare:   3,
	},
	{
		ranks:   128,
		experts: 64,
		sets:    60,
		places:  2,
		spare:   1,
	},
}

// Maps measures the planning of expert maps for groups of ranks with replicas: how
// even the load is before and after a map that follows a shift of demand, how many
// experts are copied and how long a plan takes.
func Maps(ctx context.Context, options Options) error {
	for _, size := range mapsSizes {
		err := ctx.Err()
		if err != nil {
			return err
		}
		err = options.Report(runMaps(options.Seed, size, time.Now))
		if err != nil {
			return err
		}
	}
	return nil
}

// mapsResult sums what happened over the sets and shifts of a run.
type mapsResult struct {
	plans, rounds         int
	before, first, after  float64
	worst                 float64
	copies, uneven, spans int
	took                  time.Duration
}

// runMaps runs one size. now is the clock that plans are timed by.
func runMaps(seed uint64, size mapsSize, now func() time.Time) Line {
	rng := rand.New(rand.NewPCG(seed, uint64(size.ranks)))
	var result mapsResult
	pace := make([]float64, size.ranks)
	for i := range pace {
		pace[i] = 1
	}
	for range size.sets {
		layer := group.InitialMap(size.ranks, size.experts, 1)[0]
		common, moving := mapsPopularity(rng, size.experts), mapsPopularity(rng, size.experts)
		for range mapsShifts {
			other := mapsPopularity(rng, size.experts)
			for e := range moving {
				moving[e] += mapsMoved * (other[e] - moving[e])
			}
			demand := make([]float64, size.experts)
			for e := range demand {
				demand[e] = mapsCommon*common[e] + (1-mapsCommon)*moving[e]
			}
			layer = result.follow(layer, demand, pace, size, now)
		}
	}
	n := float64(result.spans)
	return Line{
		{
			Key:   "experiment",
			Value: "maps",
		},
		{
			Key:   "ranks",
			Value: size.ranks,
		},
		{
			Key:   "experts",
			Value: size.experts,
		},
		{
			Key:   "sets",
			Value: size.sets,
		},
		{
			Key:   "shifts",
			Value: mapsShifts,
		},
		{
			Key:   "before",
			Value: result.before / n,
		},
		{
			Key:   "first",
			Value: result.first / n,
		},
		{
			Key:   "after",
			Value: result.after / n,
		},
		{
			Key:   "worst",
			Value: result.worst,
		},
		{
			Key:   "uneven_share",
			Value: float64(result.uneven) / n,
		},
		{
			Key:   "maps",
			Value: float64(result.rounds) / n,
		},
		{
			Key:   "copies",
			Value: float64(result.copies*size.sets) / n,
		},
		{
			Key:   "plan_ms",
			Value: result.took.Seconds() * 1000 * float64(size.sets) / float64(result.plans),
		},
	}
}

// follow plans maps for one set until they are even, and returns the last.
func (r *mapsResult) follow(
	layer foxtailstack.ExpertLayer,
	demand, pace []float64,
	size mapsSize,
	now func() time.Time,
) foxtailstack.ExpertLayer {
	r.spans++
	r.before += group.Skew(layer, demand, pace)
	skew := 0.0
	for round := range mapsRounds {
		began := now()
		next := group.Place(layer, demand, pace, group.PlacementLimits{
			ExpertsPerRank: size.places,
			MaxNewExperts:  size.spare,
		})
		r.took += now().Sub(began)
		r.plans++
		r.copies += group.Copies(layer, next)
		r.rounds++
		layer = next
		skew = group.Skew(layer, demand, pace)
		if round == 0 {
			r.first += skew
		}
		if skew < mapsEven {
			break
		}
	}
	r.after += skew
	r.worst = max(r.worst, skew)
	if skew >= mapsEven {
		r.uneven++
	}
	return layer
}

// mapsPopularity returns how often each expert is chosen, in a random order.
func mapsPopularity(rng *rand.Rand, experts int) []float64 {
	weights := make([]float64, experts)
	total := 0.0
	for place, e := range rng.Perm(experts) {
		weights[e] = math.Pow(float64(place+1), -mapsSkew)
		total += weights[e]
	}
	for e := range weights {
		weights[e] /= total
	}
	return weights
}
