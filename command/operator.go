package command

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/fleet"
	"github.com/spf13/cobra"
)

const (
	// operatorTimeout bounds one call of the resource API.
	operatorTimeout = 10 * time.Second
	// operatorTries bounds the repeats of a call whose outcome is not known.
	operatorTries = 5
	// operatorPause is the pause before a repeat.
	operatorPause = 500 * time.Millisecond
)

// errAPI means that the resource API answered with an error.
var errAPI = errors.New("resource API")

// apiError is an error answer of the resource API.
type apiError struct {
	method, path string
	problem      fleet.Problem
}

// Error returns the request and the detail of the problem.
func (e *apiError) Error() string {
	return fmt.Sprintf("%s %s: %d: %s", e.method, e.path, e.problem.Status, e.problem.Detail)
}

// Unwrap returns the error that the problem stands for, if a command cares.
func (e *apiError) Unwrap() error {
	if e.problem.Status == http.StatusNotFound {
		return fleet.ErrNotFound
	}
	return errAPI
}

// operator calls the resource API of one entry.
type operator struct {
	server    string
	token     string
	authority string
	output    string
}

// call is one call of the resource API.
type call struct {
	method, path string
	body         []byte
	// version goes into If-Match unless it is zero.
	version foxtailstack.Version
	// key makes repeats of a write one change.
	key string
}

// flags adds the flags that locate the API to cmd.
func (o *operator) flags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&o.server, "server", "https://127.0.0.1:8443", "URL of an entry")
	cmd.Flags().StringVar(&o.token, "token", os.Getenv("FOXTAILSTACK_TOKEN"), "operator's token")
	cmd.Flags().StringVar(&o.authority, "authority", "", "file with the certificate of the authority")
}

// outputFlag adds the flag that chooses the output to cmd.
func (o *operator) outputFlag(cmd *cobra.Command) {
	cmd.Flags().StringVarP(&o.output, "output", "o", "table", "table or json")
}

// json reports whether the output is one JSON object a line.
func (o *operator) json() bool {
	return o.output == "json"
}

// check returns an error for a form of output that does not exist.
func (o *operator) check() error {
	if o.output != "table" && o.output != "json" {
		return usage(fmt.Errorf("output %q is not table or json", o.output))
	}
	return nil
}

// call makes one call and decodes its answer into answer. Writes whose outcome
// is not known are repeated under the same idempotency key.
func (o *operator) call(ctx context.Context, c call, answer any) error {
	client, err := o.client()
	if err != nil {
		return err
	}
	for try := 1; ; try++ {
		err = o.once(ctx, client, c, answer)
		var refused *apiError
		settled := errors.As(err, &refused) && refused.problem.Status < http.StatusInternalServerError
		if err == nil || settled || errors.Is(err, errUsage) || try == operatorTries {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(operatorPause):
		}
	}
}

// once makes one call.
func (o *operator) once(ctx context.Context, client *http.Client, c call, answer any) error {
	request, err := o.request(ctx, c)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return fmt.Errorf("%w: %w", errAPI, err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("%w: %w", errAPI, err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return failure(c, response, data)
	}
	err = json.Unmarshal(data, answer)
	if err != nil {
		return fmt.Errorf("%w: %w", errAPI, err)
	}
	return nil
}

// request returns the HTTP request of a call.
func (o *operator) request(ctx context.Context, c call) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, c.method, o.server+c.path, bytes.NewReader(c.body))
	if err != nil {
		return nil, usage(err)
	}
	if o.token != "" {
		request.Header.Set("Authorization", "Bearer "+o.token)
	}
	if c.version > 0 {
		request.Header.Set("If-Match", strconv.Quote(strconv.FormatUint(uint64(c.version), 10)))
	}
	if c.key != "" {
		request.Header.Set("Idempotency-Key", c.key)
	}
	return request, nil
}

// failure returns the error in an answer.
func failure(c call, response *http.Response, data []byte) error {
	e := &apiError{
		method: c.method,
		path:   c.path,
	}
	err := json.Unmarshal(data, &e.problem)
	if err != nil {
		e.problem.Detail = string(bytes.TrimSpace(data))
	}
	e.problem.Status = response.StatusCode
	return e
}

// client returns a client that trusts the authority.
func (o *operator) client() (*http.Client, error) {
	client := &http.Client{Timeout: operatorTimeout}
	if o.authority == "" {
		return client, nil
	}
	data, err := os.ReadFile(o.authority)
	if err != nil {
		return nil, usage(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, usage(fmt.Errorf("no certificate in %s", o.authority))
	}
	client.Transport = &http.Transport{TLSClientConfig: &tls.Config{
		MinVersion: tls.VersionTLS13,
		RootCAs:    pool,
	}}
	return client, nil
}

// resource returns one resource, or an error that wraps fleet.ErrNotFound.
func (o *operator) resource(ctx context.Context, path string) (fleet.View, error) {
	var view fleet.View
	err := o.call(ctx, call{
		method: http.MethodGet,
		path:   fleet.PathConfig + path,
	}, &view)
	return view, err
}
