package fleet

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/internal/memstore"
	"github.com/google/go-cmp/cmp"
)

// declare commits a resource in place of its present version.
func declare(t *testing.T, store Store, kind Kind, name, spec string) Change {
	t.Helper()
	id := ID{
		Kind: kind,
		Name: name,
	}
	current, _ := store.Get(t.Context(), id)
	change, err := store.Commit(t.Context(), Proposal{
		ChangeID: foxtailstack.NewChangeID(),
		ID:       id,
		Expect:   visible(current),
		Delete:   spec == "",
		Spec:     []byte(spec),
	})
	if err != nil {
		t.Fatal(err)
	}
	return change
}

// A process that slept past the log's retention sees the gap, not silence.
func TestSinceExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := Store{Table: &memstore.Store{}}
		declare(t, store, KindFleet, "a", "{}")
		declare(t, store, KindFleet, "b", "{}")
		time.Sleep(2 * logRetention)
		_, err := store.Since(t.Context(), 1)
		if !errors.Is(err, ErrGap) {
			t.Errorf("got %v, expected %v", err, ErrGap)
		}
	})
}

// tornTable commits two changes while a range is read, and returns the first
// row from before and the second from after them.
type tornTable struct {
	memstore.Store
	between func()
}

func (t *tornTable) Range(ctx context.Context, partition, after string, n int) ([]foxtailstack.Row, error) {
	rows, err := t.Store.Range(ctx, partition, after, n)
	if t.between == nil || partition != partitionResource {
		return rows, err
	}
	t.between()
	t.between = nil
	later, err := t.Store.Range(ctx, partition, after, n)
	return []foxtailstack.Row{rows[0], later[1]}, err
}

// A load during which changes commit must not claim a revision whose changes it
// has missed.
func TestLoadTorn(t *testing.T) {
	table := &tornTable{}
	store := Store{Table: table}
	declare(t, store, KindFleet, "a", "{}")
	declare(t, store, KindFleet, "b", "{}")
	table.between = func() {
		declare(t, store, KindFleet, "a", `{"cap":7}`)
		declare(t, store, KindFleet, "b", `{"cap":8}`)
	}
	replica := &Replica{}
	poller := Poller{
		Store:   store,
		Replica: replica,
	}
	for range 2 {
		err := poller.Poll(t.Context())
		if err != nil {
			t.Fatal(err)
		}
	}
	want := map[foxtailstack.FleetName]Fleet{
		"a": {Cap: 7},
		"b": {Cap: 8},
	}
	if diff := cmp.Diff(want, replica.Snapshot().Fleets); diff != "" {
		t.Errorf("fleets differ (-want +got):\n%s", diff)
	}
}

// A revision only rises, whatever arrives.
func TestReplicaRises(t *testing.T) {
	store := Store{Table: &memstore.Store{}}
	changes := []Change{
		declare(t, store, KindFleet, "a", "{}"),
		declare(t, store, KindFleet, "a", `{"cap":1}`),
		declare(t, store, KindTeam, "t", "{}"),
		declare(t, store, KindFleet, "a", ""),
	}
	tests := []struct {
		name string
		do   func(*Replica) error
		want foxtailstack.Revision
		err  error
	}{
		{
			name: "gap",
			do:   func(r *Replica) error { return r.Apply(changes[3:]) },
			want: 2,
			err:  ErrGap,
		},
		{
			name: "older changes",
			do:   func(r *Replica) error { return r.Apply(changes[:1]) },
			want: 2,
		},
		{
			name: "overlap",
			do:   func(r *Replica) error { return r.Apply(changes) },
			want: 4,
		},
		{
			name: "older load",
			do:   func(r *Replica) error { return r.Load(changes[:1], 1) },
			want: 2,
		},
		{
			name: "later load",
			do:   func(r *Replica) error { return r.Load(changes, 4) },
			want: 4,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var r Replica
			_ = r.Apply(changes[:2])
			err := test.do(&r)
			if !errors.Is(err, test.err) {
				t.Errorf("got error %v, expected %v", err, test.err)
			}
			if diff := cmp.Diff(test.want, r.Snapshot().Revision); diff != "" {
				t.Errorf("revision differs (-want +got):\n%s", diff)
			}
		})
	}
}

// A reference cannot be broken, in either order.
func TestReferences(t *testing.T) {
	store := Store{Table: &memstore.Store{}}
	declare(t, store, KindFleet, "formula", "{}")
	declare(t, store, KindPolicy, "formula/lookup", "{}")
	declare(t, store, KindPolicy, "formula/other", "{}")
	service := `{"path":"/","policy":"lookup"}`
	declare(t, store, KindService, "formula/drafting", service)
	tests := []struct {
		kind   Kind
		name   string
		spec   string
		expect foxtailstack.Version
		want   error
	}{
		{
			kind: KindService,
			name: "formula/orders",
			spec: `{"path":"/","policy":"absent"}`,
			want: ErrReference,
		},
		{
			kind: KindUpstream,
			name: "formula/orders/w1",
			spec: `{"address":"127.0.0.1:1","centre":"c","slots":1}`,
			want: ErrReference,
		},
		{
			kind:   KindPolicy,
			name:   "formula/lookup",
			expect: 1,
			want:   ErrReference,
		},
		{
			kind:   KindPolicy,
			name:   "formula/other",
			expect: 1,
		},
		{
			kind:   KindFleet,
			name:   "formula",
			expect: 1,
			want:   ErrReference,
		},
		{
			kind: KindPolicy,
			name: "levy/lookup",
			spec: "{}",
			want: ErrReference,
		},
	}
	for _, test := range tests {
		_, err := store.Commit(t.Context(), Proposal{
			ChangeID: foxtailstack.NewChangeID(),
			ID: ID{
				Kind: test.kind,
				Name: test.name,
			},
			Expect:     test.expect,
			Delete:     test.spec == "",
			Spec:       []byte(test.spec),
			References: true,
		})
		if !errors.Is(err, test.want) {
			t.Errorf("%s/%s: got %v, expected %v", test.kind, test.name, err, test.want)
		}
	}
}

// Another proposal under the same ChangeID is refused, the same one is repeated.
func TestCommitRepeated(t *testing.T) {
	store := Store{Table: &memstore.Store{}}
	proposal := Proposal{
		ChangeID: foxtailstack.NewChangeID(),
		ID: ID{
			Kind: KindFleet,
			Name: "formula",
		},
		Spec:   []byte("{}"),
		Digest: 1,
	}
	for _, test := range []struct {
		digest Digest
		want   error
	}{
		{digest: 1},
		{digest: 1},
		{
			digest: 2,
			want:   ErrRepeated,
		},
	} {
		proposal.Digest = test.digest
		_, err := store.Commit(t.Context(), proposal)
		if !errors.Is(err, test.want) {
			t.Errorf("digest %d: got %v, expected %v", test.digest, err, test.want)
		}
	}
}
