package group

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/alexedwards/flow"
	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/internal/clock"
	"go.uber.org/zap"
)

// Paths between sidecars.
const (
	pathLook    = "/look"
	pathReport  = "/report"
	pathOrder   = "/order"
	pathExperts = "/experts"
)

const (
	// localTimeout bounds a call to the rank beside a sidecar.
	localTimeout = 250 * time.Millisecond
	// localOrderTimeout bounds one order to that rank, which is given localTries
	// times if there is no answer.
	localOrderTimeout = 40 * time.Millisecond
	localTries        = 3
	// prepareWait bounds the time that a sidecar waits for its rank to have a map
	// ready, prepareLook is the time between two looks.
	prepareWait = 600 * time.Millisecond
	prepareLook = 15 * time.Millisecond
)

// PlannerInfo names the planner of a group.
type PlannerInfo struct {
	Planner foxtailstack.InstanceName `cbor:"1,keyasint"`
	// Address is that of the planner's sidecar.
	Address foxtailstack.Address      `cbor:"2,keyasint"`
	Fence   foxtailstack.FencingToken `cbor:"3,keyasint"`
	// Sample asks for a sample of what the rank's requests chose.
	Sample bool `cbor:"4,keyasint,omitempty"`
	// Switching tells that a switch is going on.
	Switching bool `cbor:"5,keyasint,omitempty"`
}

// Observation is the answer to a planner's question for the state of a rank.
type Observation struct {
	Report    Report    `cbor:"1,keyasint"`
	Sample    Sample    `cbor:"2,keyasint"`
	ArmRecord ArmRecord `cbor:"3,keyasint"`
}

// listed is the answer to the question for the experts of a rank.
type listed struct {
	Map     foxtailstack.Epoch      `cbor:"1,keyasint"`
	Experts [][]foxtailstack.Expert `cbor:"2,keyasint"`
}

// LocalRank is a rank as its sidecar reaches it.
type LocalRank interface {
	Rank
	ExpertLister
}

// Sidecar serves the planner of the group on behalf of one rank. It passes on
// orders of the newest planner only.
type Sidecar struct {
	Rank LocalRank
	// Client is for passing orders on to other sidecars.
	Client *http.Client
	// RankAt returns the rank at an address.
	RankAt func(foxtailstack.Address) Rank
	Log    *zap.Logger

	mu      sync.Mutex
	planner PlannerInfo
	witness ArmRecord
	heard   time.Time
	// switching tells that the planner's last order was part of a switch.
	switching bool
	// maps are those that were passed on lately.
	maps mapKeeper
	// counts are those of the last look.
	counts Counts
	// status is what entries are told while this sidecar plans; nil otherwise.
	status *timedStatus
}

// Handler returns what serves the planner.
func (s *Sidecar) Handler() http.Handler {
	mux := flow.New()
	mux.HandleFunc(pathLook, s.serveLook, http.MethodPost)
	mux.HandleFunc(pathReport, s.serveReport, http.MethodGet)
	mux.HandleFunc(pathOrder, s.serveOrder, http.MethodPost)
	mux.HandleFunc(pathRelay, s.serveRelay, http.MethodPost)
	mux.HandleFunc(pathVouch, s.serveVouch, http.MethodPost)
	mux.HandleFunc(pathStatus, s.serveStatus, http.MethodGet)
	mux.HandleFunc(pathExperts, s.serveExperts, http.MethodGet)
	return mux
}

// silent reports whether the planner has been silent for so long, and a time
// more, that another should take over.
func (s *Sidecar) silent(more time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := patience
	switch {
	case s.switching:
		limit = switchPatience
	case s.planner.Fence == 0:
		limit = firstPatience
	}
	return time.Since(s.heard) >= limit+more
}

// begin counts the silence of planners from now.
func (s *Sidecar) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard = time.Now()
}

// ReceiveHeartbeat records that a planner was heard, and returns ErrFenced if a newer one
// is known.
func (s *Sidecar) ReceiveHeartbeat(planner PlannerInfo) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if planner.Fence < s.planner.Fence {
		return ErrFenced
	}
	if planner.Fence > s.planner.Fence {
		s.Log.Info("planner changed",
			zap.String("planner", string(planner.Planner)),
			zap.Uint64("fence", uint64(planner.Fence)),
			zap.Uint64("before", uint64(s.planner.Fence)))
	}
	s.planner = planner
	s.heard = time.Now()
	s.switching = planner.Switching
	return nil
}

// Observe returns the report of the rank, what the sidecar knows of others and, if
// asked for, a sample of what the rank's requests chose since the last one.
func (s *Sidecar) Observe(ctx context.Context, withSample bool) (Observation, error) {
	ctx, cancel := context.WithTimeout(ctx, localTimeout)
	defer cancel()
	report, err := s.Rank.Report(ctx)
	if err != nil {
		return Observation{}, err
	}
	answer := Observation{
		Report:    report,
		ArmRecord: s.testify(),
	}
	if !withSample {
		return answer, nil
	}
	counts, err := s.Rank.Counts(ctx)
	if err != nil {
		s.Log.Debug("counts not read", zap.Error(err))
		return answer, nil // the report is of use without them
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	answer.Sample = newSample(s.counts, counts)
	s.counts = counts
	return answer, nil
}

// serveLook answers a planner's question.
func (s *Sidecar) serveLook(w http.ResponseWriter, r *http.Request) {
	var planner PlannerInfo
	if !accept(w, r, &planner) {
		return
	}
	err := s.ReceiveHeartbeat(planner)
	if err != nil {
		w.WriteHeader(statusOf(err))
		return
	}
	answer, err := s.Observe(r.Context(), planner.Sample)
	reply(w, err, answer)
}

// serveReport answers with the report of the rank, which planners ask for during
// a switch.
func (s *Sidecar) serveReport(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.heard = time.Now()
	s.mu.Unlock()
	report, err := s.Rank.Report(r.Context())
	reply(w, err, report)
}

// serveExperts answers with the experts of the rank.
func (s *Sidecar) serveExperts(w http.ResponseWriter, r *http.Request) {
	version, experts, err := s.Rank.Experts(r.Context())
	reply(w, err, listed{
		Map:     version,
		Experts: experts,
	})
}

// serveOrder passes an order on to the rank.
func (s *Sidecar) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	if !accept(w, r, &order) {
		return
	}
	err := s.Order(r.Context(), order)
	if err != nil {
		w.WriteHeader(statusOf(err))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// Order passes an order on to the rank unless its planner has been replaced.
func (s *Sidecar) Order(ctx context.Context, order Order) error {
	s.mu.Lock()
	newest := s.planner.Fence
	if order.Fence >= newest {
		s.heard = time.Now()
		s.switching = order.Action == Prepare || order.Action == Arm
	}
	s.mu.Unlock()
	if order.Fence < newest {
		return ErrFenced
	}
	order, err := s.complete(order)
	if err == nil {
		err = s.order(ctx, order)
	}
	if err == nil && order.Action == Prepare {
		err = s.awaitPrepared(ctx, order.Map)
	}
	ordersTotal.Inc()
	s.Log.Info("order",
		zap.String("action", string(order.Action)),
		zap.Uint64("map", uint64(order.Map)),
		zap.Uint64("pass", uint64(order.Step)),
		zap.Uint64("formation", uint64(order.Formation)),
		zap.Uint64("fence", uint64(order.Fence)),
		zap.Error(err))
	return err
}

// order gives an order to the rank, again if there is no answer. A rank beside its
// sidecar answers within milliseconds if it does at all.
func (s *Sidecar) order(ctx context.Context, order Order) error {
	var err error
	for range localTries {
		err = s.try(ctx, order)
		if err == nil || errors.Is(err, ErrStateMismatch) || errors.Is(err, ErrFenced) || errors.Is(err, ErrRejected) {
			return err
		}
	}
	return err
}

// try gives an order to the rank once.
func (s *Sidecar) try(ctx context.Context, order Order) error {
	ctx, cancel := context.WithTimeout(ctx, localOrderTimeout)
	defer cancel()
	return s.Rank.Order(ctx, order)
}

// awaitPrepared waits until the rank has a map ready, for a time, so that the
// planner need not ask for it over and over.
func (s *Sidecar) awaitPrepared(ctx context.Context, version foxtailstack.Epoch) error {
	ctx, cancel := context.WithTimeout(ctx, prepareWait)
	defer cancel()
	for clock.Sleep(ctx, prepareLook) == nil {
		report, err := s.Rank.Report(ctx)
		if err == nil && report.Prepared == version {
			return nil
		}
	}
	return ErrTimeout
}

// complete fills in the layers of an order to prepare.
func (s *Sidecar) complete(order Order) (Order, error) {
	if order.Action != Prepare {
		return order, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	layers, ok := s.maps.whole(order)
	if !ok {
		return order, ErrUnknownBase
	}
	s.maps.keep(order.Formation, order.Map, layers)
	s.witness = s.witness.prepared(order)
	order.Layers = layers
	return order, nil
}

// Statuses between sidecars.
var statuses = []struct {
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

// statusOf returns the status that stands for an error.
func statusOf(err error) int {
	for _, s := range statuses {
		if errors.Is(err, s.err) {
			return s.status
		}
	}
	return http.StatusBadGateway
}

// errNoAnswer means that a sidecar had no answer from its rank.
var errNoAnswer = errors.New("rank did not answer its sidecar")

// errorOf returns the error that a status stands for.
func errorOf(status int) error {
	if status/100 == 2 {
		return nil
	}
	for _, s := range statuses {
		if status == s.status {
			return s.err
		}
	}
	return errNoAnswer
}
