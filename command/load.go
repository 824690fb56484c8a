package command

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/foxtailstack/foxtailstack/load"
	"github.com/spf13/cobra"
)

// errWrong means that a caller received an answer that is not its own.
var errWrong = errors.New("callers received wrong answers")

// newLoad returns the command that loads a service.
func newLoad() *cobra.Command {
	var o operator
	var options load.Options
	var service, caller string
	cmd := &cobra.Command{
		Use:     "load",
		Short:   "Load a service whose engines are stand-ins and check every answer",
		Example: "  foxtailstack load --server http://127.0.0.1:8080 --service formula/drafting --caller demo-token",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			client.Timeout = 0
			transport, ok := client.Transport.(*http.Transport)
			if !ok {
				transport = &http.Transport{}
				client.Transport = transport
			}
			transport.MaxIdleConnsPerHost = options.Callers
			options.Client = client
			options.URL = o.server + "/v1/fleets/" + service
			options.Token = caller
			report, err := load.Run(cmd.Context(), options)
			if err != nil {
				return usage(err)
			}
			fmt.Fprintf(cmd.OutOrStdout(),
				"requests=%d ran=%d notrun=%d unknown=%d broken=%d wrong=%d rate=%.0f p50=%s p95=%s p99=%s\n",
				report.Requests, report.Ran, report.NotRun, report.Unknown, report.Truncated, report.Wrong,
				report.Rate, report.Median, report.P95, report.P99)
			if report.Wrong > 0 {
				return errWrong
			}
			return nil
		},
	}
	o.flags(cmd)
	cmd.Flags().StringVar(&service, "service", "", "fleet/service to call")
	cmd.Flags().StringVar(&caller, "caller", "", "caller's token")
	cmd.Flags().IntVar(&options.Callers, "callers", 16, "requests in progress at once")
	cmd.Flags().IntVar(&options.Requests, "requests", 10_000, "highest number of requests")
	cmd.Flags().DurationVar(&options.Duration, "duration", 10*time.Second, "longest time")
	cmd.Flags().BoolVar(&options.Stream, "stream", false, "ask for streamed answers")
	cmd.Flags().BoolVar(&options.IdempotencyKeys, "booking", false, "send a new idempotency key with each request")
	cmd.Flags().IntVar(&options.Prompt.Tokens, "tokens", 0, "tokens of each answer")
	cmd.Flags().DurationVar(&options.Prompt.Pace, "pace", 0, "time for each token")
	return cmd
}
