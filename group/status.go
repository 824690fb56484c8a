package group

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/internal/clock"
	"go.uber.org/zap"
)

// pathStatus is the path on which sidecars tell entries of the group.
const pathStatus = "/status"

// RankStatus is what entries are told of one rank.
type RankStatus struct {
	// Address is that of the upstream.
	Address foxtailstack.Address `cbor:"1,keyasint"`
	Running int                  `cbor:"2,keyasint,omitempty"`
	Waiting int                  `cbor:"3,keyasint,omitempty"`
	Pace    float64              `cbor:"4,keyasint"`
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

const (
	// statusPause is the time between two questions of an entry.
	statusPause = 300 * time.Millisecond
	// statusTimeout bounds one question.
	statusTimeout = 400 * time.Millisecond
)

// Watcher asks for the status of the group behind a service.
type Watcher struct {
	Client *http.Client
	// Sidecars returns the addresses of the sidecars of the service.
	Sidecars func() []foxtailstack.Address
	// Tell is given each status.
	Tell func(Status)
	Log  *zap.Logger

	planner foxtailstack.Address
	lost    bool
}

// Run asks until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	for clock.Sleep(ctx, statusPause) == nil {
		address, ok := w.next()
		if !ok {
			continue
		}
		answer, err := w.ask(ctx, address)
		if err != nil {
			w.missed(address, err)
			continue
		}
		w.planner = answer.Planner
		if answer.Status == nil {
			continue
		}
		if w.lost {
			w.lost = false
			w.Log.Info("group status regained", zap.String("sidecar", string(address)))
		}
		w.Tell(*answer.Status)
	}
}

// next returns the sidecar to ask: the planner, or any if it is not known.
func (w *Watcher) next() (foxtailstack.Address, bool) {
	if w.planner != "" {
		return w.planner, true
	}
	all := w.Sidecars()
	if len(all) == 0 {
		return "", false
	}
	return all[rand.IntN(len(all))], true
}

// missed records a question without an answer.
func (w *Watcher) missed(address foxtailstack.Address, err error) {
	w.planner = ""
	if w.lost {
		return
	}
	w.lost = true
	w.Log.Info("group status lost", zap.String("sidecar", string(address)), zap.Error(err))
}

// ask asks one sidecar.
func (w *Watcher) ask(ctx context.Context, address foxtailstack.Address) (guide, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(address)+pathStatus, nil)
	if err != nil {
		return guide{}, fmt.Errorf("question for the status: %w", err)
	}
	response, err := w.Client.Do(request)
	if err != nil {
		return guide{}, fmt.Errorf("%w: %w", errUnreachable, err)
	}
	defer response.Body.Close()
	var answer guide
	err = decode(response.Body, &answer)
	if err != nil {
		return guide{}, fmt.Errorf("%w: %w", errUnreachable, err)
	}
	return answer, nil
}
