package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"

	"github.com/foxtailstack/foxtailstack/fleet"
	"github.com/spf13/cobra"
)

// newGet returns the command that shows resources.
func newGet() *cobra.Command {
	var o operator
	cmd := &cobra.Command{
		Use:     "get kind[/name]",
		Short:   "Show one resource or all of a kind",
		Example: "  foxtailstack get services/formula/drafting -o json",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			err := o.check()
			if err != nil {
				return err
			}
			views, err := o.find(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			return o.show(cmd.OutOrStdout(), views)
		},
	}
	o.flags(cmd)
	o.outputFlag(cmd)
	return cmd
}

// find returns the resource under a path, or all of a kind.
func (o *operator) find(ctx context.Context, path string) ([]fleet.View, error) {
	if strings.Contains(path, "/") {
		view, err := o.resource(ctx, path)
		return []fleet.View{view}, err
	}
	var views []fleet.View
	next := ""
	for {
		var page fleet.Page
		err := o.call(ctx, call{
			method: http.MethodGet,
			path:   fleet.PathConfig + path + "?continue=" + url.QueryEscape(next),
		}, &page)
		if err != nil {
			return nil, err
		}
		views = append(views, page.Items...)
		next = page.Continue
		if next == "" {
			return views, nil
		}
	}
}

// show writes resources in the form that the operator has chosen.
func (o *operator) show(out io.Writer, views []fleet.View) error {
	if o.json() {
		encoder := json.NewEncoder(out)
		for _, view := range views {
			err := encoder.Encode(view)
			if err != nil {
				return err
			}
		}
		return nil
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "RESOURCE\tVERSION\tREVISION\tSTATE\tSPEC")
	for _, view := range views {
		fmt.Fprintf(table, "%s\t%d\t%d\t%s\t%s\n", view.ID, view.Version, view.Revision, stateText(view.State), view.Spec)
	}
	return table.Flush()
}

// stateText says how far a resource has spread.
func stateText(s fleet.State) string {
	return fmt.Sprintf("in force on %d of %d", s.InForce, s.Total)
}
