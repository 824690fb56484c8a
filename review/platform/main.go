// Review-stand runs the scripts of the review: the project's own programs beside stand-ins of the
// platform's store, of workers and of clients.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// bench is what a case runs on.
type bench struct {
	record  *record
	store   *store
	entries []*entry
	runs    *runs
	calls   *calls
	workers []*worker
	dir     string
	trouble bool
}

// route returns a route of the configuration.
func route(name, kind, service string, timeoutMs int, more map[string]any) map[string]any {
	r := map[string]any{
		"name":            "r-" + name,
		"host":            host,
		"prefix":          "/" + name + "/",
		"kind":            kind,
		"timeoutMs":       timeoutMs,
		"targetLatencyMs": 150,
		"priority":        1,
		"service":         service,
		"maxAttempts":     1,
		"public":          false,
	}
	for key, value := range more {
		r[key] = value
	}
	return r
}

// config is the configuration: the routes of saft-router, before one service.
func config(version int) map[string]any {
	const service = "wuno96b"
	stream := map[string]any{
		"targetLatencyMs": 400,
		"gapAimMs":        120,
	}
	resumable := map[string]any{
		"targetLatencyMs": 1000,
		"gapAimMs":        120,
		"resumable":       true,
		"maxAttempts":     2,
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("unsafe", "unsafe", service, 1200, nil),
			route("safe", "safe", service, 1200, map[string]any{"maxAttempts": 2}),
			route("once", "streaming", service, 8000, stream),
			route("stream", "streaming", service, 8000, resumable),
		},
		"services": []any{
			map[string]any{
				"name":           service,
				"healthPath":     "/health",
				"maxConnections": 358,
				"protocol":       "h1",
				"tls":            false,
			},
		},
		"limits": map[string]any{
			"maxHeaderBytes":  16384,
			"maxBodyBytes":    4194304,
			"headerTimeoutMs": 3000,
			"idleTimeoutMs":   15000,
		},
		"tenants": []any{
			map[string]any{
				"name":     "hule930",
				"apiKeys":  []string{apiKey},
				"priority": 1,
			},
		},
	}
}

// cases holds the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(b *bench) (bool, error){
	"interference": interference,
	"head":         func(b *bench) (bool, error) { return endless(b, endlessHead) },
	"body":         func(b *bench) (bool, error) { return endless(b, endlessBody) },
}

// Exit codes.
const (
	exitBroken = 1
	exitFailed = 2
)

// caseLimit is the longest time that a case may take.
const caseLimit = 110 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-stand CASE FOLDER")
		os.Exit(exitFailed)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

// result is how a case ended.
type result struct {
	broken bool
	err    error
}

// runCase runs a case, ends all that it started and returns the exit code.
func runCase(name, folder string) int {
	b, err := newBench(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer b.close()
	ended := make(chan result, 1)
	go func() {
		broken, err := cases[name](b)
		ended <- result{
			broken: broken,
			err:    err,
		}
	}()
	var got result
	select {
	case got = <-ended:
	case <-time.After(caseLimit):
		got.err = fmt.Errorf("not done after %s", caseLimit)
	}
	switch {
	case got.err != nil:
		b.record.printf("could not run: %v", got.err)
		return exitFailed
	case got.broken:
		b.record.printf("rule broken")
		return exitBroken
	}
	b.record.printf("rule held")
	return 0
}

// newBench returns what a case runs on. Its record goes into a folder.
func newBench(folder string) (*bench, error) {
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	return &bench{
		record:  r,
		store:   newStore(),
		runs:    &runs{of: make(map[string][]*run)},
		calls:   &calls{entries: make(map[string]string)},
		dir:     dir,
		trouble: os.Getenv("TROUBLE") != "0",
	}, nil
}

// close ends all processes that the case started and removes what it wrote.
func (b *bench) close() {
	b.stop()
	_ = os.RemoveAll(b.dir)
	_ = b.record.file.Close()
}

// stop ends all processes that the case started.
func (b *bench) stop() {
	for _, e := range b.entries {
		e.stop()
	}
}

// zones of the deployment.
var zones = []string{"cph-a", "cph-b", "roskilde"}

// begin starts store, workers and entries, and waits until the entries are ready.
func (b *bench) begin(entries, workers, slots int) error {
	b.store.put("op", "config", config(1))
	address := freeAddress()
	err := b.store.serve(address)
	if err != nil {
		return err
	}
	for i := range workers {
		w := &worker{
			name:    fmt.Sprintf("i-%08x", 0x7f3a91c2+i),
			service: "wuno96b",
			zone:    zones[i%len(zones)],
			slots:   slots,
			runs:    b.runs,
		}
		err = w.start(b.store)
		if err != nil {
			return err
		}
		b.workers = append(b.workers, w)
	}
	for i := range entries {
		e := newEntry(b.dir, fmt.Sprintf("front-%d", i+1), address)
		err = e.start()
		if err != nil {
			return err
		}
		b.entries = append(b.entries, e)
		go e.guard(b.record)
	}
	for _, e := range b.entries {
		if !e.awaitReady(10 * time.Second) {
			return fmt.Errorf("%s is not ready", e.name)
		}
	}
	b.record.printf("%d entries are ready, with %d workers", entries, workers)
	return nil
}

// newClient returns a client of the nth entry.
func (b *bench) newClient(n int) *client {
	e := b.entries[n%len(b.entries)]
	return &client{
		address: func() string { return e.front },
		entryOf: func(string) string { return e.name },
		calls:   b.calls,
	}
}

// repeat lets n clients at each entry call f, each again and again with a pause, until a time.
func (b *bench) repeat(wg *sync.WaitGroup, n int, until time.Time, pause time.Duration, f func(c *client)) {
	for i := range n * len(b.entries) {
		wg.Go(func() {
			c := b.newClient(i)
			defer c.close()
			time.Sleep(time.Duration(i) * pause / time.Duration(n*len(b.entries)))
			for time.Now().Before(until) {
				f(c)
				time.Sleep(pause)
			}
		})
	}
}
