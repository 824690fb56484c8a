package command

import (
	"context"
	"io"
	"net/http"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/fleet"
	"github.com/spf13/cobra"
)

// newDelete returns the command that deletes a resource.
func newDelete() *cobra.Command {
	var o operator
	var options applyOptions
	var version uint64
	cmd := &cobra.Command{
		Use:     "delete kind/name",
		Short:   "Delete a resource",
		Example: "  foxtailstack delete upstreams/formula/drafting/w1 --wait",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			err := o.check()
			if err != nil {
				return err
			}
			return o.remove(cmd.Context(), args[0], foxtailstack.Version(version), options, cmd.OutOrStdout())
		},
	}
	o.flags(cmd)
	o.outputFlag(cmd)
	options.flags(cmd)
	cmd.Flags().Uint64Var(&version, "version", 0, "version to delete; zero means the present one")
	return cmd
}

// remove deletes a resource of a version.
func (o *operator) remove(
	ctx context.Context,
	path string,
	version foxtailstack.Version,
	options applyOptions,
	out io.Writer,
) error {
	if version == 0 {
		current, err := o.resource(ctx, path)
		if err != nil {
			return err
		}
		version = current.Version
	}
	var view fleet.View
	err := o.call(ctx, call{
		method:  http.MethodDelete,
		path:    fleet.PathConfig + path + options.query(),
		version: version,
		key:     foxtailstack.NewChangeID().String(),
	}, &view)
	if err != nil {
		return err
	}
	err = o.showWrite(out, view, "deleted")
	if err != nil {
		return err
	}
	return o.await(ctx, view, options, out)
}
