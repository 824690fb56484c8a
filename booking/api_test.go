package booking

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/alexedwards/flow"
	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/wire"
	"github.com/google/go-cmp/cmp"
)

// TestAPI checks what operators may settle while the sidecar of the claim is in
// each state.
func TestAPI(t *testing.T) {
	const known = `{"team":"blenders","fleet":"formula","service":"orders","key":"k","attempt":"ATTEMPT",` +
		`"outcome":"notrun","operator":"ada","word":"not in the books"}`
	running := Finding{
		Outcome: foxtailstack.Unknown,
		Running: true,
	}
	tests := []struct {
		name    string
		finding Finding
		err     error
		order   string
		operate bool
		status  int
		listed  int
		state   State
	}{
		{
			name:    "sidecar unreachable",
			err:     wire.ErrUnreachable,
			order:   known,
			operate: true,
			status:  http.StatusOK,
			state:   Freed,
		},
		{
			name:    "still running",
			finding: running,
			order:   known,
			operate: true,
			status:  http.StatusConflict,
			listed:  1,
			state:   Claimed,
		},
		{
			name:    "another attempt",
			err:     wire.ErrUnreachable,
			order:   strings.ReplaceAll(known, "ATTEMPT", strings.Repeat("0", 32)),
			operate: true,
			status:  http.StatusConflict,
			listed:  1,
			state:   Claimed,
		},
		{
			name:    "no word",
			order:   strings.ReplaceAll(known, "not in the books", ""),
			operate: true,
			status:  http.StatusBadRequest,
			listed:  1,
			state:   Claimed,
		},
		{
			name:    "no such key",
			order:   strings.ReplaceAll(known, `"key":"k"`, `"key":"other"`),
			operate: true,
			status:  http.StatusNotFound,
			listed:  1,
			state:   Claimed,
		},
		{
			name:   "not an operator",
			err:    wire.ErrUnreachable,
			order:  known,
			status: http.StatusForbidden,
			state:  Claimed,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ctx := context.Background()
			recorder := Recorder{Table: &scripted{}}
			key := sequenceKey("blenders")
			claim := Claim{Attempt: foxtailstack.NewAttemptID()}
			_, err := recorder.Claim(ctx, key, sequenceDigest, claim, 0)
			if err == nil {
				err = recorder.Suspect(ctx, key)
			}
			if err != nil {
				t.Fatal(err)
			}
			api := API{Resolver: Resolver{
				Recorder: recorder,
				Inquire: func(context.Context, foxtailstack.Address, Inquiry) (Finding, error) {
					return test.finding, test.err
				},
			}}
			mux := flow.New()
			api.Routes(mux, func(next http.Handler) http.Handler {
				if test.operate {
					return next
				}
				return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusForbidden) })
			})
			order := strings.ReplaceAll(test.order, "ATTEMPT", claim.Attempt.String())
			w := httptest.NewRecorder()
			mux.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/bookings/settle", strings.NewReader(order)))
			if diff := cmp.Diff(test.status, w.Code); diff != "" {
				t.Errorf("status differs (-want +got):\n%s\n%s", diff, w.Body)
			}
			w = httptest.NewRecorder()
			mux.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/bookings", nil))
			var page Page
			_ = json.Unmarshal(w.Body.Bytes(), &page)
			if diff := cmp.Diff(test.listed, len(page.Items)); diff != "" {
				t.Errorf("bookings listed differ (-want +got):\n%s", diff)
			}
			record, _, _ := recorder.Lookup(ctx, key)
			if diff := cmp.Diff(test.state.String(), record.State.String()); diff != "" {
				t.Errorf("state differs (-want +got):\n%s", diff)
			}
		})
	}
}
