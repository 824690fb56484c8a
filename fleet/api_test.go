package fleet

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alexedwards/flow"
	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/internal/memstore"
	"github.com/foxtailstack/foxtailstack/platform/standin"
	"github.com/google/go-cmp/cmp"
)

var rewrite = flag.Bool("update", false, "rewrite the golden files")

// apiRig is a resource API in front of a table that can fail.
type apiRig struct {
	api    *API
	table  *standin.FaultyTable
	memory *memstore.Store
	mux    *flow.Mux
}

func newAPIRig() *apiRig {
	rig := &apiRig{
		memory: &memstore.Store{},
		mux:    flow.New(),
	}
	rig.table = &standin.FaultyTable{Table: rig.memory}
	rig.api = &API{
		Store:   Store{Table: rig.table},
		Replica: &Replica{},
		Hash:    hashOf("root"),
	}
	rig.api.Status = func(foxtailstack.Revision) Status {
		return Status{
			InForce: 1,
			Total:   2,
		}
	}
	rig.api.Routes(rig.mux)
	return rig
}

func hashOf(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// do sends a request as the owner of a token. Headers are "Name: value".
func (rig *apiRig) do(token, method, path, body string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	for _, header := range headers {
		name, value, _ := strings.Cut(header, ": ")
		r.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	rig.mux.ServeHTTP(w, r)
	poller := Poller{
		Store:   Store{Table: rig.memory},
		Replica: rig.api.Replica,
	}
	_ = poller.Poll(context.Background())
	return w
}

// TestAPI runs the requests in testdata/api.txt, one a line: the token, the
// method, the path, headers in brackets and the body.
func TestAPI(t *testing.T) {
	rig := newAPIRig()
	input, err := os.Open(filepath.Join("testdata", "api.txt"))
	if err != nil {
		t.Fatal(err)
	}
	defer input.Close()
	var got strings.Builder
	lines := bufio.NewScanner(input)
	for lines.Scan() {
		line := lines.Text()
		if line == "" || line[0] == '#' {
			fmt.Fprintln(&got, line)
			continue
		}
		fields := strings.SplitN(line, " ", 4)
		for len(fields) < 4 {
			fields = append(fields, "")
		}
		body := strings.ReplaceAll(strings.ReplaceAll(fields[3], "BADUTF8", "\xff"), "HASH", hashOf("writer"))
		var headers []string
		for strings.HasPrefix(body, "[") {
			header, rest, _ := strings.Cut(body[1:], "]")
			headers = append(headers, header)
			body = strings.TrimSpace(rest)
		}
		token := strings.Trim(fields[0], "-")
		w := rig.do(token, fields[1], fields[2], body, headers...)
		fmt.Fprintf(&got, "%s\n  %d %s %s\n  %s", line, w.Code, w.Header().Get("Content-Type"), w.Header().Get("ETag"), w.Body)
	}
	golden := filepath.Join("testdata", "api.golden")
	if *rewrite {
		err = os.WriteFile(golden, []byte(got.String()), 0o644)
		if err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got.String()); diff != "" {
		t.Errorf("answers differ (-want +got):\n%s", diff)
	}
}

// An answer of the table that is lost is settled, and what cannot be settled
// is told as unknown. A repeat under the same key is one change.
func TestAPILostAnswers(t *testing.T) {
	rig := newAPIRig()
	put := func() int {
		return rig.do("root", http.MethodPut, "/v1/config/fleets/formula", "{}", "Idempotency-Key: k1").Code
	}
	rig.table.Set(standin.Faults{LoseAnswers: 1})
	got := []int{put(), put()}
	rig.table.Set(standin.Faults{Outage: true})
	got = append(got, put(), rig.do("root", http.MethodGet, "/v1/config/fleets/formula", "").Code)
	rig.table.Set(standin.Faults{})
	got = append(got, put())
	if diff := cmp.Diff([]int{201, 201, 503, 200, 201}, got); diff != "" {
		t.Errorf("statuses differ (-want +got):\n%s", diff)
	}
	head, _ := rig.api.Store.Head(t.Context())
	if diff := cmp.Diff(foxtailstack.Revision(1), head); diff != "" {
		t.Errorf("revision differs (-want +got):\n%s", diff)
	}
}

// A body that is cut short or too large changes nothing.
func TestAPIBodies(t *testing.T) {
	rig := newAPIRig()
	server := httptest.NewServer(rig.mux)
	defer server.Close()
	tests := []struct {
		length int
		body   string
		want   string
	}{
		{
			length: 10,
			body:   "{",
			want:   "400",
		},
		{
			length: maxSpec + 1,
			body:   strings.Repeat(" ", maxSpec+1),
			want:   "413",
		},
	}
	for _, test := range tests {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(conn, "PUT /v1/config/fleets/formula HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer root\r\nContent-Length: %d\r\n\r\n%s",
			test.length, test.body)
		_ = conn.(*net.TCPConn).CloseWrite()
		answer, _ := io.ReadAll(conn)
		_ = conn.Close()
		if !strings.HasPrefix(string(answer), "HTTP/1.1 "+test.want) {
			t.Errorf("got %.200q, expected status %s", answer, test.want)
		}
	}
	head, _ := rig.api.Store.Head(t.Context())
	if diff := cmp.Diff(foxtailstack.Revision(0), head); diff != "" {
		t.Errorf("revision differs (-want +got):\n%s", diff)
	}
}

// A watch that breaks resumes behind the last event.
func TestAPIWatch(t *testing.T) {
	rig := newAPIRig()
	server := httptest.NewServer(rig.mux)
	defer server.Close()
	for i := range 5 {
		rig.do("root", http.MethodPut, fmt.Sprintf("/v1/config/fleets/f%d", i), "{}")
	}
	var got []string
	for from := range 5 {
		ctx, cancel := context.WithCancel(t.Context())
		r, _ := http.NewRequestWithContext(ctx, http.MethodGet, server.URL+PathWatch, nil)
		r.Header.Set("Authorization", "Bearer root")
		r.Header.Set("Last-Event-ID", fmt.Sprint(from))
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, firstChange(response.Body))
		cancel()
		_ = response.Body.Close()
	}
	if diff := cmp.Diff([]string{"f0", "f1", "f2", "f3", "f4"}, got); diff != "" {
		t.Errorf("first changes differ (-want +got):\n%s", diff)
	}
	rig.api.Close()
	w := rig.do("root", http.MethodGet, PathWatch+"?from=5", "")
	if diff := cmp.Diff(http.StatusOK, w.Code); diff != "" {
		t.Errorf("watch of a closed API differs (-want +got):\n%s", diff)
	}
}

// firstChange returns the name of the resource in the first change of a watch.
func firstChange(r io.Reader) string {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		var view View
		if ok && json.Unmarshal([]byte(data), &view) == nil {
			return view.Name
		}
	}
	return ""
}

func FuzzDecodeSpec(f *testing.F) {
	for _, seed := range []string{`{}`, `{"path":"/","policy":"p"}`, `{"a":[{"b":1}]}`, `{"cap":1,"CAP":2}`, "{\"\xff\":1}", `[]`, `{} {}`} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		for kind := range nameParts {
			spec, err := DecodeSpec(kind, []byte(text))
			if err != nil {
				if !errors.Is(err, ErrInvalid) {
					t.Fatalf("error %v does not wrap ErrInvalid", err)
				}
				continue
			}
			again, err := json.Marshal(spec)
			if err != nil {
				t.Fatal(err)
			}
			back, err := DecodeSpec(kind, again)
			if err != nil {
				t.Fatalf("%s does not decode: %v", again, err)
			}
			third, _ := json.Marshal(back)
			if diff := cmp.Diff(string(again), string(third)); diff != "" {
				t.Fatalf("spec differs after a round trip:\n%s", diff)
			}
		}
	})
}

func FuzzMergePatch(f *testing.F) {
	f.Add(`{"a":{"b":1,"c":2}}`, `{"a":{"b":null}}`)
	f.Add(`{"a":[1]}`, `{"a":{"b":{"c":null}}}`)
	f.Fuzz(func(t *testing.T, document, patch string) {
		if checkDocument([]byte(document)) != nil || checkDocument([]byte(patch)) != nil {
			return
		}
		once, err := mergePatch([]byte(document), []byte(patch))
		if err != nil {
			t.Fatal(err)
		}
		twice, err := mergePatch(once, []byte(patch))
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(string(once), string(twice)); diff != "" {
			t.Fatalf("patch is not idempotent:\n%s", diff)
		}
	})
}
