package upstream_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/upstream"
)

// An engine receives a call and redirects it to an address that refuses connections. The
// call must not be reported as refused, because the engine has seen it.
func TestRedirectIsNoRefusal(t *testing.T) {
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	calls := 0
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls++
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		http.Redirect(w, r, gone.URL, http.StatusSeeOther)
	}))
	defer engine.Close()
	response, err := upstream.NewHTTPEngine(engine.URL).Run(context.Background(), foxtailstack.EngineCall{
		Path: "/orders",
		Body: []byte("order"),
	})
	if calls != 1 || errors.Is(err, foxtailstack.ErrEngineRefused) {
		t.Fatalf("got %d calls and error %v, want 1 call and no refusal", calls, err)
	}
	defer response.Body.Close()
	if response.Status != http.StatusSeeOther {
		t.Errorf("got status %d, want %d", response.Status, http.StatusSeeOther)
	}
}
