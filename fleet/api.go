package fleet

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/alexedwards/flow"
	"github.com/foxtailstack/foxtailstack"
)

const (
	// defaultLimit and maxLimit bound the resources in one answer.
	defaultLimit = 100
	maxLimit     = 500
)

// Paths of the resource API.
const (
	PathConfig = "/v1/config/"
	PathWatch  = "/v1/watch"
	PathState  = "/v1/state"
)

// API is the resource API.
type API struct {
	Store   Store
	Replica *Replica
	// Status returns how far a revision has spread.
	Status func(foxtailstack.Revision) Status
	// Ready reports whether the process has a configuration; nil means always.
	Ready func() bool
	// Hash is the SHA-256 hash of the token of the first admin in hexadecimal;
	// empty means that there is none.
	Hash string
	// Open lets everyone in as an admin.
	Open bool

	mu     sync.Mutex
	done   chan struct{}
	closed bool
}

// State is what has become of a resource or of a revision.
type State struct {
	// Revision is the revision in force in the process that answers.
	Revision foxtailstack.Revision `json:"revision"`
	// InForce of Total processes have the revision asked for or a later one.
	InForce int `json:"inforce"`
	Total   int `json:"total"`
}

// View is a resource as the API shows it.
type View struct {
	Resource
	State State `json:"state"`
}

// Page is a part of a list of resources.
type Page struct {
	Items []View `json:"items"`
	// Continue asks for the next part; empty after the last one.
	Continue string                `json:"continue,omitempty"`
	Revision foxtailstack.Revision `json:"revision"`
}

// Routes adds the routes of the resource API to mux.
func (a *API) Routes(mux *flow.Mux) {
	mux.HandleFunc(PathWatch, a.watch, http.MethodGet)
	mux.HandleFunc(PathState, a.spread, http.MethodGet)
	mux.HandleFunc(PathConfig+":kind", a.list, http.MethodGet)
	mux.HandleFunc(PathConfig+":kind/...", a.get, http.MethodGet)
	mux.HandleFunc(PathConfig+":kind/...", a.put, http.MethodPut)
	mux.HandleFunc(PathConfig+":kind/...", a.patch, http.MethodPatch)
	mux.HandleFunc(PathConfig+":kind/...", a.remove, http.MethodDelete)
	mux.HandleFunc(PathConfig+"...", func(w http.ResponseWriter, _ *http.Request) { writeError(w, ErrMethod) })
	mux.HandleFunc(PathWatch, func(w http.ResponseWriter, _ *http.Request) { writeError(w, ErrMethod) })
}

// Close ends all watches.
func (a *API) Close() {
	done := a.ended()
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.closed {
		a.closed = true
		close(done)
	}
}

// ended returns a channel that Close closes.
func (a *API) ended() chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done == nil {
		a.done = make(chan struct{})
	}
	return a.done
}

// list answers the resources of a kind, in the order of their names.
func (a *API) list(w http.ResponseWriter, r *http.Request) {
	who, err := a.identify(r)
	if err != nil {
		writeError(w, err)
		return
	}
	kind := Kind(r.PathValue("kind"))
	limit, last, err := paging(r)
	if err == nil && nameParts[kind] == 0 {
		err = fmt.Errorf("%w: unknown kind %q", ErrNotFound, kind)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	snapshot := a.Replica.Snapshot()
	var found []Resource
	for id, resource := range snapshot.Resources {
		if id.Kind == kind && id.Name > last && !resource.Deleted && who.mayRead(id) {
			found = append(found, resource)
		}
	}
	slices.SortFunc(found, func(a, b Resource) int { return strings.Compare(a.Name, b.Name) })
	page := Page{
		Items:    []View{},
		Revision: snapshot.Revision,
	}
	if len(found) > limit {
		found = found[:limit]
		page.Continue = base64.RawURLEncoding.EncodeToString([]byte(found[limit-1].Name))
	}
	for _, resource := range found {
		page.Items = append(page.Items, a.view(resource))
	}
	writeJSON(w, http.StatusOK, page)
}

// paging returns the limit and the last name before the part that r asks for.
func paging(r *http.Request) (limit int, last string, err error) {
	limit = defaultLimit
	query := r.URL.Query()
	if text := query.Get("limit"); text != "" {
		limit, err = strconv.Atoi(text)
		if err != nil || limit < 1 || limit > maxLimit {
			return 0, "", fmt.Errorf("%w: limit %q is not in 1 to %d", ErrInvalid, text, maxLimit)
		}
	}
	name, err := base64.RawURLEncoding.DecodeString(query.Get("continue"))
	if err != nil {
		return 0, "", fmt.Errorf("%w: continue %q is not a token of this API", ErrInvalid, query.Get("continue"))
	}
	return limit, string(name), nil
}

// get answers one resource. While the table is down it answers what is in force
// in this process.
func (a *API) get(w http.ResponseWriter, r *http.Request) {
	who, err := a.identify(r)
	id := idOf(r)
	if err == nil {
		err = id.Check()
	}
	if err == nil && !who.mayRead(id) {
		err = fmt.Errorf("%w: team of others", ErrForbidden)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	resource, err := a.Store.Get(r.Context(), id)
	if errors.Is(err, ErrUnavailable) && a.Replica.Snapshot().Revision > 0 {
		resource, err = a.inForce(id)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	a.writeResource(w, http.StatusOK, resource)
}

// inForce returns a resource as it is in force, or ErrNotFound.
func (a *API) inForce(id ID) (Resource, error) {
	resource, ok := a.Replica.Snapshot().Resources[id]
	if !ok || resource.Deleted {
		return Resource{}, ErrNotFound
	}
	return resource, nil
}

// spread answers how far the revision in the query has spread.
func (a *API) spread(w http.ResponseWriter, r *http.Request) {
	_, err := a.identify(r)
	if err != nil {
		writeError(w, err)
		return
	}
	text := r.URL.Query().Get("revision")
	revision, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		writeError(w, fmt.Errorf("%w: revision %q is not a number", ErrInvalid, text))
		return
	}
	writeJSON(w, http.StatusOK, a.state(foxtailstack.Revision(revision)))
}

// idOf returns the ID in the path of a request.
func idOf(r *http.Request) ID {
	return ID{
		Kind: Kind(r.PathValue("kind")),
		Name: r.PathValue("..."),
	}
}

// state returns how far a revision has spread.
func (a *API) state(revision foxtailstack.Revision) State {
	state := State{Revision: a.Replica.Snapshot().Revision}
	if a.Status != nil {
		status := a.Status(revision)
		state.InForce = status.InForce
		state.Total = status.Total
	}
	return state
}

// view returns a resource with its state.
func (a *API) view(resource Resource) View {
	return View{
		Resource: resource,
		State:    a.state(resource.Revision),
	}
}

// writeResource answers a resource with its version as ETag.
func (a *API) writeResource(w http.ResponseWriter, status int, resource Resource) {
	w.Header().Set("ETag", etag(resource.Version))
	writeJSON(w, status, a.view(resource))
}

// writeJSON answers v.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", contentJSON)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the operator may be gone
}
