package upstream

import (
	"errors"
	"strings"
	"testing"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/wire"
	"github.com/google/go-cmp/cmp"
)

// Each frame carries the number of the event after which the stream can be resumed, and
// zero once an event had no number: such an event would be lost or sent twice.
func TestTransferNumbers(t *testing.T) {
	tests := []struct {
		name string
		body string
		want []uint64
		err  error
	}{
		{
			name: "numbered",
			body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
			want: []uint64{1, 2},
		},
		{
			name: "comments",
			body: ": ping\n\nid: 1\ndata: a\n\n: ping\n\n",
			want: []uint64{0, 1, 1},
		},
		{
			name: "one without a number",
			body: "id: 1\ndata: a\n\ndata: b\n\nid: 2\ndata: c\n\n",
			want: []uint64{1, 0, 0},
		},
		{
			name: "gap",
			body: "id: 1\ndata: a\n\nid: 3\ndata: b\n\n",
			want: []uint64{1},
			err:  foxtailstack.ErrEngineMismatch,
		},
		{
			name: "event after the end",
			body: "data: [DONE]\n\ndata: a\n\n",
			err:  foxtailstack.ErrEngineMismatch,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sidecar, entry := wire.Pipe()
			a := &attempt{
				stream: sidecar,
				open:   &Open{},
			}
			tr := transfer{attempt: a}
			err := tr.sendEvents(strings.NewReader(test.body))
			if !errors.Is(err, test.err) {
				t.Errorf("got error %v, expected %v", err, test.err)
			}
			_ = sidecar.CloseSend()
			var got []uint64
			var frame Frame
			for entry.Receive(&frame) == nil {
				got = append(got, frame.LastEventID)
				frame = Frame{}
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("numbers (-want +got):\n%s", diff)
			}
		})
	}
}
