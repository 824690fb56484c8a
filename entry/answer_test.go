package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/fleet"
	"github.com/foxtailstack/foxtailstack/platform/standin"
	"github.com/foxtailstack/foxtailstack/upstream"
	"github.com/foxtailstack/foxtailstack/wire"
	"github.com/google/go-cmp/cmp"
	"github.com/zeebo/xxh3"
)

// Thousands of callers send requests to engines that spoil almost a third of the
// answers, and some callers disconnect early. An answer that looks complete must be
// the complete answer to the caller's own request.
func TestCallersReceiveOwnAnswers(t *testing.T) {
	const callers, concurrency = 3000, 100
	s := newSystem(t, fleet.Policy{
		Idempotent: true,
		Attempts:   5,
		Budget:     1,
	}, concurrency, concurrency, concurrency, concurrency)
	for _, engine := range s.engines {
		engine.Set(standin.EngineFaults{
			Share:   0.3,
			Delay:   5 * time.Millisecond,
			Crossed: true,
			Mixed:   true,
			Twice:   true,
			Cut:     3,
			Undone:  true,
			Short:   true,
		})
	}
	var complete, failed atomic.Int64
	var wg sync.WaitGroup
	slots := make(chan struct{}, concurrency)
	for i := range callers {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			prompt := standin.Prompt{
				Text:   fmt.Sprintf("caller %d", i),
				Tokens: rand.IntN(10),
			}
			stream := i%2 == 0
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if i%10 == 0 {
				time.AfterFunc(rand.N(5*time.Millisecond), cancel)
			}
			got := s.send(ctx, prompt, stream)
			if got.err != nil || got.status != 200 {
				failed.Add(1)
				return
			}
			complete.Add(1)
			if diff := cmp.Diff(textsFor(prompt, stream), got.texts); diff != "" || got.outcome != "ran" {
				t.Errorf("caller %d: outcome %q, answer (-want +got):\n%s", i, got.outcome, diff)
			}
		})
	}
	wg.Wait()
	t.Logf("%d complete answers, %d failed or disconnected", complete.Load(), failed.Load())
	if complete.Load() < callers/2 {
		t.Errorf("got %d complete answers to %d requests, expected at least half", complete.Load(), callers)
	}
}

// An answer that the engine has corrupted or truncated is an error with the outcome
// unknown and never looks complete.
func TestCorruptedAnswers(t *testing.T) {
	tests := []struct {
		name   string
		faults standin.EngineFaults
		stream bool
	}{
		{
			name:   "crossed",
			faults: standin.EngineFaults{Crossed: true},
			stream: false,
		},
		{
			name:   "short",
			faults: standin.EngineFaults{Short: true},
			stream: false,
		},
		{
			name:   "crossed stream",
			faults: standin.EngineFaults{Crossed: true},
			stream: true,
		},
		{
			name:   "mixed stream",
			faults: standin.EngineFaults{Mixed: true},
			stream: true,
		},
		{
			name:   "event twice",
			faults: standin.EngineFaults{Twice: true},
			stream: true,
		},
		{
			name:   "cut stream",
			faults: standin.EngineFaults{Cut: 2},
			stream: true,
		},
		{
			name:   "stream without its last event",
			faults: standin.EngineFaults{Undone: true},
			stream: true,
		},
	}
	s := newSystem(t, fleet.Policy{
		Idempotent: true,
		Attempts:   1,
	}, 1)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s.engines[0].Set(test.faults)
			got := s.send(t.Context(), standin.Prompt{
				Text:   test.name,
				Tokens: 4,
			}, test.stream)
			if got.err == nil && (got.status != 502 || got.outcome != "unknown" || !got.retry) {
				t.Errorf("got %+v, expected a failed read or status 502, outcome unknown and Retry-After", got)
			}
		})
	}
}

// If each engine breaks a stream off after three events, the stream resumes on
// another upstream and the caller receives each event exactly once.
func TestStreamResumes(t *testing.T) {
	s := newSystem(t, fleet.Policy{
		Idempotent: true,
		Attempts:   5,
	}, 1, 1, 1)
	for _, engine := range s.engines {
		engine.Set(standin.EngineFaults{Cut: 3})
	}
	prompt := standin.Prompt{
		Text:   "draft",
		Tokens: 14,
	}
	got := s.send(t.Context(), prompt, true)
	want := answer{
		status:  200,
		outcome: "ran",
		texts:   textsFor(prompt, true),
	}
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(answer{})); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
}

// A refused attempt does not prove that the request has not run if an earlier
// attempt may have run.
func TestRefusalAfterFailureIsUnknown(t *testing.T) {
	s := newSystem(t, fleet.Policy{Idempotent: true}, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0)
	s.chooser.ordered = true
	s.engines[0].Set(standin.EngineFaults{Crossed: true})
	got := s.send(t.Context(), standin.Prompt{Text: "price"}, false)
	want := answer{
		status:  502,
		outcome: "unknown",
		retry:   true,
	}
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(answer{})); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
}

// Frames that do not form one complete answer leave the outcome unknown. Only a
// refusal before the answer begins gives the outcome notrun.
func TestFrames(t *testing.T) {
	head := upstream.Frame{Head: &upstream.Head{Status: 200}}
	data := upstream.Frame{Data: []byte("x")}
	end := upstream.Frame{End: &upstream.End{
		Length:   1,
		Checksum: xxh3.HashString("x"),
	}}
	tests := []struct {
		name   string
		frames []upstream.Frame
		want   string
	}{
		{
			name:   "complete",
			frames: []upstream.Frame{head, data, end},
			want:   "ran",
		},
		{
			name:   "refusal",
			frames: []upstream.Frame{{Refusal: &upstream.Refusal{Reason: upstream.ReasonExpired}}},
			want:   "notrun",
		},
		{
			name:   "nothing",
			frames: nil,
			want:   "unknown",
		},
		{
			name:   "failure",
			frames: []upstream.Frame{{Failure: &upstream.Failure{}}},
			want:   "unknown",
		},
		{
			name:   "data before head",
			frames: []upstream.Frame{data, head, end},
			want:   "unknown",
		},
		{
			name:   "two heads",
			frames: []upstream.Frame{head, head, data, end},
			want:   "unknown",
		},
		{
			name:   "no end",
			frames: []upstream.Frame{head, data},
			want:   "unknown",
		},
		{
			name:   "data missing",
			frames: []upstream.Frame{head, end},
			want:   "unknown",
		},
		{
			name:   "data twice",
			frames: []upstream.Frame{head, data, data, end},
			want:   "unknown",
		},
		{
			name:   "data changed",
			frames: []upstream.Frame{head, {Data: []byte("y")}, end},
			want:   "unknown",
		},
		{
			name:   "refusal after head",
			frames: []upstream.Frame{head, {Refusal: &upstream.Refusal{}}},
			want:   "unknown",
		},
		{
			name:   "reservation",
			frames: []upstream.Frame{{Reserved: &upstream.Reserved{}}, head, data, end},
			want:   "unknown",
		},
		{
			name: "end of another",
			frames: []upstream.Frame{head, data, {
				Attempt: [16]byte{1},
				End:     end.End,
			}},
			want: "unknown",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			config := newConfig(t)
			mux := &wire.Mux{}
			mux.Handle(upstream.StreamAttempt, func(_ context.Context, stream *wire.Stream) {
				var open upstream.Frame
				_ = stream.Receive(&open)
				for _, frame := range test.frames {
					if frame.Attempt == ([16]byte{}) {
						frame.Attempt = open.Attempt
					}
					_ = stream.Send(frame)
				}
			})
			s := &system{}
			s.start(t, fleet.Policy{
				Idempotent: true,
				Attempts:   1,
			}, config, []foxtailstack.Address{serve(t, mux, config)})
			got := s.send(t.Context(), standin.Prompt{}, false)
			if diff := cmp.Diff(test.want, got.outcome); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
		})
	}
}

// If a caller disconnects, its call to the engine is canceled. The call would
// otherwise run for a minute.
func TestCallerGoneCancelsEngine(t *testing.T) {
	s := newSystem(t, fleet.Policy{Idempotent: true}, 1)
	running := func() int {
		w := httptest.NewRecorder()
		s.engines[0].ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/load", nil))
		var load foxtailstack.EngineLoad
		err := json.Unmarshal(w.Body.Bytes(), &load)
		if err != nil {
			t.Fatalf("decode the load of the engine: %v", err)
		}
		return load.Running
	}
	await := func(want int) {
		for range 1000 {
			if running() == want {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Errorf("%d calls run, expected %d", running(), want)
	}
	for _, stream := range []bool{true, false} {
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan answer, 1)
		go func() {
			done <- s.send(ctx, standin.Prompt{
				Text:   "draft",
				Tokens: 600,
				Pace:   100 * time.Millisecond,
			}, stream)
		}()
		await(1)
		cancel()
		await(0)
		<-done
	}
}
