package entry_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/alexedwards/flow"
	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/booking"
	"github.com/foxtailstack/foxtailstack/entry"
	"github.com/foxtailstack/foxtailstack/fleet"
	"github.com/foxtailstack/foxtailstack/internal/memstore"
	"github.com/foxtailstack/foxtailstack/keys"
	"github.com/foxtailstack/foxtailstack/platform/standin"
	"github.com/foxtailstack/foxtailstack/team"
	"github.com/foxtailstack/foxtailstack/timeline"
	"github.com/foxtailstack/foxtailstack/upstream"
	"github.com/foxtailstack/foxtailstack/wire"
)

// system is an entry with sidecars and engines, all in this process and connected
// over loopback.
type system struct {
	url     string
	engines []*standin.Engine
	chooser *chooser
}

// chooser picks an untried upstream, at random or, if ordered is set, the first by
// name. If all have been tried, it picks among all.
type chooser struct {
	replica *fleet.Replica
	ordered bool

	mu      sync.Mutex
	results []entry.AttemptResult
}

func (c *chooser) Choose(_ context.Context, q entry.Query) (fleet.Member, bool) {
	var untried, all []fleet.Member
	for _, member := range c.replica.Snapshot().Upstreams[q.Service] {
		all = append(all, member)
		if !slices.Contains(q.Avoid, member.ID.Upstream) {
			untried = append(untried, member)
		}
	}
	if len(untried) == 0 {
		untried = all
	}
	slices.SortFunc(untried, func(a, b fleet.Member) int { return strings.Compare(string(a.ID.Upstream), string(b.ID.Upstream)) })
	if c.ordered {
		return untried[0], true
	}
	return untried[rand.IntN(len(untried))], true
}

func (c *chooser) Report(_ fleet.Member, result entry.AttemptResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, result)
}

// limiter admits everything.
type limiter struct{}

func (limiter) Admit(foxtailstack.TeamName, foxtailstack.Tokens) (time.Duration, bool) {
	return 0, true
}

// serve serves a mux on loopback until the test ends and returns its address.
func serve(t testing.TB, mux *wire.Mux, config keys.Config) foxtailstack.Address {
	t.Helper()
	addr, err := mux.Listen("127.0.0.1:0", config.Peer)
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- mux.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-served
	})
	return foxtailstack.Address(addr.String())
}

// newConfig returns a TLS configuration for processes on loopback.
func newConfig(t testing.TB) keys.Config {
	t.Helper()
	config, err := keys.NewLoopback()
	if err != nil {
		t.Fatalf("make TLS keys: %v", err)
	}
	return config
}

// newSystem starts an entry, and for each number of slots a sidecar with an engine.
func newSystem(t testing.TB, policy fleet.Policy, slots ...int) *system {
	t.Helper()
	config := newConfig(t)
	s := &system{}
	var addresses []foxtailstack.Address
	for i, n := range slots {
		engine := &standin.Engine{}
		s.engines = append(s.engines, engine)
		server := httptest.NewServer(engine)
		t.Cleanup(server.Close)
		sidecar := &upstream.Server{
			Upstream:    fmt.Sprintf("f/s/w%d", i),
			Incarnation: foxtailstack.NewIncarnation(),
			Engine:      upstream.NewHTTPEngine(server.URL),
			Admission:   upstream.NewAdmissionController(n),
			Ledger:      &booking.Ledger{},
			Ring:        &timeline.Ring{},
		}
		mux := &wire.Mux{}
		mux.Handle(upstream.StreamAttempt, sidecar.ServeAttempt)
		addresses = append(addresses, serve(t, mux, config))
	}
	s.start(t, policy, config, addresses)
	return s
}

// start starts the entry for sidecars at the given addresses.
func (s *system) start(t testing.TB, policy fleet.Policy, config keys.Config, addresses []foxtailstack.Address) {
	t.Helper()
	specs := map[fleet.ID]fleet.Spec{
		{
			Kind: fleet.KindFleet,
			Name: "f",
		}: fleet.Fleet{},
		{
			Kind: fleet.KindTeam,
			Name: "t",
		}: fleet.Team{Callers: []string{team.Hash("token")}},
		{
			Kind: fleet.KindPolicy,
			Name: "f/p",
		}: policy,
		{
			Kind: fleet.KindService,
			Name: "f/s",
		}: fleet.Service{
			Path:   "/v1",
			Policy: "p",
			Model:  "m",
		},
	}
	for i, address := range addresses {
		specs[fleet.ID{
			Kind: fleet.KindUpstream,
			Name: fmt.Sprintf("f/s/w%d", i),
		}] = fleet.Upstream{
			Address: address,
			Centre:  "c",
			Slots:   1,
		}
	}
	store := fleet.Store{Table: &memstore.Store{}}
	for id, spec := range specs {
		data, err := json.Marshal(spec)
		if err != nil {
			t.Fatalf("encode %v: %v", id, err)
		}
		_, err = store.Commit(t.Context(), fleet.Proposal{
			ChangeID: foxtailstack.NewChangeID(),
			ID:       id,
			Spec:     data,
		})
		if err != nil {
			t.Fatalf("commit %v: %v", id, err)
		}
	}
	replica := &fleet.Replica{}
	err := fleet.Poller{
		Store:   store,
		Replica: replica,
	}.Poll(t.Context())
	if err != nil {
		t.Fatalf("poll the store: %v", err)
	}
	client := wire.NewClient(config.Peer)
	t.Cleanup(client.Close)
	s.chooser = &chooser{replica: replica}
	callers := &entry.Server{
		Replica: replica,
		Client:  client,
		Ring:    &timeline.Ring{},
		Chooser: s.chooser,
		Limiter: limiter{},
	}
	routes := flow.New()
	callers.Routes(routes)
	server := httptest.NewServer(routes)
	t.Cleanup(server.Close)
	s.url = server.URL + "/v1/fleets/f/s"
}

// answer holds the parts of a caller's answer that tests compare.
type answer struct {
	status  int
	outcome string
	retry   bool
	// texts holds the texts of the chunks of the answer, in order.
	texts []string
	err   error
}

// send sends a request and reads its answer.
func (s *system) send(ctx context.Context, prompt standin.Prompt, stream bool) answer {
	body, err := json.Marshal(prompt)
	if err != nil {
		return answer{err: err}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url, strings.NewReader(string(body)))
	if err != nil {
		return answer{err: err}
	}
	request.Header.Set("Authorization", "Bearer token")
	if stream {
		request.Header.Set("Accept", "text/event-stream")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	a := answer{
		status: response.StatusCode,
		retry:  response.Header.Get("Retry-After") != "",
	}
	data, err := io.ReadAll(response.Body)
	a.err = err
	a.texts = textsOf(string(data))
	a.outcome = response.Header.Get(entry.HeaderOutcome) + response.Trailer.Get(entry.HeaderOutcome)
	return a
}

// textsOf returns the texts of the chunks in the body of an answer.
func textsOf(body string) []string {
	var texts []string
	scanner := bufio.NewScanner(strings.NewReader(body))
	for scanner.Scan() {
		line := strings.TrimPrefix(scanner.Text(), "data: ")
		var chunk standin.Chunk
		switch {
		case line == "[DONE]":
			texts = append(texts, line)
		case json.Unmarshal([]byte(line), &chunk) == nil && chunk.Text != "":
			texts = append(texts, chunk.Text)
		}
	}
	return texts
}

// textsFor returns the texts of the complete answer to a prompt.
func textsFor(prompt standin.Prompt, stream bool) []string {
	if !stream {
		return []string{"answer to " + prompt.Text}
	}
	var texts []string
	for i := range prompt.Tokens {
		texts = append(texts, fmt.Sprintf("token %d of %s", i+1, prompt.Text))
	}
	return append(texts, "[DONE]")
}
