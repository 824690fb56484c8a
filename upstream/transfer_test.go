package upstream

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/timeline"
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

// answeringEngine is an engine that answers each call with a text.
type answeringEngine struct {
	foxtailstack.Engine
}

func (answeringEngine) Run(context.Context, foxtailstack.EngineCall) (foxtailstack.EngineAnswer, error) {
	return foxtailstack.EngineAnswer{
		Status:      200,
		ContentType: "text/plain",
		Body:        io.NopCloser(strings.NewReader("answer")),
	}, nil
}

// Guards against a time line in which an entry has the answer of an attempt before the
// attempt has ended at its upstream.
func TestEndPrecedesLastFrame(t *testing.T) {
	sidecar, entry := wire.Pipe()
	a := &attempt{
		server: &Server{
			Engine: answeringEngine{},
			Ring:   &timeline.Ring{},
		},
		stream: sidecar,
		open:   &Open{},
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		a.execute(t.Context())
	}()
	var last Frame
	for last.End == nil {
		last = Frame{}
		err := entry.Receive(&last)
		if err != nil {
			t.Fatal("receive:", err)
		}
	}
	<-done
	for _, event := range a.server.Ring.Events() {
		if event.Kind == EventEnd && event.At.Before(*last.Timestamp) {
			return
		}
	}
	t.Errorf("no event %q before the last frame, at %v: %v", EventEnd, *last.Timestamp, a.server.Ring.Events())
}
