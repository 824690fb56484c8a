package group

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"
)

// OtherGroupError means that a message names another group than that of the rank which got
// it, or none.
type OtherGroupError struct {
	// Group is the group of the rank; empty if it is not known.
	Group Name
}

// Error returns the description of the error.
func (e *OtherGroupError) Error() string {
	return "message is for another group than that of the rank, " + string(e.Group)
}

// otherGroupReply is the answer of a sidecar that returns an OtherGroupError.
type otherGroupReply struct {
	Group Name `cbor:"1,keyasint"`
}

// otherGroup returns the group that an OtherGroupError names. It returns false if err is
// none or names no group.
func otherGroup(err error) (Name, bool) {
	var other *OtherGroupError
	if !errors.As(err, &other) {
		return "", false
	}
	return other.Group, other.Group != ""
}

// localReport returns the report of the rank beside the sidecar and learns its group.
func (s *Sidecar) localReport(ctx context.Context) (Report, error) {
	report, err := s.Rank.Report(ctx)
	if err == nil {
		s.learnGroup(report.Group)
	}
	return report, err
}

// learnGroup records the group that the rank reports. If it is another one than before,
// nothing that is known of the former group holds any longer: its planner and fencing
// token, the arm record, the status, the cached maps and the last sample. A report without
// a group changes nothing, since the rank may be about to join its group again.
func (s *Sidecar) learnGroup(name Name) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if name == "" || name == s.group {
		return
	}
	groupInfo(name).Set(1)
	s.Log.Info("group of the rank changed",
		zap.String("group", string(name)),
		zap.String("before", string(s.group)))
	if s.group != "" {
		groupInfo(s.group).Set(0)
		s.planner = PlannerInfo{}
		s.switching = false
		s.lastHeard = time.Now()
		s.armRecord = ArmRecord{}
		s.maps = mapCache{}
		s.status = knownStatus{}
		s.lastCounts = Counts{}
		s.lastSample = time.Time{}
	}
	s.group = name
}

// checkGroup returns an OtherGroupError if a message to a group is not for that of the
// rank. The caller holds mu.
func (s *Sidecar) checkGroup(name Name) error {
	if name == "" || name != s.group {
		return &OtherGroupError{Group: s.group}
	}
	return nil
}

// admit checks whether a message to a group is for that of the rank, like checkGroup. If
// it is not, the rank may have joined that group since its last report, so admit asks it.
func (s *Sidecar) admit(ctx context.Context, name Name) error {
	s.mu.Lock()
	err := s.checkGroup(name)
	s.mu.Unlock()
	if err == nil || name == "" {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, localTimeout)
	defer cancel()
	_, _ = s.localReport(ctx) // without an answer the group stays as it is known
	s.mu.Lock()
	defer s.mu.Unlock()
	err = s.checkGroup(name)
	if err != nil && name != s.refused {
		s.refused = name
		s.Log.Info("planner of another group refused",
			zap.String("group", string(s.group)),
			zap.String("other", string(name)))
	}
	return err
}

// admitPlanner records a message from a planner as RecordPlanner does, after it has
// checked as admit does whether the message is for the group of the rank.
func (s *Sidecar) admitPlanner(ctx context.Context, planner PlannerInfo) error {
	err := s.admit(ctx, planner.Group)
	if err != nil {
		return err
	}
	return s.RecordPlanner(planner)
}

// writeError answers a request with the status that stands for err, and with the group of
// the rank if err is an OtherGroupError.
func writeError(w http.ResponseWriter, err error) {
	status := statusForError(err)
	var other *OtherGroupError
	if !errors.As(err, &other) {
		w.WriteHeader(status)
		return
	}
	data, err := encode(otherGroupReply{Group: other.Group})
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(http.StatusMisdirectedRequest)
	_, _ = w.Write(data) // without an answer the caller repeats the request
}

// errorForResponse returns the error that a response of a sidecar stands for.
func errorForResponse(response *http.Response) error {
	if response.StatusCode != http.StatusMisdirectedRequest {
		return errorForStatus(response.StatusCode)
	}
	var answer otherGroupReply
	err := decode(response.Body, &answer)
	if err != nil {
		return errSidecarFailed
	}
	return &OtherGroupError{Group: answer.Group}
}
