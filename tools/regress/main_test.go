package main

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// Guards against a fall over several landings, each within the tolerance, that shows in none,
// and against entries that cannot be compared: of uncommitted code, or without all prices.
func TestFallBelowBestIsFound(t *testing.T) {
	const uncommitted = `{"cmd":"score","ok":true,"dirty":true,"at":["2026-12-09",""],"site":"large","days":[{"name":"quiet-1","G":0.1}]}`
	tests := map[string]struct {
		worths []float64
		extra  string
		known  string
		want   bool
	}{
		"as good as ever": {
			worths: []float64{0.80, 0.84},
			want:   true,
		},
		"slow fall": {
			worths: []float64{0.84, 0.80, 0.77},
		},
		"fallen and risen": {
			worths: []float64{0.84, 0.50, 0.83},
			want:   true,
		},
		"known": {
			worths: []float64{0.84, 0.50},
			known:  "fallen: large quiet-1\n",
			want:   true,
		},
		"another day is known": {
			worths: []float64{0.84, 0.50},
			known:  "fallen: large scale-1\n",
		},
		"last of uncommitted code": {
			worths: []float64{0.84, 0.80},
			extra:  uncommitted,
			want:   true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			root := t.TempDir()
			save := func(path, text string) {
				path = filepath.Join(root, path)
				if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
					t.Fatal(err)
				}
				if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			save("docs/MEASUREMENTS.md", "# Page\n\n"+tableStart+"| large | quiet-1 | 0.100 | 0 |\n\nMore.\n")
			save("KNOWN-RED.txt", test.known)
			for i, worth := range test.worths {
				save(fmt.Sprintf("journal/%d.json", i), fmt.Sprintf(
					`{"cmd":"score","ok":true,"at":["2026-12-0%d",""],"head":"abc","site":"large","days":[{"name":"quiet-1","G":%v},{"name":"cut","G":null}]}`, i+1, worth,
				))
			}
			if test.extra != "" {
				save("journal/x.json", test.extra)
			}
			if !run(root, true) {
				t.Fatal("the table was not written")
			}
			if got := run(root, false); got != test.want {
				t.Errorf("no day fell: %t, want %t", got, test.want)
			}
		})
	}
}
