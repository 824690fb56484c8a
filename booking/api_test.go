package booking

import (
	"context"
	"encoding/json"
	"fmt"
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
	tests := []struct {
		name     string
		running  bool // as the sidecar says; otherwise nobody answers
		old, new string
		want     string
	}{
		{
			name: "sidecar unreachable",
			want: "200, listed 0, freed",
		},
		{
			name:    "still running",
			running: true,
			want:    "409, listed 1, claimed",
		},
		{
			name: "another attempt",
			old:  "ATTEMPT",
			new:  strings.Repeat("0", 32),
			want: "409, listed 1, claimed",
		},
		{
			name: "no word",
			old:  "not in the books",
			want: "400, listed 1, claimed",
		},
		{
			name: "no such key",
			old:  `"key":"k"`,
			new:  `"key":"other"`,
			want: "404, listed 1, claimed",
		},
		{
			name: "not an operator",
			old:  "ada",
			new:  "eve",
			want: "403, listed 1, claimed",
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
				err = recorder.AddUnsettled(ctx, key)
			}
			if err != nil {
				t.Fatal(err)
			}
			api := API{Resolver: Resolver{
				Recorder: recorder,
				Inquire: func(context.Context, foxtailstack.Address, Inquiry) (Finding, error) {
					if test.running {
						return Finding{Running: true}, nil
					}
					return Finding{}, wire.ErrUnreachable
				},
			}}
			mux := flow.New()
			api.Routes(mux, func(next http.Handler) http.Handler {
				return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if strings.Contains(test.new, "eve") && r.Method == http.MethodPost {
						w.WriteHeader(http.StatusForbidden)
						return
					}
					next.ServeHTTP(w, r)
				})
			})
			order := strings.Replace(known, test.old, test.new, 1)
			order = strings.Replace(order, "ATTEMPT", claim.Attempt.String(), 1)
			settled := httptest.NewRecorder()
			mux.ServeHTTP(settled, httptest.NewRequest(http.MethodPost, "/v1/bookings/settle", strings.NewReader(order)))
			listed := httptest.NewRecorder()
			mux.ServeHTTP(listed, httptest.NewRequest(http.MethodGet, "/v1/bookings", nil))
			var page Page
			_ = json.Unmarshal(listed.Body.Bytes(), &page)
			record, _, _ := recorder.Lookup(ctx, key)
			got := fmt.Sprintf("%d, listed %d, %s", settled.Code, len(page.Items), record.State)
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("result differs (-want +got):\n%s\n%s", diff, settled.Body)
			}
		})
	}
}
