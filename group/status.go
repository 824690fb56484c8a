package group

import (
	"net/http"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

// pathStatus is the path on which sidecars tell entries of the group.
const pathStatus = "/status"

// RankStatus is what entries are told of one rank.
type RankStatus struct {
	// Address is that of the upstream.
	Address  foxtailstack.Address `cbor:"1,keyasint"`
	Running  int                  `cbor:"2,keyasint,omitempty"`
	Waiting  int                  `cbor:"3,keyasint,omitempty"`
	Slowdown float64              `cbor:"4,keyasint"`
}

// Status is what entries are told of a group.
type Status struct {
	Group Name         `cbor:"1,keyasint"`
	Ranks []RankStatus `cbor:"2,keyasint"`
	// Age is the time since the ranks said so.
	Age time.Duration `cbor:"4,keyasint"`
}

// guide is the answer of a sidecar to an entry: the status if it plans, or where
// the planner is.
type guide struct {
	Status  *Status              `cbor:"1,keyasint,omitempty"`
	Planner foxtailstack.Address `cbor:"2,keyasint"`
}

// timedStatus is a status with the time of its survey.
type timedStatus struct {
	Status
	at time.Time
}

// publish keeps a status for entries. Nil takes it back.
func (s *Sidecar) publish(status *Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status = nil
	if status != nil {
		s.status = &timedStatus{
			Status: *status,
			at:     time.Now(),
		}
	}
}

// serveStatus tells an entry of the group.
func (s *Sidecar) serveStatus(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	answer := guide{Planner: s.planner.Address}
	if s.status != nil {
		status := s.status.Status
		status.Age = time.Since(s.status.at)
		answer.Status = &status
	}
	s.mu.Unlock()
	reply(w, nil, answer)
}
