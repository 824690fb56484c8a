package measure

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"strings"
)

// ErrUnknown means that there is no experiment of a name.
var ErrUnknown = errors.New("no such experiment")

// Field is one key with its value in a line of results.
type Field struct {
	Key   string
	Value any
}

// Line is the result of one policy under one condition.
type Line []Field

// String returns the line as key=value pairs.
func (l Line) String() string {
	pairs := make([]string, 0, len(l))
	for _, field := range l {
		pairs = append(pairs, field.Key+"="+text(field.Value))
	}
	return strings.Join(pairs, " ")
}

// text returns a value with as many digits as a reader needs.
func text(value any) string {
	if number, ok := value.(float64); ok {
		return fmt.Sprintf("%.4g", number)
	}
	return fmt.Sprint(value)
}

// Options are the options of an experiment.
type Options struct {
	// Seed makes the run reproducible.
	Seed uint64
	// Report takes each line as soon as it is known.
	Report func(Line) error
}

// Experiment is a run that compares policies.
type Experiment func(ctx context.Context, options Options) error

// experiments holds the experiments by name.
var experiments = map[string]Experiment{
	"spread":   Spread,
	"idle":     Idle,
	"path":     Path,
	"overload": Overload,
	"route":    Route,
	"expert":   Expert,
	"maps":     Maps,
	"ranks":    Ranks,
}

// Names returns the names of all experiments in order.
func Names() []string {
	names := make([]string, 0, len(experiments))
	for name := range experiments {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Run runs the experiment of a name. It returns ErrUnknown if there is none.
func Run(ctx context.Context, name string, options Options) error {
	experiment, ok := experiments[name]
	if !ok {
		return fmt.Errorf("%w: %q, expected one of %s", ErrUnknown, name, strings.Join(Names(), ", "))
	}
	return experiment(ctx, options)
}
