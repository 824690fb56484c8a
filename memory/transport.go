package memory

import (
	"io"
	"net/http"
)

// uncountedBody is the number of bytes of a response body that are not taken from the
// account, so that usual messages are read when it is full.
const uncountedBody = 4 << 10

// Transport is an http.RoundTripper that takes what is read of response bodies from an
// account until they are closed. A body for which there is no room fails with ErrFull.
type Transport struct {
	Base    http.RoundTripper
	Account *Account
}

// RoundTrip sends a request.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.Base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	response.Body = &countedBody{
		ReadCloser: response.Body,
		holding:    Holding{Account: t.Account},
	}
	return response, nil
}

// CloseIdleConnections closes the idle connections of Base.
func (t *Transport) CloseIdleConnections() {
	base, ok := t.Base.(interface{ CloseIdleConnections() })
	if ok {
		base.CloseIdleConnections()
	}
}

// countedBody is the body of a response that is counted.
type countedBody struct {
	io.ReadCloser
	holding Holding
	read    int
}

// Read reads from the body and takes what has come.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	counted := max(b.read, uncountedBody)
	b.read += n
	if b.read > counted && !b.holding.Take(b.read-counted) {
		return 0, ErrFull
	}
	return n, err
}

// Close closes the body and gives back what was taken.
func (b *countedBody) Close() error {
	b.holding.Release()
	return b.ReadCloser.Close()
}
