package soak

import (
	"net/http"
	"sync/atomic"

	"github.com/foxtailstack/foxtailstack/platform/standin"
)

// refusalInterval is the number of requests of which a plain upstream refuses one. Its
// listener writes the refusal once more when the next request comes on the connection.
const refusalInterval = 4

// refuser is a plain upstream that has no room at times during trouble.
type refuser struct {
	next     http.HandlerFunc
	trouble  *atomic.Bool
	requests atomic.Int64
}

// ServeHTTP serves or refuses a request.
func (f *refuser) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.trouble.Load() && f.requests.Add(1)%refusalInterval == 0 {
		standin.Refuse(w, r)
		return
	}
	f.next(w, r)
}
