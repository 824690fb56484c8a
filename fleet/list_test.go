package fleet

import (
	"context"
	"testing"

	"github.com/foxtailstack/foxtailstack"
)

// fixedList is a list of instances that a test changes.
type fixedList struct {
	instances []foxtailstack.Instance
}

func (l *fixedList) Instances(context.Context) ([]foxtailstack.Instance, error) {
	return l.instances, nil
}

// A list that does not even name the process itself is no word of the others: what
// it knew of them goes on counting, so that nothing is told to be in force everywhere.
func TestStatusWithoutList(t *testing.T) {
	all := []foxtailstack.Instance{
		{
			Name:   "e0",
			Role:   foxtailstack.RoleEntry,
			Centre: "a",
		},
		{
			Name:   "e1",
			Role:   foxtailstack.RoleEntry,
			Centre: "a",
		},
		{
			Name:   "s0",
			Role:   foxtailstack.RoleSidecar,
			Centre: "a",
		},
	}
	list := &fixedList{instances: all}
	s := &Spreader{
		Replica: &Replica{},
		Self:    all[0],
		List:    list,
	}
	for _, test := range []struct {
		name string
		list []foxtailstack.Instance
		want int
	}{
		{
			name: "all are listed",
			list: all,
			want: 3,
		},
		{
			name: "the list empties",
			list: nil,
			want: 3,
		},
		{
			name: "it stays empty",
			list: nil,
			want: 3,
		},
		{
			name: "one has gone",
			list: all[:2],
			want: 2,
		},
	} {
		list.instances = test.list
		s.refresh(t.Context())
		if got := s.Status(0).Total; got != test.want {
			t.Errorf("%s: %d processes are known, want %d", test.name, got, test.want)
		}
	}
}
