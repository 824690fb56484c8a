package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/foxtailstack/foxtailstack/platform/standin"
)

// streamEvents is the number of events of a stream.
const streamEvents = 12

// ledger counts the runs of each request at all upstreams.
type ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

func newLedger() *ledger {
	return &ledger{runs: make(map[string]int)}
}

// count counts a run of a request.
func (l *ledger) count(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
}

// of returns how often a request has run.
func (l *ledger) of(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// answer serves a plain request.
func (l *ledger) answer(w http.ResponseWriter, r *http.Request) {
	id := standin.RequestOf(r)
	l.count(id)
	time.Sleep(10 * time.Millisecond)
	standin.Prove(w, r)
	if r.URL.Path == longPath {
		_, _ = w.Write(make([]byte, longAnswer)) // the caller may have left
		return
	}
	_, _ = io.WriteString(w, "answer to "+id) // the caller may have left
}

// stream serves a stream, an event a pass.
func (l *ledger) stream(w http.ResponseWriter, r *http.Request, wait func() bool) {
	id := standin.RequestOf(r)
	l.count(id)
	standin.Prove(w, r)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := standin.LastEventOf(r) + 1; n <= streamEvents; n++ {
		if !wait() {
			panic(http.ErrAbortHandler) // the connection ends, so that the stream is not taken for whole
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, id)
		_ = http.NewResponseController(w).Flush()
	}
}

// call is a request with the response that its caller received.
type call struct {
	id, kind, key string
	entry         int
	sent, ended   time.Time
	status        int
	body          string
	// whole is set if the response was complete.
	whole bool
}

// ok reports whether the caller has a whole success.
func (c *call) ok() bool {
	return c.status == http.StatusOK && c.whole
}

// wrong describes how the body of a success differs from the expected one; empty if it
// does not.
func (c *call) wrong() string {
	if !c.ok() {
		return ""
	}
	if c.kind != "model" {
		if c.body != "answer to "+c.id {
			return fmt.Sprintf("body is %q", c.body)
		}
		return ""
	}
	var want strings.Builder
	for n := 1; n <= streamEvents; n++ {
		fmt.Fprintf(&want, "id: %d\ndata: %s\n\n", n, c.id)
	}
	if c.body != want.String() {
		return fmt.Sprintf("events are %q", c.body)
	}
	return ""
}

// callers sends requests and records the responses.
type callers struct {
	system *system

	mu    sync.Mutex
	next  int
	calls []*call
	// key is in force; gone holds when former keys were removed.
	key  string
	gone map[string]time.Time
}

// run sends requests until ctx ends.
func (c *callers) run(ctx context.Context) {
	var wg sync.WaitGroup
	for worker := range 9 {
		wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			for ctx.Err() == nil {
				c.send(client, worker%*entries)
				time.Sleep(time.Duration(20+worker*7) * time.Millisecond)
			}
		})
	}
	wg.Wait()
}

// begin returns the next request.
func (c *callers) begin(entry int) *call {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	kinds := []string{"booking", "lookup", "model"}
	made := &call{
		id:    fmt.Sprintf("r%d", c.next),
		kind:  kinds[c.next%len(kinds)],
		key:   c.key,
		entry: entry,
		sent:  time.Now(),
	}
	if len(c.gone) > 0 && c.next%11 == 0 {
		for key := range c.gone {
			made.key = key
		}
	}
	c.calls = append(c.calls, made)
	return made
}

// entryOf returns the entry that a request was sent to, or -1 if it is none of the callers'.
func (c *callers) entryOf(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	var n int
	_, err := fmt.Sscanf(id, "r%d", &n)
	if err != nil || n < 1 || n > len(c.calls) {
		return -1
	}
	return c.calls[n-1].entry
}

// send sends one request and waits for its end.
func (c *callers) send(client *http.Client, entry int) {
	made := c.begin(entry)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	status, body, whole := c.exchange(ctx, client, made)
	c.mu.Lock()
	defer c.mu.Unlock()
	made.status, made.body, made.whole = status, body, whole
	made.ended = time.Now()
}

// exchange sends one request and reads its answer.
func (c *callers) exchange(ctx context.Context, client *http.Client, made *call) (int, string, bool) {
	url := "http://" + c.system.address(entryMachine, made.entry, callersPort) + "/" + made.kind + "/x"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return 0, "", false
	}
	request.Host = standin.ConfigHost
	request.Header = standin.CallerHeader(made.id, made.key, 4*time.Second)
	response, err := client.Do(request)
	if err != nil {
		return 0, "", false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(bufio.NewReader(response.Body))
	return response.StatusCode, string(body), err == nil
}

// between returns the calls that were sent in a time and have ended.
func (c *callers) between(from, to time.Time) []*call {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found []*call
	for _, made := range c.calls {
		if made.sent.After(from) && made.sent.Before(to) && !made.ended.IsZero() {
			found = append(found, made)
		}
	}
	return found
}
