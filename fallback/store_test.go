package fallback

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
)

// testWait is how long the clients of a test wait for changes.
const testWait = 200 * time.Millisecond

// startSidecar serves a fallback store and returns its address and a function that ends it.
func startSidecar(t *testing.T) (foxtailstack.Address, func()) {
	t.Helper()
	mux := http.NewServeMux()
	b := &Store{}
	b.Register(func(pattern string, handler http.HandlerFunc, _ ...string) { mux.HandleFunc(pattern, handler) })
	server := httptest.NewServer(mux)
	stop := func() {
		server.CloseClientConnections()
		server.Close()
	}
	t.Cleanup(stop)
	return foxtailstack.Address(strings.TrimPrefix(server.URL, "http://")), stop
}

// newClient returns a client of sidecars.
func newClient(sidecars ...foxtailstack.Address) *Client {
	return &Client{
		HTTP:     &http.Client{},
		Sidecars: func() []foxtailstack.Address { return sidecars },
		Log:      zap.NewNop(),
	}
}

// names returns the names of the rows that are not removed.
func names(records []foxtailstack.Record) []string {
	var names []string
	for _, record := range records {
		if !record.Deleted {
			names = append(names, record.Name)
		}
	}
	return names
}

// Guards against entries that do not learn at once what others have written or removed
// while the store is away.
func TestClientsShareRows(t *testing.T) {
	sidecar, _ := startSidecar(t)
	writer, reader := newClient(sidecar), newClient(sidecar)
	ctx := t.Context()
	_, after, err := reader.Read(ctx, "")
	if err != nil {
		t.Fatal("read empty fallback store:", err)
	}
	err = writer.Write(ctx, "", []foxtailstack.Record{{Name: "a"}, {Name: "b"}}, nil)
	if err != nil {
		t.Fatal("write rows:", err)
	}
	records, after, err := reader.Changes(ctx, "", after, testWait)
	if err != nil || len(names(records)) != 2 {
		t.Fatalf("changes after two rows were written: %v, %v", records, err)
	}
	err = writer.Write(ctx, "", []foxtailstack.Record{{Name: "b"}}, nil)
	if err != nil {
		t.Fatal("write a row again:", err)
	}
	records, after, err = reader.Changes(ctx, "", after, testWait)
	if err != nil || len(records) != 0 {
		t.Errorf("changes after a row was written again: %v, %v, want none", records, err)
	}
	err = writer.Write(ctx, "", nil, []string{"a"})
	if err != nil {
		t.Fatal("remove row:", err)
	}
	records, _, err = reader.Changes(ctx, "", after, testWait)
	want := []foxtailstack.Record{{
		Name:    "a",
		Version: 3,
		Deleted: true,
	}}
	if diff := cmp.Diff(want, records); diff != "" || err != nil {
		t.Errorf("changes after a row was removed (-want +got):\n%s%v", diff, err)
	}
}

// Guards against entries that stay with a sidecar that has gone, or go on with the version
// of the former fallback store: they have to read the next fallback store anew.
func TestClientMovesToNextSidecar(t *testing.T) {
	first, stop := startSidecar(t)
	second, _ := startSidecar(t)
	client := newClient(first, second)
	ctx := t.Context()
	_, after, err := client.Read(ctx, "")
	if err != nil {
		t.Fatal("read fallback store:", err)
	}
	stop()
	_, _, err = client.Changes(ctx, "", after, testWait)
	if !errors.Is(err, foxtailstack.ErrUncertain) {
		t.Errorf("changes of a sidecar that has gone: error %v, want ErrUncertain", err)
	}
	_, _, err = client.Changes(ctx, "", after, testWait)
	if !errors.Is(err, foxtailstack.ErrHistoryGone) {
		t.Errorf("changes after that: error %v, want ErrHistoryGone", err)
	}
	_, _, err = client.Read(ctx, "")
	if err != nil {
		t.Errorf("read the next fallback store: %v", err)
	}
}

// Guards against a long poll that outlives its caller, and against fallback stores without bounds.
func TestStoreIsBounded(t *testing.T) {
	var b Store
	now := time.Now()
	rows := make([]row, maxRows)
	for i := range rows {
		rows[i].Name = string(rune(0x1000 + i))
	}
	if !b.write(rows, now) {
		t.Errorf("a fallback store refuses %d rows", maxRows)
	}
	if b.write([]row{{Name: "one more"}}, now) {
		t.Errorf("a fallback store takes more than %d rows", maxRows)
	}
	if !b.write([]row{{Name: "one more"}}, now.Add(rowTTL+time.Second)) {
		t.Error("a fallback store refuses a row after the others have expired")
	}
	ctx, cancel := context.WithTimeout(t.Context(), testWait)
	defer cancel()
	sidecar, _ := startSidecar(t)
	client := newClient(sidecar)
	_, after, err := client.Read(ctx, "")
	if err != nil {
		t.Fatal("read fallback store:", err)
	}
	began := time.Now()
	_, _, err = client.Changes(ctx, "", after, maxWait)
	if err == nil || time.Since(began) > maxWait/2 {
		t.Errorf("a call for changes ended after %s with error %v, want an error once its context ends", time.Since(began), err)
	}
}
