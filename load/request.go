package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/entry"
	"github.com/foxtailstack/foxtailstack/platform/standin"
)

// requestOutcome is the outcome of a request from the point of view of its caller.
type requestOutcome uint8

const (
	// outcomeUnknown means that there was no response, or none that states whether
	// the request ran.
	outcomeUnknown requestOutcome = iota
	// outcomeRan means that the response is marked as run and is the expected one.
	outcomeRan
	// outcomeNotRun means that the response states so, or that no request was sent.
	outcomeNotRun
	// outcomeTruncated means that the body could not be read to its end.
	outcomeTruncated
	// outcomeWrong means that the response is reported as run but its body does not
	// match the request.
	outcomeWrong
)

// result is the outcome and latency of one request.
type result struct {
	outcome requestOutcome
	latency time.Duration
}

// sendTimed sends one request, checks its response and measures the latency.
func (o Options) sendTimed(ctx context.Context, text string) result {
	started := time.Now()
	outcome := o.send(ctx, text)
	return result{
		outcome: outcome,
		latency: time.Since(started),
	}
}

// send sends one request and determines its outcome from the response.
func (o Options) send(ctx context.Context, text string) requestOutcome {
	request, err := o.newRequest(ctx, text)
	if err != nil {
		return outcomeNotRun
	}
	response, err := o.Client.Do(request)
	if err != nil {
		return outcomeUnknown
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return outcomeTruncated
	}
	reported := response.Header.Get(entry.HeaderOutcome)
	if reported == "" {
		reported = response.Trailer.Get(entry.HeaderOutcome)
	}
	switch {
	case reported == foxtailstack.NotRun.String():
		return outcomeNotRun
	case reported != foxtailstack.Ran.String():
		return outcomeUnknown
	case !o.isExpected(body, text):
		return outcomeWrong
	}
	return outcomeRan
}

// newRequest returns the request for a text.
func (o Options) newRequest(ctx context.Context, text string) (*http.Request, error) {
	prompt := o.Prompt
	prompt.Text = text
	body, err := json.Marshal(prompt)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, o.URL, strings.NewReader(string(body)))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+o.Token)
	request.Header.Set("Content-Type", "application/json")
	if o.Stream {
		request.Header.Set("Accept", "text/event-stream")
	}
	if o.IdempotencyKeys {
		// An idempotency key is any unique string. This one names no change of the
		// configuration.
		request.Header.Set(entry.HeaderIdempotency, foxtailstack.NewChangeID().String())
	}
	return request, nil
}

// isExpected reports whether body is the complete response to the request for
// text.
func (o Options) isExpected(body []byte, text string) bool {
	if !o.Stream {
		var completion standin.Completion
		err := json.Unmarshal(body, &completion)
		return err == nil && completion.Text == "answer to "+text && completion.Tokens == o.Prompt.Tokens
	}
	n := 0
	done := false
	for _, line := range strings.Split(string(body), "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		n++
		var chunk standin.Chunk
		err := json.Unmarshal([]byte(data), &chunk)
		if err != nil || chunk.Index != n || chunk.Text != fmt.Sprintf("token %d of %s", n, text) {
			return false
		}
	}
	return done && n == o.Prompt.Tokens
}
