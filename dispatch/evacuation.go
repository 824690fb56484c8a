package dispatch

import (
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/route"
	"go.uber.org/zap"
)

// evacuation is that of a data centre, as far as it concerns this process.
type evacuation struct {
	began time.Time
	// empty is set once no request of this process runs there.
	empty bool
}

// checkEmpty notes the data centres whose evacuation has begun or been taken back, and logs
// those that are empty. The caller holds mu.
func (s *Scheduler) checkEmpty(fleet *route.Fleet) {
	if !fleet.Evacuated() {
		clear(s.evacuations)
		return
	}
	centres := fleet.EvacuatedCentres()
	for centre := range s.evacuations {
		if !centres[centre] {
			delete(s.evacuations, centre)
		}
	}
	for centre := range centres {
		e := getOrCreate(&s.evacuations, centre)
		if e.began.IsZero() {
			e.began = time.Now()
		}
		s.checkEmptied(centre)
	}
}

// checkEmptied logs that the last request of this process at a data centre that is evacuated
// has ended. The caller holds mu.
func (s *Scheduler) checkEmptied(centre foxtailstack.DataCentre) {
	e, ok := s.evacuations[centre]
	if !ok || e.empty || s.running(centre) > 0 {
		return
	}
	e.empty = true
	s.logger().Info("data centre empty", zap.String("centre", string(centre)), zap.Duration("took", time.Since(e.began)))
}

// running returns the number of requests of this process at a data centre. The caller holds
// mu.
func (s *Scheduler) running(centre foxtailstack.DataCentre) int {
	n := 0
	fleet := s.Fleet()
	for name, state := range s.upstreams {
		u, ok := fleet.Lookup(name)
		if ok && u.Centre == centre {
			n += state.running
		}
	}
	return n
}

// Running returns the number of requests of this process at a data centre.
func (s *Scheduler) Running(centre foxtailstack.DataCentre) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running(centre)
}

// meanRunning returns the mean number of requests at a rank that may get some, if all ranks
// together have a number. Ranks of a data centre that is evacuated are left out.
func meanRunning(ready []route.Upstream, ranks map[foxtailstack.Address]RankLoad, all int) float64 {
	n := len(ranks)
	for i := range ready {
		rank, ok := ranks[ready[i].Address]
		if ok && ready[i].Evacuated {
			n--
			all -= rank.Load.Running + rank.Load.Waiting
		}
	}
	return float64(all) / float64(max(1, n))
}
