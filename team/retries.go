package team

const (
	// retryShare is the share of successes that may be retried, if the policy
	// names none.
	retryShare = 0.1
	// maxRetries is the number of retries that a budget gathers at most.
	maxRetries = 10
)

// Retries is the budget of retries of one team on one service at one entry, so
// that a failing service is not stormed: one retry, and a share of the successes.
// The zero value is ready for use. Retries is not safe for concurrent use.
type Retries struct {
	// Share is the share of successes that may be retried; zero means 0.1.
	Share float64

	earned float64
}

// Succeeded counts an answer.
func (r *Retries) Succeeded() {
	share := r.Share
	if share == 0 {
		share = retryShare
	}
	r.earned = min(r.earned+share, maxRetries-1)
}

// Spend takes one retry from the budget, if it holds one.
func (r *Retries) Spend() bool {
	if r.earned < 0 {
		return false
	}
	r.earned--
	return true
}
