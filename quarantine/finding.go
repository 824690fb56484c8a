package quarantine

import (
	"bytes"
	"encoding/binary"
	"slices"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

// finding is what the evidence says about a request.
type finding struct {
	// refused is set if the request is in quarantine, for the time until.
	refused bool
	cause   Fingerprint
	until   time.Duration
	// suspects holds what the request is suspected by.
	suspects []Fingerprint
	// crashed holds the upstreams that crashed.
	crashed []foxtailstack.UpstreamName
}

// assess returns what the evidence says about a request. Equal requests are refused after
// crashesToQuarantine crashes, also if a part of theirs may be the cause. Parts are refused only together with all other parts that
// may be the causes of the same crash: one that occurs beside the cause may be sound.
func (e *evidence) assess(s Subject) finding {
	var f finding
	if len(e.records) == 0 {
		return f
	}
	r := e.record(s.Request)
	if r != nil {
		switch n := e.unexplained(r, s.Parts); {
		case n >= crashesToQuarantine:
			return finding{
				refused: true,
				cause:   s.Request,
				until:   r.expiresIn(),
			}
		case n > 0:
			f.suspects = append(f.suspects, s.Request)
			f.crashed = r.upstreams()
		}
	}
	for _, part := range s.Parts {
		r := e.record(part)
		if r == nil {
			continue
		}
		until := e.refusal(r, s.Parts)
		if until > 0 {
			return finding{
				refused: true,
				cause:   part,
				until:   until,
			}
		}
		if e.suspected(part, r) {
			f.suspects = append(f.suspects, part)
			f.crashed = append(f.crashed, r.upstreams()...)
		}
	}
	return f
}

// refusal returns for how long requests with some parts are refused because of one of
// them, the one with the record. It is zero if they are not: no crash of the record has
// causes that are all among the parts. After a trial the record has to expire, without one
// the holdTime is enough.
func (e *evidence) refusal(r *record, parts []Fingerprint) time.Duration {
	longest := time.Duration(0)
	for _, c := range r.crashes {
		ev := e.events[c.ID]
		causes := ev.causes()
		if len(causes) == 0 || !subset(causes, parts) {
			continue
		}
		until := holdTime - time.Since(ev.at)
		if ev.tested(causes) {
			until = r.expiresIn()
		}
		longest = max(longest, until)
	}
	return longest
}

// suspected reports whether a part with a record is a suspect: it may be the cause of a
// crash, alone or together with others, or it is a candidate of one that is not explained.
func (e *evidence) suspected(part Fingerprint, r *record) bool {
	return e.unexplained(r, nil) > 0 || slices.ContainsFunc(r.crashes, func(c Crash) bool {
		return slices.Contains(e.events[c.ID].causes(), part)
	})
}

// placement returns numbers of all suspect parts in their order, up to the first one of
// the given parts. The order is that of the fingerprints.
func (e *evidence) placement(parts []Fingerprint) []uint64 {
	compare := func(a, b Fingerprint) int { return bytes.Compare(a[:], b[:]) }
	first := slices.MinFunc(parts, compare)
	var before []Fingerprint
	for key, r := range e.records {
		if r.crashes[0].Kind != KindRequest && compare(key, first) <= 0 && e.suspected(key, r) {
			before = append(before, key)
		}
	}
	slices.SortFunc(before, compare)
	var numbers []uint64
	for _, key := range before {
		numbers = append(numbers, binary.LittleEndian.Uint64(key[:]))
	}
	return numbers
}
