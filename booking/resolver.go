package booking

import (
	"context"
	"errors"
	"fmt"

	"github.com/foxtailstack/foxtailstack"
)

// resolveTries bounds the reads of a record that changes meanwhile.
const resolveTries = 8

// Resolver finds out what has become of a key.
type Resolver struct {
	Recorder Recorder
	// Inquire asks the sidecar at an address how an attempt went.
	Inquire func(ctx context.Context, address foxtailstack.Address, inquiry Inquiry) (Finding, error)
}

// Resolution is what has become of a key.
type Resolution struct {
	// Outcome is Ran or NotRun.
	Outcome foxtailstack.Outcome
	// Answer is set if the outcome is Ran.
	Answer Answer
	// Version is the version of the record that a new attempt may replace, if
	// the outcome is NotRun. Zero means that there is none.
	Version foxtailstack.Version
}

// Resolve returns what has become of a key and waits while its attempt runs. An
// attempt that does not start in time is barred for good. It returns ErrMismatch if
// the key was used with another body, ErrLost if only an operator can tell, and
// ErrUnsettled if nobody can tell now. ErrUnavailable alone means that the
// record could not be read at all.
func (r Resolver) Resolve(ctx context.Context, key Key, digest Digest) (Resolution, error) {
	var barred *Record
	for i := range resolveTries {
		record, found, err := r.Recorder.Lookup(ctx, key)
		switch {
		case err != nil && i > 0:
			return Resolution{}, fmt.Errorf("%w: %w", ErrUnsettled, err)
		case err != nil:
			return Resolution{}, err
		case !found:
			return Resolution{Outcome: foxtailstack.NotRun}, nil
		case record.Digest != digest:
			return Resolution{}, ErrMismatch
		case record.State == Lost:
			return Resolution{}, ErrLost
		case record.State == Done:
			return r.ran(ctx, record)
		case record.State == Freed, barred != nil && barred.Version == record.Version:
			return Resolution{
				Outcome: foxtailstack.NotRun,
				Version: record.Version,
			}, nil
		}
		finding, err := r.ask(ctx, key, record, false)
		if err != nil {
			return Resolution{}, err
		}
		if finding.Outcome == foxtailstack.NotRun {
			barred = &record // unless the record has changed meanwhile
		}
	}
	return Resolution{}, ErrUnsettled
}

// ran returns the resolution of a record that is Done.
func (r Resolver) ran(ctx context.Context, record Record) (Resolution, error) {
	answer, err := r.Recorder.Answer(ctx, record)
	if err != nil {
		return Resolution{}, fmt.Errorf("%w: %w", ErrUnsettled, err)
	}
	return Resolution{
		Outcome: foxtailstack.Ran,
		Answer:  answer,
	}, nil
}

// ask asks the sidecar of a claim and marks the record as Lost if it can never
// tell.
func (r Resolver) ask(ctx context.Context, key Key, record Record, now bool) (Finding, error) {
	finding, err := r.Inquire(ctx, record.Claim.Address, Inquiry{
		Attempt:     record.Claim.Attempt,
		Incarnation: record.Claim.Incarnation,
		Now:         now,
	})
	if err != nil {
		return finding, fmt.Errorf("%w: %w", ErrUnsettled, err)
	}
	if finding.Outcome != foxtailstack.Unknown {
		return finding, nil
	}
	if finding.Running {
		return finding, ErrUnsettled
	}
	err = r.Recorder.Lose(ctx, key, record.Digest, record.Claim, foxtailstack.FencingToken(record.Version))
	if err != nil && !errors.Is(err, ErrClaimed) {
		return finding, fmt.Errorf("%w: %w", ErrUnsettled, err)
	}
	return finding, nil
}
