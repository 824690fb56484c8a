package measure

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/foxtailstack/foxtailstack/demo"
	"github.com/foxtailstack/foxtailstack/platform/standin"
	"go.uber.org/zap"
)

const (
	// pathTime is how long each way is measured at each number of callers.
	pathTime = time.Second
	// pathTokens is the number of events of a streamed answer.
	pathTokens = 10
	// pathSlots is the number of slots of each engine.
	pathSlots = 2000
	// pathText is the size of the text in a request in bytes.
	pathText = 1000
	// pathTimeout bounds one call.
	pathTimeout = 30 * time.Second
)

// pathCallers are the numbers of callers that call at once.
var pathCallers = []int{1, 16, 64, 1000}

// errPath means that a call did not get its whole answer.
var errPath = errors.New("answer is not whole")

// callFunc makes one call.
type callFunc func(ctx context.Context) error

// Path measures what the way through an entry and a sidecar adds to a direct
// call of the engine. All processes share one on loopback. Each line holds, for
// one kind of answer and number of callers, the median of a direct call, the
// median, the 99th percentile and the rate of calls through the system, the
// processor time that the system adds to a call, and the medians of a bare
// HTTP/1.1 echo and a bare QUIC echo together. Times are in microseconds.
func Path(ctx context.Context, options Options) error {
	return path(ctx, options, pathCallers, pathTime)
}

// path measures each kind of answer with each number of callers for a time.
func path(ctx context.Context, options Options, callers []int, d time.Duration) error {
	system, err := demo.StartWith(ctx, zap.NewNop(), demo.Options{Slots: pathSlots})
	if err != nil {
		return err
	}
	floors, err := newFloors(ctx)
	if err != nil {
		return errors.Join(err, system.Stop())
	}
	defer floors.close()
	for _, stream := range []bool{false, true} {
		for _, n := range callers {
			line, err := pathLine(ctx, system, floors, stream, n, d)
			if err == nil {
				err = options.Report(line)
			}
			if err != nil {
				return errors.Join(err, system.Stop())
			}
		}
	}
	return system.Stop()
}

// pathLine measures one kind of answer with one number of callers.
func pathLine(ctx context.Context, system *demo.System, floors *floors, stream bool, n int, d time.Duration) (Line, error) {
	direct := newCaller(system.Engines[0].EngineURL()+"/v1/completions", stream, n)
	through := newCaller(system.URL(demo.ServiceDraft), stream, n)
	ways := []callFunc{direct.call, through.call, floors.http, floors.quic}
	results := make([]run, len(ways))
	for i, way := range ways {
		result, err := drive(ctx, way, n, d)
		if err != nil {
			return nil, err
		}
		results[i] = result
	}
	kind := "json"
	if stream {
		kind = "stream"
	}
	return Line{
		{
			Key:   "kind",
			Value: kind,
		},
		{
			Key:   "callers",
			Value: n,
		},
		{
			Key:   "direct",
			Value: results[0].percentile(50),
		},
		{
			Key:   "p50",
			Value: results[1].percentile(50),
		},
		{
			Key:   "p99",
			Value: results[1].percentile(99),
		},
		{
			Key:   "rps",
			Value: results[1].rate(),
		},
		{
			Key:   "cpu",
			Value: results[1].processor() - results[0].processor(),
		},
		{
			Key:   "floor",
			Value: results[2].percentile(50) + results[3].percentile(50),
		},
	}, nil
}

// run is the result of driving calls for a time.
type run struct {
	times   []time.Duration
	elapsed time.Duration
	cpu     time.Duration
}

// drive has n callers make calls for a time, at least one each, after a first one each.
func drive(ctx context.Context, call callFunc, n int, d time.Duration) (run, error) {
	var mu sync.Mutex
	var result run
	var errs []error
	var warm, wg sync.WaitGroup
	begin := make(chan struct{})
	var end time.Time
	warm.Add(n)
	for range n {
		wg.Go(func() {
			err := call(ctx)
			warm.Done()
			<-begin
			var times []time.Duration
			for err == nil {
				began := time.Now()
				err = call(ctx)
				times = append(times, time.Since(began))
				if !time.Now().Before(end) {
					break
				}
			}
			mu.Lock()
			defer mu.Unlock()
			result.times = append(result.times, times...)
			if err != nil {
				errs = append(errs, err)
			}
		})
	}
	warm.Wait()
	began, cpu := time.Now(), processorTime()
	end = began.Add(d)
	close(begin)
	wg.Wait()
	result.elapsed = time.Since(began)
	result.cpu = processorTime() - cpu
	slices.Sort(result.times)
	if len(errs) > 0 {
		return result, errs[0]
	}
	return result, nil
}

// percentile returns a percentile of the times in microseconds.
func (r run) percentile(p int) float64 {
	return float64(r.times[(len(r.times)-1)*p/100]) / float64(time.Microsecond)
}

// rate returns the calls a second.
func (r run) rate() float64 {
	return float64(len(r.times)) / r.elapsed.Seconds()
}

// processor returns the processor time of a call in microseconds.
func (r run) processor() float64 {
	return float64(r.cpu) / float64(time.Microsecond) / float64(len(r.times))
}

// caller calls an engine or an entry.
type caller struct {
	client *http.Client
	url    string
	body   string
	stream bool
}

// newCaller returns a caller that keeps n connections.
func newCaller(url string, stream bool, n int) *caller {
	prompt := standin.Prompt{Text: strings.Repeat("x", pathText)}
	if stream {
		prompt.Tokens = pathTokens
	}
	body, _ := json.Marshal(prompt) // a prompt encodes
	return &caller{
		client: &http.Client{
			Timeout: pathTimeout,
			Transport: &http.Transport{
				MaxIdleConnsPerHost: n,
				DisableCompression:  true,
			},
		},
		url:    url,
		body:   string(body),
		stream: stream,
	}
}

// call makes one call and checks that its answer is whole.
func (c *caller) call(ctx context.Context) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url, strings.NewReader(c.body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+demo.Token)
	request.Header.Set("Content-Type", "application/json")
	want := "}\n"
	if c.stream {
		request.Header.Set("Accept", "text/event-stream")
		want = "data: [DONE]\n\n"
	}
	response, err := c.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK || !strings.HasSuffix(string(data), want) {
		return fmt.Errorf("%w: status %d, %d bytes", errPath, response.StatusCode, len(data))
	}
	return nil
}
