package measure

import (
	"errors"
	"fmt"
	"sort"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 5 * vg.Inch
)

// keyPolicy is the key of the policy in a line of results.
const keyPolicy = "policy"

// ErrPlot means that lines of results hold nothing to draw.
var ErrPlot = errors.New("nothing to plot")

// Axes names the keys of the two axes of a picture.
type Axes struct {
	X string
	Y string
}

// axes holds the axes of experiments whose options name none.
var axes = map[string]Axes{
	"expert": {
		X: "ranks",
		Y: "skew",
	},
	"route": {
		X: "load",
		Y: "p99",
	},
	"ranks": {
		X: "load",
		Y: "ontime_share",
	},
	"overload": {
		X: "load",
		Y: "goodput",
	},
	"path": {
		X: "callers",
		Y: "p50",
	},
	"spread": {
		X: "nodes",
		Y: "p99",
	},
}

// AxesOf returns the axes of an experiment, with those given in their place.
func AxesOf(name string, given Axes) Axes {
	chosen := axes[name]
	if given.X != "" {
		chosen.X = given.X
	}
	if given.Y != "" {
		chosen.Y = given.Y
	}
	return chosen
}

// Plot draws one curve for each policy into a file, whose ending names its
// format, such as .png or .svg. Lines that agree in policy and x are averaged.
// It returns ErrPlot if no line has both keys with a number.
func Plot(lines []Line, chosen Axes, file string) error {
	curves := curvesOf(lines, chosen)
	if len(curves) == 0 {
		return fmt.Errorf("%w: no line has the numbers %q and %q", ErrPlot, chosen.X, chosen.Y)
	}
	picture := plot.New()
	picture.X.Label.Text = chosen.X
	picture.Y.Label.Text = chosen.Y
	picture.Legend.Top = true
	names := make([]string, 0, len(curves))
	for name := range curves {
		names = append(names, name)
	}
	sort.Strings(names)
	var pairs []any
	for _, name := range names {
		pairs = append(pairs, name, curves[name])
	}
	err := plotutil.AddLinePoints(picture, pairs...)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrPlot, err)
	}
	err = picture.Save(plotWidth, plotHeight, file)
	if err != nil {
		return fmt.Errorf("save plot: %w", err)
	}
	return nil
}

// runningMean is a mean of numbers that come one by one.
type runningMean struct {
	sum float64
	n   int
}

// curvesOf returns the points of each policy in the order of x.
func curvesOf(lines []Line, chosen Axes) map[string]plotter.XYs {
	means := map[string]map[float64]runningMean{}
	for _, line := range lines {
		policy := ""
		numbers := map[string]float64{}
		for _, field := range line {
			if field.Key == keyPolicy {
				policy = fmt.Sprint(field.Value)
			}
			if n, ok := number(field.Value); ok {
				numbers[field.Key] = n
			}
		}
		x, okX := numbers[chosen.X]
		y, okY := numbers[chosen.Y]
		if !okX || !okY {
			continue
		}
		if means[policy] == nil {
			means[policy] = map[float64]runningMean{}
		}
		m := means[policy][x]
		means[policy][x] = runningMean{
			sum: m.sum + y,
			n:   m.n + 1,
		}
	}
	curves := map[string]plotter.XYs{}
	for policy, points := range means {
		for x, m := range points {
			curves[policy] = append(curves[policy], plotter.XY{
				X: x,
				Y: m.sum / float64(m.n),
			})
		}
		curve := curves[policy]
		sort.Slice(curve, func(i, j int) bool { return curve[i].X < curve[j].X })
	}
	return curves
}

// number returns a numeric value as float64.
func number(value any) (float64, bool) {
	switch n := value.(type) {
	case float64:
		return n, true
	case int:
		return float64(n), true
	case int64:
		return float64(n), true
	case uint64:
		return float64(n), true
	}
	return 0, false
}
