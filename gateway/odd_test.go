package gateway_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/platform/standin"
	"github.com/google/go-cmp/cmp"
)

// Guards against callers that are not served because another writer left an odd entry among
// those of the workers, also at the address of one.
func TestOddEntryTakesNoRequest(t *testing.T) {
	const requests = 20
	for _, odd := range standin.OddWorkerRows("drafts", "") {
		t.Run(odd.Name, func(t *testing.T) {
			calls := callCounter{}
			tg := newTestGateway(t, inOrder(&calls, func(w http.ResponseWriter, r *http.Request) {
				if _, name := standin.AttemptOf(r); name != "w0" {
					standin.Echo(w, r)
					w.WriteHeader(http.StatusMisdirectedRequest)
					return
				}
				good(w, r)
			}))
			sound := tg.view.Fleet().Ready("drafts")[0]
			var rows []foxtailstack.Record
			for _, row := range standin.OddWorkerRows("drafts", string(sound.Address)) {
				if row.Name == odd.Name {
					rows = append(rows, row)
				}
			}
			tg.view.UpdateFleet(rows, 2)
			for i := range requests {
				got := tg.send(t, http.MethodPost, "/booking/x", "Request-Id", fmt.Sprintf("r%d", i))
				want := callerResponse{
					Status: http.StatusOK,
					Body:   "answer",
				}
				if diff := cmp.Diff(want, got); diff != "" {
					t.Fatalf("response differs (-want +got):\n%s", diff)
				}
			}
			if diff := cmp.Diff(requests, calls.count()); diff != "" {
				t.Errorf("calls of the sound worker differ (-want +got):\n%s", diff)
			}
			if _, known := tg.view.Fleet().Lookup(foxtailstack.UpstreamName(odd.Name)); known {
				t.Error("the odd entry counts as an upstream")
			}
		})
	}
}
