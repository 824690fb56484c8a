package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/foxtailstack/foxtailstack/timeline"
	"github.com/spf13/cobra"
)

// newTimeline returns the command that shows the events of all processes.
func newTimeline() *cobra.Command {
	var o operator
	var attempt, upstream, resource, output string
	cmd := &cobra.Command{
		Use:     "timeline",
		Short:   "Show the events of all processes in one order",
		Example: "  foxtailstack timeline --upstream formula/drafting/w1",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			query := url.Values{}
			query.Set("attempt", attempt)
			query.Set("upstream", upstream)
			query.Set("resource", resource)
			data, err := o.get(cmd.Context(), "/v1/timeline?"+query.Encode())
			if err != nil {
				return err
			}
			if output == "json" {
				_, err = cmd.OutOrStdout().Write(data)
				return err
			}
			return printTimeline(cmd.OutOrStdout(), cmd.ErrOrStderr(), data)
		},
	}
	o.flags(cmd)
	cmd.Flags().StringVar(&attempt, "attempt", "", "only events of this attempt")
	cmd.Flags().StringVar(&upstream, "upstream", "", "only events of this upstream")
	cmd.Flags().StringVar(&resource, "resource", "", "only events of this resource")
	cmd.Flags().StringVarP(&output, "output", "o", "table", "table or json")
	return cmd
}

// printTimeline writes one line for each event, and for each process that is
// missing one line to stderr.
func printTimeline(stdout, stderr io.Writer, data []byte) error {
	var collection timeline.Collection
	err := json.Unmarshal(data, &collection)
	if err != nil {
		return fmt.Errorf("%w: %w", errAPI, err)
	}
	for _, e := range collection.Events {
		at := time.Unix(0, e.At.Wall).UTC().Format("15:04:05.000000")
		_, err = fmt.Fprintf(stdout, "%s.%d %-12s %-18s attempt=%s upstream=%s resource=%s %s\n",
			at, e.At.Counter, e.Instance, e.Kind, e.Attempt, e.Upstream, e.Resource, e.Text)
		if err != nil {
			return err
		}
	}
	for _, address := range collection.Missing {
		fmt.Fprintf(stderr, "no answer from %s\n", address)
	}
	return nil
}

// get reads a path of an entry.
func (o *operator) get(ctx context.Context, path string) ([]byte, error) {
	client, err := o.client()
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, o.server+path, nil)
	if err != nil {
		return nil, usage(err)
	}
	request.Header.Set("Authorization", "Bearer "+o.token)
	response, err := client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errAPI, err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errAPI, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: GET %s: %s", errAPI, path, response.Status)
	}
	return data, nil
}
