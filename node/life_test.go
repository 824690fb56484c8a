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
		{
			name:  "new",
			steps: nil,
			want:  Starting,
		},
		{
			name:  "ready",
			steps: []step{stepServe},
			want:  Serving,
		},
		{
			name:  "stop before ready",
			steps: []step{stepDrain, stepServe},
			want:  Draining,
		},
		{
			name:  "stop twice",
			steps: []step{stepServe, stepDrain, stepDrain},
			want:  Draining,
		},
		{
			name:  "late ready",
			steps: []step{stepServe, stepDrain, stepServe},
			want:  Draining,
		},
		{
			name:  "failed",
			steps: []step{stepServe, stepStop, stepServe, stepDrain},
			want:  Stopped,
		},
		{
			name:  "whole",
			steps: []step{stepServe, stepDrain, stepStop},
			want:  Stopped,
		},
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
