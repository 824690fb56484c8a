package fleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/internal/clock"
	"github.com/foxtailstack/foxtailstack/wire"
)

const (
	// commitTries bounds the repeats of a commit that races with others.
	commitTries = 16
	// commitPause is the longest pause before the first repeat; it doubles.
	commitPause = 10 * time.Millisecond
	// maxCommitPause bounds the pause before a repeat.
	maxCommitPause = 500 * time.Millisecond
)

// commit is the commit of one proposal.
type commit struct {
	store    Store
	proposal Proposal
	// unsettled is set while an earlier try may have taken effect or may still
	// take effect. Such a try is bound to a head of at most base.
	unsettled bool
	base      foxtailstack.Revision
}

// Commit commits a proposal as one transaction and returns the change. It
// returns ErrStale if the resource has another version, ErrNotFound if a
// resource to be deleted does not exist, ErrReference if a reference would be
// broken, ErrRepeated if another proposal has the ChangeID, ErrUnavailable if
// nothing was changed and ErrUncertain if that cannot be told.
func (s Store) Commit(ctx context.Context, proposal Proposal) (Change, error) {
	c := commit{
		store:    s,
		proposal: proposal,
	}
	pause := commitPause
	var last error
	for range commitTries {
		change, err := c.try(ctx)
		if err == nil {
			return change, nil
		}
		last = err
		repeat := c.unsettled || errors.Is(err, foxtailstack.ErrConflict)
		if !repeat {
			return Change{}, refusal(err)
		}
		if clock.Sleep(ctx, rand.N(pause)) != nil {
			break
		}
		pause = min(2*pause, maxCommitPause)
	}
	if c.unsettled {
		return Change{}, fmt.Errorf("%w: %w", ErrUncertain, last)
	}
	return Change{}, fmt.Errorf("%w: %w", ErrUnavailable, last)
}

// refusal turns the error of a try that changed nothing into one of this layer.
func refusal(err error) error {
	for _, known := range []error{ErrStale, ErrNotFound, ErrReference, ErrRepeated, ErrUnavailable} {
		if errors.Is(err, known) {
			return err
		}
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

// try makes one transaction of the proposal.
//
// The change's own row is read last. Every try is bound to the head that it
// read, and heads only rise. So if the head has passed base and the row is
// absent, no earlier try has taken effect or ever will.
func (c *commit) try(ctx context.Context) (Change, error) {
	head, err := c.store.Head(ctx)
	if err != nil {
		return Change{}, err
	}
	current, err := c.store.Get(ctx, c.proposal.ID)
	if err != nil && !errors.Is(err, ErrNotFound) {
		return Change{}, err
	}
	change, err := c.store.Find(ctx, c.proposal.ChangeID)
	if err == nil {
		c.unsettled = false
		if change.Digest != c.proposal.Digest {
			return Change{}, ErrRepeated
		}
		return change, nil
	}
	if !errors.Is(err, ErrNotFound) {
		return Change{}, err
	}
	if head > c.base {
		c.unsettled = false
	}
	err = c.check(ctx, current)
	if err != nil {
		return Change{}, err
	}
	change, err = c.write(ctx, head, current.Version)
	if errors.Is(err, foxtailstack.ErrUncertain) {
		c.unsettled = true
		c.base = head
	}
	return change, err
}

// Check returns the resource as it would be after a proposal, or the error that
// Commit would return. It changes nothing.
func (s Store) Check(ctx context.Context, proposal Proposal) (Resource, error) {
	current, err := s.Get(ctx, proposal.ID)
	if err != nil && !errors.Is(err, ErrNotFound) {
		return Resource{}, err
	}
	c := commit{
		store:    s,
		proposal: proposal,
	}
	err = c.check(ctx, current)
	if err != nil {
		return Resource{}, err
	}
	return Resource{
		ID:      proposal.ID,
		Version: current.Version + 1,
		Deleted: proposal.Delete,
		Spec:    proposal.Spec,
	}, nil
}

// check returns an error if the proposal does not fit what is committed.
func (c *commit) check(ctx context.Context, current Resource) error {
	shown := visible(current)
	if shown != c.proposal.Expect {
		return fmt.Errorf("%w: %s has version %d, expected %d", ErrStale, c.proposal.ID, shown, c.proposal.Expect)
	}
	if c.proposal.Delete && shown == 0 {
		return ErrNotFound
	}
	if c.proposal.References {
		return c.store.checkReferences(ctx, c.proposal)
	}
	return nil
}

// write commits the rows of the change on condition that nothing has moved.
func (c *commit) write(ctx context.Context, head foxtailstack.Revision, version foxtailstack.Version) (Change, error) {
	now := time.Now()
	change := Change{
		ChangeID: c.proposal.ChangeID,
		Resource: Resource{
			ID:       c.proposal.ID,
			Version:  version + 1,
			Revision: head + 1,
			Deleted:  c.proposal.Delete,
			Spec:     c.proposal.Spec,
		},
		At:     now,
		Digest: c.proposal.Digest,
	}
	value, err := wire.Marshal(change)
	if err != nil {
		return Change{}, err
	}
	err = c.store.Table.Commit(
		ctx,
		foxtailstack.Write{
			Key:    headKey,
			Expect: foxtailstack.Version(head),
		},
		foxtailstack.Write{
			Key:    resourceKey(c.proposal.ID),
			Expect: version,
			Value:  value,
		},
		foxtailstack.Write{
			Key:     logKey(head + 1),
			Value:   value,
			Expires: now.Add(logRetention),
		},
		foxtailstack.Write{
			Key:     changeKey(c.proposal.ChangeID),
			Value:   value,
			Expires: now.Add(changeRetention),
		},
	)
	return change, err
}
