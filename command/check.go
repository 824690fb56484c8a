package command

import (
	"errors"
	"fmt"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/settings"
	"github.com/spf13/cobra"
)

// newCheck returns the command that checks settings.
func newCheck() *cobra.Command {
	var role string
	cmd := &cobra.Command{
		Use:     "check file",
		Short:   "Check a settings file without starting a process",
		Example: "  foxtailstack check --role sidecar sidecar.toml",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			wanted := foxtailstack.Role(role)
			if wanted != foxtailstack.RoleEntry && wanted != foxtailstack.RoleSidecar {
				return usage(fmt.Errorf("role %q is not entry or sidecar", role))
			}
			_, err := settings.Load(args[0], wanted)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: ok\n", args[0])
			return nil
		},
	}
	cmd.Flags().StringVar(&role, "role", "entry", "role that the settings are for: entry or sidecar")
	return cmd
}

// isUsage reports whether err is one of the command line or of settings.
func isUsage(err error) bool {
	return errors.Is(err, errUsage) || errors.Is(err, settings.ErrInvalid)
}
