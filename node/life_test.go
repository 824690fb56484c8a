package node

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
)

func TestLife(t *testing.T) {
	tests := []struct {
		name  string
		steps []step
		want  Phase
	}{
		{"new", nil, Starting},
		{"ready", []step{stepServe}, Serving},
		{"stop before ready", []step{stepDrain, stepServe}, Draining},
		{"stop twice", []step{stepServe, stepDrain, stepDrain}, Draining},
		{"late ready", []step{stepServe, stepDrain, stepServe}, Draining},
		{"failed", []step{stepServe, stepStop, stepServe, stepDrain}, Stopped},
		{"whole", []step{stepServe, stepDrain, stepStop}, Stopped},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := newLife(zap.NewNop())
			for _, s := range test.steps {
				l.fire(s)
			}
			if diff := cmp.Diff(test.want, l.Phase()); diff != "" {
				t.Errorf("phase (-want +got):\n%s", diff)
			}
		})
	}
}
