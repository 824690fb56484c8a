package upstream

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"
)

func TestEventReader(t *testing.T) {
	tests := []struct {
		name string
		in   string
		want []string
		err  error
	}{
		{
			name: "events",
			in:   "id: 1\ndata: a\n\ndata: [DONE]\n\n",
			want: []string{"1 a", "0 [DONE]"},
			err:  io.EOF,
		},
		{
			name: "carriage returns",
			in:   "id: 7\r\ndata: a\r\ndata: b\r\n\r\n",
			want: []string{"7 a\nb"},
			err:  io.EOF,
		},
		{
			name: "no space, blank lines, comment",
			in:   "\n\n:ping\ndata:a\n\n",
			want: []string{"0 a"},
			err:  io.EOF,
		},
		{
			name: "text id",
			in:   "id: x9\ndata: a\n\n",
			want: []string{"0 a"},
			err:  io.EOF,
		},
		{
			name: "cut in a line",
			in:   "data: a\n\ndata: b",
			want: []string{"0 a"},
			err:  ErrEventTruncated,
		},
		{
			name: "cut before the blank line",
			in:   "data: a\n\ndata: b\n",
			want: []string{"0 a"},
			err:  ErrEventTruncated,
		},
		{
			name: "too long",
			in:   "data: " + strings.Repeat("a", maxEventSize) + "\n\n",
			want: nil,
			err:  ErrEventTooLong,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, _, err := readEvents(iotest.OneByteReader(strings.NewReader(test.in)))
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("events (-want +got):\n%s", diff)
			}
			if !errors.Is(err, test.err) {
				t.Errorf("got error %v, expected %v", err, test.err)
			}
		})
	}
}

// readEvents reads all events and returns each as number and data, the raw bytes of all
// events, and the error that ended the stream.
func readEvents(in io.Reader) (texts []string, raw []byte, err error) {
	r := NewEventReader(in)
	for {
		event, err := r.Next()
		if err != nil {
			return texts, raw, err
		}
		texts = append(texts, string(rune('0'+event.ID%10))+" "+string(event.Data))
		raw = append(raw, event.Raw...)
	}
}

// The events must not depend on how the stream is split into reads, and the raw bytes of
// all events must not be longer than the input.
func FuzzEventReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\ndata: [DONE]\n\n"))
	f.Add([]byte("\r\n\r\ndata\n:\n\nid:"))
	f.Fuzz(func(t *testing.T, in []byte) {
		whole, raw, err := readEvents(bytes.NewReader(in))
		parts, _, partsErr := readEvents(iotest.OneByteReader(bytes.NewReader(in)))
		if diff := cmp.Diff(whole, parts); diff != "" {
			t.Errorf("events in one read and by bytes (-one +bytes):\n%s", diff)
		}
		if (err == nil) != (partsErr == nil) {
			t.Errorf("got error %v in one read and %v by bytes, want both or neither", err, partsErr)
		}
		if errors.Is(err, io.EOF) && len(raw) > len(in) {
			t.Errorf("got %d bytes of raw events, want at most the %d of the input", len(raw), len(in))
		}
	})
}
