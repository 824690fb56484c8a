package command

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/foxtailstack/foxtailstack/fleet"
	"github.com/spf13/cobra"
)

// maxEvent is the length of the longest line of a watch in bytes.
const maxEvent = 1 << 20

// errSettled ends a watch whose last change is in force everywhere.
var errSettled = errors.New("in force everywhere")

// watch is what a watch command has seen.
type watch struct {
	operator
	kind string
	// last is the id of the last event, from which a broken watch resumes.
	last   string
	wait   bool
	client *http.Client
	out    io.Writer
	// changed is set once a change has been shown.
	changed bool
}

// newWatch returns the command that shows changes as they come into force.
func newWatch() *cobra.Command {
	var w watch
	cmd := &cobra.Command{
		Use:     "watch",
		Short:   "Show changes and how far they have spread",
		Example: "  foxtailstack watch --from 0",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			err := w.check()
			if err != nil {
				return err
			}
			w.out = cmd.OutOrStdout()
			return w.run(cmd.Context())
		},
	}
	w.flags(cmd)
	w.outputFlag(cmd)
	cmd.Flags().StringVar(&w.kind, "kind", "", "kind of resources to show; empty means all")
	cmd.Flags().StringVar(&w.last, "from", "", "revision to begin behind; empty means the present one")
	cmd.Flags().BoolVar(&w.wait, "wait", false, "end once a change has been shown and is in force everywhere")
	return cmd
}

// run watches and resumes until the operator ends it or the API refuses.
func (w *watch) run(ctx context.Context) error {
	client, err := w.operator.client()
	if err != nil {
		return err
	}
	client.Timeout = 0
	w.client = client
	for {
		err = w.follow(ctx)
		var refused *apiError
		switch {
		case errors.Is(err, errSettled), ctx.Err() != nil:
			return nil
		case errors.As(err, &refused) && refused.problem.Status < http.StatusInternalServerError:
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(operatorPause):
		}
	}
}

// follow shows the events of one stream.
func (w *watch) follow(ctx context.Context) error {
	c := call{
		method: http.MethodGet,
		path:   fleet.PathWatch + "?kind=" + url.QueryEscape(w.kind),
	}
	request, err := w.request(ctx, c)
	if err != nil {
		return err
	}
	request.Header.Set("Last-Event-ID", w.last)
	response, err := w.client.Do(request)
	if err != nil {
		return fmt.Errorf("%w: %w", errAPI, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(response.Body) // the status says enough
		return failure(c, response, data)
	}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxEvent)
	event := ""
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch name {
		case "id":
			w.last = value
		case "event":
			event = value
		case "data":
			err = w.show(event, value)
		}
		if err != nil {
			return err
		}
	}
	return lines.Err()
}

// show writes one event. It returns errSettled after the last one that the
// operator has asked for.
func (w *watch) show(event, data string) error {
	if w.json() {
		_, err := fmt.Fprintf(w.out, "{\"event\":%q,\"data\":%s}\n", event, data)
		if err != nil {
			return err
		}
	}
	if event == fleet.EventChange {
		return w.showChange(data)
	}
	var progress fleet.Progress
	err := json.Unmarshal([]byte(data), &progress)
	if err != nil {
		return err
	}
	if !w.json() {
		fmt.Fprintf(w.out, "revision %d in force on %d of %d\n", progress.Revision, progress.InForce, progress.Total)
	}
	if w.wait && w.changed && progress.Total > 0 && progress.InForce == progress.Total {
		return errSettled
	}
	return nil
}

// showChange writes one change.
func (w *watch) showChange(data string) error {
	var view fleet.View
	err := json.Unmarshal([]byte(data), &view)
	if err != nil {
		return err
	}
	w.changed = true
	if w.json() {
		return nil
	}
	done := "declared"
	if view.Deleted {
		done = "deleted"
	}
	return w.showWrite(w.out, view, done)
}
