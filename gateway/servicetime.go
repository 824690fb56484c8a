package gateway

import (
	"sync"
	"time"
)

const (
	// meanDivisor and deviationDivisor are the parts by which a new time moves the averages.
	meanDivisor      = 8
	deviationDivisor = 4
	// maxTimedRoutes bounds the number of routes whose times are known. Beyond it they are
	// learnt anew.
	maxTimedRoutes = 4096
)

// serviceTimes estimates by route how long a request takes from sending to its complete
// response. The zero value knows none.
type serviceTimes struct {
	mu     sync.Mutex
	routes map[string]timeEstimate
}

// timeEstimate is the moving average of times and of their deviation from it.
type timeEstimate struct {
	mean, deviation time.Duration
}

// observe adds a time.
func (s *serviceTimes) observe(route string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.routes == nil || len(s.routes) >= maxTimedRoutes {
		s.routes = make(map[string]timeEstimate)
	}
	e, known := s.routes[route]
	if !known {
		s.routes[route] = timeEstimate{mean: d}
		return
	}
	off := d - e.mean
	e.mean += off / meanDivisor
	e.deviation += (off.Abs() - e.deviation) / deviationDivisor
	s.routes[route] = e
}

// expected returns the time that a request of a route is expected to take at most; zero if
// it is not known.
func (s *serviceTimes) expected(route string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.routes[route]
	return e.mean + e.deviation
}
