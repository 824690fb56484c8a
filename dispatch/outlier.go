package dispatch

import "time"

const (
	// outlierFailures is the number of failures in a row after which an upstream is ejected.
	outlierFailures = 5
	// outlierTime is how long it is ejected then. The time doubles with each failure of a
	// request that was sent after the last ejection, up to maxOutlierTime.
	outlierTime    = 400 * time.Millisecond
	maxOutlierTime = 6400 * time.Millisecond
)

// outlier detects an upstream whose responses fail one after the other, though it takes
// connections and may look idle. The zero value has seen no failure.
type outlier struct {
	// failures counts the failures since the last answer.
	failures int
	// ejections counts the ejections since then, ejectedAt is the time of the last.
	ejections int
	ejectedAt time.Time
}

// fail records that a request failed which was sent at a time. It returns for how long the
// upstream is ejected; zero if it is not. Requests that fail together count as one.
func (o *outlier) fail(sentAt, now time.Time) time.Duration {
	o.failures++
	if o.failures < outlierFailures || sentAt.Before(o.ejectedAt) {
		return 0
	}
	d := min(outlierTime<<min(o.ejections, 10), maxOutlierTime)
	o.ejections++
	o.ejectedAt = now
	return d
}

// answer records that the upstream has answered.
func (o *outlier) answer() {
	*o = outlier{}
}
