package load_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/foxtailstack/foxtailstack/entry"
	"github.com/foxtailstack/foxtailstack/load"
	"github.com/foxtailstack/foxtailstack/platform/standin"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// newService returns a service that, if mismatched is set, sends the response to
// the second request to every caller that does not ask for a stream.
func newService(mismatched bool) http.Handler {
	engine := &standin.Engine{}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(entry.HeaderOutcome, "ran")
		if mismatched && r.Header.Get("Accept") != "text/event-stream" {
			_, _ = w.Write([]byte(`{"text":"answer to request 2","tokens":0}`))
			return
		}
		engine.ServeHTTP(w, r)
	})
}

// Checks that complete responses, streamed or not, count as ran, and that a response
// to the request of another caller counts as wrong.
func TestRun(t *testing.T) {
	tests := []struct {
		name       string
		mismatched bool
		options    load.Options
		want       load.Report
	}{
		{
			name:    "complete responses",
			options: load.Options{Requests: 50},
			want: load.Report{
				Requests: 50,
				Ran:      50,
			},
		},
		{
			name: "streams",
			options: load.Options{
				Requests: 50,
				Stream:   true,
				Prompt:   standin.Prompt{Tokens: 3},
			},
			want: load.Report{
				Requests: 50,
				Ran:      50,
			},
		},
		{
			name:       "mismatched responses",
			mismatched: true,
			options:    load.Options{Requests: 50},
			want: load.Report{
				Requests: 50,
				Ran:      1,
				Wrong:    49,
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(newService(test.mismatched))
			defer server.Close()
			test.options.URL = server.URL
			got, err := load.Run(context.Background(), test.options)
			if err != nil {
				t.Fatal("run:", err)
			}
			ignore := cmpopts.IgnoreFields(load.Report{}, "Rate", "Median", "P95", "P99")
			if diff := cmp.Diff(test.want, got, ignore); diff != "" {
				t.Errorf("reports differ (-want +got):\n%s", diff)
			}
		})
	}
}
