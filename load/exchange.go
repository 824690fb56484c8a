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

// verdict is how one request went, as its caller sees it.
type verdict uint8

const (
	verdictUnknown verdict = iota
	verdictRan
	verdictNotRun
	verdictBroken
	verdictWrong
)

// result is one request.
type result struct {
	verdict verdict
	latency time.Duration
}

// exchange sends one request and checks its answer.
func (o Options) exchange(ctx context.Context, text string) result {
	began := time.Now()
	v := o.verdict(ctx, text)
	return result{
		verdict: v,
		latency: time.Since(began),
	}
}

// verdict sends one request and judges its answer.
func (o Options) verdict(ctx context.Context, text string) verdict {
	request, err := o.request(ctx, text)
	if err != nil {
		return verdictNotRun
	}
	response, err := o.Client.Do(request)
	if err != nil {
		return verdictUnknown
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return verdictBroken
	}
	outcome := response.Header.Get(entry.HeaderOutcome)
	if outcome == "" {
		outcome = response.Trailer.Get(entry.HeaderOutcome)
	}
	switch {
	case outcome == foxtailstack.NotRun.String():
		return verdictNotRun
	case outcome != foxtailstack.Ran.String():
		return verdictUnknown
	case !o.own(body, text):
		return verdictWrong
	}
	return verdictRan
}

// request returns the request for a text.
func (o Options) request(ctx context.Context, text string) (*http.Request, error) {
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
		request.Header.Set(entry.HeaderIdempotency, foxtailstack.NewChangeID().String())
	}
	return request, nil
}

// own reports whether body is the whole answer to text.
func (o Options) own(body []byte, text string) bool {
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
