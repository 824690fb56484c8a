package booking

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/alexedwards/flow"
	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/fleet"
)

const (
	// listSize is the number of entries of the index read for one answer.
	listSize = 100
	// maxRequest is the length of the longest request in bytes.
	maxRequest = 64 << 10
)

// API lets operators see and settle the bookings whose outcome is unknown.
type API struct {
	Resolver Resolver
}

// Item is an unsettled booking in the API.
type Item struct {
	Team     foxtailstack.TeamName    `json:"team"`
	Fleet    foxtailstack.FleetName   `json:"fleet"`
	Service  foxtailstack.ServiceName `json:"service"`
	Key      string                   `json:"key"`
	State    string                   `json:"state"`
	Attempt  string                   `json:"attempt"`
	Upstream string                   `json:"upstream"`
	At       time.Time                `json:"at"`
}

// Page is a part of the list of unsettled bookings.
type Page struct {
	Items []Item `json:"items"`
	// Next continues the list; empty at its end.
	Next string `json:"next,omitempty"`
}

// Order settles one booking by an operator's word.
type Order struct {
	Team    foxtailstack.TeamName    `json:"team"`
	Fleet   foxtailstack.FleetName   `json:"fleet"`
	Service foxtailstack.ServiceName `json:"service"`
	Key     string                   `json:"key"`
	Attempt string                   `json:"attempt"`
	// Outcome is "ran" or "notrun".
	Outcome  string `json:"outcome"`
	Operator string `json:"operator"`
	Word     string `json:"word"`
}

// errOrder means that an order lacks a field or has a wrong one.
var errOrder = errors.New("a settlement needs a team, service, key, attempt, operator and word, and the outcome ran or notrun")

// Routes adds the routes of the API to mux. Every request goes through guard,
// which admits operators; nil admits everybody.
func (a *API) Routes(mux *flow.Mux, guard func(http.Handler) http.Handler) {
	if guard == nil {
		guard = func(h http.Handler) http.Handler { return h }
	}
	mux.Handle("/v1/bookings", guard(http.HandlerFunc(a.list)), http.MethodGet)
	mux.Handle("/v1/bookings/settle", guard(http.HandlerFunc(a.settle)), http.MethodPost)
}

// list answers a page of unsettled bookings.
func (a *API) list(w http.ResponseWriter, r *http.Request) {
	unsettled, next, err := a.unsettled(r)
	if err != nil {
		writeError(w, err)
		return
	}
	page := Page{
		Items: []Item{},
		Next:  next,
	}
	for _, u := range unsettled {
		page.Items = append(page.Items, Item{
			Team:     u.Team,
			Fleet:    u.Service.Fleet,
			Service:  u.Service.Service,
			Key:      u.Idempotency,
			State:    u.State.String(),
			Attempt:  u.Claim.Attempt.String(),
			Upstream: u.Claim.Upstream,
			At:       u.At,
		})
	}
	writeJSON(w, page)
}

// unsettled returns the bookings for one answer: those listed, or with a team
// and a service those among all its records.
func (a *API) unsettled(r *http.Request) ([]Unsettled, string, error) {
	after := r.FormValue("after")
	name := r.FormValue("team")
	if name == "" {
		return a.Resolver.Recorder.List(r.Context(), after, listSize)
	}
	fleetName, service, _ := strings.Cut(r.FormValue("service"), "/")
	return a.Resolver.Recorder.Scan(r.Context(), Key{
		Team: foxtailstack.TeamName(name),
		Service: fleet.ServiceID{
			Fleet:   foxtailstack.FleetName(fleetName),
			Service: foxtailstack.ServiceName(service),
		},
	}, after, listSize)
}

// settle records an operator's word, after the sidecar has been asked.
func (a *API) settle(w http.ResponseWriter, r *http.Request) {
	var order Order
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequest)).Decode(&order)
	if err != nil {
		writeError(w, errOrder)
		return
	}
	settlement, err := order.settlement()
	if err != nil {
		writeError(w, err)
		return
	}
	key := Key{
		Team: order.Team,
		Service: fleet.ServiceID{
			Fleet:   order.Fleet,
			Service: order.Service,
		},
		Idempotency: order.Key,
	}
	err = a.Resolver.Settle(r.Context(), key, settlement)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, order)
}

// settlement returns the Settlement in an order.
func (o Order) settlement() (Settlement, error) {
	attempt, err := foxtailstack.ParseAttemptID(o.Attempt)
	settlement := Settlement{
		Attempt:  attempt,
		Outcome:  foxtailstack.Ran,
		Operator: o.Operator,
		Word:     o.Word,
	}
	if o.Outcome == foxtailstack.NotRun.String() {
		settlement.Outcome = foxtailstack.NotRun
	}
	if err != nil || o.Outcome != settlement.Outcome.String() || o.Team == "" || o.Fleet == "" ||
		o.Service == "" || o.Key == "" || o.Operator == "" || o.Word == "" {
		return settlement, errOrder
	}
	return settlement, nil
}

// writeError answers the status that stands for err.
func writeError(w http.ResponseWriter, err error) {
	status := http.StatusInternalServerError
	switch {
	case errors.Is(err, errOrder):
		status = http.StatusBadRequest
	case errors.Is(err, ErrNotFound):
		status = http.StatusNotFound
	case errors.Is(err, ErrClaimed), errors.Is(err, ErrSettled), errors.Is(err, ErrRunning):
		status = http.StatusConflict
	case errors.Is(err, ErrUnavailable):
		status = http.StatusServiceUnavailable
		w.Header().Set("Retry-After", strconv.Itoa(1))
	}
	http.Error(w, err.Error(), status)
}

// writeJSON answers v.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the operator may be gone
}
