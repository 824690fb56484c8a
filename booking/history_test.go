package booking_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/booking"
	"github.com/foxtailstack/foxtailstack/entry"
	"github.com/google/go-cmp/cmp"
)

// output is what a caller was told, or what an engine has run.
type output struct {
	kind string
	body string
}

// The kinds of outputs besides those of an outcome.
const (
	kindBlind = "blind" // notrun of this request, the record was not reached
	kindLost  = "lost"  // unknown for good
	kindRun   = "run"   // an engine began the booking
)

// keyState is the state of one key in the model.
type keyState struct {
	ran  string // the attempt that ran
	told bool   // a caller was given the answer
}

// model is a key that runs at most once and whose answer, once told, stays.
var model = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[any][]porcupine.Operation{}
		for _, op := range history {
			byKey[op.Input] = append(byKey[op.Input], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return keyState{} },
	Step: func(state, _, out any) (bool, any) {
		s, o := state.(keyState), out.(output)
		switch o.kind {
		case kindRun:
			return s.ran == "", keyState{ran: o.body}
		case foxtailstack.Ran.String():
			s.told = true
			return s.ran != "" && s.ran == o.body, s
		case foxtailstack.NotRun.String():
			return s.ran == "", s
		case kindLost:
			return !s.told, s
		}
		return true, s
	},
}

// history collects the operations of a world.
type history struct {
	*world
	mu       sync.Mutex
	ops      []porcupine.Operation
	refused  map[string]string
	outcomes map[string]int
}

func newHistory(t *testing.T) *history {
	t.Helper()
	var clock atomic.Int64
	return &history{
		world:    newWorld(t, func() int64 { return clock.Add(1) }, "blenders", "brewers"),
		refused:  map[string]string{},
		outcomes: map[string]int{},
	}
}

// book sends one request for a key through an entry and notes what was told.
func (h *history) book(through *host, key, body string) output {
	name, idempotency, _ := strings.Cut(key, "/")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer context.AfterFunc(through.dead, cancel)()
	request := httptest.NewRequestWithContext(ctx, http.MethodPost, "/v1/fleets/formula/orders", strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+name)
	request.Header.Set(entry.HeaderIdempotency, idempotency)
	request.Header.Set(entry.HeaderDeadline, "8s")
	mux, server := h.entryServer(through)
	recorder := httptest.NewRecorder()
	call := h.seq()
	mux.ServeHTTP(recorder, request)
	out := output{kind: recorder.Header().Get(entry.HeaderOutcome)}
	text := recorder.Body.String()
	switch {
	case through.dead.Err() != nil:
		out.kind = foxtailstack.Unknown.String()
	case recorder.Code == http.StatusOK:
		out.body = text
	case out.kind == foxtailstack.NotRun.String() && strings.Contains(text, booking.ErrUnavailable.Error()):
		out.kind = kindBlind
	case strings.Contains(text, booking.ErrLost.Error()):
		out.kind = kindLost
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outcomes[out.kind]++
	if out.kind == kindBlind || out.kind == foxtailstack.NotRun.String() {
		for _, event := range server.Ring.Events() {
			if event.Kind == entry.EventAttempt {
				h.refused[event.Attempt] = key
			}
		}
	}
	h.ops = append(h.ops, porcupine.Operation{
		Input:  key,
		Output: out,
		Call:   call,
		Return: h.seq(),
	})
	return out
}

// disturb makes processes and the table fail until ctx ends.
func (h *history) disturb(ctx context.Context) {
	members := h.replica.Snapshot().Upstreams[orders]
	for ctx.Err() == nil {
		time.Sleep(rand.N(2 * time.Second))
		for _, member := range members {
			h.world.mu.Lock()
			s := h.sidecars[member.Address]
			h.world.mu.Unlock()
			switch rand.IntN(12) {
			case 0:
				h.restart(member)
			case 1:
				s.pause(rand.N(9 * time.Second))
			}
		}
		i := rand.IntN(len(h.entries))
		switch rand.IntN(6) {
		case 0:
			h.outage.Store(true)
			time.Sleep(rand.N(4 * time.Second))
			h.outage.Store(false)
		case 1:
			h.entryAt(i).die()
			h.world.mu.Lock()
			h.entries[i] = newHost()
			h.world.mu.Unlock()
		case 2:
			h.entryAt(i).pause(rand.N(7 * time.Second))
		}
	}
}

// entryAt returns the present entry of an index.
func (h *history) entryAt(i int) *host {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	return h.entries[i]
}

// check checks the whole history.
func (h *history) check(t *testing.T) {
	t.Helper()
	for _, r := range h.runs {
		key := strings.Replace(r.key, "/formula/orders", "", 1)
		if refusedKey := h.refused[r.attempt]; refusedKey != "" {
			t.Errorf("attempt %s of %s ran although its request was answered notrun", r.attempt, refusedKey)
		}
		h.ops = append(h.ops, porcupine.Operation{
			Input: key,
			Output: output{
				kind: kindRun,
				body: r.attempt,
			},
			Call:   r.seq,
			Return: r.seq,
		})
	}
	if !porcupine.CheckOperations(model, h.ops) {
		t.Error("history allows a double run, a lost record or a false refusal")
	}
}

// TestHistory sends bookings through failing entries and sidecars. Several
// requests use one key at the same time.
func TestHistory(t *testing.T) {
	const (
		requests = 12000
		callers  = 40
	)
	synctest.Test(t, func(t *testing.T) {
		h := newHistory(t)
		h.chaos.Store(10)
		ctx, cancel := context.WithCancel(t.Context())
		var disturbing, calling sync.WaitGroup
		disturbing.Go(func() { h.disturb(ctx) })
		keys := sync.Map{}
		for c := range callers {
			calling.Go(func() {
				for i := range requests / callers {
					n := i/2 + rand.IntN(4)
					key := fmt.Sprintf("%s/k%d-%d", []string{"blenders", "brewers"}[rand.IntN(2)], n, c%4)
					keys.Store(key, true)
					h.book(h.entryAt(rand.IntN(3)), key, "body of k")
					time.Sleep(rand.N(200 * time.Millisecond))
				}
			})
		}
		calling.Wait()
		cancel()
		disturbing.Wait()
		h.chaos.Store(0)
		time.Sleep(time.Minute)
		// With everything well again no outcome is open.
		keys.Range(func(key, _ any) bool {
			out := h.book(h.entryAt(0), key.(string), "body of k")
			if out.kind != foxtailstack.Ran.String() && out.kind != kindLost {
				t.Errorf("%s is still %+v", key, out)
			}
			return true
		})
		for _, s := range h.sidecars {
			if n := s.responder.Ledger.Len(); n != 0 {
				t.Errorf("ledger still holds %d attempts", n)
			}
			s.die()
		}
		time.Sleep(time.Minute)
		h.check(t)
		t.Logf("%d requests: %v, %d runs", len(h.ops), h.outcomes, len(h.runs))
	})
}

// TestJoin sends one key through all entries at the same time, for two teams.
// All requests of a team get the one answer; another body is refused.
func TestJoin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHistory(t)
		h.delay = 400 * time.Millisecond
		var calling sync.WaitGroup
		for i := range 30 {
			key := []string{"blenders/k", "brewers/k"}[i%2]
			calling.Go(func() { h.book(h.entryAt(i%3), key, "body") })
		}
		calling.Wait()
		want := map[string]int{foxtailstack.Ran.String(): 30}
		if diff := cmp.Diff(want, h.outcomes); diff != "" {
			t.Errorf("outcomes differ (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(2, len(h.runs)); diff != "" {
			t.Errorf("runs differ (-want +got):\n%s", diff)
		}
		out := h.book(h.entryAt(0), "blenders/k", "another body")
		if out.kind != foxtailstack.NotRun.String() || len(h.runs) != 2 {
			t.Errorf("another body: got %+v and %d runs", out, len(h.runs))
		}
		time.Sleep(time.Minute)
	})
}

// TestCost checks what a booking and its repeat cost the table.
func TestCost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHistory(t)
		h.book(h.entryAt(0), "blenders/k", "body")
		time.Sleep(time.Minute)
		reads, writes := h.count()
		h.book(h.entryAt(0), "blenders/k", "body")
		again, rewritten := h.count()
		got := fmt.Sprintf("booking: %d read, %d written; repeat: %d read, %d written",
			reads, writes, again-reads, rewritten-writes)
		if diff := cmp.Diff("booking: 1 read, 2 written; repeat: 1 read, 0 written", got); diff != "" {
			t.Errorf("rows differ (-want +got):\n%s", diff)
		}
	})
}
