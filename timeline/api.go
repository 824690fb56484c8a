package timeline

import (
	"encoding/json"
	"net/http"

	"github.com/alexedwards/flow"
)

// Routes adds the route of the time line to mux, behind a guard that lets
// operators pass.
func (c *Collector) Routes(mux *flow.Mux, guard func(http.Handler) http.Handler) {
	mux.Handle("/v1/timeline", guard(http.HandlerFunc(c.serve)), http.MethodGet)
}

// serve answers the merged events that the query selects.
func (c *Collector) serve(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	collection := c.Collect(r.Context(), Filter{
		Attempt:  query.Get("attempt"),
		Upstream: query.Get("upstream"),
		Resource: query.Get("resource"),
	})
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(collection) // the operator may be gone
}
