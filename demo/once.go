package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/entry"
	"github.com/foxtailstack/foxtailstack/platform/standin"
)

// ErrUnexpected means that a request did not go as it must.
var ErrUnexpected = errors.New("unexpected result")

// draftTokens is the length of the streamed draft.
const draftTokens = 5

// Result is how one request went.
type Result struct {
	Kind    string `json:"kind"`
	Status  int    `json:"status"`
	Outcome string `json:"outcome"`
	// Ran is how many times the engines ran the request.
	Ran int `json:"ran"`

	body string
}

// call is a request of the demonstration.
type call struct {
	kind    string
	service string
	prompt  standin.Prompt
	key     string
	stream  bool
	// want is a part of the answer.
	want string
}

// Once sends a lookup, a streamed draft, a booking and its repeat, and writes
// one line of JSON for each. It returns ErrUnexpected if one went wrong.
func (s *System) Once(ctx context.Context, out io.Writer) error {
	booking := call{
		kind:    "booking",
		service: serviceOrder,
		prompt:  standin.Prompt{Text: "order of surfactant"},
		key:     foxtailstack.NewChangeID().String(),
		want:    "answer to order of surfactant",
	}
	repeat := booking
	repeat.kind = "repeat"
	calls := []call{
		{
			kind:    "lookup",
			service: ServiceDraft,
			prompt:  standin.Prompt{Text: "price of enzymes"},
			want:    "answer to price of enzymes",
		},
		{
			kind:    "draft",
			service: ServiceDraft,
			prompt: standin.Prompt{
				Text:   "cost breakdown",
				Tokens: draftTokens,
			},
			stream: true,
			want:   "[DONE]",
		},
		booking,
		repeat,
	}
	encoder := json.NewEncoder(out)
	for _, c := range calls {
		result, err := s.send(ctx, c)
		if err != nil {
			return err
		}
		err = encoder.Encode(result)
		if err != nil {
			return err
		}
		if result.Status != http.StatusOK || result.Outcome != foxtailstack.Ran.String() ||
			result.Ran != 1 || !strings.Contains(result.body, c.want) {
			return fmt.Errorf("%w: %+v", ErrUnexpected, result)
		}
	}
	return nil
}

// send sends one request and reads its whole answer.
func (s *System) send(ctx context.Context, c call) (Result, error) {
	body, err := json.Marshal(c.prompt)
	if err != nil {
		return Result{}, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, s.URL(c.service), strings.NewReader(string(body)))
	if err != nil {
		return Result{}, err
	}
	request.Header.Set("Authorization", "Bearer "+Token)
	request.Header.Set("Content-Type", "application/json")
	if c.key != "" {
		request.Header.Set(entry.HeaderIdempotency, c.key)
	}
	if c.stream {
		request.Header.Set("Accept", "text/event-stream")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return Result{}, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return Result{}, err
	}
	outcome := response.Header.Get(entry.HeaderOutcome)
	if outcome == "" {
		outcome = response.Trailer.Get(entry.HeaderOutcome)
	}
	return Result{
		Kind:    c.kind,
		Status:  response.StatusCode,
		Outcome: outcome,
		Ran:     s.Executions(c.prompt.Text),
		body:    string(data),
	}, nil
}
