package group

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// paramUse is the parameter of a request for the status that holds the entry's own use of
// the group by urgency.
const paramUse = "use"

// maxUses bounds the urgencies of which an entry's use is taken.
const maxUses = 32

// UrgencyUse is what the requests of one urgency use of a group.
type UrgencyUse struct {
	_       struct{} `cbor:",toarray"`
	Urgency int
	// Running is the number of requests at upstreams.
	Running int
	// Arrivals is the number of requests that arrive in a second.
	Arrivals float32
}

// encodeUses returns the text of uses in a request for the status: for each the urgency, the
// number of requests and the arrivals in a second, with colons between.
func encodeUses(uses []UrgencyUse) string {
	texts := make([]string, 0, len(uses))
	for _, use := range uses {
		texts = append(texts, strings.Join([]string{
			strconv.Itoa(use.Urgency),
			strconv.Itoa(use.Running),
			strconv.FormatFloat(float64(use.Arrivals), 'f', 1, 32),
		}, ":"))
	}
	return strings.Join(texts, ",")
}

// decodeUses decodes the text of encodeUses. Malformed uses are left out.
func decodeUses(text string) []UrgencyUse {
	var uses []UrgencyUse
	for part := range strings.SplitSeq(text, ",") {
		fields := strings.Split(part, ":")
		if len(fields) != 3 || len(uses) == maxUses {
			continue
		}
		urgency, err1 := strconv.Atoi(fields[0])
		running, err2 := strconv.Atoi(fields[1])
		arrivals, err3 := strconv.ParseFloat(fields[2], 32)
		valid := err1 == nil && err2 == nil && err3 == nil && running >= 0 && arrivals >= 0
		if valid {
			uses = append(uses, UrgencyUse{
				Urgency:  urgency,
				Running:  running,
				Arrivals: float32(arrivals),
			})
		}
	}
	return uses
}

// sumUses returns the sums of the uses of each urgency, the most urgent first. It returns
// nil if there are none.
func sumUses(lists ...[]UrgencyUse) []UrgencyUse {
	var sums []UrgencyUse
	for _, list := range lists {
		for _, use := range list {
			at, found := slices.BinarySearchFunc(sums, use, func(a, b UrgencyUse) int {
				return cmp.Compare(a.Urgency, b.Urgency)
			})
			if !found {
				sums = slices.Insert(sums, at, use)
				continue
			}
			sums[at].Running += use.Running
			sums[at].Arrivals += use.Arrivals
		}
	}
	return sums
}

// askingEntry is an entry that has asked a sidecar for the status.
type askingEntry struct {
	at   time.Time
	uses []UrgencyUse
}

// sumOfUses returns the use of the entries that have asked for the status within entryTime.
// An entry that stands still, has ended or asks another sidecar is left out after that.
func (s *Sidecar) sumOfUses(now time.Time) []UrgencyUse {
	s.mu.Lock()
	defer s.mu.Unlock()
	var sum []UrgencyUse
	for _, entry := range s.entries {
		if now.Sub(entry.at) <= entryTime {
			sum = sumUses(sum, entry.uses)
		}
	}
	return sum
}
