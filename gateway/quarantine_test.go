package gateway_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/platform/standin"
	"github.com/foxtailstack/foxtailstack/quarantine"
	"github.com/google/go-cmp/cmp"
)

// recordCrashes records crashes of upstreams under a request.
func recordCrashes(tg *testGateway, key quarantine.Fingerprint, ids ...quarantine.CrashID) {
	for _, id := range ids {
		tg.gateway.Quarantine.Report([]quarantine.Crash{{
			Fingerprint: key,
			ID:          id,
		}})
	}
}

// fingerprint returns the fingerprint of the request that send sends to a path.
func fingerprint(path string) quarantine.Fingerprint {
	return quarantine.FingerprintOf(
		[]byte(http.MethodPost),
		[]byte(standin.ConfigHost),
		[]byte(path),
		[]byte(standin.ConfigTeam),
		[]byte("question"),
	)
}

// Guards against requests in quarantine that are sent on, or refused in a way that
// promises nothing or hides when to come back.
func TestQuarantinedRequestIsRefused(t *testing.T) {
	c := &callCounter{}
	tg := newTestGateway(t, inOrder(c, good))
	recordCrashes(tg, fingerprint("/lookup/x"), "v@1", "w@1")
	want := callerResponse{
		Status:     http.StatusServiceUnavailable,
		Body:       "quarantined\n",
		RetryAfter: true,
	}
	if diff := cmp.Diff(want, tg.send(t, http.MethodPost, "/lookup/x")); diff != "" {
		t.Errorf("response differs (-want +got):\n%s", diff)
	}
	want = callerResponse{
		Status: http.StatusOK,
		Body:   "answer",
	}
	if diff := cmp.Diff(want, tg.send(t, http.MethodPost, "/lookup/y")); diff != "" {
		t.Errorf("response to another request differs (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(1, c.count()); diff != "" {
		t.Errorf("requests at upstreams (-want +got):\n%s", diff)
	}
}

// Guards against a request that waits for an upstream until its deadline though it was
// put into quarantine meanwhile, and against one that is sent then.
func TestQuarantineEndsWait(t *testing.T) {
	release := make(chan struct{})
	entered := make(chan struct{})
	tg := newTestGatewayFor(t, "models", func(w http.ResponseWriter, r *http.Request) {
		close(entered)
		<-release
		good(w, r)
	})
	tg.timeout = 5 * time.Second
	// The only upstream runs another suspect, so that this one has to wait.
	key := fingerprint("/model/x")
	recordCrashes(tg, key, "v@1")
	recordCrashes(tg, fingerprint("/model/y"), "v@1")
	done := make(chan callerResponse, 1)
	go func() { done <- tg.send(t, http.MethodPost, "/model/y") }()
	<-entered
	time.AfterFunc(100*time.Millisecond, func() { recordCrashes(tg, key, "w@1") })
	began := time.Now()
	want := callerResponse{
		Status:     http.StatusServiceUnavailable,
		Body:       "quarantined\n",
		RetryAfter: true,
	}
	if diff := cmp.Diff(want, tg.send(t, http.MethodPost, "/model/x")); diff != "" {
		t.Errorf("response differs (-want +got):\n%s", diff)
	}
	if waited := time.Since(began); waited > time.Second {
		t.Errorf("it was refused after %s, want at once", waited)
	}
	close(release)
	<-done
}

// Guards against a request that is sent on the admission from before a crash because its
// connection took long to make: TestDeadlyPartIsQuarantined, a fourth crash beside load.
func TestQuarantineEndsDial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &callCounter{}
		network := &pipeNetwork{}
		tg := newTestGatewayOn(t, network, "drafts", inOrder(c, good))
		tg.gateway.Pool.Dial = func(ctx context.Context, kind, address string) (net.Conn, error) {
			time.Sleep(100 * time.Millisecond)
			return network.dial(ctx, kind, address)
		}
		time.AfterFunc(50*time.Millisecond, func() { recordCrashes(tg, fingerprint("/lookup/x"), "v@1", "w@1") })
		want := callerResponse{
			Status:     http.StatusServiceUnavailable,
			Body:       "quarantined\n",
			RetryAfter: true,
		}
		if diff := cmp.Diff(want, tg.send(t, http.MethodPost, "/lookup/x")); diff != "" {
			t.Errorf("response differs (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(0, c.count()); diff != "" {
			t.Errorf("requests at the upstream (-want +got):\n%s", diff)
		}
	})
}

// Guards against requests that are put into quarantine because their connections are
// lost while the upstreams go on.
func TestLostConnectionsDoNotQuarantine(t *testing.T) {
	c := &callCounter{}
	worker := inOrder(c, crash, truncated, good)
	tg := newTestGateway(t, worker, worker)
	tg.send(t, http.MethodPost, "/lookup/x") // to both
	want := callerResponse{
		Status: http.StatusOK,
		Body:   "answer",
	}
	if diff := cmp.Diff(want, tg.send(t, http.MethodPost, "/lookup/x")); diff != "" {
		t.Errorf("response differs (-want +got):\n%s", diff)
	}
}

// unwritten is a table that nothing is written to.
type unwritten struct{}

func (unwritten) Write(context.Context, string, []foxtailstack.Record, []string) error { return nil }

// Guards against an entry that has just started and is sent requests that it does not know to
// have crashed upstreams, because it has not read that yet.
func TestNotReadyBeforeCrashesAreRead(t *testing.T) {
	tg := newTestGateway(t, good)
	tg.gateway.Quarantine.Writer = unwritten{}
	ready := []bool{tg.gateway.Ready()}
	tg.gateway.Quarantine.Replace(nil, 1)
	ready = append(ready, tg.gateway.Ready())
	if diff := cmp.Diff([]bool{false, true}, ready); diff != "" {
		t.Errorf("ready before and after the crashes were read (-want +got):\n%s", diff)
	}
}

// Guards against an entry that is never ready because the store answers in part only.
func TestReadyIfCrashesCannotBeRead(t *testing.T) {
	tg := newTestGateway(t, good)
	tg.gateway.Quarantine.Writer = unwritten{}
	ready := []bool{tg.gateway.Ready()}
	tg.age = 2500 * time.Millisecond
	ready = append(ready, tg.gateway.Ready())
	if diff := cmp.Diff([]bool{false, true}, ready); diff != "" {
		t.Errorf("ready at once and after 2.5 s (-want +got):\n%s", diff)
	}
}
