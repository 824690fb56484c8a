package booking

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/google/go-cmp/cmp"
)

// TestRecorder checks what each order of writes leaves in a record. A line of the
// script is such an order; a step with "lost" in front takes effect unanswered.
func TestRecorder(t *testing.T) {
	ctx := context.Background()
	key := sequenceKey("blenders")
	claim := Claim{Attempt: foxtailstack.AttemptID{1}}
	other := Claim{Attempt: foxtailstack.AttemptID{2}}
	settle := func(r Recorder, outcome foxtailstack.Outcome) error {
		return r.Settle(ctx, key, Settlement{
			Attempt: claim.Attempt,
			Outcome: outcome,
		})
	}
	take := func(r Recorder, claim Claim, expect foxtailstack.Version) error {
		_, err := r.Claim(ctx, key, sequenceDigest, claim, expect)
		return err
	}
	steps := map[string]func(Recorder) error{
		"claim":  func(r Recorder) error { return take(r, claim, 0) },
		"other":  func(r Recorder) error { return take(r, other, 0) },
		"again":  func(r Recorder) error { return take(r, other, 3) },
		"finish": func(r Recorder) error { return r.Finish(ctx, key, sequenceDigest, claim, 1, Answer{Status: 200}) },
		"lose":   func(r Recorder) error { return r.Lose(ctx, key, sequenceDigest, claim, 1) },
		"ran":    func(r Recorder) error { return settle(r, foxtailstack.Ran) },
		"notrun": func(r Recorder) error { return settle(r, foxtailstack.NotRun) },
	}
	want, err := os.ReadFile("testdata/records.golden")
	if err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	for line := range strings.Lines(string(want)) {
		order, _, _ := strings.Cut(line, ":")
		table := &scripted{}
		recorder := Recorder{Table: table}
		for word := range strings.FieldsSeq(order) {
			if word == "lost" {
				table.next = faultLost
				continue
			}
			err = steps[word](recorder)
		}
		record, _, lookupErr := recorder.Lookup(ctx, key)
		listed, _, listErr := recorder.List(ctx, "", 10)
		scanned, _, scanErr := recorder.Scan(ctx, key, "", 10)
		if joined := errors.Join(lookupErr, listErr, scanErr); joined != nil {
			t.Fatal(joined)
		}
		fmt.Fprintf(&got, "%s: %s, listed %d, scanned %d, last error: %v\n", order, record.State, len(listed), len(scanned), err)
	}
	if diff := cmp.Diff(string(want), got.String()); diff != "" {
		t.Errorf("records differ (-want +got):\n%s", diff)
	}
}

// TestLongAnswer checks that a repeat never gets a short answer.
func TestLongAnswer(t *testing.T) {
	ctx := context.Background()
	tests := []struct {
		name    string
		length  int
		objects bool
		want    State
	}{
		{
			name:   "in the row",
			length: maxInline,
			want:   Done,
		},
		{
			name:    "in an object",
			length:  maxInline + 1,
			objects: true,
			want:    Done,
		},
		{
			name:   "without an object store",
			length: maxInline + 1,
			want:   Lost,
		},
		{
			name:    "too long for an object",
			length:  MaxAnswer + 1,
			objects: true,
			want:    Lost,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := &scripted{}
				ledger := &Ledger{}
				flusher := &Flusher{
					Recorder: Recorder{Table: table},
					Ledger:   ledger,
				}
				if test.objects {
					flusher.Recorder.Objects = table.Objects()
				}
				result := Result{
					Key:    sequenceKey("blenders"),
					Digest: sequenceDigest,
					Claim:  Claim{Attempt: foxtailstack.NewAttemptID()},
					Number: 1,
					Answer: Answer{Body: bytes.Repeat([]byte("a"), test.length)},
				}
				err := errors.Join(
					ledger.Reserve(result.Claim.Attempt, time.Minute),
					ledger.Start(result.Claim.Attempt),
				)
				if err != nil {
					t.Fatal(err)
				}
				_, err = flusher.Recorder.Claim(ctx, result.Key, result.Digest, result.Claim, 0)
				if err != nil {
					t.Fatal(err)
				}
				table.next = faultOutage // the first write fails and is repeated
				written := flusher.Flush(result)
				left := flusher.Wait(ctx)
				if err = <-written; (err == nil) != (test.want == Done) || len(left) > 0 {
					t.Errorf("flush: error %v, left %v", err, left)
				}
				time.Sleep(100 * 365 * 24 * time.Hour) // records have no end
				record, _, err := flusher.Recorder.Lookup(ctx, result.Key)
				if err != nil || record.State != test.want {
					t.Fatalf("got %s and error %v, want %s", record.State, err, test.want)
				}
				got, err := flusher.Recorder.Answer(ctx, record)
				if err != nil {
					t.Fatal(err)
				}
				if test.want == Done && !bytes.Equal(result.Answer.Body, got.Body) {
					t.Errorf("got %d bytes, want %d", len(got.Body), test.length)
				}
				if n := ledger.Len(); n != 0 {
					t.Errorf("ledger still holds %d attempts", n)
				}
			})
		})
	}
}

// TestReservation checks that a reservation that has lapsed cannot start.
func TestReservation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ledger Ledger
		attempt := foxtailstack.NewAttemptID()
		err := ledger.Reserve(attempt, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second + 1)
		if err = ledger.Start(attempt); !errors.Is(err, ErrBarred) {
			t.Errorf("Start after the reservation: got %v", err)
		}
		ledger.Drop(attempt)
		if n := ledger.Len(); n != 0 {
			t.Errorf("ledger still holds %d attempts", n)
		}
	})
}
