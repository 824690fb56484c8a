package booking

import (
	"context"
	"fmt"

	"github.com/foxtailstack/foxtailstack"
	"github.com/zeebo/xxh3"
)

const (
	// MaxAnswer is the length of the longest answer that is recorded in bytes.
	MaxAnswer = 8 << 20
	// maxInline is the length of the longest body that a row holds in bytes.
	maxInline = 64 << 10
)

// objectPrefix begins the names of the objects that hold long answers.
const objectPrefix = "booking/"

// store returns the form of an answer that goes into a record. A long body goes
// to the object store first, under a name that no other attempt uses.
func (r Recorder) store(ctx context.Context, attempt foxtailstack.AttemptID, answer Answer) (Answer, error) {
	if len(answer.Body) <= maxInline {
		return answer, nil
	}
	if len(answer.Body) > MaxAnswer || r.Objects == nil {
		return Answer{}, fmt.Errorf("%w: %d bytes", ErrTooLong, len(answer.Body))
	}
	name := objectPrefix + attempt.String()
	err := r.Objects.Put(ctx, name, answer.Body)
	if err != nil {
		return Answer{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return Answer{
		Status:      answer.Status,
		ContentType: answer.ContentType,
		Object:      name,
		Length:      len(answer.Body),
		Sum:         xxh3.Hash(answer.Body),
	}, nil
}

// Answer returns the whole answer that a record holds.
func (r Recorder) Answer(ctx context.Context, record Record) (Answer, error) {
	answer := record.Answer
	if answer.Object == "" {
		return answer, nil
	}
	if r.Objects == nil {
		return Answer{}, fmt.Errorf("%w: no object store", ErrUnavailable)
	}
	body, err := r.Objects.Get(ctx, answer.Object)
	if err != nil {
		return Answer{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if len(body) != answer.Length || xxh3.Hash(body) != answer.Sum {
		return Answer{}, fmt.Errorf("%w: object %s differs from the recorded answer", ErrUnavailable, answer.Object)
	}
	return Answer{
		Status:      answer.Status,
		ContentType: answer.ContentType,
		Body:        body,
	}, nil
}
