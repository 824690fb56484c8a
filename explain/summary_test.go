package explain_test

import (
	"strings"
	"testing"

	"github.com/foxtailstack/foxtailstack/explain"
	"github.com/google/go-cmp/cmp"
)

// Guards against an account that puts requests down to the wrong decision: each line of the
// log below stands for one of them.
func TestSummary(t *testing.T) {
	log := `ts=2026-01-01T00:00:01Z msg=request instance=e1 route=draft status=200 reason=served events=9 waited=0 first=0.2 target=0.5 gap=0.1 allowed=0.15 took=1
ts=2026-01-01T00:00:02Z msg=request instance=e1 route=draft status=200 reason=served events=9 waited=0.5 first=0.7 target=0.5 gap=0.1 allowed=0.15 took=1
ts=2026-01-01T00:00:02Z msg=request instance=e1 route=draft status=200 reason=served events=9 waited=0.1 first=0.7 target=0.5 gap=0.1 allowed=0.15 took=1
ts=2026-01-01T00:00:03Z msg=request instance=e1 route=draft status=200 reason=served events=9 waited=0 first=0.2 target=0.5 gap=0.2 allowed=0.15 took=0.9
ts=2026-01-01T00:00:04.1Z msg="planner began" instance=s1 group=g0 fence=7
ts=2026-01-01T00:00:04.1Z msg="planner began" instance=s9 group=g1 fence=8
ts=2026-01-01T00:00:04.1Z msg="demand shifted" instance=s9 group=g1 distance=0.6
ts=2026-01-01T00:00:04.1Z msg="switch not done" instance=s9 group=g1 error=late
ts=2026-01-01T00:00:04.1Z msg="map changed" instance=s1 group=g0 map=3 lead=0.11 hold=0.01 arm=0.3 release=0.01
ts=2026-01-01T00:00:04.5Z msg=request instance=e1 route=draft status=200 reason=served events=9 waited=0 first=0.2 target=0.5 gap=0.3 allowed=0.15 took=1
ts=2026-01-01T00:00:07Z msg="group broken" instance=e1 service=models group=g0
ts=2026-01-01T00:00:08Z msg="group works again" instance=e1 service=models group=g0
ts=2026-01-01T00:00:08.5Z msg=request instance=e1 route=draft status=200 reason=served events=9 waited=0 first=0.2 target=0.5 gap=2 allowed=0.15 took=4
ts=2026-01-01T00:00:09Z msg=request instance=e1 route=draft status=503 reason=too-many-waiting events=0 waited=0.1 first=0 target=0.5 gap=0 allowed=0.15 took=0.1
ts=2026-01-01T00:00:09Z msg="request held back" instance=e1 waited=0.3 cause=passes free=40
ts=2026-01-01T00:00:09Z msg="request held back" instance=e1 waited=0.1 cause=passes free=20
ts=2026-01-01T00:00:09Z msg="request held back" instance=e1 waited=0.2 cause=share free=7
ts=2026-01-01T00:00:09Z msg=request instance=e1 route=draft status=503 reason=quarantined events=0 waited=0 first=0 target=0.5 gap=0 allowed=0.15 took=0
ts=2026-01-01T00:00:09Z msg=request instance=e1 route=draft status=0 reason=caller-left events=0 waited=1.9 first=0 target=0.5 gap=0 allowed=0.15 took=2
ts=2026-01-01T00:00:09Z msg=request instance=e1 route=draft status=0 reason=caller-left events=0 waited=0 first=0 target=0.5 gap=0 allowed=0.15 took=2
ts=2026-01-01T00:00:09Z msg=request instance=e1 route=draft status=0 reason=caller-left events=4 waited=0 first=0.2 target=0.5 gap=2 allowed=0.15 took=3
ts=2026-01-01T00:00:09Z msg=request instance=e1 route=draft status=0 reason=stream-broken events=4 waited=0 first=0.2 target=0.5 gap=1 allowed=0.15 took=3
ts=2026-01-01T00:00:09Z msg=request instance=e1 route=book status=502 reason=upstreams-failed events=0 waited=0 first=0 target=0.1 gap=0 allowed=0 took=0.2
ts=2026-01-01T00:00:09Z msg=request instance=e1 route="" status=404 reason=no-route events=0 waited=0 first=0 target=0 gap=0 allowed=0 took=0
`
	lines, err := explain.Read(strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	err = explain.NewSummary(lines).Write(&got)
	if err != nil {
		t.Fatal(err)
	}
	const want = `requests  share  what became of them                            most on route
1         0.071  caller left: no event, waited at its upstream  draft: 1
1         0.071  caller left: no event, waited at the entry     draft: 1
1         0.071  caller left: pause between events              draft: 1
1         0.071  cut after its first event                      draft: 1
1         0.071  denied                                         none: 1
1         0.071  failed at its upstream, or may have run        book: 1
1         0.071  late: first event, waited at its upstream      draft: 1
1         0.071  late: first event, waited at the entry         draft: 1
1         0.071  late: pause while a switch held its group      draft: 1
1         0.071  late: pause while its group was broken         draft: 1
1         0.071  late: pause, passes too long                   draft: 1
1         0.071  refused: quarantined                           draft: 1
1         0.071  refused: would not be served in time           draft: 1
1         0.071  served on time                                 draft: 1
14        1.000  all                                            

held back by  requests  mean wait  mean free slots
passes        2         0.200 s    30
share         1         0.200 s    7

group  planners  shifts  maps  switches not done  held   broken
g0     1         0       1     0                  0.2 s  1.0 s
g1     1         1       0     1                  0.0 s  0.0 s
`
	if diff := cmp.Diff(want, got.String()); diff != "" {
		t.Errorf("summary (-want +got):\n%s", diff)
	}
}
