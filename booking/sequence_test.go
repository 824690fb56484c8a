package booking

import (
	"context"
	"errors"
	"flag"
	"testing"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/fleet"
	"github.com/foxtailstack/foxtailstack/internal/memstore"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// fault is how the next commit of a scripted table goes.
type fault int

const (
	faultNone fault = iota
	faultOutage
	faultLost // takes effect unanswered
	faultLate // takes effect when the test says so
)

// scripted is a table whose next commit fails as told.
type scripted struct {
	memstore.Store
	next fault
	late [][]foxtailstack.Write
}

func (s *scripted) Commit(ctx context.Context, writes ...foxtailstack.Write) error {
	next := s.next
	s.next = faultNone
	switch next {
	case faultOutage:
		return foxtailstack.ErrUnavailable
	case faultLost:
		_ = s.Store.Commit(ctx, writes...)
		return foxtailstack.ErrUncertain
	case faultLate:
		s.late = append(s.late, writes)
		return foxtailstack.ErrUncertain
	}
	return s.Store.Commit(ctx, writes...)
}

// pendingAttempt is an attempt of a sequence on its way through a sidecar.
type pendingAttempt struct {
	key    Key
	claim  Claim
	number foxtailstack.FencingToken
	ledger *Ledger
}

// machine is the system that generated sequences drive.
type machine struct {
	table    scripted
	recorder Recorder
	sidecars []Responder

	reserved, claimed, running, finished, failed []pendingAttempt

	ran  map[Key]foxtailstack.AttemptID
	told map[Key]bool
}

var (
	sequenceDigest = DigestOf([]byte("body"))
	sequenceKeys   = []Key{sequenceKey("blenders"), sequenceKey("brewers")}
)

func sequenceKey(name foxtailstack.TeamName) Key {
	return Key{
		Team: name,
		Service: fleet.ServiceID{
			Fleet:   "formula",
			Service: "orders",
		},
		Idempotency: "k",
	}
}

func newMachine() *machine {
	m := &machine{
		ran:  map[Key]foxtailstack.AttemptID{},
		told: map[Key]bool{},
	}
	m.recorder = Recorder{Table: &m.table}
	for range 2 {
		m.sidecars = append(m.sidecars, newResponder())
	}
	return m
}

func newResponder() Responder {
	return Responder{
		Incarnation: foxtailstack.NewIncarnation(),
		Ledger:      &Ledger{},
	}
}

// inquire asks the present sidecar at an address, which is its index.
func (m *machine) inquire(ctx context.Context, address foxtailstack.Address, inquiry Inquiry) (Finding, error) {
	inquiry.Now = true
	return m.sidecars[address[0]-'0'].find(ctx, inquiry), nil
}

// take removes a drawn attempt from a list, or skips the action without one.
func take(t *rapid.T, list *[]pendingAttempt) pendingAttempt {
	if len(*list) == 0 {
		t.Skip()
	}
	i := rapid.IntRange(0, len(*list)-1).Draw(t, "attempt")
	p := (*list)[i]
	*list = append((*list)[:i:i], (*list)[i+1:]...)
	return p
}

// book looks a key up as a request does and reserves an attempt if it may run.
func (m *machine) book(t *rapid.T) {
	key := rapid.SampledFrom(sequenceKeys).Draw(t, "key")
	resolver := Resolver{
		Recorder: m.recorder,
		Inquire:  m.inquire,
	}
	resolution, err := resolver.Resolve(context.Background(), key, sequenceDigest)
	if m.told[key] && (err != nil || resolution.Outcome != foxtailstack.Ran) {
		t.Fatalf("answer of %s is lost: %+v, %v", key.Team, resolution, err)
	}
	if err != nil {
		return
	}
	attempt, ran := m.ran[key]
	if resolution.Outcome == foxtailstack.Ran {
		if diff := cmp.Diff(attempt.String(), string(resolution.Answer.Body)); diff != "" {
			t.Fatalf("answer of %s differs (-ran +told):\n%s", key.Team, diff)
		}
		m.told[key] = true
		return
	}
	if ran {
		t.Fatalf("%s ran and is free again", key.Team)
	}
	i := rapid.IntRange(0, len(m.sidecars)-1).Draw(t, "sidecar")
	p := pendingAttempt{
		key: key,
		claim: Claim{
			Attempt:     foxtailstack.NewAttemptID(),
			Address:     foxtailstack.Address('0' + rune(i)),
			Incarnation: m.sidecars[i].Incarnation,
		},
		number: foxtailstack.FencingToken(resolution.Version),
		ledger: m.sidecars[i].Ledger,
	}
	if p.ledger.Reserve(p.claim.Attempt, time.Hour) == nil {
		m.reserved = append(m.reserved, p)
	}
}

// actions returns the steps that a sequence is made of.
func (m *machine) actions() map[string]func(*rapid.T) {
	ctx := context.Background()
	draw := func(t *rapid.T) {
		m.table.next = rapid.SampledFrom([]fault{faultNone, faultNone, faultOutage, faultLost, faultLate}).Draw(t, "fault")
	}
	return map[string]func(*rapid.T){
		"book": m.book,
		"claim": func(t *rapid.T) {
			p := take(t, &m.reserved)
			draw(t)
			number, err := m.recorder.Claim(ctx, p.key, sequenceDigest, p.claim, foxtailstack.Version(p.number))
			p.number = number
			if err == nil {
				m.claimed = append(m.claimed, p)
			} else {
				p.ledger.Drop(p.claim.Attempt)
			}
		},
		"start": func(t *rapid.T) {
			p := take(t, &m.claimed)
			if p.ledger.Start(p.claim.Attempt) != nil {
				return
			}
			if _, again := m.ran[p.key]; again {
				t.Fatalf("%s runs twice", p.key.Team)
			}
			m.ran[p.key] = p.claim.Attempt
			m.running = append(m.running, p)
		},
		"finish": func(t *rapid.T) {
			p := take(t, &m.running)
			_ = p.ledger.Finish(p.claim.Attempt)
			m.finished = append(m.finished, p)
		},
		"fail": func(t *rapid.T) {
			p := take(t, &m.running)
			_ = p.ledger.Fail(p.claim.Attempt)
			m.failed = append(m.failed, p)
		},
		"record": func(t *rapid.T) {
			p := take(t, &m.finished)
			draw(t)
			err := m.recorder.Finish(ctx, p.key, sequenceDigest, p.claim, p.number,
				Answer{Body: []byte(p.claim.Attempt.String())})
			m.settle(p, err, &m.finished)
		},
		"lose": func(t *rapid.T) {
			p := take(t, &m.failed)
			draw(t)
			m.settle(p, m.recorder.Lose(ctx, p.key, sequenceDigest, p.claim, p.number), &m.failed)
		},
		"lapse": func(t *rapid.T) {
			p := take(t, &m.claimed)
			if e := p.ledger.attempts[p.claim.Attempt]; e != nil && e.stage == reserved {
				e.expires = time.Time{}
			}
			m.claimed = append(m.claimed, p)
		},
		"late": func(t *rapid.T) {
			if len(m.table.late) == 0 {
				t.Skip()
			}
			_ = m.table.Store.Commit(ctx, m.table.late[0]...)
			m.table.late = m.table.late[1:]
		},
		"restart": func(t *rapid.T) {
			i := rapid.IntRange(0, len(m.sidecars)-1).Draw(t, "sidecar")
			former := m.sidecars[i].Ledger
			m.sidecars[i] = newResponder()
			for _, list := range []*[]pendingAttempt{&m.reserved, &m.claimed, &m.running, &m.failed} {
				*list = without(*list, former)
			}
		},
	}
}

// settle forgets an attempt whose outcome is recorded, or keeps it for later.
func (m *machine) settle(p pendingAttempt, err error, list *[]pendingAttempt) {
	if err != nil && !errors.Is(err, ErrClaimed) {
		*list = append(*list, p)
		return
	}
	_ = p.ledger.Record(p.claim.Attempt)
}

// without returns the attempts of a list that are not in a ledger.
func without(list []pendingAttempt, ledger *Ledger) []pendingAttempt {
	var kept []pendingAttempt
	for _, p := range list {
		if p.ledger != ledger {
			kept = append(kept, p)
		}
	}
	return kept
}

// TestSequences drives records and ledgers through generated sequences of steps
// and faults. A sidecar that is replaced while it records an answer goes on as
// one that was paused and not dead would.
func TestSequences(t *testing.T) {
	for name, value := range map[string]string{
		"rapid.seed":       "1",
		"rapid.checks":     "1500",
		"rapid.steps":      "60",
		"rapid.nofailfile": "true",
	} {
		err := flag.Set(name, value)
		if err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(t *rapid.T) { t.Repeat(newMachine().actions()) })
}
