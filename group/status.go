package group

import (
	"hash/fnv"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

// pathStatus is the path on which entries ask a sidecar for the status of its group.
// Every sidecar answers: the planner passes the status on with its surveys.
const pathStatus = "/loads"

// paramTable is the parameter of such a request that holds the ID of the last table of
// ranks that the entry has received from the group.
const paramTable = "table"

// entryTime is how long an entry is counted after it asked for the status.
const entryTime = 4 * statusInterval

// maxStatusAge is the age from which sidecars do not pass on a status.
const maxStatusAge = 1500 * time.Millisecond

// RankStatus is the state of one rank, as published to entries.
type RankStatus struct {
	// Address is the address of the upstream.
	Address  foxtailstack.Address
	Running  int
	Waiting  int
	Slowdown float64
	// Limit is the rate of requests that the rank takes from all entries together; zero if
	// it names none.
	Limit foxtailstack.RequestRate
}

// Status is the state of a group, as published to entries.
type Status struct {
	Group Name
	Ranks []RankStatus
	// Entries is the number of entries that ask for the status; zero if it is not known.
	Entries int
	// Uses is the use of these entries by urgency, the most urgent first.
	Uses []UrgencyUse
	// Broken is set if the group does not work.
	Broken bool
	// Age is the time since the survey that the status is from.
	Age time.Duration
}

// tableID identifies the addresses of the ranks of a status and their order.
type tableID uint64

// StatusMessage is the form in which a status is sent.
type StatusMessage struct {
	Group Name    `cbor:"1,keyasint"`
	Table tableID `cbor:"2,keyasint"`
	// Addresses is the table of ranks. It is left out if the receiver knows it.
	Addresses []foxtailstack.Address `cbor:"3,keyasint,omitempty"`
	// Loads holds the numbers of running and of waiting requests of each rank in turn,
	// each at most math.MaxUint8.
	Loads []byte `cbor:"4,keyasint"`
	// Slowdowns holds the slowdowns other than one.
	Slowdowns []rankSlowdown `cbor:"5,keyasint,omitempty"`
	Age       time.Duration  `cbor:"6,keyasint"`
	Entries   int            `cbor:"7,keyasint,omitempty"`
	Broken    bool           `cbor:"8,keyasint,omitempty"`
	// Limits holds the limits of the ranks that name one.
	Limits []rankLimit `cbor:"9,keyasint,omitempty"`
	// Uses holds the use of the entries by urgency.
	Uses []UrgencyUse `cbor:"12,keyasint,omitempty"`
}

// rankLimit is the limit of the rank with an index in the table of ranks.
type rankLimit struct {
	_     struct{} `cbor:",toarray"`
	Index int
	Limit foxtailstack.RequestRate
}

// rankSlowdown is the slowdown of the rank with an index in the table of ranks.
type rankSlowdown struct {
	_        struct{} `cbor:",toarray"`
	Index    int
	Slowdown float32
}

// NewStatusMessage returns the message for a status, with its table of ranks.
func NewStatusMessage(status *Status) *StatusMessage {
	ranks := slices.Clone(status.Ranks)
	slices.SortFunc(ranks, func(a, b RankStatus) int {
		return compareAddresses(a.Address, b.Address)
	})
	message := &StatusMessage{
		Group:   status.Group,
		Age:     status.Age,
		Entries: status.Entries,
		Uses:    status.Uses,
		Broken:  status.Broken,
	}
	digest := fnv.New64a()
	for i, rank := range ranks {
		_, _ = digest.Write(append([]byte(rank.Address), 0)) // never fails
		message.Addresses = append(message.Addresses, rank.Address)
		message.Loads = append(message.Loads, saturate(rank.Running), saturate(rank.Waiting))
		if rank.Slowdown != 1 {
			message.Slowdowns = append(message.Slowdowns, rankSlowdown{
				Index:    i,
				Slowdown: float32(rank.Slowdown),
			})
		}
	}
	for i, rank := range ranks {
		if rank.Limit > 0 {
			message.Limits = append(message.Limits, rankLimit{
				Index: i,
				Limit: rank.Limit,
			})
		}
	}
	message.Table = tableID(digest.Sum64())
	return message
}

// compareAddresses orders addresses.
func compareAddresses(a, b foxtailstack.Address) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// saturate returns n as a byte, or the greatest byte if n is greater.
func saturate(n int) byte {
	return byte(min(max(n, 0), math.MaxUint8))
}

// withoutTable returns a copy of the message without the table of ranks.
func (m *StatusMessage) withoutTable() *StatusMessage {
	short := *m
	short.Addresses = nil
	return &short
}

// status returns the status that the message stands for, given its table of ranks. It
// returns false if the two do not fit.
func (m *StatusMessage) status(addresses []foxtailstack.Address) (Status, bool) {
	const bytesPerRank = 2
	if len(m.Loads) != bytesPerRank*len(addresses) {
		return Status{}, false
	}
	status := Status{
		Group:   m.Group,
		Ranks:   make([]RankStatus, len(addresses)),
		Entries: m.Entries,
		Uses:    m.Uses,
		Broken:  m.Broken,
		Age:     m.Age,
	}
	for i, address := range addresses {
		status.Ranks[i] = RankStatus{
			Address:  address,
			Running:  int(m.Loads[bytesPerRank*i]),
			Waiting:  int(m.Loads[bytesPerRank*i+1]),
			Slowdown: 1,
		}
	}
	for _, rank := range m.Slowdowns {
		if rank.Index < 0 || rank.Index >= len(status.Ranks) {
			return Status{}, false
		}
		status.Ranks[rank.Index].Slowdown = float64(rank.Slowdown)
	}
	for _, rank := range m.Limits {
		if rank.Index < 0 || rank.Index >= len(status.Ranks) {
			return Status{}, false
		}
		status.Ranks[rank.Index].Limit = rank.Limit
	}
	return status, true
}

// statusReply is the answer of a sidecar to an entry: the status, or nil if it has none
// that is recent.
type statusReply struct {
	Status *StatusMessage `cbor:"1,keyasint,omitempty"`
}

// knownStatus is what a sidecar knows of the status of its group.
type knownStatus struct {
	// message is the last status, without its table of ranks; nil if there is none.
	message *StatusMessage
	// observedAt is the time of the survey that it is from.
	observedAt time.Time
	// table is the last table of ranks.
	table     tableID
	addresses []foxtailstack.Address
}

// learn records a status received now. It returns false if its table of ranks is not
// known.
func (k *knownStatus) learn(message *StatusMessage, now time.Time) bool {
	if message.Addresses != nil {
		k.table = message.Table
		k.addresses = message.Addresses
	}
	k.message = nil
	if k.table != message.Table {
		return false
	}
	k.message = message.withoutTable()
	k.observedAt = now.Add(-message.Age)
	return true
}

// reply returns the answer to an entry that knows a table of ranks.
func (k *knownStatus) reply(known tableID, now time.Time) statusReply {
	age := now.Sub(k.observedAt)
	if k.message == nil || age > maxStatusAge {
		return statusReply{}
	}
	message := *k.message
	message.Age = age
	if known != k.table {
		message.Addresses = k.addresses
	}
	return statusReply{Status: &message}
}

// learnStatus records a status from the planner. It returns false if the sidecar does
// not know its table of ranks. It ignores nil and the status of a group other than that of
// the rank.
func (s *Sidecar) learnStatus(message *StatusMessage) bool {
	if message == nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.group != "" && message.Group != s.group {
		return true
	}
	return s.status.learn(message, time.Now())
}

// knownMembers returns the addresses of the ranks in the last status of the group.
func (s *Sidecar) knownMembers() []foxtailstack.Address {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status.addresses
}

// serveStatus answers an entry's request for the status of the group.
func (s *Sidecar) serveStatus(w http.ResponseWriter, r *http.Request) {
	known, _ := strconv.ParseUint(r.URL.Query().Get(paramTable), 16, 64) // zero stands for none
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	s.mu.Lock()
	if err == nil {
		if s.entries == nil {
			s.entries = make(map[string]askingEntry)
		}
		s.entries[host] = askingEntry{
			at:   time.Now(),
			uses: decodeUses(r.URL.Query().Get(paramUse)),
		}
	}
	answer := s.status.reply(tableID(known), time.Now())
	s.mu.Unlock()
	writeReply(w, nil, answer)
}

// countEntries returns the number of entries that have asked for the status within
// entryTime.
func (s *Sidecar) countEntries(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for host, entry := range s.entries {
		if now.Sub(entry.at) > entryTime {
			delete(s.entries, host)
		}
	}
	return len(s.entries)
}
