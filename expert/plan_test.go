package expert

import (
	"errors"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/google/go-cmp/cmp"
)

var noon = time.Date(2026, 1, 5, 12, 0, 0, 0, time.UTC)

// skewedModel returns a map of equal layers and log-normally distributed expert
// loads for it.
func skewedModel(t testing.TB, layers, ranks, slots, experts int) (foxtailstack.ExpertMap, []foxtailstack.ExpertLoad) {
	t.Helper()
	rng := rand.New(rand.NewPCG(1, 1))
	m := foxtailstack.ExpertMap{}
	var loads []foxtailstack.ExpertLoad
	for range layers {
		layer, err := RoundRobinLayer(ranks, slots, experts)
		if err != nil {
			t.Fatalf("create layer: %v", err)
		}
		m.Layers = append(m.Layers, layer)
		load := foxtailstack.ExpertLoad{SinceShift: time.Hour}
		for range experts {
			load.Tokens = append(load.Tokens, math.Exp(rng.NormFloat64()))
		}
		loads = append(loads, load)
	}
	return m, loads
}

func TestAdaptive(t *testing.T) {
	for _, ranks := range []int{4, 8, 32, 128} {
		m, loads := skewedModel(t, 3, ranks, 64/ranks+2, 64)
		planner := &Adaptive{}
		next, err := planner.Plan(noon, m, loads)
		if err != nil {
			t.Fatalf("plan for %d ranks: %v", ranks, err)
		}
		err = CheckMap(next, loads)
		if err != nil {
			t.Fatalf("check plan for %d ranks: %v", ranks, err)
		}
		for l := range m.Layers {
			before := Skew(RankLoads(m.Layers[l], loads[l].Tokens))
			after := Skew(RankLoads(next.Layers[l], loads[l].Tokens))
			if after-1 > 0.5*(before-1) {
				t.Errorf("%d ranks, layer %d: skew %.3f after the plan, %.3f before; want the excess over 1 halved", ranks, l, after, before)
			}
		}
		firstMoves, laterMoves := totalMoves(m, next), 0
		for minute := range 20 {
			previous := next
			next, err = planner.Plan(noon.Add(time.Duration(minute)*time.Minute), previous, loads)
			if err != nil {
				t.Fatalf("plan for %d ranks, minute %d: %v", ranks, minute, err)
			}
			if minute < 5 {
				firstMoves += totalMoves(previous, next)
			} else {
				laterMoves += totalMoves(previous, next)
			}
		}
		if laterMoves > firstMoves/2 {
			t.Errorf("%d ranks: %d moves after the fifth minute under constant load, %d before; want at most half", ranks, laterMoves, firstMoves)
		}
	}
}

// totalMoves returns the number of moves in all layers.
func totalMoves(current, next foxtailstack.ExpertMap) int {
	n := 0
	for l := range next.Layers {
		n += Moves(current.Layers[l], next.Layers[l])
	}
	return n
}

func TestAdaptiveLimits(t *testing.T) {
	m, loads := skewedModel(t, 2, 8, 10, 64)
	for name, planner := range map[string]*Adaptive{
		"quiet hour": {QuietHours: []int{12}},
		"costly":     {MoveWeight: 1e9},
		"small cap":  {MaxMoves: 3},
	} {
		next, err := planner.Plan(noon, m, loads)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		// In the cases without MaxMoves, no move is expected.
		moves := totalMoves(m, next)
		if moves > planner.MaxMoves {
			t.Errorf("%s: %d moves, want at most %d", name, moves, planner.MaxMoves)
		}
	}
}

func TestPlanErrors(t *testing.T) {
	m, loads := skewedModel(t, 1, 2, 2, 4)
	twice := foxtailstack.ExpertMap{Layers: []foxtailstack.ExpertLayer{{{0, 0}, {1, 2}}}}
	missing := foxtailstack.ExpertMap{Layers: []foxtailstack.ExpertLayer{{{0, 1}, {1, 2}}}}
	bad := []foxtailstack.ExpertLoad{{Tokens: []float64{1, 2, math.NaN(), 0}}}
	tests := []struct {
		name    string
		planner foxtailstack.Planner
		m       foxtailstack.ExpertMap
		loads   []foxtailstack.ExpertLoad
		want    error
	}{
		{
			name:    "expert twice",
			planner: Repack{},
			m:       twice,
			loads:   loads,
			want:    ErrSlots,
		},
		{
			name:    "expert missing",
			planner: Static{},
			m:       missing,
			loads:   loads,
			want:    ErrSlots,
		},
		{
			name:    "not a number",
			planner: &Adaptive{},
			m:       m,
			loads:   bad,
			want:    ErrLoad,
		},
		{
			name:    "layers",
			planner: &Adaptive{},
			m:       m,
			loads:   nil,
			want:    ErrLoad,
		},
		{
			name:    "options",
			planner: &Adaptive{QuietHours: []int{24}},
			m:       m,
			loads:   loads,
			want:    ErrOptions,
		},
	}
	for _, test := range tests {
		_, err := test.planner.Plan(noon, test.m, test.loads)
		if !errors.Is(err, test.want) {
			t.Errorf("%s: error %v, want %v", test.name, err, test.want)
		}
	}
}

func TestSmootherShift(t *testing.T) {
	s := &Smoother{}
	var got []time.Duration
	for i := range 8 {
		sample := [][]float64{{3, 1}}
		if i >= 4 {
			sample = [][]float64{{1, 3}}
		}
		loads, err := s.Add(time.Minute, sample)
		if err != nil {
			t.Fatalf("add sample %d: %v", i, err)
		}
		got = append(got, loads[0].SinceShift)
	}
	want := []time.Duration{1, 2, 3, 4, 5, 0, 1, 2}
	for i := range want {
		want[i] *= time.Minute
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("time since the last shift (-want +got):\n%s", diff)
	}
}

func BenchmarkAdaptive(b *testing.B) {
	m, loads := skewedModel(b, 60, 128, 2, 64)
	for b.Loop() {
		_, err := (&Adaptive{}).Plan(noon, m, loads)
		if err != nil {
			b.Fatalf("plan: %v", err)
		}
	}
}
