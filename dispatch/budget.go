package dispatch

import (
	"sync"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

const (
	// windowBuckets is the number of buckets that the sliding window is divided into.
	windowBuckets = 10
	// budgetMargin is the fraction of the permitted retries that is used. The window
	// slides, and other entries count on their own, so that the sum over all could
	// otherwise exceed the budget in some window.
	budgetMargin = 0.85
)

// RetryBudget limits the retries of each service in a sliding window. It must not be
// copied after first use.
type RetryBudget struct {
	// Ratio is the permitted number of retries per request, not counting the retries
	// as requests.
	Ratio float64
	// Window is the length of the window in which requests and retries are counted.
	// Zero and other values below one second count as one second.
	Window time.Duration
	// Slack is the number of retries in a window that all entries together may
	// make in addition.
	Slack int
	// LoadShare returns the fraction of the requests of all entries that this one gets,
	// and so the fraction of Slack that it may use. If it is nil there are no others.
	LoadShare func() float64
	// Started is the time at which the process started. In the first Window after it
	// no Slack is used: the process that ran here before may have used it.
	Started time.Time

	mu sync.Mutex
	// began is the time of the first bucket. Buckets are numbered by the time since then,
	// which the time of day does not change.
	began    time.Time
	counters map[foxtailstack.ServiceName]*windowCounter
}

// windowCounter counts the requests and retries of one service in the buckets of the
// window.
type windowCounter struct {
	// newest is the number of the newest bucket, counted from the first one of the budget.
	newest   int64
	requests [windowBuckets]int
	retries  [windowBuckets]int
}

// CountRequest counts a request to a service. It must be called once for each request,
// and not for its retries.
func (b *RetryBudget) CountRequest(service foxtailstack.ServiceName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	counter, bucket := b.currentBucket(service)
	counter.requests[bucket]++
}

// AllowRetry reports whether the budget permits a retry, and counts the retry if so.
func (b *RetryBudget) AllowRetry(service foxtailstack.ServiceName) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	counter, bucket := b.currentBucket(service)
	permitted := b.Ratio*float64(sum(counter.requests)) + b.ownSlack()
	if float64(sum(counter.retries)+1) > budgetMargin*permitted {
		return false
	}
	counter.retries[bucket]++
	return true
}

// ownSlack returns the part of Slack that this process may use.
func (b *RetryBudget) ownSlack() float64 {
	switch {
	case time.Since(b.Started) < b.window():
		return 0
	case b.LoadShare == nil:
		return float64(b.Slack)
	}
	return float64(b.Slack) * b.LoadShare()
}

// window returns the length of the window.
func (b *RetryBudget) window() time.Duration {
	return max(b.Window, time.Second)
}

// currentBucket returns the counter of a service and the index of its present bucket.
// It clears the buckets that have left the window. The caller holds mu.
func (b *RetryBudget) currentBucket(service foxtailstack.ServiceName) (*windowCounter, int) {
	if b.counters == nil {
		b.counters = make(map[foxtailstack.ServiceName]*windowCounter)
	}
	counter, ok := b.counters[service]
	if !ok {
		counter = &windowCounter{}
		b.counters[service] = counter
	}
	if b.began.IsZero() {
		b.began = time.Now()
	}
	length := b.window() / windowBuckets
	now := int64(time.Since(b.began) / length)
	if now-counter.newest >= windowBuckets {
		*counter = windowCounter{newest: now}
	}
	for counter.newest < now {
		counter.newest++
		counter.requests[counter.newest%windowBuckets] = 0
		counter.retries[counter.newest%windowBuckets] = 0
	}
	return counter, int(now % windowBuckets)
}

// sum returns the sum of the buckets.
func sum(buckets [windowBuckets]int) int {
	total := 0
	for _, n := range buckets {
		total += n
	}
	return total
}
