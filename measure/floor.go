package measure

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/foxtailstack/foxtailstack/keys"
	"github.com/quic-go/quic-go"
)

// floorProtocol is the protocol of the bare QUIC echo.
const floorProtocol = "echo"

// floors are bare echoes over the protocols that the system uses.
type floors struct {
	server   *http.Server
	listener *quic.Listener
	conn     *quic.Conn
	client   *http.Client
	url      string
	body     []byte
}

// newFloors starts the echoes.
func newFloors(ctx context.Context) (*floors, error) {
	config, err := keys.NewLoopback()
	if err != nil {
		return nil, err
	}
	peer := config.Peer.Clone()
	peer.NextProtos = []string{floorProtocol}
	f := &floors{
		server: &http.Server{
			Handler:           http.HandlerFunc(echoHTTP),
			ReadHeaderTimeout: pathTimeout,
		},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: pathSlots}},
		body:   bytes.Repeat([]byte{'x'}, pathText),
	}
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.url = "http://" + tcp.Addr().String()
	go func() { _ = f.server.Serve(tcp) }()
	return f, f.startQUIC(ctx, peer)
}

// startQUIC starts the QUIC echo and connects to it.
func (f *floors) startQUIC(ctx context.Context, config *tls.Config) error {
	settings := &quic.Config{
		MaxIncomingStreams: pathSlots,
		KeepAlivePeriod:    time.Second,
	}
	var err error
	f.listener, err = quic.ListenAddr("127.0.0.1:0", config, settings)
	if err != nil {
		return err
	}
	go func() {
		conn, err := f.listener.Accept(ctx)
		for err == nil {
			var stream *quic.Stream
			stream, err = conn.AcceptStream(ctx)
			if err == nil {
				go echoQUIC(stream)
			}
		}
	}()
	f.conn, err = quic.DialAddr(ctx, f.listener.Addr().String(), config, settings)
	return err
}

// http makes one HTTP/1.1 exchange.
func (f *floors) http(ctx context.Context) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url, bytes.NewReader(f.body))
	if err != nil {
		return err
	}
	response, err := f.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return f.check(data, err)
}

// quic makes one exchange on a QUIC stream of its own.
func (f *floors) quic(ctx context.Context) error {
	stream, err := f.conn.OpenStreamSync(ctx)
	if err != nil {
		return err
	}
	_, err = stream.Write(f.body)
	if err != nil {
		return err
	}
	err = stream.Close()
	if err != nil {
		return err
	}
	data, err := io.ReadAll(stream)
	return f.check(data, err)
}

// check checks that the echo is whole.
func (f *floors) check(data []byte, err error) error {
	if err != nil {
		return err
	}
	if !bytes.Equal(data, f.body) {
		return fmt.Errorf("%w: echo of %d bytes", errPath, len(data))
	}
	return nil
}

// close ends the echoes.
func (f *floors) close() {
	_ = f.conn.CloseWithError(0, "")
	_ = f.listener.Close()
	_ = f.server.Close()
}

// echoHTTP answers with the body.
func echoHTTP(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err == nil {
		_, _ = w.Write(data) // the client may be gone
	}
}

// echoQUIC answers with what was sent on the stream.
func echoQUIC(stream *quic.Stream) {
	data, err := io.ReadAll(stream)
	if err == nil {
		_, _ = stream.Write(data) // the client may be gone
	}
	_ = stream.Close()
}
