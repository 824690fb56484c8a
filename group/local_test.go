package group

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

// silentRank is a rank that answers no question.
type silentRank struct {
	Rank
}

func (silentRank) Experts(ctx context.Context) (foxtailstack.Epoch, [][]foxtailstack.Expert, error) {
	<-ctx.Done()
	return 0, nil, ctx.Err()
}

func (silentRank) Report(ctx context.Context) (Report, error) {
	<-ctx.Done()
	return Report{}, ctx.Err()
}

func (silentRank) Counts(ctx context.Context) (Counts, error) {
	<-ctx.Done()
	return Counts{}, ctx.Err()
}

// Guards against a planner that waits without end for the rank beside it, which stands still.
func TestQuestionsToOwnRankEnd(t *testing.T) {
	l := &Local{Sidecar: &Sidecar{Rank: silentRank{}}}
	questions := map[string]func(ctx context.Context) error{
		"experts": func(ctx context.Context) error {
			_, _, err := l.Experts(ctx)
			return err
		},
		"report": func(ctx context.Context) error {
			_, err := l.Report(ctx)
			return err
		},
		"counts": func(ctx context.Context) error {
			_, err := l.Counts(ctx)
			return err
		},
	}
	for name, ask := range questions {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				began := time.Now()
				err := ask(ctx)
				if !errors.Is(err, context.DeadlineExceeded) || time.Since(began) > time.Second {
					t.Errorf("got %v after %s, want a time-out within a second", err, time.Since(began))
				}
			})
		})
	}
}
