package booking

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/google/go-cmp/cmp"
)

// TestRecorder checks what each order of writes leaves in a record.
func TestRecorder(t *testing.T) {
	ctx := context.Background()
	key := sequenceKey("blenders")
	claim := Claim{Attempt: foxtailstack.AttemptID{1}}
	other := Claim{Attempt: foxtailstack.AttemptID{2}}
	answer := Answer{Body: []byte("answer")}
	take := func(r Recorder, c Claim, expect foxtailstack.Version) error {
		_, err := r.Claim(ctx, key, sequenceDigest, c, expect)
		return err
	}
	finish := func(r Recorder) error { return r.Finish(ctx, key, sequenceDigest, claim, 1, answer) }
	lose := func(r Recorder) error { return r.Lose(ctx, key, sequenceDigest, claim, 1) }
	settle := func(outcome foxtailstack.Outcome) func(Recorder) error {
		return func(r Recorder) error {
			return r.Settle(ctx, key, Settlement{
				Attempt: claim.Attempt,
				Outcome: outcome,
				Word:    "seen in the ledger",
			})
		}
	}
	tests := []struct {
		name  string
		steps []func(Recorder) error
		fault fault // of the last step
		err   error
		want  State
	}{
		{
			name:  "claim whose answer is lost",
			steps: []func(Recorder) error{func(r Recorder) error { return take(r, claim, 0) }},
			fault: faultLost,
			want:  Claimed,
		},
		{
			name: "second claim",
			steps: []func(Recorder) error{
				func(r Recorder) error { return take(r, other, 0) },
				func(r Recorder) error { return take(r, claim, 0) },
			},
			err:  ErrClaimed,
			want: Claimed,
		},
		{
			name: "claim read back as lost",
			steps: []func(Recorder) error{
				func(r Recorder) error { return take(r, claim, 0) },
				lose,
				func(r Recorder) error { return take(r, claim, 0) },
			},
			err:  ErrClaimed,
			want: Lost,
		},
		{
			name:  "finish whose answer is lost",
			steps: []func(Recorder) error{func(r Recorder) error { return take(r, claim, 0) }, finish},
			fault: faultLost,
			want:  Done,
		},
		{
			name:  "finish twice",
			steps: []func(Recorder) error{func(r Recorder) error { return take(r, claim, 0) }, finish, finish},
			want:  Done,
		},
		{
			name:  "finish after the outcome was marked as lost",
			steps: []func(Recorder) error{func(r Recorder) error { return take(r, claim, 0) }, lose, finish},
			want:  Done,
		},
		{
			name:  "lose after the answer was recorded",
			steps: []func(Recorder) error{func(r Recorder) error { return take(r, claim, 0) }, finish, lose},
			want:  Done,
		},
		{
			name: "finish after an operator has settled",
			steps: []func(Recorder) error{
				func(r Recorder) error { return take(r, claim, 0) }, lose, settle(foxtailstack.NotRun), finish,
			},
			err:  ErrClaimed,
			want: Freed,
		},
		{
			name: "settle twice",
			steps: []func(Recorder) error{
				func(r Recorder) error { return take(r, claim, 0) }, settle(foxtailstack.Ran), settle(foxtailstack.Ran),
			},
			want: Done,
		},
		{
			name: "settle what is known",
			steps: []func(Recorder) error{
				func(r Recorder) error { return take(r, claim, 0) }, finish, settle(foxtailstack.NotRun),
			},
			err:  ErrSettled,
			want: Done,
		},
		{
			name: "claim after an operator has freed the key",
			steps: []func(Recorder) error{
				func(r Recorder) error { return take(r, claim, 0) }, lose, settle(foxtailstack.NotRun),
				func(r Recorder) error { return take(r, other, 3) },
			},
			want: Claimed,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := &scripted{}
			recorder := Recorder{Table: table}
			var err error
			for i, step := range test.steps {
				if i == len(test.steps)-1 {
					table.next = test.fault
				}
				err = step(recorder)
			}
			if !errors.Is(err, test.err) {
				t.Errorf("last step: got error %v, want %v", err, test.err)
			}
			record, _, err := recorder.Lookup(ctx, key)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(test.want.String(), record.State.String()); diff != "" {
				t.Errorf("state differs (-want +got):\n%s", diff)
			}
			listed, _, err := recorder.List(ctx, "", 10)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(test.want == Lost, len(listed) == 1); diff != "" {
				t.Errorf("place in the list differs (-want +got):\n%s", diff)
			}
			scanned, _, err := recorder.Scan(ctx, key, "", 10)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(test.want == Lost || test.want == Claimed, len(scanned) == 1); diff != "" {
				t.Errorf("place in the scan differs (-want +got):\n%s", diff)
			}
		})
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
