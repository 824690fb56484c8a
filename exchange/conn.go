package exchange

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/memory"
)

const (
	// maxUnrelatedResponses is the number of responses, informational ones
	// included, that are read in search of the one to the request.
	maxUnrelatedResponses = 3
	// maxDiscardedBody is the length in bytes below which a discarded body leaves
	// its connection usable.
	maxDiscardedBody = 1 << 20
	// maxInlineBody is the length in bytes of the longest body that is written
	// before the response is read. Longer bodies are written concurrently, because
	// an upstream may respond before it has read them.
	maxInlineBody = 16 << 10
	// maxErrorText is the length in bytes to which the text of an error is cut.
	maxErrorText = 200
)

// Errors of an exchange. After either of them the request may have run.
var (
	// ErrBroken means that Send or Discard failed because the connection ended or
	// the read check ended the exchange. Errors of reading Body directly are not
	// wrapped in it.
	ErrBroken = errors.New("connection to the upstream broke")
	// ErrInvalidResponse means that the received data are not a response to the
	// request.
	ErrInvalidResponse = errors.New("upstream sent no valid response to the request")
)

// OutgoingRequest is a request to an upstream.
type OutgoingRequest struct {
	Method string
	// Target is the path and query as received from the caller.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ID is the request ID that the response must carry.
	ID RequestID
	// Holding is what is held for the heads that are read; nil if that is not counted.
	Holding *memory.Holding
	// Skipped, unless nil, is called for each response to another request that is skipped, by
	// the goroutine that calls Send.
	Skipped func(SkippedResponse)
}

// IncomingResponse is a response whose header has been read and whose body has
// not.
type IncomingResponse struct {
	ResponseInfo
	Status int
	Header http.Header
	Body   io.Reader
	// Close is set if the connection cannot be reused.
	Close bool
	// Transfer is what the connection had done as the header of the response had been read.
	Transfer Transfer
	// bodySent receives the result of writing a long request body; nil if the body
	// was written before the response was read.
	bodySent chan error
	// endsByClose is set if the body has neither a length nor chunks.
	endsByClose bool
}

// Send writes a request and reads the header of its response. It returns ErrHeadTooLong or
// memory.ErrFull if the head passes its bound or that of the holding.
func (c *Conn) Send(out OutgoingRequest, codec Codec) (*IncomingResponse, error) {
	c.transfers.begin()
	c.carried.add(out.ID)
	err := c.writeHeader(out)
	if err != nil {
		return nil, fmt.Errorf("%w: write: %w", ErrBroken, err)
	}
	c.transfers.headBuffered(c.w.Buffered(), len(out.Body))
	var bodySent chan error
	if len(out.Body) > maxInlineBody {
		bodySent = make(chan error, 1)
		go func() { bodySent <- c.writeBody(out.Body) }()
	} else {
		err = c.writeBody(out.Body)
		if err != nil {
			return nil, fmt.Errorf("%w: write: %w", ErrBroken, err)
		}
	}
	in, err := c.receive(out, codec)
	if err != nil {
		return nil, err
	}
	in.bodySent = bodySent
	if bodySent != nil && in.endsByClose {
		in.Body = &unframedBody{
			body:     in.Body,
			bodySent: bodySent,
		}
	}
	in.Transfer = c.Transfer()
	return in, nil
}

// writeHeader writes the request line and the header.
func (c *Conn) writeHeader(out OutgoingRequest) error {
	_, err := fmt.Fprintf(c.w, "%s %s HTTP/1.1\r\nHost: %s\r\n", out.Method, out.Target, out.Host)
	if err != nil {
		return err
	}
	err = out.Header.Write(c.w)
	if err != nil {
		return err
	}
	if len(out.Body) > 0 || out.Method == http.MethodPost || out.Method == http.MethodPut {
		_, err = fmt.Fprintf(c.w, "Content-Length: %d\r\n", len(out.Body))
		if err != nil {
			return err
		}
	}
	_, err = c.w.WriteString("\r\n")
	return err
}

// writeBody writes the body and flushes the buffer.
func (c *Conn) writeBody(body []byte) error {
	_, err := c.w.Write(body)
	if err != nil {
		return err
	}
	return c.w.Flush()
}

// receive reads responses until it has the one to the request.
func (c *Conn) receive(out OutgoingRequest, codec Codec) (*IncomingResponse, error) {
	for range maxUnrelatedResponses {
		response, err := c.readHead(out)
		if err != nil {
			return nil, readError(err)
		}
		if response.StatusCode < http.StatusOK {
			c.transfers.skip(true)
			continue // informational response
		}
		info := codec.DecodeResponse(response.StatusCode, response.Header)
		if info.ID == out.ID {
			return &IncomingResponse{
				ResponseInfo: info,
				Status:       response.StatusCode,
				Header:       response.Header,
				Body:         response.Body,
				Close:        response.Close,
				endsByClose:  response.ContentLength < 0 && len(response.TransferEncoding) == 0,
			}, nil
		}
		c.skipped(out, response.StatusCode, info.ID)
		unrelated := &IncomingResponse{
			Body:  response.Body,
			Close: response.Close,
		}
		err = unrelated.discardUnrelated()
		if err != nil {
			return nil, err
		}
	}
	return nil, fmt.Errorf("%w: none of %d responses belongs to the request", ErrInvalidResponse, maxUnrelatedResponses)
}

// skipped records that a response to another request is skipped.
func (c *Conn) skipped(out OutgoingRequest, status int, found RequestID) {
	c.transfers.skip(false)
	if out.Skipped == nil {
		return
	}
	out.Skipped(SkippedResponse{
		Transfer: c.Transfer(),
		Found:    found,
		Status:   status,
	})
}

// readHead reads the head of one response.
func (c *Conn) readHead(out OutgoingRequest) (*http.Response, error) {
	c.checked.head = &headBound{holding: out.Holding}
	defer func() { c.checked.head = nil }()
	return http.ReadResponse(c.r, &http.Request{Method: out.Method})
}

// discardUnrelated discards the body of a response to another request. It fails if
// the connection cannot be read any further.
func (in *IncomingResponse) discardUnrelated() error {
	err := in.Discard()
	if err == nil && in.Close {
		return fmt.Errorf("%w: connection not usable after a response to another request", ErrInvalidResponse)
	}
	return err
}

// readError wraps an error of reading in ErrBroken or ErrInvalidResponse. A head beyond its
// bound is an invalid response, not a broken connection.
func readError(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, ErrReadCheck) || isNetworkError(err) {
		return fmt.Errorf("%w: read: %w", ErrBroken, err)
	}
	if errors.Is(err, ErrHeadTooLong) || errors.Is(err, memory.ErrFull) {
		return fmt.Errorf("%w: %w", ErrInvalidResponse, err)
	}
	return fmt.Errorf("%w: %.*s", ErrInvalidResponse, maxErrorText, err) // may quote the head
}

// isNetworkError reports whether err comes from the network connection. Such
// errors have a Timeout method: net.Error and os.ErrDeadlineExceeded.
func isNetworkError(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout)
}

// Finish returns the connection to the pool, or closes it if it cannot be reused,
// also because the request body is not yet written in full. The body of the
// response must have been read to its end.
func (in *IncomingResponse) Finish(p *Pool, name foxtailstack.UpstreamName, conn *Conn) {
	if in.bodySent != nil {
		select {
		case err := <-in.bodySent:
			in.Close = in.Close || err != nil
		default:
			in.Close = true
		}
	}
	if in.Close {
		conn.Close()
		return
	}
	p.Put(name, conn, in.IdleTimeout)
}

// Discard reads up to maxDiscardedBody bytes of the body. If the body may be
// longer, it sets Close.
func (in *IncomingResponse) Discard() error {
	n, err := io.Copy(io.Discard, io.LimitReader(in.Body, maxDiscardedBody))
	if err != nil {
		return readError(err)
	}
	if n == maxDiscardedBody {
		in.Close = true
	}
	return nil
}
