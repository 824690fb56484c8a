package upstream

import (
	"testing"

	"github.com/foxtailstack/foxtailstack/wire"
	"github.com/google/go-cmp/cmp"
)

// Encoding a decoded frame, decoding it and encoding it again must give the same bytes.
func FuzzFrame(f *testing.F) {
	seeds := []Frame{
		{Open: &Open{Body: []byte("body")}},
		{
			Data:        []byte("data"),
			LastEventID: 7,
		},
		{End: &End{Length: 4}},
		{Refusal: &Refusal{Reason: ReasonFull}},
	}
	for _, seed := range seeds {
		data, err := wire.Marshal(seed)
		if err != nil {
			f.Fatalf("encode a seed: %v", err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var frame, again Frame
		if wire.Unmarshal(data, &frame) != nil {
			return
		}
		encoded, err := wire.Marshal(frame)
		if err != nil {
			t.Fatalf("encode the decoded frame: %v", err)
		}
		err = wire.Unmarshal(encoded, &again)
		if err != nil {
			t.Fatalf("decode the encoded frame: %v", err)
		}
		second, err := wire.Marshal(again)
		if err != nil {
			t.Fatalf("encode the frame again: %v", err)
		}
		if diff := cmp.Diff(encoded, second); diff != "" {
			t.Errorf("encodings (-first +second):\n%s", diff)
		}
	})
}
