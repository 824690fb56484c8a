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

// service returns a service that, if crossed, answers the second request to
// every caller.
func service(crossed bool) http.Handler {
	engine := &standin.Engine{}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(entry.HeaderOutcome, "ran")
		if crossed && r.Header.Get("Accept") != "text/event-stream" {
			_, _ = w.Write([]byte(`{"text":"answer to request 2","tokens":0}`))
			return
		}
		engine.ServeHTTP(w, r)
	})
}

func TestRun(t *testing.T) {
	tests := []struct {
		name    string
		crossed bool
		options load.Options
		want    load.Report
	}{
		{
			name:    "whole answers",
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
			name:    "crossed answers",
			crossed: true,
			options: load.Options{Requests: 50},
			want: load.Report{
				Requests: 50,
				Ran:      1,
				Wrong:    49,
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			served := httptest.NewServer(service(test.crossed))
			defer served.Close()
			test.options.URL = served.URL
			got, err := load.Run(context.Background(), test.options)
			if err != nil {
				t.Fatal(err)
			}
			ignore := cmpopts.IgnoreFields(load.Report{}, "Rate", "Median", "P95", "P99")
			if diff := cmp.Diff(test.want, got, ignore); diff != "" {
				t.Errorf("reports differ (-want +got):\n%s", diff)
			}
		})
	}
}
