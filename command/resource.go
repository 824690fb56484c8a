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
	"sort"
	"strconv"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/fleet"
	"github.com/spf13/cobra"
)

// operatorTimeout bounds one call of the resource API.
const operatorTimeout = 10 * time.Second

// errAPI means that the resource API answered with an error.
var errAPI = errors.New("resource API")

// operator calls the resource API of one entry.
type operator struct {
	server    string
	token     string
	authority string
}

// flags adds the flags that locate the API to cmd.
func (o *operator) flags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&o.server, "server", "https://127.0.0.1:8443", "URL of an entry")
	cmd.Flags().StringVar(&o.token, "token", os.Getenv("FOXTAILSTACK_TOKEN"), "operator's token")
	cmd.Flags().StringVar(&o.authority, "authority", "", "file with the certificate of the authority")
}

// newApply returns the command that declares resources.
func newApply() *cobra.Command {
	var o operator
	var file string
	cmd := &cobra.Command{
		Use:     "apply",
		Short:   "Declare the resources in a TOML file",
		Example: "  foxtailstack apply -f fleet.toml --server https://127.0.0.1:8443",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return o.apply(cmd.Context(), file, cmd.OutOrStdout())
		},
	}
	o.flags(cmd)
	cmd.Flags().StringVarP(&file, "file", "f", "", "file of resources")
	return cmd
}

// newGet returns the command that shows resources.
func newGet() *cobra.Command {
	var o operator
	cmd := &cobra.Command{
		Use:     "get kind[/name]",
		Short:   "Show one resource or all of a kind",
		Example: "  foxtailstack get services/formula/drafting",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			data, err := o.call(cmd.Context(), http.MethodGet, args[0], 0, nil)
			if err == nil {
				_, err = cmd.OutOrStdout().Write(data)
			}
			return err
		},
	}
	o.flags(cmd)
	return cmd
}

// apply declares the resources in a file, kind by kind.
func (o *operator) apply(ctx context.Context, file string, out io.Writer) error {
	declared := map[fleet.Kind]map[string]map[string]any{}
	_, err := toml.DecodeFile(file, &declared)
	if err != nil {
		return usage(err)
	}
	for _, kind := range []fleet.Kind{fleet.KindFleet, fleet.KindTeam, fleet.KindPolicy, fleet.KindService, fleet.KindUpstream} {
		names := make([]string, 0, len(declared[kind]))
		for name := range declared[kind] {
			names = append(names, name)
		}
		sort.Strings(names)
		for _, name := range names {
			id := fleet.ID{
				Kind: kind,
				Name: name,
			}
			resource, err := o.put(ctx, id, declared[kind][name])
			if err != nil {
				return err
			}
			fmt.Fprintf(out, "%s version=%d revision=%d\n", id, resource.Version, resource.Revision)
		}
	}
	return nil
}

// put declares one resource in place of its present version.
func (o *operator) put(ctx context.Context, id fleet.ID, spec any) (fleet.Resource, error) {
	var current, next fleet.Resource
	data, err := o.call(ctx, http.MethodGet, id.String(), 0, nil)
	if err == nil {
		err = json.Unmarshal(data, &current)
	}
	if err != nil && !errors.Is(err, fleet.ErrNotFound) {
		return next, err
	}
	body, err := json.Marshal(spec)
	if err != nil {
		return next, usage(err)
	}
	data, err = o.call(ctx, http.MethodPut, id.String(), current.Version, body)
	if err != nil {
		return next, err
	}
	return next, json.Unmarshal(data, &next)
}

// call makes one call of the resource API and returns its answer.
func (o *operator) call(
	ctx context.Context,
	method, path string,
	version foxtailstack.Version,
	body []byte,
) ([]byte, error) {
	client, err := o.client()
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, method, o.server+"/v1/config/"+path, bytes.NewReader(body))
	if err != nil {
		return nil, usage(err)
	}
	request.Header.Set("Authorization", "Bearer "+o.token)
	if version > 0 {
		request.Header.Set("If-Match", strconv.Quote(strconv.FormatUint(uint64(version), 10)))
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errAPI, err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errAPI, err)
	}
	switch response.StatusCode {
	case http.StatusOK:
		return data, nil
	case http.StatusNotFound:
		return nil, fmt.Errorf("%w: %s", fleet.ErrNotFound, path)
	}
	return nil, fmt.Errorf("%w: %s %s: %s: %s", errAPI, method, path, response.Status, bytes.TrimSpace(data))
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
