package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/fleet"
	"github.com/foxtailstack/foxtailstack/team"
	"github.com/google/go-cmp/cmp"
)

// replicaOf returns a replica with one service and two teams, of which the second
// may call only another fleet.
func replicaOf(t *testing.T) *fleet.Replica {
	t.Helper()
	replica := &fleet.Replica{}
	var changes []fleet.Change
	for i, resource := range []struct {
		kind fleet.Kind
		name string
		spec string
	}{
		{
			kind: fleet.KindTeam,
			name: "blenders",
			spec: `{"callers":["` + team.Hash("all") + `"]}`,
		},
		{
			kind: fleet.KindTeam,
			name: "brewers",
			spec: `{"callers":["` + team.Hash("levy") + `"],"fleets":["levy"]}`,
		},
		{
			kind: fleet.KindPolicy,
			name: "formula/booking",
			spec: `{"idempotent":false}`,
		},
		{
			kind: fleet.KindService,
			name: "formula/orders",
			spec: `{"path":"/orders","policy":"booking"}`,
		},
	} {
		changes = append(changes, fleet.Change{Resource: fleet.Resource{
			ID: fleet.ID{
				Kind: resource.kind,
				Name: resource.name,
			},
			Version:  1,
			Revision: foxtailstack.Revision(i + 1),
			Spec:     []byte(resource.spec),
		}})
	}
	if err := replica.Apply(changes); err != nil {
		t.Fatalf("apply resources: %v", err)
	}
	return replica
}

func TestParse(t *testing.T) {
	server := &Server{Replica: replicaOf(t)}
	tests := []struct {
		name   string
		change func(*http.Request)
		status int
		detail string
	}{
		{
			name:   "valid",
			change: func(*http.Request) {},
		},
		{
			name:   "priority",
			change: func(r *http.Request) { r.Header.Set(HeaderPriority, "-3") },
		},
		{
			name:   "unknown token",
			change: func(r *http.Request) { r.Header.Set("Authorization", "Bearer none") },
			status: http.StatusUnauthorized,
			detail: "the token belongs to no team",
		},
		{
			name:   "fleet not allowed",
			change: func(r *http.Request) { r.Header.Set("Authorization", "Bearer levy") },
			status: http.StatusForbidden,
			detail: "team brewers may not call fleet formula",
		},
		{
			name:   "unknown service",
			change: func(r *http.Request) { r.SetPathValue("service", "none") },
			status: http.StatusNotFound,
			detail: "no service formula/none",
		},
		{
			name:   "no key",
			change: func(r *http.Request) { r.Header.Del(HeaderIdempotency) },
			status: http.StatusBadRequest,
			detail: "the service needs a header Idempotency-Key",
		},
		{
			name:   "long key",
			change: func(r *http.Request) { r.Header.Set(HeaderIdempotency, strings.Repeat("k", maxKeyBytes+1)) },
			status: http.StatusBadRequest,
			detail: "header Idempotency-Key is longer than 255 bytes",
		},
		{
			name:   "deadline",
			change: func(r *http.Request) { r.Header.Set(HeaderDeadline, "-1s") },
			status: http.StatusBadRequest,
			detail: "header Foxtail-Deadline is not a positive duration",
		},
		{
			name:   "wrong priority",
			change: func(r *http.Request) { r.Header.Set(HeaderPriority, "high") },
			status: http.StatusBadRequest,
			detail: "header Foxtail-Priority is not a whole number from -7 to 7",
		},
		{
			name: "long body",
			change: func(r *http.Request) {
				r.Body = httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("b", maxBodyBytes+1))).Body
			},
			status: http.StatusRequestEntityTooLarge,
			detail: "the body is too long",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader("{}"))
			r.SetPathValue("fleet", "formula")
			r.SetPathValue("service", "orders")
			r.Header.Set("Authorization", "Bearer all")
			r.Header.Set(HeaderIdempotency, "key")
			test.change(r)
			req, p := server.parse(httptest.NewRecorder(), r)
			if test.status == 0 {
				if p != nil || req.team != "blenders" {
					t.Fatalf("got problem %+v and request %+v, expected team blenders", p, req)
				}
				return
			}
			if p == nil {
				t.Fatal("got no problem")
			}
			want := notRunProblem(test.status, test.detail)
			if diff := cmp.Diff(want, p, cmp.AllowUnexported(problem{})); diff != "" {
				t.Errorf("problems differ (-want +got):\n%s", diff)
			}
		})
	}
}
