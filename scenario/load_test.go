package scenario

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"time"

	"github.com/foxtailstack/foxtailstack/load"
	"github.com/rogpeppe/go-internal/testscript"
)

// loadDuration bounds a load that a script starts.
const loadDuration = 30 * time.Second

// loadResult is how a load ended.
type loadResult struct {
	report load.Report
	err    error
}

// load starts a load in the background.
func (s *system) load(_ *testscript.TestScript, args []string) error {
	flags := flag.NewFlagSet("load", flag.ContinueOnError)
	options := load.Options{
		Token:    "caller-token",
		Duration: loadDuration,
	}
	to := flags.String("to", "entry1", "entry")
	flags.BoolVar(&options.Stream, "stream", false, "ask for streams")
	flags.BoolVar(&options.IdempotencyKeys, "booking", false, "send idempotency keys")
	flags.IntVar(&options.Callers, "callers", 4, "callers")
	flags.IntVar(&options.Requests, "requests", 100, "requests")
	err := flags.Parse(args)
	if err != nil || flags.NArg() != 3 {
		return errUsage
	}
	err = json.Unmarshal([]byte(flags.Arg(2)), &options.Prompt)
	if err != nil {
		return err
	}
	client, err := s.client()
	if err != nil {
		return err
	}
	transport, _ := client.Transport.(*http.Transport)
	transport.MaxIdleConnsPerHost = options.Callers
	options.Client = client
	options.URL = s.processes[*to].url + "/v1/fleets/" + flags.Arg(1)
	done := make(chan loadResult, 1)
	s.loads[flags.Arg(0)] = done
	go func() {
		report, err := load.Run(context.Background(), options)
		done <- loadResult{
			report: report,
			err:    err,
		}
	}()
	return nil
}

// unload waits for a load and checks that all its requests ran and gave whole
// answers of their own; with "refused" some may have been refused as not run.
func (s *system) unload(ts *testscript.TestScript, args []string) error {
	if len(args) == 0 || s.loads[args[0]] == nil {
		return errUsage
	}
	result := <-s.loads[args[0]]
	ts.Logf("%+v", result)
	report := result.report
	if result.err != nil {
		return result.err
	}
	refused := len(args) == 2 && args[1] == "refused"
	if report.Requests == 0 || report.Unknown+report.Truncated+report.Wrong > 0 || (report.NotRun > 0 && !refused) {
		return fmt.Errorf("load went wrong: %+v", report)
	}
	return nil
}
