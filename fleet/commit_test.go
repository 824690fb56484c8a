package fleet

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/internal/memstore"
	"github.com/google/go-cmp/cmp"
)

// lateTable loses answers, applies commits late and refuses operations.
type lateTable struct {
	memstore.Store
	mu  sync.Mutex
	rng *rand.Rand
	// refuse, lose and late are chances in a hundred.
	refuse, lose, late int
	// before runs ahead of each commit; it may be nil.
	before func()
}

func (t *lateTable) chance(percent int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rng.IntN(100) < percent
}

func (t *lateTable) pause() {
	t.mu.Lock()
	d := time.Duration(t.rng.IntN(20)) * time.Millisecond
	t.mu.Unlock()
	time.Sleep(d)
}

func (t *lateTable) Get(ctx context.Context, key foxtailstack.Key) (foxtailstack.Row, error) {
	t.pause()
	if t.chance(t.refuse) {
		return foxtailstack.Row{}, foxtailstack.ErrUnavailable
	}
	return t.Store.Get(ctx, key)
}

func (t *lateTable) Commit(ctx context.Context, writes ...foxtailstack.Write) error {
	if t.before != nil {
		t.before()
	}
	t.pause()
	switch {
	case t.chance(t.refuse):
		return foxtailstack.ErrUnavailable
	case t.chance(t.late):
		go func() {
			t.pause()
			t.pause()
			t.pause()
			_ = t.Store.Commit(ctx, writes...)
		}()
		return foxtailstack.ErrUncertain
	case t.chance(t.lose):
		_ = t.Store.Commit(ctx, writes...)
		return foxtailstack.ErrUncertain
	}
	return t.Store.Commit(ctx, writes...)
}

// commitOutput is what an operator was told.
type commitOutput struct {
	version foxtailstack.Version
	err     error
}

// commitState is one resource: its version and whether it is deleted.
type commitState struct {
	version foxtailstack.Version
	deleted bool
}

// commitModel says which histories of one resource are right.
var commitModel = (&porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byName := map[string][]porcupine.Operation{}
		for _, op := range history {
			name := op.Input.(Proposal).ID.Name
			byName[name] = append(byName[name], op)
		}
		return slices.Collect(maps.Values(byName))
	},
	Init: func() []any { return []any{commitState{}} },
	Step: func(s, in, out any) []any {
		state, proposal, result := s.(commitState), in.(Proposal), out.(commitOutput)
		shown := state.version
		if state.deleted {
			shown = 0
		}
		next := commitState{
			version: state.version + 1,
			deleted: proposal.Delete,
		}
		matches := shown == proposal.Expect && (!proposal.Delete || shown > 0)
		switch {
		case result.err == nil && matches && result.version == next.version:
			return []any{next}
		case result.err == nil:
			return nil
		case errors.Is(result.err, ErrUncertain) && matches:
			return []any{state, next}
		case (errors.Is(result.err, ErrStale) || errors.Is(result.err, ErrNotFound)) && matches:
			return nil
		}
		return []any{state}
	},
}).ToModel()

func TestCommitHistory(t *testing.T) {
	for seed := range uint64(600) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkHistory(t, seed) })
		})
	}
}

// checkHistory lets operators race and checks what they were told.
func checkHistory(t *testing.T, seed uint64) {
	table := &lateTable{
		rng:    rand.New(rand.NewPCG(seed, 1)),
		refuse: int(seed % 3 * 15),
		lose:   10,
		late:   40,
	}
	store := Store{Table: table}
	var mu sync.Mutex
	var history []porcupine.Operation
	began := time.Now()
	var operators sync.WaitGroup
	for client := range 4 {
		operators.Go(func() {
			for range 5 {
				id := ID{
					Kind: KindFleet,
					Name: "formula",
				}
				if table.chance(50) {
					id.Name = "levy"
				}
				current, err := store.Get(t.Context(), id)
				if err != nil && !errors.Is(err, ErrNotFound) {
					continue
				}
				proposal := Proposal{
					ChangeID: foxtailstack.NewChangeID(),
					ID:       id,
					Expect:   visible(current),
					Delete:   visible(current) > 0 && table.chance(30),
					Spec:     []byte("{}"),
				}
				call := time.Since(began)
				change, err := store.Commit(t.Context(), proposal)
				end := time.Since(began)
				if errors.Is(err, ErrUncertain) {
					end = time.Hour
				}
				mu.Lock()
				history = append(history, porcupine.Operation{
					ClientId: client,
					Input:    proposal,
					Call:     int64(call),
					Output: commitOutput{
						version: change.Resource.Version,
						err:     err,
					},
					Return: int64(end),
				})
				mu.Unlock()
			}
		})
	}
	operators.Wait()
	time.Sleep(time.Second)
	if !porcupine.CheckOperations(commitModel, history) {
		for _, op := range history {
			t.Logf("%+v", op)
		}
		t.Fatal("operators were told what did not happen")
	}
	checkLog(t, table)
}

// checkLog checks that the log leads to the resources that the table holds.
func checkLog(t *testing.T, table *lateTable) {
	t.Helper()
	store := Store{Table: &table.Store}
	changes, err := store.Since(t.Context(), 0)
	if err != nil {
		t.Fatal(err)
	}
	loaded, head, err := store.Load(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	var followed, whole Replica
	_ = followed.Apply(changes)
	_ = whole.Load(loaded, head)
	if diff := cmp.Diff(whole.Snapshot(), followed.Snapshot()); diff != "" {
		t.Errorf("log and resources differ (-resources +log):\n%s", diff)
	}
}

// A try whose answer was lost takes effect behind the reads of the next one,
// and then the table is down: the outcome is unknown, not refused.
func TestCommitLateThenOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &lateTable{rng: rand.New(rand.NewPCG(1, 1))}
		tries := 0
		store := Store{Table: commitFunc{
			Table: table,
			commit: func(ctx context.Context, writes []foxtailstack.Write) error {
				tries++
				if tries == 1 {
					return foxtailstack.ErrUncertain
				}
				_ = table.Commit(ctx, writes...)
				table.refuse = 100
				return foxtailstack.ErrConflict
			},
		}}
		_, err := store.Commit(t.Context(), Proposal{
			ChangeID: foxtailstack.NewChangeID(),
			ID: ID{
				Kind: KindFleet,
				Name: "formula",
			},
			Spec: []byte("{}"),
		})
		if !errors.Is(err, ErrUncertain) {
			t.Errorf("got %v, expected %v", err, ErrUncertain)
		}
	})
}

// commitFunc is a table with another Commit.
type commitFunc struct {
	foxtailstack.Table
	commit func(ctx context.Context, writes []foxtailstack.Write) error
}

func (c commitFunc) Commit(ctx context.Context, writes ...foxtailstack.Write) error {
	return c.commit(ctx, writes)
}
