package dispatch

import "time"

const (
	// rateWindow is the time over which the service rate of a queue is measured, and
	// minRateWindow the time after which it is known. The rate stays valid for
	// rateTTL while the queue is empty.
	rateWindow    = 2 * time.Second
	minRateWindow = 500 * time.Millisecond
	rateTTL       = time.Second
)

// serviceRate measures how many requests of each urgency are served in a second. Its load
// is a burst of less urgent requests: a request is delayed by those that are as urgent or
// more urgent, and gets the slots that would otherwise go to less urgent ones. The zero
// value has no rate.
type serviceRate struct {
	// grants counts the reservations since windowStart by urgency. last holds their numbers
	// per second in the window before; nil if there was none.
	grants      map[int]int
	windowStart time.Time
	last        map[int]float64
}

// restart discards the rate and starts to measure it anew.
func (r *serviceRate) restart(now time.Time) {
	r.windowStart = now
	r.grants = nil
	r.last = nil
}

// pause leaves a time out of the measurement.
func (r *serviceRate) pause(d time.Duration) {
	r.windowStart = r.windowStart.Add(d)
}

// count counts a reservation for a request of an urgency.
func (r *serviceRate) count(urgency int, now time.Time) {
	age := now.Sub(r.windowStart)
	if age >= rateWindow {
		r.last = make(map[int]float64, len(r.grants))
		for u, n := range r.grants {
			r.last[u] = float64(n) / age.Seconds()
		}
		r.grants = nil
		r.windowStart = now
	}
	if r.grants == nil {
		r.grants = make(map[int]int)
	}
	r.grants[urgency]++
}

// rate returns how many requests a second are served that are no more urgent than an
// urgency, or zero if that is not known.
func (r *serviceRate) rate(urgency int, now time.Time) float64 {
	if r.last != nil {
		return sumFrom(r.last, urgency)
	}
	age := now.Sub(r.windowStart)
	if age < minRateWindow {
		return 0
	}
	return sumFrom(r.grants, urgency) / age.Seconds()
}

// yields reports whether more urgent requests than those of an urgency are served.
func (r *serviceRate) yields(urgency int) bool {
	for u := range r.grants {
		if u < urgency {
			return true
		}
	}
	for u := range r.last {
		if u < urgency {
			return true
		}
	}
	return false
}

// sumFrom returns the sum of the numbers of all urgencies from one on.
func sumFrom[N int | float64](numbers map[int]N, urgency int) float64 {
	sum := 0.0
	for u, n := range numbers {
		if u >= urgency {
			sum += float64(n)
		}
	}
	return sum
}
