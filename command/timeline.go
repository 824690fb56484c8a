package command

import (
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
	var attempt, upstream, resource string
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
			var collection timeline.Collection
			err := o.check()
			if err == nil {
				err = o.call(cmd.Context(), call{
					method: http.MethodGet,
					path:   "/v1/timeline?" + query.Encode(),
				}, &collection)
			}
			if err != nil {
				return err
			}
			if o.json() {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(collection)
			}
			return printTimeline(cmd.OutOrStdout(), cmd.ErrOrStderr(), collection)
		},
	}
	o.flags(cmd)
	cmd.Flags().StringVar(&attempt, "attempt", "", "only events of this attempt")
	cmd.Flags().StringVar(&upstream, "upstream", "", "only events of this upstream")
	cmd.Flags().StringVar(&resource, "resource", "", "only events of this resource")
	o.outputFlag(cmd)
	return cmd
}

// printTimeline writes one line for each event, and for each process that is
// missing one line to stderr.
func printTimeline(stdout, stderr io.Writer, collection timeline.Collection) error {
	for _, e := range collection.Events {
		at := time.Unix(0, e.At.Wall).UTC().Format("15:04:05.000000")
		_, err := fmt.Fprintf(stdout, "%s.%d %-12s %-18s attempt=%s upstream=%s resource=%s %s\n",
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
