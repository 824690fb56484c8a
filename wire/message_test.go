package wire_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/foxtailstack/foxtailstack/wire"
	"github.com/google/go-cmp/cmp"
)

// note is a message type for tests.
type note struct {
	Text string            `cbor:"1,keyasint"`
	Tags map[string]string `cbor:"2,keyasint,omitempty"`
}

func TestReadWrite(t *testing.T) {
	var buffer bytes.Buffer
	want := []note{
		{Text: "one"},
		{Tags: map[string]string{"a": "b"}},
	}
	for _, n := range want {
		if err := wire.Write(&buffer, n); err != nil {
			t.Fatalf("write message: %v", err)
		}
	}
	var got []note
	for {
		var n note
		err := wire.Read(&buffer, &n)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatalf("read message: %v", err)
		}
		got = append(got, n)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("messages differ (-want +got):\n%s", diff)
	}
}

func TestReadErrors(t *testing.T) {
	var whole bytes.Buffer
	if err := wire.Write(&whole, note{Text: "whole"}); err != nil {
		t.Fatalf("write message: %v", err)
	}
	tests := []struct {
		name string
		data string
		want error
	}{
		{
			name: "empty",
			want: io.EOF,
		},
		{
			name: "cut in the length",
			data: "\x00\x00",
			want: io.ErrUnexpectedEOF,
		},
		{
			name: "cut in the message",
			data: whole.String()[:whole.Len()-1],
			want: wire.ErrMalformed,
		},
		{
			name: "too long",
			data: "\xff\xff\xff\xff",
			want: wire.ErrTooLong,
		},
		{
			name: "another type",
			data: "\x00\x00\x00\x01\x01",
			want: wire.ErrMalformed,
		},
		{
			name: "invalid UTF-8",
			data: "\x00\x00\x00\x04\xa1\x01\x61\xff",
			want: wire.ErrMalformed,
		},
		{
			name: "same key twice",
			data: "\x00\x00\x00\x07\xa2\x01\x61a\x01\x61b",
			want: wire.ErrMalformed,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var n note
			err := wire.Read(strings.NewReader(test.data), &n)
			if !errors.Is(err, test.want) {
				t.Errorf("got error %v, want %v", err, test.want)
			}
		})
	}
}

func TestWriteTooLong(t *testing.T) {
	err := wire.Write(io.Discard, note{Text: strings.Repeat("a", wire.MaxMessageSize)})
	if !errors.Is(err, wire.ErrTooLong) {
		t.Errorf("got error %v, want %v", err, wire.ErrTooLong)
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte("\x00\x00\x00\x04\xa1\x01\x61a"))
	f.Add([]byte("\x00\x00\x00\x02\xa1\x01"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		var n note
		_ = wire.Read(bytes.NewReader(data), &n)
	})
}
