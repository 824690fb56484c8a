package upstream

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/keys"
	"github.com/foxtailstack/foxtailstack/wire"
	"github.com/google/go-cmp/cmp"
)

// packetHeaderSize is the total length of the IPv4 and UDP headers of a packet in bytes.
const packetHeaderSize = 28

// probePeriod is the time between two load probes of an entry. It determines how many
// acknowledgements are sent in packets of their own.
const probePeriod = 60 * time.Millisecond

// relay forwards packets between one client and a server and counts their bytes.
type relay struct {
	front, back *net.UDPConn
	client      atomic.Pointer[net.UDPAddr]
	bytes       atomic.Int64
}

// newRelay returns a relay to a server.
func newRelay(tb testing.TB, server net.Addr) *relay {
	tb.Helper()
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		tb.Fatalf("listen for the client: %v", err)
	}
	address, _ := server.(*net.UDPAddr)
	back, err := net.DialUDP("udp", nil, address)
	if err != nil {
		tb.Fatalf("open a socket to the server: %v", err)
	}
	r := &relay{
		front: front,
		back:  back,
	}
	tb.Cleanup(func() { _, _ = front.Close(), back.Close() })
	go r.forward(func(b []byte) (int, error) {
		n, client, err := front.ReadFromUDP(b)
		r.client.Store(client)
		return n, err
	}, back.Write)
	go r.forward(back.Read, func(b []byte) (int, error) { return front.WriteToUDP(b, r.client.Load()) })
	return r
}

// forward forwards packets in one direction until a connection is closed.
func (r *relay) forward(read, write func([]byte) (int, error)) {
	buffer := make([]byte, 1<<16)
	for {
		n, err := read(buffer)
		if err != nil {
			return
		}
		r.bytes.Add(int64(n + packetHeaderSize))
		_, _ = write(buffer[:n])
	}
}

// newProbe returns a function that sends a load probe to a sidecar over loopback, and the
// relay between them.
func newProbe(tb testing.TB, server *Server) (func(name string) (ProbeResponse, error), *relay) {
	tb.Helper()
	authority, err := keys.NewAuthority()
	if err != nil {
		tb.Fatalf("create an authority: %v", err)
	}
	pair, err := authority.Issue("test", "127.0.0.1")
	if err != nil {
		tb.Fatalf("issue a certificate: %v", err)
	}
	config, err := keys.NewConfig(pair, authority.Cert)
	if err != nil {
		tb.Fatalf("create the TLS configuration: %v", err)
	}
	var mux wire.Mux
	mux.Handle(StreamProbe, server.ServeProbe)
	addr, err := mux.Listen("127.0.0.1:0", config.Peer)
	if err != nil {
		tb.Fatalf("listen: %v", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- mux.Serve(ctx) }()
	r := newRelay(tb, addr)
	client := wire.NewClient(config.Peer)
	tb.Cleanup(func() {
		client.Close()
		cancel()
		<-served
	})
	return func(name string) (ProbeResponse, error) {
		var response ProbeResponse
		address := foxtailstack.Address(r.front.LocalAddr().String())
		err := client.Call(ctx, address, StreamProbe, Probe{Upstream: name}, &response)
		return response, err
	}, r
}

func TestServeProbe(t *testing.T) {
	server := &Server{
		Upstream:  "formula/drafting/w1",
		Admission: NewAdmissionController(4),
	}
	server.prefixes.Add(PrefixOf([]byte("prompt")))
	if err := server.Admission.Acquire(t.Context(), AdmissionRequest{Timeout: 1 << 40}); err != nil {
		t.Fatalf("acquire a slot: %v", err)
	}
	probe, _ := newProbe(t, server)
	for _, name := range []string{"formula/drafting/w1", "formula/drafting/w2"} {
		got, err := probe(name)
		if err != nil {
			t.Fatalf("probe %s: %v", name, err)
		}
		want := ProbeResponse{
			Load: Load{
				Running: 1,
				Slots:   4,
			},
			WrongUpstream:  name != server.Upstream,
			CachedPrefixes: server.prefixes.Set(),
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("response to the probe of %s (-want +got):\n%s", name, diff)
		}
	}
}

// BenchmarkProbe reports the bytes of a load probe on the network in both directions,
// including headers and acknowledgements.
func BenchmarkProbe(b *testing.B) {
	server := &Server{
		Upstream:  "formula/drafting/w1",
		Admission: NewAdmissionController(64),
	}
	for n := range 2 * maxRecentPrefixes {
		server.prefixes.Add(PrefixOf([]byte{byte(n)}))
	}
	probe, r := newProbe(b, server)
	_, _ = probe(server.Upstream) // establishes the connection
	before := r.bytes.Load()
	n := 0
	for b.Loop() {
		if _, err := probe(server.Upstream); err != nil {
			b.Fatalf("probe: %v", err)
		}
		n++
		time.Sleep(probePeriod)
	}
	b.ReportMetric(float64(r.bytes.Load()-before)/float64(n), "B/probe")
}
