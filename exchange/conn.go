package exchange

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/foxtailstack/foxtailstack"
)

const (
	// maxStray is the number of answers to other requests that are skipped.
	maxStray = 3
	// maxStrayBody is the length of the longest such answer in bytes.
	maxStrayBody = 1 << 20
	// maxInline is the length of the longest body that is sent before the answer
	// is read, in bytes. Longer ones are sent meanwhile, since an upstream may
	// answer before it has read them.
	maxInline = 16 << 10
)

// Errors of an exchange. After both of them the request may have run.
var (
	// ErrBroken means that the connection ended before the whole answer.
	ErrBroken = errors.New("connection to the upstream broke")
	// ErrInvalidResponse means that what came is not an answer to the request.
	ErrInvalidResponse = errors.New("upstream sent no valid answer")
)

// OutgoingRequest is a request as it is sent.
type OutgoingRequest struct {
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ID is what the answer must carry.
	ID RequestID
}

// IncomingResponse is an answer whose body is still to be read.
type IncomingResponse struct {
	ResponseInfo
	Status int
	Header http.Header
	Body   io.Reader
	// Close tells that the connection cannot be used again.
	Close bool
	// sent yields the error of sending a long body.
	sent chan error
}

// Send writes a request and reads the header of its answer.
func (c *Conn) Send(out OutgoingRequest, codec Codec) (*IncomingResponse, error) {
	err := c.writeHeader(out)
	if err != nil {
		return nil, fmt.Errorf("%w: write: %w", ErrBroken, err)
	}
	var sent chan error
	if len(out.Body) > maxInline {
		sent = make(chan error, 1)
		go func() { sent <- c.writeBody(out.Body) }()
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
	in.sent = sent
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

// writeBody writes the body and flushes.
func (c *Conn) writeBody(body []byte) error {
	_, err := c.w.Write(body)
	if err != nil {
		return err
	}
	return c.w.Flush()
}

// receive reads answers until the one to the request comes.
func (c *Conn) receive(out OutgoingRequest, codec Codec) (*IncomingResponse, error) {
	for range maxStray {
		response, err := http.ReadResponse(c.r, &http.Request{Method: out.Method})
		if err != nil {
			return nil, readError(err)
		}
		if response.StatusCode < http.StatusOK {
			continue // informational
		}
		answer := codec.DecodeResponse(response.StatusCode, response.Header)
		if answer.ID == out.ID {
			return &IncomingResponse{
				ResponseInfo: answer,
				Status:       response.StatusCode,
				Header:       response.Header,
				Body:         response.Body,
				Close:        response.Close,
			}, nil
		}
		stray := &IncomingResponse{
			Body:  response.Body,
			Close: response.Close,
		}
		err = stray.skip()
		if err != nil {
			return nil, err
		}
	}
	return nil, fmt.Errorf("%w: %d answers to other requests", ErrInvalidResponse, maxStray)
}

// skip reads an answer to another request to its end.
func (in *IncomingResponse) skip() error {
	err := in.Discard()
	if err == nil && in.Close {
		return fmt.Errorf("%w: last answer is to another request", ErrInvalidResponse)
	}
	return err
}

// readError returns the error of an exchange for one of reading.
func readError(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, ErrAborted) || isNetwork(err) {
		return fmt.Errorf("%w: read: %w", ErrBroken, err)
	}
	return fmt.Errorf("%w: %w", ErrInvalidResponse, err)
}

// isNetwork reports whether err comes from the connection itself.
func isNetwork(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout)
}

// Finish gives the connection back if it can carry another request, or closes
// it. The body must have been read to its end.
func (in *IncomingResponse) Finish(p *Pool, name foxtailstack.UpstreamName, conn *Conn) {
	if in.sent != nil {
		select {
		case err := <-in.sent:
			in.Close = in.Close || err != nil
		default:
			in.Close = true
		}
	}
	if in.Close {
		conn.Close()
		return
	}
	p.Put(name, conn, in.KeepAlive)
}

// Discard reads the body to its end.
func (in *IncomingResponse) Discard() error {
	n, err := io.Copy(io.Discard, io.LimitReader(in.Body, maxStrayBody))
	if err != nil {
		return readError(err)
	}
	if n == maxStrayBody {
		in.Close = true
	}
	return nil
}
