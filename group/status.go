package group

import (
	"net/http"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

// pathStatus is the path on which entries ask a sidecar for the status of its
// group.
const pathStatus = "/status"

// RankStatus is the state of one rank, as published to entries.
type RankStatus struct {
	// Address is the address of the upstream.
	Address  foxtailstack.Address `cbor:"1,keyasint"`
	Running  int                  `cbor:"2,keyasint,omitempty"`
	Waiting  int                  `cbor:"3,keyasint,omitempty"`
	Slowdown float64              `cbor:"4,keyasint"`
}

// Status is the state of a group, as published to entries.
type Status struct {
	Group Name         `cbor:"1,keyasint"`
	Ranks []RankStatus `cbor:"2,keyasint"`
	// Age is the time since the survey that the status is from.
	Age time.Duration `cbor:"4,keyasint"`
}

// statusReply is the answer of a sidecar to an entry: the status if the
// sidecar's planner runs, and the address of the planner's sidecar.
type statusReply struct {
	Status  *Status              `cbor:"1,keyasint,omitempty"`
	Planner foxtailstack.Address `cbor:"2,keyasint"`
}

// publishedStatus is a status with the time of its publication, at the end of
// its survey.
type publishedStatus struct {
	Status
	publishedAt time.Time
}

// publish stores the status for entries. Nil withdraws it.
func (s *Sidecar) publish(status *Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status = nil
	if status != nil {
		s.status = &publishedStatus{
			Status:      *status,
			publishedAt: time.Now(),
		}
	}
}

// serveStatus answers an entry's request for the status of the group.
func (s *Sidecar) serveStatus(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	answer := statusReply{Planner: s.planner.Address}
	if s.status != nil {
		status := s.status.Status
		status.Age = time.Since(s.status.publishedAt)
		answer.Status = &status
	}
	s.mu.Unlock()
	writeReply(w, nil, answer)
}
