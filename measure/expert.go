package measure

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/expert"
)

const (
	expertCount    = 64
	expertLayers   = 60
	expertInterval = 2 * time.Minute
	expertBytes    = foxtailstack.Bytes(44 << 20)
	expertStep     = 71 * time.Millisecond
	// expertLoading is the time that loading one expert slows its rank.
	expertLoading = 100 * time.Millisecond
	// expertTokens is the mean count of tokens for an expert in an interval.
	expertTokens = 20_000
	// expertReturn is the time within which a rank that takes an expert back
	// has moved it for nothing.
	expertReturn = time.Hour

	// maxSkewOver and maxMovesShare are the aims, relative to a full repack.
	maxSkewOver   = 1.03
	maxMovesShare = 0.1
	maxBackShare  = 0.1
)

// expertSize is the size of the experiment.
type expertSize struct {
	ranks  []int
	layers int
	length time.Duration
}

// cost returns the step time that a move costs: the layers of the experiment
// stand for all layers of a model, of which each counts for less.
func (s expertSize) cost() time.Duration {
	return expertLoading * expertLayers / time.Duration(s.layers)
}

// expertQuiet are the quiet hours of the cost-weighted setting.
var expertQuiet = []int{8, 9, 10, 15, 16}

// expertPolicy is a planner under test.
type expertPolicy struct {
	name string
	// make returns a planner that has planned nothing, given the cost of a move.
	make func(cost time.Duration) foxtailstack.Planner
}

// expertPolicies returns the policies in the order of the report.
func expertPolicies() []expertPolicy {
	return []expertPolicy{
		{
			name: "static",
			make: func(time.Duration) foxtailstack.Planner { return expert.Static{} },
		},
		{
			name: "repack",
			make: func(time.Duration) foxtailstack.Planner { return expert.Repack{} },
		},
		{
			name: "skew",
			make: func(cost time.Duration) foxtailstack.Planner {
				return &expert.Adaptive{
					SkewWeight: 12,
					MoveCost:   cost,
				}
			},
		},
		{
			name: "moves",
			make: func(cost time.Duration) foxtailstack.Planner {
				return &expert.Adaptive{
					MoveWeight: 4,
					MoveCost:   cost,
					MaxMoves:   64,
					QuietHours: expertQuiet,
				}
			},
		},
	}
}

// expertResult is what one policy did in one run.
type expertResult struct {
	skews  []float64
	moved  int
	back   int
	quiet  int
	slowed float64
}

// Expert compares policies of planning expert maps, in virtual time: the skew of
// step times against the experts moved.
func Expert(ctx context.Context, options Options) error {
	return runExpert(ctx, options, expertSize{
		ranks:  []int{4, 8, 32, 128},
		layers: 4,
		length: 24 * time.Hour,
	})
}

// runExpert runs all policies under all conditions of a size.
func runExpert(ctx context.Context, options Options, size expertSize) error {
	for _, ranks := range size.ranks {
		for _, drift := range []string{"drift", "jump", "swing"} {
			results := map[string]expertResult{}
			for _, policy := range expertPolicies() {
				result, err := simulateExpert(ctx, options.Seed, drift, ranks, size, policy.make(size.cost()))
				if err != nil {
					return fmt.Errorf("policy %s: %w", policy.name, err)
				}
				results[policy.name] = result
				err = options.Report(result.line(policy.name, ranks, drift))
				if err != nil {
					return err
				}
			}
			err := reportExpertAims(options, ranks, drift, results)
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// line returns the line of a result.
func (r expertResult) line(policy string, ranks int, drift string) Line {
	skews := append([]float64(nil), r.skews...)
	sort.Float64s(skews)
	return Line{
		{
			Key:   "policy",
			Value: policy,
		},
		{
			Key:   "ranks",
			Value: ranks,
		},
		{
			Key:   "drift",
			Value: drift,
		},
		{
			Key:   "skew",
			Value: mean(r.skews),
		},
		{
			Key:   "p95",
			Value: skews[len(skews)*95/100],
		},
		{
			Key:   "moved",
			Value: r.moved,
		},
		{
			Key:   "bytes",
			Value: foxtailstack.Bytes(r.moved) * expertBytes,
		},
		{
			Key:   "slowed",
			Value: math.Round(r.slowed),
		},
		{
			Key:   "back",
			Value: r.back,
		},
		{
			Key:   "quiet",
			Value: r.quiet,
		},
	}
}

// reportExpertAims reports which aims were met.
func reportExpertAims(options Options, ranks int, drift string, results map[string]expertResult) error {
	repack, skew, moves := results["repack"], results["skew"], results["moves"]
	over := mean(skew.skews) / mean(repack.skews)
	share := float64(skew.moved) / math.Max(1, float64(repack.moved))
	back := float64(skew.back+moves.back) / math.Max(1, float64(skew.moved+moves.moved))
	return options.Report(Line{
		{
			Key:   "aims",
			Value: "expert",
		},
		{
			Key:   "ranks",
			Value: ranks,
		},
		{
			Key:   "drift",
			Value: drift,
		},
		{
			Key:   "over",
			Value: over,
		},
		{
			Key:   "skew",
			Value: verdict(over <= maxSkewOver),
		},
		{
			Key:   "share",
			Value: share,
		},
		{
			Key:   "moves",
			Value: verdict(share <= maxMovesShare),
		},
		{
			Key:   "quiet",
			Value: verdict(moves.quiet == 0),
		},
		{
			Key:   "back",
			Value: verdict(back <= maxBackShare),
		},
	})
}

// verdict says whether an aim was met.
func verdict(met bool) string {
	if met {
		return "met"
	}
	return "not-met"
}

// mean returns the mean of values.
func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// simulateExpert runs one planner through the length of the experiment.
func simulateExpert(ctx context.Context, seed uint64, drift string, ranks int, size expertSize, planner foxtailstack.Planner) (expertResult, error) {
	rng := rand.New(rand.NewPCG(seed, uint64(ranks)))
	load := newPopularity(drift, size.layers, rng)
	layer, err := expert.RoundRobinLayer(ranks, max(2, expertCount/ranks+1), expertCount)
	if err != nil {
		return expertResult{}, err
	}
	current := foxtailstack.ExpertMap{}
	for range size.layers {
		current.Layers = append(current.Layers, layer)
	}
	var result expertResult
	var smoother expert.Smoother
	dropped := map[slotKey]time.Time{}
	start := time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)
	for now := start; now.Before(start.Add(size.length)) && ctx.Err() == nil; now = now.Add(expertInterval) {
		truth := load.next(now.Sub(start))
		result.skews = append(result.skews, mapSkew(current, truth))
		loads, err := smoother.Add(expertInterval, sample(truth, rng))
		if err != nil {
			return result, err
		}
		next, err := planner.Plan(now, current, loads)
		if err != nil {
			return result, err
		}
		result.count(now, current, next, dropped)
		current = next
	}
	return result, ctx.Err()
}

// slotKey is an expert of a layer on a rank.
type slotKey struct {
	layer, rank int
	expert      foxtailstack.Expert
}

// count adds the moves from one map to the next.
func (r *expertResult) count(now time.Time, current, next foxtailstack.ExpertMap, dropped map[slotKey]time.Time) {
	busiest := map[int]int{}
	for l := range next.Layers {
		for rank := range next.Layers[l] {
			old, fresh := current.Layers[l][rank], next.Layers[l][rank]
			for _, e := range missing(old, fresh) {
				dropped[slotKey{l, rank, e}] = now
			}
			for _, e := range missing(fresh, old) {
				r.moved++
				busiest[rank]++
				at, known := dropped[slotKey{l, rank, e}]
				if known && now.Sub(at) < expertReturn {
					r.back++
				}
				for _, hour := range expertQuiet {
					if now.Hour() == hour {
						r.quiet++
					}
				}
			}
		}
	}
	most := 0
	for _, n := range busiest {
		most = max(most, n)
	}
	r.slowed += float64(most) * expertLoading.Seconds() / expertStep.Seconds()
}

// missing returns the experts of a that are not in b.
func missing(a, b []foxtailstack.Expert) []foxtailstack.Expert {
	var out []foxtailstack.Expert
	for _, e := range a {
		found := false
		for _, other := range b {
			found = found || other == e
		}
		if !found {
			out = append(out, e)
		}
	}
	return out
}

// mapSkew returns the time of a step over that of a balanced one; layers run one
// after another.
func mapSkew(m foxtailstack.ExpertMap, tokens [][]float64) float64 {
	sum := 0.0
	for l, layer := range m.Layers {
		sum += expert.Skew(expert.RankLoads(layer, tokens[l]))
	}
	return sum / float64(len(m.Layers))
}

// sample returns counts as the engines report them, with their noise.
func sample(truth [][]float64, rng *rand.Rand) [][]float64 {
	counts := make([][]float64, len(truth))
	for l := range truth {
		counts[l] = make([]float64, len(truth[l]))
		for e, n := range truth[l] {
			counts[l][e] = math.Max(0, n+math.Sqrt(n)*rng.NormFloat64())
		}
	}
	return counts
}
