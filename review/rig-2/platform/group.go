package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Shape of the model group and its times, after the wire examples but with fewer ranks.
const (
	serviceDraft = "draft-llm"
	groupName    = "g0"
	groupSets    = 2
	groupExperts = 24
	groupPlaces  = 8
	groupSlots   = 12
	usualPass    = 50 * time.Millisecond
	prepareTime  = 60 * time.Millisecond
	stallTime    = 1500 * time.Millisecond
	formTime     = 600 * time.Millisecond
	readPasses   = 2
	// fewPieces is the number of events of an answer unless a request says otherwise in
	// piecesHeader, which is for the stand-in alone.
	fewPieces    = 8
	piecesHeader = "X-Pieces"
)

// armedMap is a map that a rank changes to as a pass begins.
type armedMap struct {
	Version uint64 `json:"version"`
	Step    uint64 `json:"step"`
}

// rankState is what a rank knows in one formation of the group.
type rankState struct {
	version, prepared, newest, fence uint64
	lists                            map[uint64][][]int
	armed                            *armedMap
	held                             *uint64
	counts                           []uint64
}

// Group is a stand-in of a model group, whose ranks execute each pass together.
type Group struct {
	Ranks  []*Rank
	Record *Record
	Store  *Store
	// PassTime is the duration of a pass; zero stands for usualPass.
	PassTime time.Duration

	mu    sync.Mutex
	epoch uint64
	step  uint64
	// broken is the rank that keeps the group from working; nil if there is none.
	broken *Rank
	// pass is closed as the next pass begins.
	pass chan struct{}
}

// Rank is one worker of a Group.
type Rank struct {
	Group *Group
	Index int
	ID    string
	// Write is called before an event of an answer is written, with its number. It may crash
	// the rank. It may be nil.
	Write func(r *Rank, request *http.Request, event int)

	address  string
	born     int64
	starts   int
	server   *http.Server
	down     bool
	running  int
	state    rankState
	arrivals []Arrival
}

// newRankState returns the state of a rank as the group opens.
func newRankState() rankState {
	return rankState{
		lists:  make(map[uint64][][]int),
		counts: make([]uint64, groupSets*groupExperts),
	}
}

// Start starts the ranks, each on a host of its own, and lets the group open.
func (g *Group) Start(hosts []string, write func(r *Rank, request *http.Request, event int)) error {
	g.epoch = 1
	g.pass = make(chan struct{})
	for i, host := range hosts {
		listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			return err
		}
		r := &Rank{
			Group:   g,
			Index:   i,
			ID:      fmt.Sprintf("i-r%c", 'a'+i),
			Write:   write,
			address: listener.Addr().String(),
		}
		g.Ranks = append(g.Ranks, r)
		g.mu.Lock()
		r.state = newRankState()
		g.mu.Unlock()
		r.serve(listener)
	}
	go func() {
		for {
			time.Sleep(cmp.Or(g.PassTime, usualPass))
			g.begin()
		}
	}()
	return nil
}

// serve begins a lifetime of the rank.
func (r *Rank) serve(listener net.Listener) {
	r.Group.mu.Lock()
	r.born = time.Now().UnixMilli()
	r.down = false
	r.server = &http.Server{Handler: r}
	server := r.server
	r.Group.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	version := r.Group.Store.Put(tableServers, r.ID, map[string]any{
		"service":         serviceDraft,
		"address":         r.address,
		"zone":            "cph-a",
		"version":         "v1",
		"slots":           groupSlots,
		"state":           "ready",
		"coldRemainingMs": 0,
		"sequence":        0,
		"born":            r.born,
	})
	r.Group.Record.Add("registered", "worker", r.ID, "state", "ready", "ver", version)
}

// Crash ends the rank without a word, and the group stalls. The rank is back after a time under
// a new ID, and the group opens anew after that.
func (r *Rank) Crash(downtime time.Duration) bool {
	g := r.Group
	g.mu.Lock()
	if r.down || g.broken != nil {
		g.mu.Unlock()
		return false
	}
	r.down = true
	g.broken = r
	close(g.pass)
	g.pass = make(chan struct{})
	server, id := r.server, r.ID
	g.mu.Unlock()
	_ = server.Close()
	g.Record.Add("crashed", "worker", id)
	time.AfterFunc(3*heartbeat, func() { g.Store.Remove(tableServers, id) })
	time.AfterFunc(downtime, func() {
		listener, err := net.Listen("tcp", r.address)
		if err != nil {
			g.Record.Add("not-back", "worker", id, "err", err)
			return
		}
		r.starts++
		r.ID = fmt.Sprintf("%s-%d", id[:4], r.starts)
		r.serve(listener)
		time.AfterFunc(formTime, g.open)
	})
	return true
}

// open lets the group open in a new epoch, with nothing of the one before.
func (g *Group) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.epoch++
	g.broken = nil
	for _, r := range g.Ranks {
		r.state = newRankState()
	}
	g.Record.Add("group-opens", "epoch", g.epoch)
}

// begin begins the next pass if the group works, has requests and is not held.
func (g *Group) begin() {
	g.mu.Lock()
	defer g.mu.Unlock()
	running := 0
	for _, r := range g.Ranks {
		running += r.running
		if r.state.held != nil && *r.state.held == g.step+1 {
			return
		}
	}
	if g.broken != nil || running == 0 {
		return
	}
	g.step++
	for _, r := range g.Ranks {
		if r.state.armed != nil && r.state.armed.Step == g.step {
			r.state.version = r.state.armed.Version
			r.state.armed = nil
		}
		for i := range r.state.counts {
			r.state.counts[i] += uint64(10 * r.running)
		}
	}
	close(g.pass)
	g.pass = make(chan struct{})
}

// await waits for the next pass. It returns false if the group does not work or the request has
// ended.
func (g *Group) await(request *http.Request) bool {
	g.mu.Lock()
	pass, broken := g.pass, g.broken
	g.mu.Unlock()
	if broken != nil {
		return false
	}
	select {
	case <-pass:
	case <-request.Context().Done():
		return false
	}
	return g.culprit() == ""
}

// culprit returns the rank that keeps the group from working, or nothing.
func (g *Group) culprit() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.broken == nil {
		return ""
	}
	return g.broken.ID
}

// ServeHTTP serves reports, orders and requests.
func (r *Rank) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	switch {
	case request.URL.Path == "/-/report":
		r.send(w, r.report())
	case request.URL.Path == "/-/picked":
		r.send(w, r.picked(request.URL.Query().Has("lists")))
	case request.URL.Path == "/-/order":
		r.serveOrder(w, request)
	default:
		r.serveRequest(w, request)
	}
}

// send sends a body.
func (r *Rank) send(w http.ResponseWriter, body map[string]any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// report returns the report of the rank.
func (r *Rank) report() map[string]any {
	g := r.Group
	g.mu.Lock()
	defer g.mu.Unlock()
	state := "open"
	if g.broken != nil {
		state = "broken"
	}
	report := map[string]any{
		"group": map[string]any{
			"name":  groupName,
			"epoch": g.epoch,
			"rank":  r.Index,
			"state": state,
		},
		"size":     len(g.Ranks),
		"queued":   0,
		"running":  r.running,
		"pace":     1.0,
		"step":     g.step,
		"map":      r.state.version,
		"prepared": nil,
		"armed":    nil,
		"held":     nil,
		"born":     r.born,
		"stage":    "both",
		"busy":     false,
		"sequence": 0,
		"kvUsed":   0,
		"kvTotal":  372000,
		"handles":  0,
		"models":   []any{},
	}
	if r.state.prepared > 0 {
		report["prepared"] = r.state.prepared
	}
	if r.state.armed != nil {
		report["armed"] = *r.state.armed
	}
	if r.state.held != nil {
		report["held"] = *r.state.held
	}
	return report
}

// picked returns the counts of the rank, or the experts that it holds.
func (r *Rank) picked(lists bool) map[string]any {
	g := r.Group
	g.mu.Lock()
	defer g.mu.Unlock()
	if !lists {
		return map[string]any{
			"step":   g.step,
			"epoch":  g.epoch,
			"counts": append([]uint64{}, r.state.counts...),
		}
	}
	experts := r.state.lists[r.state.version]
	if r.state.version == 0 {
		experts = make([][]int, groupSets)
		for s := range experts {
			for e := r.Index; e < groupExperts; e += len(g.Ranks) {
				experts[s] = append(experts[s], e)
			}
		}
	}
	return map[string]any{
		"epoch": g.epoch,
		"map": map[string]any{
			"version": r.state.version,
			"experts": experts,
		},
	}
}

// mapOrder is an order on the wire.
type mapOrder struct {
	Operation string    `json:"operation"`
	Fence     uint64    `json:"fence"`
	Epoch     uint64    `json:"epoch"`
	Version   uint64    `json:"version"`
	Step      uint64    `json:"step"`
	Map       [][][]int `json:"map"`
}

// serveOrder carries out an order.
func (r *Rank) serveOrder(w http.ResponseWriter, request *http.Request) {
	var o mapOrder
	data, err := io.ReadAll(request.Body)
	if err != nil || json.Unmarshal(data, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.WriteHeader(r.order(o))
}

// order carries out an order and returns its status.
func (r *Rank) order(o mapOrder) int {
	g := r.Group
	g.mu.Lock()
	defer g.mu.Unlock()
	s := &r.state
	if o.Fence < s.fence {
		return http.StatusPreconditionFailed
	}
	s.fence = o.Fence
	begun := o.Step <= g.step
	switch {
	case g.broken != nil || o.Epoch != g.epoch:
		return http.StatusConflict
	case o.Operation == "prepare":
		return r.prepare(o)
	case o.Operation == "arm" && !begun && s.prepared == o.Version && (s.armed == nil || *s.armed == armedMap{
		Version: o.Version,
		Step:    o.Step,
	}):
		s.armed = &armedMap{
			Version: o.Version,
			Step:    o.Step,
		}
	case o.Operation == "disarm" && s.version != o.Version:
		s.armed = nil
	case o.Operation == "hold" && !begun && (s.held == nil || *s.held == o.Step):
		s.held = &o.Step
	case o.Operation == "go" && s.held != nil && *s.held == o.Step:
		s.held = nil
	default:
		return http.StatusConflict
	}
	return http.StatusOK
}

// prepare copies a map. The caller holds mu.
func (r *Rank) prepare(o mapOrder) int {
	g := r.Group
	if r.state.armed != nil || o.Version < r.state.newest || len(o.Map) != groupSets {
		return http.StatusConflict
	}
	if o.Version == r.state.newest {
		return http.StatusOK
	}
	r.state.newest = o.Version
	for _, set := range o.Map {
		r.state.lists[o.Version] = append(r.state.lists[o.Version], set[r.Index])
	}
	epoch := g.epoch
	time.AfterFunc(prepareTime, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.epoch == epoch && r.state.newest == o.Version {
			r.state.prepared = o.Version
		}
	})
	return http.StatusAccepted
}

// serveRequest runs a request: it reads the prompt for some passes and writes an event a pass.
func (r *Rank) serveRequest(w http.ResponseWriter, request *http.Request) {
	g := r.Group
	id := request.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	g.mu.Lock()
	self, running := r.ID, r.running
	full := running >= 3*groupSlots
	g.mu.Unlock()
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", running, groupSlots))
	switch {
	case request.Header.Get("Expect-Instance") != self:
		w.Header().Set("Not-Executed", "1")
		w.Header().Set("Instance-Id", self)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case full:
		r.refuse(w, "")
		return
	}
	g.mu.Lock()
	r.running++
	r.arrivals = append(r.arrivals, Arrival{
		ID:     id,
		Worker: self,
		At:     time.Now(),
	})
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		r.running--
	}()
	g.Record.Add("reaches", "worker", self, "request", id)
	for range readPasses {
		if !g.await(request) {
			r.stall(request)
			r.refuse(w, g.culprit())
			return
		}
	}
	r.answer(w, request, id, self)
}

// refuse answers that the request has not run.
func (r *Rank) refuse(w http.ResponseWriter, culprit string) {
	w.Header().Set("Not-Executed", "1")
	if culprit != "" {
		w.Header().Set("At-Server", culprit)
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// stall waits for as long as work stalls that depends on a rank that is gone.
func (r *Rank) stall(request *http.Request) {
	select {
	case <-time.After(stallTime):
	case <-request.Context().Done():
	}
}

// answer writes the events of an answer after the one that the client has. What is cut off ends in
// a reset.
func (r *Rank) answer(w http.ResponseWriter, request *http.Request, id, self string) {
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id")) // none means from the start
	flush := http.NewResponseController(w)
	pieces, err := strconv.Atoi(request.Header.Get(piecesHeader))
	if err != nil {
		pieces = fewPieces
	}
	for event := last + 1; event <= pieces; event++ {
		if r.Write != nil {
			r.Write(r, request, event)
		}
		if event > last+1 && !r.Group.await(request) {
			r.stall(request)
			r.Group.Record.Add("cut", "worker", self, "request", id, "event", event)
			panic(http.ErrAbortHandler)
		}
		if event == last+1 {
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("Response-Stamp", "stamp."+self+"."+id)
			w.Header().Set("Weight-Versions", "1")
		}
		fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", event, event, strings.TrimSpace(id))
		_ = flush.Flush()
	}
	r.Group.Record.Add("ran", "worker", self, "request", id)
}
