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

// ErrOptions means that Options.URL is empty.
var ErrOptions = errors.New("load: no URL given")

// Options configures a run.
type Options struct {
	// URL is the URL of the service, such as
	// https://127.0.0.1:8443/v1/fleets/formula/drafting.
	URL string
	// Token is the caller's API token.
	Token string
	// Client sends the requests; nil means http.DefaultClient.
	Client *http.Client
	// Callers is the number of concurrent requests; zero means 16.
	Callers int
	// Requests limits the number of requests; zero means 10,000.
	Requests int
	// Duration limits the time of the run; zero means 10 s.
	Duration time.Duration
	// Stream requests streamed responses.
	Stream bool
	// IdempotencyKeys sends a new idempotency key with each request.
	IdempotencyKeys bool
	// Prompt determines the responses of the engines. Its Text is replaced for
	// each request.
	Prompt standin.Prompt
}

// Report is the result of a run.
type Report struct {
	// Requests counts the requests with a result. A request in progress when the
	// duration of the run ends has none.
	Requests int `json:"requests"`
	// Ran, NotRun and Unknown count the outcomes that the service reported to
	// callers. NotRun also counts requests that could not be built, and Unknown
	// those without a response or whose response states no outcome.
	Ran     int `json:"ran"`
	NotRun  int `json:"notrun"`
	Unknown int `json:"unknown"`
	// Truncated counts responses that ended early.
	Truncated int `json:"broken"`
	// Wrong counts responses that are reported as run but whose body does not match
	// the request.
	Wrong int `json:"wrong"`
	// Rate is the number of results per second. The percentiles are of the latencies
	// of all results, failed ones included.
	Rate   float64       `json:"rate"`
	Median time.Duration `json:"p50"`
	P95    time.Duration `json:"p95"`
	P99    time.Duration `json:"p99"`
}

// Run sends requests until a limit of options is reached, and reports the outcomes
// and latencies. Requests in progress when the duration ends are canceled and not
// reported.
func Run(ctx context.Context, options Options) (Report, error) {
	if options.URL == "" {
		return Report{}, ErrOptions
	}
	options = options.withDefaults()
	ctx, cancel := context.WithTimeout(ctx, options.Duration)
	defer cancel()
	var requestNumber atomic.Int64
	results := make([][]result, options.Callers)
	var callers sync.WaitGroup
	started := time.Now()
	for i := range results {
		callers.Go(func() {
			for ctx.Err() == nil {
				n := requestNumber.Add(1)
				if n > int64(options.Requests) {
					return
				}
				r := options.sendTimed(ctx, fmt.Sprintf("request %d", n))
				if ctx.Err() == nil {
					results[i] = append(results[i], r)
				}
			}
		})
	}
	callers.Wait()
	return summarize(slices.Concat(results...), time.Since(started)), nil
}

// withDefaults returns the options with zero values replaced by the defaults.
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

// summarize returns the report of a run with the given results.
func summarize(results []result, elapsed time.Duration) Report {
	report := Report{
		Requests: len(results),
		Rate:     float64(len(results)) / elapsed.Seconds(),
	}
	latencies := make([]time.Duration, 0, len(results))
	for _, r := range results {
		latencies = append(latencies, r.latency)
		switch r.outcome {
		case outcomeRan:
			report.Ran++
		case outcomeNotRun:
			report.NotRun++
		case outcomeTruncated:
			report.Truncated++
		case outcomeWrong:
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

// percentile returns the p-th percentile of sorted latencies, or zero if there are
// none.
func percentile(sorted []time.Duration, p int) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[(len(sorted)-1)*p/100]
}
