package measure

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
	"gonum.org/v1/plot/plotter"
)

var plotLines = []Line{
	{{
		Key:   "policy",
		Value: "ours",
	}, {
		Key:   "load",
		Value: 80,
	}, {
		Key:   "p99",
		Value: 2.0,
	}},
	{{
		Key:   "policy",
		Value: "ours",
	}, {
		Key:   "load",
		Value: 50,
	}, {
		Key:   "p99",
		Value: 1.0,
	}},
	{{
		Key:   "policy",
		Value: "ours",
	}, {
		Key:   "load",
		Value: 50,
	}, {
		Key:   "p99",
		Value: 3.0,
	}},
	{{
		Key:   "policy",
		Value: "oracle",
	}, {
		Key:   "load",
		Value: 50,
	}, {
		Key:   "p99",
		Value: 0.5,
	}},
	{{
		Key:   "policy",
		Value: "oracle",
	}, {
		Key:   "load",
		Value: 80,
	}},
}

func TestCurves(t *testing.T) {
	got := curvesOf(plotLines, AxesOf("route", Axes{}))
	want := map[string]plotter.XYs{
		"ours": {{
			X: 50,
			Y: 2,
		}, {
			X: 80,
			Y: 2,
		}},
		"oracle": {{
			X: 50,
			Y: 0.5,
		}},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("curves differ (-want +got):\n%s", diff)
	}
}

func TestPlot(t *testing.T) {
	file := filepath.Join(t.TempDir(), "route.png")
	if err := Plot(plotLines, AxesOf("route", Axes{}), file); err != nil {
		t.Fatal(err)
	}
	info, err := os.Stat(file)
	if err != nil || info.Size() == 0 {
		t.Errorf("no picture: %v, %v", info, err)
	}
	err = Plot(plotLines, Axes{
		X: "load",
		Y: "absent",
	}, file)
	if !errors.Is(err, ErrPlot) {
		t.Errorf("got error %v, want %v", err, ErrPlot)
	}
}

func TestLineString(t *testing.T) {
	line := Line{{
		Key:   "policy",
		Value: "ours",
	}, {
		Key:   "load",
		Value: 50,
	}, {
		Key:   "p99",
		Value: 1.23456,
	}}
	if diff := cmp.Diff("policy=ours load=50 p99=1.235", line.String()); diff != "" {
		t.Errorf("lines differ (-want +got):\n%s", diff)
	}
}
