package group

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"go.uber.org/zap"
)

// Paths of the requests between sidecars.
const (
	pathObserve = "/look"
	pathReport  = "/report"
	pathOrder   = "/order"
	pathExperts = "/experts"
)

// Parameters of a planner's request for a report: its group and its fencing token.
const (
	paramGroup = "group"
	paramFence = "fence"
)

const (
	// localTimeout bounds a call to the rank beside a sidecar.
	localTimeout = 250 * time.Millisecond
	// localOrderTimeout bounds one attempt to send an order to that rank, and
	// localMapTimeout one to send an order to prepare, which holds a map.
	// Without an answer the order is sent up to localAttempts times.
	localOrderTimeout = 15 * time.Millisecond
	localMapTimeout   = 40 * time.Millisecond
	localAttempts     = 4
	// localPrepareTimeout bounds the time that a sidecar waits until its rank
	// has prepared a map. preparePollInterval is the time between two reports
	// that it asks for meanwhile.
	localPrepareTimeout = 600 * time.Millisecond
	preparePollInterval = 15 * time.Millisecond
	// maxSampleTime is the longest time that a sample may cover. After that the
	// choices may be of a demand that has passed, so the next sample starts anew.
	maxSampleTime = 800 * time.Millisecond
)

// PlannerInfo identifies the planner of a group and says what it asks for.
// Planners send it to sidecars with each observation and heartbeat.
type PlannerInfo struct {
	Planner foxtailstack.InstanceName `cbor:"1,keyasint"`
	// Address is the address of the planner's sidecar.
	Address foxtailstack.Address      `cbor:"2,keyasint"`
	Fence   foxtailstack.FencingToken `cbor:"3,keyasint"`
	// Sample asks for a sample of the choices of the rank's requests.
	Sample bool `cbor:"4,keyasint,omitempty"`
	// Switching is set while the planner is executing a switch.
	Switching bool `cbor:"5,keyasint,omitempty"`
	// Group is the group that the planner plans for. Its fencing token means nothing in
	// other groups.
	Group Name `cbor:"6,keyasint"`
}

// Observation is the answer of a sidecar to a planner: the report of its rank,
// a sample if the planner asked for one, and its arm record.
type Observation struct {
	Report    Report    `cbor:"1,keyasint"`
	Sample    Sample    `cbor:"2,keyasint"`
	ArmRecord ArmRecord `cbor:"3,keyasint"`
	// Entries is the number of entries that have asked the sidecar for the status lately.
	Entries int `cbor:"4,keyasint,omitempty"`
	// Uses is the use of these entries by urgency.
	Uses []UrgencyUse `cbor:"5,keyasint,omitempty"`
}

// expertsReply is the answer to a request for the experts of a rank.
type expertsReply struct {
	Map     foxtailstack.Epoch      `cbor:"1,keyasint"`
	Experts [][]foxtailstack.Expert `cbor:"2,keyasint"`
}

// LocalRank is the rank beside a sidecar.
type LocalRank interface {
	Rank
	ExpertLister
}

// Sidecar serves the planner of the group on behalf of the rank beside it. It
// forwards orders to the rank unless it has heard from a newer planner. Its
// exported fields must be set before use.
type Sidecar struct {
	Rank LocalRank
	// Client is used to forward orders to other sidecars.
	Client *http.Client
	// RankAt returns the rank at an address, reached without its sidecar.
	RankAt func(foxtailstack.Address) Rank
	Log    *zap.Logger

	mu sync.Mutex
	// group is the group in the last report of the rank that named one.
	group Name
	// refused is the last group whose planner was refused.
	refused   Name
	planner   PlannerInfo
	armRecord ArmRecord
	lastHeard time.Time
	// switching is set if the planner's last message was a heartbeat, or an order
	// to prepare or arm. An observation or any other order clears it.
	switching bool
	// maps caches the last maps that the sidecar was ordered to forward.
	maps mapCache
	// lastCounts are the counts at the last sample, which was taken at lastSample.
	lastCounts Counts
	lastSample time.Time
	// lastLimit is the limit in the last report of the rank.
	lastLimit foxtailstack.RequestRate
	// status is the status for entries.
	status knownStatus
	// entries holds the entries that asked for it by their hosts.
	entries map[string]askingEntry
}

// Register adds the handlers of requests from planners, other sidecars and entries.
func (s *Sidecar) Register(handle func(pattern string, handler http.HandlerFunc, methods ...string)) {
	handle(pathObserve, s.serveObserve, http.MethodPost)
	handle(pathReport, s.serveReport, http.MethodGet)
	handle(pathOrder, s.serveOrder, http.MethodPost)
	handle(pathForward, s.serveForward, http.MethodPost)
	handle(pathGather, s.serveGather, http.MethodPost)
	handle(pathGroups, s.serveGroups, http.MethodPost)
	handle(pathDelegate, s.serveDelegate, http.MethodPost)
	handle(pathStatus, s.serveStatus, http.MethodGet)
	handle(pathExperts, s.serveExperts, http.MethodGet)
}

// plannerTimedOut reports whether the planner's timeout, prolonged by extra,
// has passed since its last message, so that this sidecar should take over.
func (s *Sidecar) plannerTimedOut(extra time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := plannerTimeout
	switch {
	case s.switching:
		limit = switchingPlannerTimeout
	case s.planner.Fence == 0:
		limit = startupPlannerTimeout
	}
	return time.Since(s.lastHeard) >= limit+extra
}

// plannerFence returns the fencing token of the newest planner that the sidecar has heard of
// since it started, or zero.
func (s *Sidecar) plannerFence() foxtailstack.FencingToken {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.planner.Fence
}

// startPlannerTimeout restarts the planner's timeout, as if a message had
// arrived now.
func (s *Sidecar) startPlannerTimeout() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastHeard = time.Now()
}

// RecordPlanner records a message from a planner: a heartbeat, an observation
// or the start of the sidecar's own planner. It returns ErrFenced if a newer
// planner is known, and an OtherGroupError if the planner is not that of the rank's group.
func (s *Sidecar) RecordPlanner(planner PlannerInfo) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.checkGroup(planner.Group)
	if err != nil {
		return err
	}
	if planner.Fence < s.planner.Fence {
		return ErrFenced
	}
	if planner.Fence > s.planner.Fence {
		s.Log.Info("planner changed",
			zap.String("group", string(planner.Group)),
			zap.String("planner", string(planner.Planner)),
			zap.Uint64("fence", uint64(planner.Fence)),
			zap.Uint64("before", uint64(s.planner.Fence)))
	}
	s.planner = planner
	s.lastHeard = time.Now()
	s.switching = planner.Switching
	return nil
}

// Observe returns the report of the rank, the sidecar's arm record and, if
// withSample is set, a sample of the choices of the rank's requests since the
// last sample.
func (s *Sidecar) Observe(ctx context.Context, withSample bool) (Observation, error) {
	ctx, cancel := context.WithTimeout(ctx, localTimeout)
	defer cancel()
	report, err := s.localReport(ctx)
	if err != nil {
		return Observation{}, err
	}
	s.logLimit(report.Limit)
	answer := Observation{
		Report:    report,
		ArmRecord: s.currentArmRecord(),
		Entries:   s.countEntries(time.Now()),
		Uses:      s.sumOfUses(time.Now()),
	}
	if !withSample {
		return answer, nil
	}
	counts, err := s.Rank.Counts(ctx)
	if err != nil {
		s.Log.Debug("counts not read", zap.Error(err))
		return answer, nil // the report is useful without the counts
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.lastSample) <= maxSampleTime {
		answer.Sample = newSample(s.lastCounts, counts)
	}
	s.lastCounts = counts
	s.lastSample = now
	return answer, nil
}

// logLimit logs a change of the rate of requests that the rank takes.
func (s *Sidecar) logLimit(limit foxtailstack.RequestRate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if limit == s.lastLimit {
		return
	}
	s.lastLimit = limit
	s.Log.Info("rank reports a limit", zap.String("group", string(s.group)), zap.Float64("limit", float64(limit)))
}

// serveObserve answers a planner's request for an observation.
func (s *Sidecar) serveObserve(w http.ResponseWriter, r *http.Request) {
	var planner PlannerInfo
	if !decodeRequest(w, r, &planner) {
		return
	}
	err := s.admitPlanner(r.Context(), planner)
	if err != nil {
		writeError(w, err)
		return
	}
	answer, err := s.Observe(r.Context(), planner.Sample)
	writeReply(w, err, answer)
}

// serveReport answers with the report of the rank. Planners ask for it during a
// switch, so it counts as a message from the planner if the request names its group. A
// request that names none is a question that changes nothing.
func (s *Sidecar) serveReport(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if query.Has(paramGroup) {
		err := s.recordReportRequest(r.Context(), Name(query.Get(paramGroup)), query.Get(paramFence))
		if err != nil {
			writeError(w, err)
			return
		}
	}
	report, err := s.localReport(r.Context())
	writeReply(w, err, report)
}

// recordReportRequest restarts the planner's timeout if a request for the report comes from
// the planner of the rank's group. It returns an OtherGroupError if it comes from that of
// another group, and ErrFenced if a newer planner is known.
func (s *Sidecar) recordReportRequest(ctx context.Context, name Name, token string) error {
	fence, err := strconv.ParseUint(token, 10, 64)
	if err != nil {
		return ErrFenced // the token of no planner
	}
	err = s.admit(ctx, name)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if foxtailstack.FencingToken(fence) < s.planner.Fence {
		return ErrFenced
	}
	s.lastHeard = time.Now()
	return nil
}

// serveExperts answers with the experts of the rank.
func (s *Sidecar) serveExperts(w http.ResponseWriter, r *http.Request) {
	version, experts, err := s.Rank.Experts(r.Context())
	writeReply(w, err, expertsReply{
		Map:     version,
		Experts: experts,
	})
}

// errorStatuses maps the errors of orders to the HTTP statuses that stand for
// them between sidecars.
var errorStatuses = []struct {
	err    error
	status int
}{
	{
		err:    ErrStateMismatch,
		status: http.StatusConflict,
	},
	{
		err:    ErrFenced,
		status: http.StatusPreconditionFailed,
	},
	{
		err:    ErrUnknownBase,
		status: http.StatusFailedDependency,
	},
	{
		err:    ErrRejected,
		status: http.StatusUnprocessableEntity,
	},
}

// statusForError returns the HTTP status that stands for an error.
func statusForError(err error) int {
	for _, s := range errorStatuses {
		if errors.Is(err, s.err) {
			return s.status
		}
	}
	return http.StatusBadGateway
}

// errSidecarFailed means that a sidecar failed for a reason without a status of
// its own, for example that its rank did not answer.
var errSidecarFailed = errors.New("sidecar did not carry out the request")

// errorForStatus returns the error that an HTTP status stands for.
func errorForStatus(status int) error {
	if status/100 == 2 {
		return nil
	}
	for _, s := range errorStatuses {
		if status == s.status {
			return s.err
		}
	}
	return errSidecarFailed
}
