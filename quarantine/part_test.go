package quarantine

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/google/go-cmp/cmp"
)

// standing is what a List says about a request.
type standing string

const (
	free    standing = "free"
	suspect standing = "suspect"
	refused standing = "refused"
)

// subjectOf returns a request of its own with the named parts, separated by spaces.
func subjectOf(names string) Subject {
	s := Subject{Request: FingerprintOf([]byte("request"), []byte(names))}
	for name := range strings.FieldsSeq(names) {
		s.Parts = append(s.Parts, FingerprintOf([]byte(name)))
	}
	return s
}

// crashed returns a step in which an upstream crashes under parts as one kind.
func crashed(id CrashID, kind Kind, names string) func(l *List) {
	return func(l *List) {
		for _, part := range subjectOf(names).Parts {
			l.Add(Crash{
				Fingerprint: part,
				Kind:        kind,
				ID:          id,
				Upstream:    foxtailstack.UpstreamName(id),
			})
		}
	}
}

// begun returns a step in which an answer to a prompt begins.
func begun(names string) func(l *List) {
	return func(l *List) { l.Begun(subjectOf(names)) }
}

// wait returns a step in which time passes.
func wait(d time.Duration) func(l *List) {
	return func(*List) { time.Sleep(d) }
}

// standingOf returns what a List says about a new request with the named parts.
func standingOf(t *testing.T, l *List, names string) standing {
	t.Helper()
	s := subjectOf(names)
	s.Request = FingerprintOf([]byte("another request"), []byte(names))
	admission, err := l.Admit(t.Context(), s)
	if errors.Is(err, ErrQuarantined) {
		return refused
	}
	if err != nil {
		t.Fatal("admit:", err)
	}
	admission.Release()
	if admission.Suspect {
		return suspect
	}
	return free
}

// Guards against a part that crashes one upstream after the other, and against sound parts
// that are refused or held back because they were beside it.
func TestParts(t *testing.T) {
	tests := map[string]struct {
		steps []func(l *List)
		want  map[string]standing
	}{
		"crash before the answer started": {
			steps: []func(l *List){begun("a"), crashed("v@1", KindPart, "a bad")},
			want: map[string]standing{
				"a":     free,
				"bad":   suspect,
				"a bad": suspect,
				"b":     free,
			},
		},
		"crash as the answer started": {
			steps: []func(l *List){begun("a"), crashed("v@1", KindStarted, "a bad"), crashed("v@1", KindPart, "b")},
			want: map[string]standing{
				"a":     free,
				"a bad": refused,
				"b":     free,
			},
		},
		"crash as the answer started, hold over": {
			steps: []func(l *List){crashed("v@1", KindStarted, "bad"), wait(holdTime)},
			want:  map[string]standing{"bad": suspect},
		},
		"crash as two answers started": {
			steps: []func(l *List){crashed("v@1", KindStarted, "bad"), crashed("v@1", KindStarted, "b")},
			want: map[string]standing{
				"bad":   suspect,
				"b":     suspect,
				"b bad": refused,
			},
		},
		"crash as the answer started, then other answers begin": {
			steps: []func(l *List){crashed("v@1", KindStarted, "a bad"), begun("a")},
			want: map[string]standing{
				"a":   free,
				"bad": refused,
			},
		},
		"crashes, none in a trial": {
			steps: []func(l *List){crashed("v@1", KindPart, "bad b"), crashed("w@1", KindPart, "bad b"), crashed("x@1", KindPart, "bad b")},
			want: map[string]standing{
				"bad": suspect,
				"b":   suspect,
			},
		},
		"crash in a trial": {
			steps: []func(l *List){crashed("v@1", KindPart, "bad b"), crashed("w@1", KindTrial, "bad"), crashed("w@1", KindPart, "c")},
			want: map[string]standing{
				"bad":   refused,
				"a bad": refused,
				"b":     free,
				"c":     free,
			},
		},
		"crash in a trial, before expiry": {
			steps: []func(l *List){crashed("v@1", KindTrial, "bad"), wait(crashTTL - 1)},
			want:  map[string]standing{"bad": refused},
		},
		"crash in a trial, expired": {
			steps: []func(l *List){crashed("v@1", KindTrial, "bad"), wait(crashTTL)},
			want:  map[string]standing{"bad": free},
		},
		"crash in a trial, then an answer that had been sent before": {
			steps: []func(l *List){crashed("v@1", KindTrial, "bad"), begun("bad")},
			want:  map[string]standing{"bad": refused},
		},
		"crash in a trial of two parts": {
			steps: []func(l *List){crashed("v@1", KindTrial, "a bad")},
			want: map[string]standing{
				"a bad":   refused,
				"a b bad": refused,
				"a":       suspect,
				"bad":     suspect,
			},
		},
		"crash in a trial of two parts, one answered later": {
			steps: []func(l *List){crashed("v@1", KindTrial, "a bad"), begun("a")},
			want: map[string]standing{
				"a":   free,
				"bad": refused,
			},
		},
		"trial beside a request whose answer started": {
			steps: []func(l *List){crashed("v@1", KindPart, "b"), crashed("w@1", KindTrial, "b"), crashed("w@1", KindStarted, "bad")},
			want: map[string]standing{
				"b":   suspect, // for the first crash
				"bad": refused,
			},
		},
		"kinds of two entries": {
			steps: []func(l *List){crashed("v@1", KindTrial, "bad"), crashed("v@1", KindStarted, "bad"), wait(holdTime)},
			want:  map[string]standing{"bad": refused},
		},
		"answered shortly before the crash": {
			steps: []func(l *List){begun("a"), wait(begunTTL - 1), crashed("v@1", KindPart, "a")},
			want:  map[string]standing{"a": free},
		},
		"answered long before the crash": {
			steps: []func(l *List){begun("a"), wait(begunTTL), crashed("v@1", KindPart, "a")},
			want:  map[string]standing{"a": suspect},
		},
		"answered after the crash": {
			steps: []func(l *List){crashed("v@1", KindPart, "a b"), begun("a c")},
			want: map[string]standing{
				"a": free,
				"b": suspect,
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var l List
				for _, step := range test.steps {
					step(&l)
				}
				got := make(map[string]standing)
				for names := range test.want {
					got[names] = standingOf(t, &l, names)
				}
				if diff := cmp.Diff(test.want, got); diff != "" {
					t.Errorf("requests by their parts (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// Guards against a part that is taken for the cause of crashes though the same request was
// sent twice: then the request as a whole may be the cause.
func TestRepeatedRequestTestsNoParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var l List
		s := subjectOf("a")
		a := Attempt{Subject: s}
		addAll(&l, a.crashes(firstStart))
		again, err := l.Admit(t.Context(), s)
		if err != nil {
			t.Fatal("admit the same request:", err)
		}
		again.Release()
		another, err := l.Admit(t.Context(), Subject{Parts: s.Parts})
		if err != nil {
			t.Fatal("admit another request:", err)
		}
		another.Release()
		if diff := cmp.Diff([][]Fingerprint{nil, s.Parts}, [][]Fingerprint{again.Trial, another.Trial}); diff != "" {
			t.Errorf("parts tested by the same and by another request (-want +got):\n%s", diff)
		}
	})
}

// Guards against a request that crashes upstreams as a whole and goes on to do so, since a
// part that nobody else sends is taken for the cause, and against that part being refused
// for longer than the hold.
func TestRepeatedRequestIsTheCause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var l List
		s := subjectOf("rare")
		a := Attempt{
			Subject:  s,
			Progress: Started,
		}
		addAll(&l, a.crashes(firstStart))
		time.Sleep(holdTime)
		admission, err := l.Admit(t.Context(), s)
		if err != nil {
			t.Fatal("admit the request after the hold:", err)
		}
		a.Trial = admission.Trial
		addAll(&l, a.crashes(started("w2", 2)))
		admission.Release()
		time.Sleep(holdTime)
		_, err = l.Admit(t.Context(), s)
		if !errors.Is(err, ErrQuarantined) {
			t.Errorf("got error %v for a request that crashed two upstreams, want %v", err, ErrQuarantined)
		}
		if diff := cmp.Diff(suspect, standingOf(t, &l, "rare")); diff != "" {
			t.Errorf("another request with its part (-want +got):\n%s", diff)
		}
		l.Begun(Subject{Parts: s.Parts})
		if diff := cmp.Diff(free, standingOf(t, &l, "rare")); diff != "" {
			t.Errorf("another one after an answer to the part (-want +got):\n%s", diff)
		}
	})
}

// Guards against a request with several suspect parts that runs before those with one of
// them, of which each crash or answer tells more.
func TestSeveralSuspectsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var l List
		crashed("v@1", KindPart, "a b c")(&l)
		began := time.Now()
		admission, err := l.Admit(t.Context(), subjectOf("a b c"))
		if err != nil {
			t.Fatal("admit:", err)
		}
		admission.Release()
		if diff := cmp.Diff(2*severalSuspectsDelay, time.Since(began)); diff != "" {
			t.Errorf("wait of a request with three suspects (-want +got):\n%s", diff)
		}
		time.AfterFunc(severalSuspectsDelay/2, func() { begun("a b")(&l) })
		began = time.Now()
		_, err = l.Admit(t.Context(), subjectOf("a b c"))
		if err != nil {
			t.Fatal("admit:", err)
		}
		if diff := cmp.Diff(severalSuspectsDelay/2, time.Since(began)); diff != "" {
			t.Errorf("wait until two of three suspects are cleared (-want +got):\n%s", diff)
		}
	})
}

// Guards against requests with different suspect parts that get the same placement, and
// with the same one that get different placements at two entries.
func TestPlacementIsTheSameAtAllEntries(t *testing.T) {
	var a, b List
	crashed("v@1", KindPart, "a b c")(&a)
	crashed("v@1", KindPart, "c b a")(&b)
	var placements [][]uint64
	for _, names := range []string{"a", "b", "c"} {
		first, err := a.Admit(t.Context(), subjectOf(names))
		if err != nil {
			t.Fatal("admit:", err)
		}
		second, err := b.Admit(t.Context(), subjectOf(names+" d"))
		if err != nil {
			t.Fatal("admit:", err)
		}
		if diff := cmp.Diff(first.Placement, second.Placement); diff != "" {
			t.Errorf("placement at two entries differs:\n%s", diff)
		}
		if slices.ContainsFunc(placements, func(p []uint64) bool { return slices.Equal(p, first.Placement) }) {
			t.Errorf("placement %v of two suspects", first.Placement)
		}
		placements = append(placements, first.Placement)
	}
}
