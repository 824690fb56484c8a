package fleet

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/alexedwards/flow"
	"github.com/foxtailstack/foxtailstack"
)

// maxSpec is the length of the longest spec in bytes.
const maxSpec = 256 << 10

// API is the resource API.
type API struct {
	Store   Store
	Replica *Replica
}

// Routes adds the routes of the resource API to mux.
func (a *API) Routes(mux *flow.Mux) {
	mux.HandleFunc("/v1/config/:kind", a.list, http.MethodGet)
	mux.HandleFunc("/v1/config/:kind/...", a.get, http.MethodGet)
	mux.HandleFunc("/v1/config/:kind/...", a.put, http.MethodPut)
	mux.HandleFunc("/v1/config/:kind/...", a.remove, http.MethodDelete)
}

// list answers all resources of a kind.
func (a *API) list(w http.ResponseWriter, r *http.Request) {
	kind := Kind(r.PathValue("kind"))
	resources := []Resource{}
	for id, resource := range a.Replica.Snapshot().Resources {
		if id.Kind == kind && !resource.Deleted {
			resources = append(resources, resource)
		}
	}
	writeJSON(w, http.StatusOK, resources)
}

// get answers one resource.
func (a *API) get(w http.ResponseWriter, r *http.Request) {
	resource, err := a.Store.Get(r.Context(), idOf(r))
	if err != nil {
		writeError(w, err)
		return
	}
	writeResource(w, resource)
}

// put creates or replaces a resource.
func (a *API) put(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxSpec))
	if err != nil {
		writeError(w, ErrInvalid)
		return
	}
	id := idOf(r)
	err = id.Check()
	if err == nil {
		_, err = DecodeSpec(id.Kind, data)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	a.commit(w, r, Proposal{
		ID:   id,
		Spec: data,
	})
}

// remove deletes a resource.
func (a *API) remove(w http.ResponseWriter, r *http.Request) {
	a.commit(w, r, Proposal{
		ID:     idOf(r),
		Delete: true,
	})
}

// commit commits a proposal with the version that If-Match names.
func (a *API) commit(w http.ResponseWriter, r *http.Request, proposal Proposal) {
	proposal.ChangeID = foxtailstack.NewChangeID()
	if match := strings.Trim(r.Header.Get("If-Match"), `"`); match != "" {
		n, err := strconv.ParseUint(match, 10, 64)
		if err != nil {
			writeError(w, ErrInvalid)
			return
		}
		proposal.Expect = foxtailstack.Version(n)
	}
	change, err := a.Store.Commit(r.Context(), proposal)
	if err != nil {
		writeError(w, err)
		return
	}
	writeResource(w, change.Resource)
}

// idOf returns the ID in the path of a request.
func idOf(r *http.Request) ID {
	return ID{
		Kind: Kind(r.PathValue("kind")),
		Name: r.PathValue("..."),
	}
}

// writeResource answers a resource with its version as ETag.
func writeResource(w http.ResponseWriter, resource Resource) {
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(uint64(resource.Version), 10)))
	writeJSON(w, http.StatusOK, resource)
}

// writeError answers the problem that stands for err.
func writeError(w http.ResponseWriter, err error) {
	status := http.StatusInternalServerError
	switch {
	case errors.Is(err, ErrInvalid):
		status = http.StatusBadRequest
	case errors.Is(err, ErrNotFound):
		status = http.StatusNotFound
	case errors.Is(err, ErrStale):
		status = http.StatusPreconditionFailed
	case errors.Is(err, ErrUnavailable), errors.Is(err, foxtailstack.ErrUnavailable):
		status = http.StatusServiceUnavailable
	case errors.Is(err, ErrUncertain):
		status = http.StatusGatewayTimeout
	}
	http.Error(w, err.Error(), status)
}

// writeJSON answers v.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the operator may be gone
}
