package memory

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against responses of the store or of a peer whose sum passes the memory of the
// process, because many are read at once, and against bytes that stay taken.
func TestTransportBoundsAllBodies(t *testing.T) {
	const bodyBytes = 60 << 10
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, bodyBytes))
	}))
	defer server.Close()
	account := &Account{Bound: 100 << 10}
	client := &http.Client{Transport: &Transport{
		Base:    &http.Transport{MaxResponseHeaderBytes: 4 << 10},
		Account: account,
	}}
	defer client.CloseIdleConnections()
	get := func() (io.Closer, error) {
		response, err := client.Get(server.URL)
		if err != nil {
			t.Fatal("get:", err)
		}
		_, err = io.Copy(io.Discard, response.Body)
		return response.Body, err
	}
	first, err := get()
	if err != nil {
		t.Error("read the first body:", err)
	}
	second, err := get()
	if !errors.Is(err, ErrFull) {
		t.Errorf("reading the second body returned %v, want %v", err, ErrFull)
	}
	_ = first.Close()
	_ = second.Close()
	third, err := get()
	if err != nil {
		t.Error("read a body after the others were closed:", err)
	}
	_ = third.Close()
	if diff := cmp.Diff(0, int(account.Held())); diff != "" {
		t.Errorf("bytes held at the end (-want +got):\n%s", diff)
	}
}
