package load

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxtailstack/foxtailstack/platform/standin"
)

// Defaults of Options.
const (
	defaultCallers  = 16
	defaultRequests = 10_000
	defaultDuration = 10 * time.Second
)

// ErrOptions means that a run has no target.
var ErrOptions = errors.New("load needs a URL")

// Options are the options of a run.
type Options struct {
	// URL is the URL of the service, such as
	// https://127.0.0.1:8443/v1/fleets/formula/drafting.
	URL string
	// Token is the caller's token.
	Token string
	// Client sends the requests; nil means http.DefaultClient.
	Client *http.Client
	// Callers is the number of requests in progress; zero means 16.
	Callers int
	// Requests bounds the number of requests; zero means 10,000.
	Requests int
	// Duration bounds the time; zero means 10 s.
	Duration time.Duration
	// Stream asks for streamed answers.
	Stream bool
	// IdempotencyKeys sends a new idempotency key with each request.
	IdempotencyKeys bool
	// Prompt tells the engines how to answer. Its text is replaced.
	Prompt standin.Prompt
}

// Report is the result of a run.
type Report struct {
	Requests int `json:"requests"`
	// Ran, NotRun and Unknown count the outcomes that callers were told.
	Ran     int `json:"ran"`
	NotRun  int `json:"notrun"`
	Unknown int `json:"unknown"`
	// Truncated counts answers that were cut short.
	Truncated int `json:"broken"`
	// Wrong counts answers that claim to be whole and are not the caller's own.
	Wrong  int           `json:"wrong"`
	Rate   float64       `json:"rate"`
	Median time.Duration `json:"p50"`
	P95    time.Duration `json:"p95"`
	P99    time.Duration `json:"p99"`
}

// Run sends requests until a bound is reached and reports how they went.
func Run(ctx context.Context, options Options) (Report, error) {
	if options.URL == "" {
		return Report{}, ErrOptions
	}
	options = options.withDefaults()
	ctx, cancel := context.WithTimeout(ctx, options.Duration)
	defer cancel()
	var next atomic.Int64
	results := make([][]result, options.Callers)
	var group sync.WaitGroup
	began := time.Now()
	for i := range results {
		group.Go(func() {
			for ctx.Err() == nil {
				n := next.Add(1)
				if n > int64(options.Requests) {
					return
				}
				r := options.exchange(ctx, fmt.Sprintf("request %d", n))
				if ctx.Err() == nil {
					results[i] = append(results[i], r)
				}
			}
		})
	}
	group.Wait()
	return summarize(slices.Concat(results...), time.Since(began)), nil
}

// withDefaults returns the options with the defaults filled in.
func (o Options) withDefaults() Options {
	if o.Client == nil {
		o.Client = http.DefaultClient
	}
	if o.Callers == 0 {
		o.Callers = defaultCallers
	}
	if o.Requests == 0 {
		o.Requests = defaultRequests
	}
	if o.Duration == 0 {
		o.Duration = defaultDuration
	}
	return o
}

// summarize returns the report of the results of a run.
func summarize(results []result, elapsed time.Duration) Report {
	report := Report{
		Requests: len(results),
		Rate:     float64(len(results)) / elapsed.Seconds(),
	}
	latencies := make([]time.Duration, 0, len(results))
	for _, r := range results {
		latencies = append(latencies, r.latency)
		switch r.verdict {
		case verdictRan:
			report.Ran++
		case verdictNotRun:
			report.NotRun++
		case verdictBroken:
			report.Truncated++
		case verdictWrong:
			report.Wrong++
		default:
			report.Unknown++
		}
	}
	slices.Sort(latencies)
	report.Median = percentile(latencies, 50)
	report.P95 = percentile(latencies, 95)
	report.P99 = percentile(latencies, 99)
	return report
}

// percentile returns the p-th percentile of sorted latencies, or zero if there
// are none.
func percentile(sorted []time.Duration, p int) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[(len(sorted)-1)*p/100]
}
