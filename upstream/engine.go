package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

// Headers of the protocol of engines.
const (
	headerAttempt  = "X-Request-Id"
	headerFencing  = "X-Fencing-Number"
	headerBooking  = "X-Booking-Key"
	headerPriority = "X-Priority"
	headerTeam     = "X-Team"
	headerResume   = "Last-Event-ID"
)

const (
	// maxIdleConns is the maximum number of idle connections to the engine.
	maxIdleConns = 256
	// controlTimeout is the time limit of requests for the load or the state, and of
	// orders.
	controlTimeout = 5 * time.Second
	// maxReportSize is the maximum size in bytes of the response to such a request.
	maxReportSize = 1 << 20
	// maxResponseHeaderBytes is the number of bytes that are read of the head of a response.
	maxResponseHeaderBytes = 64 << 10
)

// HTTPEngine is a foxtailstack.Engine that speaks HTTP. Responses are either complete
// bodies or streams of server-sent events.
type HTTPEngine struct {
	client  *http.Client
	baseURL string
}

// NewHTTPEngine returns the engine with the given base URL.
func NewHTTPEngine(baseURL string) *HTTPEngine {
	return &HTTPEngine{
		client: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost:    maxIdleConns,
				DisableCompression:     true,
				MaxResponseHeaderBytes: maxResponseHeaderBytes,
			},
			// Redirects are not followed: a failed connection to the new address would
			// be taken for a refusal, although the engine has seen the call.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		baseURL: baseURL,
	}
}

// Run sends one call to the engine and returns its response. The caller must close the
// body.
func (e *HTTPEngine) Run(ctx context.Context, call foxtailstack.EngineCall) (foxtailstack.EngineAnswer, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, e.baseURL+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return foxtailstack.EngineAnswer{}, fmt.Errorf("%w: %w", foxtailstack.ErrEngineRefused, err)
	}
	request.GetBody = nil // prevents the transport from sending the call twice
	id := call.Attempt.String()
	request.Header.Set("Content-Type", call.ContentType)
	request.Header.Set(headerAttempt, id)
	request.Header.Set(headerTeam, string(call.Team))
	request.Header.Set(headerPriority, strconv.Itoa(int(call.Priority)))
	if call.Stream {
		request.Header.Set("Accept", "text/event-stream")
	}
	if call.ReceivedEvents > 0 {
		request.Header.Set(headerResume, strconv.FormatUint(call.ReceivedEvents, 10))
	}
	if call.Fencing > 0 {
		request.Header.Set(headerFencing, strconv.FormatUint(uint64(call.Fencing), 10))
		request.Header.Set(headerBooking, url.QueryEscape(call.Booking))
	}
	response, err := e.client.Do(request)
	if err != nil {
		return foxtailstack.EngineAnswer{}, engineError(err)
	}
	if got := response.Header.Get(headerAttempt); got != id {
		_ = response.Body.Close()
		return foxtailstack.EngineAnswer{}, fmt.Errorf("%w: got %q, expected %q", foxtailstack.ErrEngineMismatch, got, id)
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.ProtoMajor == 1 {
		_ = response.Body.Close()
		return foxtailstack.EngineAnswer{}, fmt.Errorf("%w: response with neither a length nor chunked encoding", foxtailstack.ErrEngineFailed)
	}
	return foxtailstack.EngineAnswer{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Body:        response.Body,
	}, nil
}

// Load returns the last load report of the engine.
func (e *HTTPEngine) Load(ctx context.Context) (foxtailstack.EngineLoad, error) {
	var load foxtailstack.EngineLoad
	err := e.control(ctx, http.MethodGet, "/load", nil, &load)
	return load, err
}

// State returns what the engine has loaded.
func (e *HTTPEngine) State(ctx context.Context) (foxtailstack.EngineState, error) {
	var state foxtailstack.EngineState
	err := e.control(ctx, http.MethodGet, "/state", nil, &state)
	return state, err
}

// Order asks the engine to load what want describes.
func (e *HTTPEngine) Order(ctx context.Context, want foxtailstack.EngineState) error {
	var state foxtailstack.EngineState
	return e.control(ctx, http.MethodPut, "/state", want, &state)
}

// control sends a request other than a call and decodes the response into result.
func (e *HTTPEngine) control(ctx context.Context, method, path string, body, result any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	var content io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return fmt.Errorf("%w: encode body of %s %s: %w", foxtailstack.ErrEngineFailed, method, path, err)
		}
		content = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, e.baseURL+path, content)
	if err != nil {
		return fmt.Errorf("%w: create request %s %s: %w", foxtailstack.ErrEngineFailed, method, path, err)
	}
	response, err := e.client.Do(request)
	if err != nil {
		return engineError(err)
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		return foxtailstack.ErrEngineFenced
	default:
		return fmt.Errorf("%w: %s %s: %s", foxtailstack.ErrEngineFailed, method, path, response.Status)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxReportSize)).Decode(result)
	if err != nil {
		return fmt.Errorf("%w: decode response to %s %s: %w", foxtailstack.ErrEngineFailed, method, path, err)
	}
	return nil
}

// engineError converts an error of the HTTP client to an error of the Engine interface.
// Only a failure to connect proves that the engine has not seen the call.
func engineError(err error) error {
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		return fmt.Errorf("%w: %w", foxtailstack.ErrEngineRefused, err)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &op):
		return fmt.Errorf("%w: %w", foxtailstack.ErrEngineLost, err)
	}
	return fmt.Errorf("%w: %w", foxtailstack.ErrEngineFailed, err)
}
